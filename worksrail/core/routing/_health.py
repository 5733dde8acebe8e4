"""What is known of an upstream's health, from own answers and reports.

Own observations come first.  A load report only shades the choice: its
weight is bounded and fades with its age, so reports that stop, freeze or
claim zero load cannot attract or repel much traffic.
"""

import math
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.settings import CoreSettings

_LATENCY_WEIGHT: Final = 0.2
_REPORT_WEIGHT: Final = 0.5
_REPORT_FADE: Final = 2
_MEMORY_FADE: Final = 10
_FAILURE_LIMIT: Final = 5
_SLOW_FACTOR: Final = 4
_MIN_SAMPLES: Final = 5
_LONGEST_EJECTION: Final = 60


@dataclass(slots=True)
class LatencyAverage:
    """Moving average of service times, in seconds."""

    average: float = 0
    """The average; zero before the first sample."""

    samples: int = 0
    """Number of samples."""

    def add(self, seconds: float) -> None:
        """Count one sample."""
        self.samples += 1
        weight = max(_LATENCY_WEIGHT, 1 / self.samples)
        self.average += weight * (seconds - self.average)


@dataclass(slots=True)
class UpstreamHealth:
    """Observations of one upstream by this instance."""

    latency: LatencyAverage = field(default_factory=LatencyAverage)
    """Own service times."""

    last_answer_at: float = 0
    """When it last answered."""

    last_success_at: float = -math.inf
    """When it last answered well."""

    failures: int = 0
    """Failures in a row."""

    ejections: int = 0
    """Ejections since it last worked well."""

    ejected_until: float = 0
    """Until when it gets no work."""

    trial: bool = False
    """An ejection has ended and its next answer decides."""

    cold_since: float | None = None
    """When it began to get work again; None when it is warm."""

    report: float = 0
    """Share of its slots that it last reported in use."""

    reported_at: float = float('-inf')
    """When it reported."""

    def record_report(self, load: float, now: float) -> None:
        """Take in a load report, bounded to a sensible share."""
        if math.isfinite(load):
            self.report = min(1, max(0, load))
            self.reported_at = now

    def score(self, typical: float, now: float) -> float:
        """Expected service time, shaded by the report; lower is better."""
        latency = typical
        if self.latency.samples:
            faded = math.exp((self.last_answer_at - now) / _MEMORY_FADE)
            latency += (self.latency.average - typical) * faded
        weight = _REPORT_WEIGHT * math.exp(
            (self.reported_at - now) / _REPORT_FADE
        )
        return latency * (1 + weight * self.report)

    def is_outlier(self, typical: float) -> bool:
        """Whether it fails, or is far slower than its service."""
        if self.failures >= _FAILURE_LIMIT:
            return True
        slow = self.latency.average > _SLOW_FACTOR * typical
        return slow and self.latency.samples >= _MIN_SAMPLES

    def eject(self, now: float, settings: CoreSettings) -> None:
        """Give it no work for a time that doubles from one to the next."""
        time = settings.ejection_time * 2**self.ejections
        self.ejections += 1
        self.ejected_until = now + min(_LONGEST_EJECTION, time)

    def begin_trial(self) -> None:
        """Let one request at a time decide whether it has recovered."""
        self.trial = True
        self.failures = 0
        self.latency = LatencyAverage()

    def max_in_use(
        self, slots: int, seats: int, slow_start: float, now: float
    ) -> int | None:
        """Most requests to send it at once; None for no bound.

        A cold upstream comes to its full slots over ``slow_start`` seconds.
        """
        if now < self.ejected_until:
            return 0
        if self.trial:
            return 1
        if self.cold_since is None:
            return None
        warm = 1.0
        if slow_start:
            warm = (now - self.cold_since) / slow_start
        if warm >= 1:
            self.cold_since = None
            return None
        return max(1, int(slots * warm / seats))
