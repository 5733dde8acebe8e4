"""A limit as a rate and a capacity, and the token bucket that enforces it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SharedLimit:
    """What all entries together may admit."""

    rate: float
    """Sustained admissions per second; above zero."""

    capacity: float
    """Maximum burst of admissions; at least one."""


@dataclass(slots=True)
class TokenBucket:
    """Token bucket that refills at a steady rate, up to a capacity.

    In any interval it grants at most its rate times the length of the interval,
    plus its capacity.

    >>> bucket = TokenBucket(rate=2, capacity=3, level=3, filled_at=0)
    >>> bucket.take(5, now=0), bucket.take(5, now=1)
    (3, 2)
    """

    rate: float
    """Tokens added per second."""

    capacity: float
    """Maximum number of tokens."""

    level: float
    """Tokens as of ``filled_at``; negative when more was spent than there
    was."""

    filled_at: float
    """When ``level`` was computed."""

    def fill(self, now: float) -> None:
        """Add the tokens of the time since the last call."""
        grown = (now - self.filled_at) * self.rate
        self.level = min(self.capacity, self.level + grown)
        self.filled_at = now

    def take(self, wanted: int, now: float) -> int:
        """Take at most the wanted number of whole tokens."""
        self.fill(now)
        taken = max(0, min(wanted, int(self.level)))
        self.level -= taken
        return taken

    def spend(self, count: int, now: float) -> None:
        """Account for earlier admissions; a negative count returns tokens."""
        self.fill(now)
        self.level = min(self.capacity, self.level - count)

    def resize(self, rate: float, capacity: float, now: float) -> None:
        """Change the rate and the capacity."""
        self.fill(now)
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def next_token_in(self, now: float) -> float:
        """Return the seconds until a token is available."""
        self.fill(now)
        return max(0, 1 - self.level) / self.rate
