"""How much time the callers of a route allow, and what it shows of retries."""

from dataclasses import dataclass
from typing import Final

# A request counts as a first attempt if its caller leaves it at least this
# share of the longest time seen on the route.
_FIRST_ATTEMPT_SHARE: Final = 0.99
# Weight of a request in the share of those that allow the longest time, after
# the first requests, which count alike.
_EWMA_WEIGHT: Final = 0.02
# Share from which callers of the route are taken to allow the same time: only
# then does a shorter one mean that the rest was spent on an earlier attempt.
_UNIFORM_SHARE: Final = 0.5


@dataclass(slots=True)
class RouteDeadlines:
    """Times that the callers of one route allow.

    >>> deadlines = RouteDeadlines()
    >>> for _ in range(10):
    ...     deadlines.record(8.0)
    >>> deadlines.elapsed(8.0), deadlines.elapsed(7.0)
    (0, 1.0)
    """

    longest: float = 0
    """Longest time in seconds."""

    longest_share: float = 0
    """Average share of the requests that allow about the longest time."""

    count: int = 0
    """Number of requests."""

    def record(self, left: float) -> None:
        """Add the seconds that the caller of a request allows."""
        self.longest = max(self.longest, left)
        sample = float(left >= self.longest * _FIRST_ATTEMPT_SHARE)
        self.count += 1
        weight = max(_EWMA_WEIGHT, 1 / self.count)
        self.longest_share += weight * (sample - self.longest_share)

    def elapsed(self, left: float) -> float:
        """Return the seconds since a first attempt.

        Zero means that this is the first one, or that nothing is known, since
        callers of the route allow different times.
        """
        if self.longest_share < _UNIFORM_SHARE:
            return 0
        if left >= self.longest * _FIRST_ATTEMPT_SHARE:
            return 0
        return self.longest - left
