"""A limit on how fast shifted traffic may grow, over sliding seconds."""

from collections import deque
from dataclasses import dataclass, field
from typing import Final

# Longer than a second, as a request is sent slightly after the decision.
_WINDOW: Final = 1.05


@dataclass(slots=True)
class RiseLimit:
    """Limits the starts of a second by those of the second before it.

    >>> limit = RiseLimit()
    >>> limit.allows(rise=1, now=0); limit.note(0); limit.allows(1, 0.5)
    True
    False
    """

    starts: deque[float] = field(default_factory=deque)
    """Times of the starts in the last two windows."""

    def allows(self, rise: int, now: float) -> bool:
        """Return whether another start stays within the allowed increase."""
        while self.starts and self.starts[0] <= now - 2 * _WINDOW:
            self.starts.popleft()
        recent = sum(1 for start in self.starts if start > now - _WINDOW)
        previous = len(self.starts) - recent
        return recent < previous + rise

    def note(self, now: float) -> None:
        """Record a start."""
        self.starts.append(now)
