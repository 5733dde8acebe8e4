"""Moving averages of event rates."""

from dataclasses import dataclass
from math import exp
from typing import Final

# Default time constant of the average, in seconds.
_DEFAULT_TIME_CONSTANT: Final = 2.0


@dataclass(slots=True)
class RateMeter:
    """An exponential moving average of events per second."""

    smoothed: float = 0
    """Events per second, as of ``noted_at``."""

    noted_at: float = 0
    """When the last event was counted."""

    seconds: float = _DEFAULT_TIME_CONSTANT
    """Time constant of the average, in seconds."""

    def note(self, now: float) -> None:
        """Count one event."""
        self.smoothed = self.rate(now) + 1 / self.seconds
        self.noted_at = now

    def rate(self, now: float) -> float:
        """Events per second."""
        return self.smoothed * exp((self.noted_at - now) / self.seconds)
