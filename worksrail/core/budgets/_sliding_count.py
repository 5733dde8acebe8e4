"""Counts events within a sliding window."""

from collections import deque
from dataclasses import dataclass, field
from itertools import repeat
from typing import Final

# Parts into which a window is divided; the events of one part expire together.
_PARTS: Final = 64
ADVERTISED_PARTS: Final = 8
"""Coarser parts of a window, by which counts are advertised."""
_PARTS_PER_ADVERTISED: Final = _PARTS // ADVERTISED_PARTS


@dataclass(slots=True)
class _Part:
    number: int
    count: int


@dataclass(slots=True)
class SlidingCount:
    """Number of events within a window, and up to a 64th of it longer.

    >>> count = SlidingCount(window=10)
    >>> count.record(0.5); count.record(9.0)
    >>> count.total(10.0), count.total(11.0), count.total(20.0)
    (2, 1, 0)
    """

    window: float
    """Length of the window, seconds."""

    retained: int = _PARTS
    """Number of parts that are kept; may exceed one window."""

    parts: deque[_Part] = field(default_factory=deque)
    """Non-empty parts, the oldest first."""

    sum: int = 0
    """Sum of all parts."""

    @classmethod
    def spanning(cls, window: float, advertised_parts: int) -> 'SlidingCount':
        """Create a count that covers a number of advertised parts."""
        return cls(window, advertised_parts * _PARTS_PER_ADVERTISED - 1)

    def record(self, now: float) -> None:
        """Count an event."""
        number = self._number(now)
        if not self.parts or self.parts[-1].number != number:
            self.parts.append(_Part(number, 0))
        self.parts[-1].count += 1
        self.sum += 1

    def undo_last(self, now: float) -> None:
        """Remove the event that was counted last."""
        if self.total(now) and self.parts[-1].count:
            self.parts[-1].count -= 1
            self.sum -= 1

    def by_part(self, now: float) -> tuple[int, ...]:
        """Return counts by eighth of the window, the latest first.

        Trailing zeros are omitted.
        """
        if not self.total(now):
            return ()
        last = self._number(now)
        oldest = (last - self.parts[0].number) // _PARTS_PER_ADVERTISED
        counts = list(repeat(0, oldest + 1))
        for part in self.parts:
            counts[(last - part.number) // _PARTS_PER_ADVERTISED] += part.count
        return tuple(counts)

    def total(self, now: float) -> int:
        """Return the number of events in the window that ends now."""
        first = self._number(now) - self.retained
        while self.parts and self.parts[0].number < first:
            self.sum -= self.parts.popleft().count
        return self.sum

    def _number(self, now: float) -> int:
        return int(now * _PARTS / self.window)
