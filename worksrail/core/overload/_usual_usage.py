"""The share of a service's slots that is usually in use."""

from dataclasses import dataclass
from math import exp, inf
from typing import Final

# Time constant of the average, in seconds.
_TIME_CONSTANT: Final = 30.0
# Seconds between two samples.
_SAMPLE_INTERVAL: Final = 0.2
# Seconds of a burst that do not count as usual.  A rise that lasts longer is
# taken to stay.
_MAX_BURST: Final = 15.0
# Seconds without a refusal after which a burst is over.
_BURST_GAP: Final = 1.0


@dataclass(slots=True)
class UsualUsage:
    """Average of the slots in use, bursts left out.

    What a burst leaves behind is planned for the time after it, so the average
    has to stay that of the time before it.

    >>> usage = UsualUsage()
    >>> for tenth in range(100):
    ...     usage.record(0.6, 0.7, tenth / 10)
    >>> for tenth in range(100, 150):
    ...     usage.record_shortage(tenth / 10)
    ...     usage.record(1, 2, tenth / 10)
    >>> round(usage.average, 2)
    0.6
    """

    average: float = 0
    """The average; zero before the first record."""

    in_flight: float = 0
    """Average of the requests in flight over the slots, queues included."""

    seconds: float = 0
    """Seconds over which it was taken."""

    updated_at: float = inf
    """When it was updated."""

    burst_since: float = -inf
    """When the present or last burst began."""

    short_at: float = -inf
    """When slots were last short."""

    def is_due(self, now: float) -> bool:
        """Return whether the last sample is old."""
        return not self.seconds or now - self.updated_at >= _SAMPLE_INTERVAL

    @property
    def share_in_slots(self) -> float:
        """Return the share of the requests in flight that are in slots."""
        return self.average / self.in_flight if self.in_flight else 1

    def record(self, used: float, in_flight: float, now: float) -> None:
        """Add slots in use now and requests in flight, over all slots."""
        passed = max(0, now - self.updated_at)
        self.updated_at = now
        if self.in_burst(now):
            return
        self.seconds += passed
        # A short history counts whole, as an average over its own time.
        span = min(_TIME_CONSTANT, self.seconds)
        weight = 1 - exp(-passed / span) if span else 1
        self.average += weight * (used - self.average)
        self.in_flight += weight * (in_flight - self.in_flight)

    def record_shortage(self, now: float) -> None:
        """Note that slots are short, or promised to callers that come back."""
        if now - self.short_at > _BURST_GAP:
            self.burst_since = now
        self.short_at = now

    def in_burst(self, now: float) -> bool:
        """Return whether slots are short, and have not been so for long."""
        return (
            now - self.short_at <= _BURST_GAP
            and now - self.burst_since <= _MAX_BURST
        )
