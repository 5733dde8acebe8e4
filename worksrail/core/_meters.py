"""Moving averages of how often something happens."""

from dataclasses import dataclass
from math import exp
from typing import Final

# Seconds over which a rate is averaged unless its user says otherwise.
_RATE_TIME: Final = 2.0


@dataclass(slots=True)
class RateMeter:
    """A moving average of how many things happen in a second."""

    smoothed: float = 0
    """Things a second, as of ``noted_at``."""

    noted_at: float = 0
    """When the last thing happened."""

    seconds: float = _RATE_TIME
    """Time over which it is averaged."""

    def note(self, now: float) -> None:
        """One more thing happens."""
        self.smoothed = self.rate(now) + 1 / self.seconds
        self.noted_at = now

    def rate(self, now: float) -> float:
        """Things a second."""
        return self.smoothed * exp((self.noted_at - now) / self.seconds)
