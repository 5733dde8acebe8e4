"""Estimates for how long requests occupy a slot, without their queueing."""

from dataclasses import dataclass
from typing import Final

# Minimum weight of a sample in the averages; the first samples weigh more.
_MIN_WEIGHT: Final = 0.05
# Number of samples that the initial guess is worth, and of first samples that
# count alike, so that the guess is soon left.
_GUESS_WEIGHT: Final = 1
_FIRST_SAMPLES: Final = 8
# Weight of a sample above the average of the short ones, as a share of the
# weight of one below it.
_LONG_SAMPLE_SHARE: Final = 0.05


@dataclass(slots=True)
class SlotTime:
    """Seconds for which the requests of a route occupy a slot.

    Both estimates are too long in a load of their own, so the shorter one
    counts.  The one by load is right while queues are steady.  While they come
    and go, faster than other instances report, the shortest times are of
    requests that met no queue.

    >>> known = SlotTime.from_guess(1)
    >>> known.add(elapsed=0.2, share_in_slots=0.5)
    >>> round(known.seconds, 2)
    0.55
    """

    by_load: float
    """Average of the elapsed time, times the share of the requests in flight
    that were in slots."""

    shortest: float
    """Average of the elapsed time, mostly of the shortest ones."""

    samples: int = 0
    """Number of samples."""

    @classmethod
    def from_guess(cls, seconds: float) -> 'SlotTime':
        """Start with a guess, which the first samples replace."""
        return cls(seconds, seconds)

    @property
    def seconds(self) -> float:
        """Return the estimate."""
        return min(self.by_load, self.shortest)

    def add(self, elapsed: float, share_in_slots: float) -> None:
        """Add the time from sending a request to its answer."""
        self.samples += 1
        weight = max(_MIN_WEIGHT, 1 / (self.samples + _GUESS_WEIGHT))
        self.by_load += weight * (elapsed * share_in_slots - self.by_load)
        if elapsed > self.shortest and self.samples > _FIRST_SAMPLES:
            weight *= _LONG_SAMPLE_SHARE
        self.shortest += weight * (elapsed - self.shortest)
