"""A virtual clock, and datagrams between entries on it."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from worksrail.bench.limits._plan import REGIONS, ZONES

# Seconds one way within a zone, between zones of a region, between regions.
_NEAR: Final = 0.0001
_ZONES_APART: Final = 0.0005
_REGIONS_APART: Final = 0.035
# Longest time, in seconds, that an instance takes to see to a datagram.
_HANDLING: Final = 0.005


@dataclass(slots=True)
class Network:
    """Runs actions in the order of their times."""

    entries: int
    """Entries, numbered from zero."""

    loss: float
    """Share of datagrams that are lost."""

    rng: random.Random
    """Draws losses and times."""

    now: float = 0
    """Seconds since the start."""

    agenda: list[tuple[float, int, Callable[[], None]]] = field(
        default_factory=list
    )
    """What is to come."""

    planned: int = 0
    """Actions so far, to keep their order."""

    away: set[int] = field(default_factory=set)
    """Entries that are cut off from the others, or do not run."""

    messages: int = 0
    """Datagrams sent."""

    sent: int = 0
    """Their bytes."""

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action later."""
        self.planned += 1
        heapq.heappush(self.agenda, (self.now + seconds, self.planned, action))

    def run(self, seconds: float) -> None:
        """Run everything up to a time."""
        while self.agenda and self.agenda[0][0] <= seconds:
            at, _, action = heapq.heappop(self.agenda)
            self.now = at
            action()

    def send(
        self,
        sender: int,
        receiver: int,
        size: int,
        deliver: Callable[[], None],
    ) -> None:
        """Send a datagram."""
        self.messages += 1
        self.sent += size
        if sender in self.away or self.rng.random() < self.loss:
            return
        way = distance(sender, receiver) + self.rng.uniform(0, _HANDLING)
        self.after(way, lambda: self._arrive(receiver, deliver))

    def _arrive(self, receiver: int, deliver: Callable[[], None]) -> None:
        if receiver not in self.away:
            deliver()


def distance(one: int, other: int) -> float:
    """Seconds of one way between two entries."""
    if one % ZONES == other % ZONES:
        return _NEAR
    if one % REGIONS == other % REGIONS:
        return _ZONES_APART
    return _REGIONS_APART
