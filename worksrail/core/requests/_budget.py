"""The retry budget of a service: retries are limited to a part of successes."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(slots=True)
class RetryBudget:
    """A token bucket that successes fill and retries drain.

    Retries thus cannot multiply the load.  The capacity is proportional to
    the seats that the instance holds.  A seat has one holder, and its tokens
    are not transferred with it.  The tokens of all instances together
    therefore never exceed the capacity of all seats, however many instances
    stop and start.

    >>> budget = RetryBudget(ratio=0.5)
    >>> budget.follow({0: 1}, max_per_seat=1)
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
    """Tokens that each success adds."""

    max_per_seat: float = 0
    """Maximum number of tokens for each seat."""

    seats: dict[int, int] = field(default_factory=dict)
    """Epoch of each seat that this instance holds."""

    tokens: float = 0
    """Available retries."""

    success_rate: float = 0
    """Successes per second, as an exponentially decaying sum."""

    updated_at: float = 0
    """When the last success was recorded."""

    def follow(self, seats: Mapping[int, int], max_per_seat: float) -> None:
        """Set the seats that are held; tokens of other seats are lost."""
        if max_per_seat == self.max_per_seat and seats == self.seats:
            return
        kept = self.seats.items() & seats.items()
        self.tokens = min(self.tokens, max_per_seat * len(kept))
        self.seats = dict(seats)
        self.max_per_seat = max_per_seat

    def record_success(self, now: float) -> None:
        """Add the tokens of one success."""
        capacity = self.max_per_seat * len(self.seats)
        self.tokens = min(capacity, self.tokens + self.ratio)
        self.success_rate = 1 + self._decayed_rate(now)
        self.updated_at = now

    def expected_wait(self, ahead: int, now: float) -> float:
        """Return the seconds until a retry is allowed after those ahead."""
        if not self.seats:
            return math.inf
        rate = self.ratio * self._decayed_rate(now)
        return (ahead + 1 - self.tokens) / rate if rate else math.inf

    @property
    def has_retry(self) -> bool:
        """Whether a retry is allowed now."""
        return self.tokens >= 1

    def spend(self) -> bool:
        """Spend a token for a retry; return false if there is none."""
        if not self.has_retry:
            return False
        self.tokens -= 1
        return True

    def _decayed_rate(self, now: float) -> float:
        return self.success_rate * math.exp(self.updated_at - now)
