"""How fast shifted traffic may rise: counts over sliding seconds."""

from collections import deque
from dataclasses import dataclass, field
from typing import Final

# A start is written a little after it is decided.
_WINDOW: Final = 1.05


@dataclass(slots=True)
class RiseLimit:
    """Bounds the starts of a second by those of the second before it.

    >>> limit = RiseLimit()
    >>> limit.allows(rise=1, now=0); limit.note(0); limit.allows(1, 0.5)
    True
    False
    """

    starts: deque[float] = field(default_factory=deque)
    """Times of the starts in the last two seconds."""

    def allows(self, rise: int, now: float) -> bool:
        """Whether one more start keeps to the allowed rise."""
        while self.starts and self.starts[0] <= now - 2 * _WINDOW:
            self.starts.popleft()
        recent = sum(1 for start in self.starts if start > now - _WINDOW)
        before = len(self.starts) - recent
        return recent < before + rise

    def note(self, now: float) -> None:
        """Count a start."""
        self.starts.append(now)
