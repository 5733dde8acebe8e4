"""Fake network: delays, losses, repetitions, cuts."""

import random
from dataclasses import dataclass, field


@dataclass(slots=True)
class NetworkFaults:
    """What the network does to messages between instances."""

    rng: random.Random
    """Seeded source of losses and delays."""

    near: float = 0.001
    """Seconds within a region."""

    far: float = 0.035
    """Seconds between regions."""

    loss: float = 0
    """Share of messages that is lost."""

    repetition: float = 0
    """Share of messages that arrives twice."""

    disorder: float = 0
    """Most seconds of extra delay, drawn for each message."""

    cuts: set[frozenset[str]] = field(default_factory=set)
    """Pairs of places between which nothing passes."""

    without_upstreams: dict[str, float] = field(default_factory=dict)
    """Instances that cannot connect to upstreams, with the seconds until an
    attempt fails."""

    def is_cut(self, one: tuple[str, ...], other: tuple[str, ...]) -> bool:
        """Whether nothing passes between two instances.

        Each is given by its name, zone and region.
        """
        return any(
            frozenset((left, right)) in self.cuts
            for left in one
            for right in other
            if left != right
        )

    def delays(self, *, same_region: bool) -> list[float]:
        """Delay of each arrival of a message; none when it is lost."""
        if self.loss and self.rng.random() < self.loss:
            return []
        base = self.near if same_region else self.far
        copies = 1 + (self.rng.random() < self.repetition)
        return [base + self.disorder * self.rng.random() for _ in range(copies)]
