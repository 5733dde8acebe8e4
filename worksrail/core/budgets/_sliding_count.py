"""How often something happened within a sliding window."""

from collections import deque
from dataclasses import dataclass, field
from itertools import repeat
from typing import Final

# Parts into which a window is divided; what lies in one is forgotten together.
_PARTS: Final = 64
TOLD_PARTS: Final = 8
"""Parts of a window by which counts are told."""
_IN_ONE: Final = _PARTS // TOLD_PARTS


@dataclass(slots=True)
class _Part:
    number: int
    count: int


@dataclass(slots=True)
class SlidingCount:
    """Counts what happened within a window, and up to a 64th of it longer.

    >>> count = SlidingCount(window=10)
    >>> count.note(0.5); count.note(9.0)
    >>> count.total(10.0), count.total(11.0), count.total(20.0)
    (2, 1, 0)
    """

    window: float
    """Length of the window, seconds."""

    kept: int = _PARTS
    """Parts of the window, or of more than one, that are kept."""

    parts: deque[_Part] = field(default_factory=deque)
    """Counts by part of the window, the oldest first; empty ones left out."""

    sum: int = 0
    """Sum of the parts."""

    @classmethod
    def beyond(cls, window: float, told_parts: int) -> 'SlidingCount':
        """Count in so many of the parts by which counts are told."""
        return cls(window, told_parts * _IN_ONE - 1)

    def note(self, now: float) -> None:
        """One more thing happens."""
        number = self._number(now)
        if not self.parts or self.parts[-1].number != number:
            self.parts.append(_Part(number, 0))
        self.parts[-1].count += 1
        self.sum += 1

    def take_back(self, now: float) -> None:
        """The thing that happened last did not happen after all."""
        if self.total(now) and self.parts[-1].count:
            self.parts[-1].count -= 1
            self.sum -= 1

    def by_part(self, now: float) -> tuple[int, ...]:
        """Counts in eighths of the window, the latest first.

        Those at the end are left out where nothing happened.
        """
        if not self.total(now):
            return ()
        last = self._number(now)
        oldest = (last - self.parts[0].number) // _IN_ONE
        counts = list(repeat(0, oldest + 1))
        for part in self.parts:
            counts[(last - part.number) // _IN_ONE] += part.count
        return tuple(counts)

    def total(self, now: float) -> int:
        """How many things happened in the window that ends now."""
        first = self._number(now) - self.kept
        while self.parts and self.parts[0].number < first:
            self.sum -= self.parts.popleft().count
        return self.sum

    def _number(self, now: float) -> int:
        return int(now * _PARTS / self.window)
