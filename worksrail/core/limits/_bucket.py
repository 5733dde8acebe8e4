"""A limit as a rate and a capacity, and the token bucket that keeps it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SharedLimit:
    """What all entries together may admit."""

    rate: float
    """Admissions a second that may go on for ever; above zero."""

    capacity: float
    """Admissions that may come at once after a rest; one at the least."""


@dataclass(slots=True)
class TokenBucket:
    """Tokens that come at a steady rate, up to a capacity.

    In any span of time it gives out its rate times the span and its capacity
    at the most.

    >>> bucket = TokenBucket(rate=2, capacity=3, level=3, filled_at=0)
    >>> bucket.take(5, now=0), bucket.take(5, now=1)
    (3, 2)
    """

    rate: float
    """Tokens that come in a second."""

    capacity: float
    """Most tokens that it holds."""

    level: float
    """Tokens in it, as of ``filled_at``; below zero when more was spent than
    it held."""

    filled_at: float
    """When ``level`` was computed."""

    def fill(self, now: float) -> None:
        """Add the tokens that have come since."""
        grown = (now - self.filled_at) * self.rate
        self.level = min(self.capacity, self.level + grown)
        self.filled_at = now

    def take(self, wanted: int, now: float) -> int:
        """Take whole tokens, as many as there are."""
        self.fill(now)
        taken = max(0, min(wanted, int(self.level)))
        self.level -= taken
        return taken

    def spend(self, count: int, now: float) -> None:
        """Account for what was admitted already; below zero gives back."""
        self.fill(now)
        self.level = min(self.capacity, self.level - count)

    def resize(self, rate: float, capacity: float, now: float) -> None:
        """Go on with another rate and capacity."""
        self.fill(now)
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def next_token_in(self, now: float) -> float:
        """Seconds until there is a token to take."""
        self.fill(now)
        return max(0, 1 - self.level) / self.rate
