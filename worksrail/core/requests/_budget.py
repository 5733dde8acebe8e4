"""The retry budget of a service: retries are a share of successes."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(slots=True)
class RetryBudget:
    """Earned by successes, spent by retries; so retries never multiply load.

    Retries are saved up on seats.  A seat has one holder, and what was saved
    on it does not go with it.  All instances together therefore never have
    more saved up than fits on all seats, however many of them stop and start.

    >>> budget = RetryBudget(ratio=0.5)
    >>> budget.follow({0: 1}, each=1)
    >>> budget.spend()
    False
    >>> budget.record_success(now=1)
    >>> budget.record_success(now=2)
    >>> budget.record_success(now=3)
    >>> budget.spend()
    True
    >>> budget.spend()
    False
    """

    ratio: float
    """Retries earned by each success."""

    each: float = 0
    """Most retries that can be saved up on one seat."""

    seats: dict[int, int] = field(default_factory=dict)
    """Epochs of the seats that it is saved up on."""

    tokens: float = 0
    """Retries saved up."""

    recent: float = 0
    """Successes, fading within a second: about those of the last second."""

    earned_at: float = 0
    """When the last success was counted."""

    def follow(self, seats: Mapping[int, int], each: float) -> None:
        """Save up on these seats; what was saved on others is lost."""
        if each == self.each and seats == self.seats:
            return
        stayed = self.seats.items() & seats.items()
        self.tokens = min(self.tokens, each * len(stayed))
        self.seats = dict(seats)
        self.each = each

    def record_success(self, now: float) -> None:
        """Count a success."""
        room = self.each * len(self.seats)
        self.tokens = min(room, self.tokens + self.ratio)
        self.recent = 1 + self._faded(now)
        self.earned_at = now

    def expected_wait(self, ahead: int, now: float) -> float:
        """Seconds until a retry is earned after those that wait already."""
        if not self.seats:
            return math.inf
        pace = self.ratio * self._faded(now)
        return (ahead + 1 - self.tokens) / pace if pace else math.inf

    @property
    def has_retry(self) -> bool:
        """Whether a retry is left."""
        return self.tokens >= 1

    def spend(self) -> bool:
        """Spend a retry; false when none is left."""
        if not self.has_retry:
            return False
        self.tokens -= 1
        return True

    def _faded(self, now: float) -> float:
        return self.recent * math.exp(self.earned_at - now)
