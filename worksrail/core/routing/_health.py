"""The health of upstreams, from observed answers and from load reports.

Observed answers take precedence.  A load report only adjusts the score: its
weight is bounded and decays with its age, so reports that stop, freeze or
claim zero load can neither attract nor repel much traffic.
"""

import math
from dataclasses import dataclass, field
from typing import Final

from worksrail.core._doubling import doubled
from worksrail.core.settings import CoreSettings

_MIN_SAMPLE_WEIGHT: Final = 0.2
_REPORT_WEIGHT: Final = 0.5
_REPORT_DECAY_S: Final = 2
_LATENCY_DECAY_S: Final = 10
_MAX_FAILURES: Final = 5
_SLOW_FACTOR: Final = 4
_MIN_SAMPLES: Final = 5
_MAX_EJECTION_S: Final = 60


@dataclass(slots=True)
class LatencyAverage:
    """Exponential moving average of service times, in seconds."""

    average: float = 0
    """The average; zero before the first sample."""

    samples: int = 0
    """Number of samples."""

    def add(self, seconds: float) -> None:
        """Add a sample."""
        self.samples += 1
        weight = max(_MIN_SAMPLE_WEIGHT, 1 / self.samples)
        self.average += weight * (seconds - self.average)


@dataclass(slots=True)
class UpstreamHealth:
    """Observations of one upstream by this instance."""

    latency: LatencyAverage = field(default_factory=LatencyAverage)
    """Service times that this instance observed."""

    last_answer_at: float = 0
    """When it last answered."""

    last_success_at: float = -math.inf
    """When it last answered successfully."""

    failures: int = 0
    """Number of consecutive failures."""

    ejections: int = 0
    """Number of ejections since its last success."""

    ejected_until: float = 0
    """Until when it gets no requests."""

    leaving_until: float = 0
    """Until when it counts as shutting down, by its own answers."""

    trial: bool = False
    """Whether an ejection has ended and its next answer decides."""

    cold_since: float | None = None
    """When its slow start began; None if it is warm."""

    reported_load: float = 0
    """Share of its slots in use, as it last reported."""

    report_received_at: float = float('-inf')
    """When the last report was received."""

    def record_report(self, load: float, now: float) -> None:
        """Store a load report, clamped to the range from 0 to 1."""
        if math.isfinite(load):
            self.reported_load = min(1, max(0, load))
            self.report_received_at = now

    def score(self, typical: float, now: float) -> float:
        """Return the expected service time, adjusted by the load report.

        A lower score is better.
        """
        latency = typical
        if self.latency.samples:
            decay = math.exp((self.last_answer_at - now) / _LATENCY_DECAY_S)
            latency += (self.latency.average - typical) * decay
        weight = _REPORT_WEIGHT * math.exp(
            (self.report_received_at - now) / _REPORT_DECAY_S
        )
        return latency * (1 + weight * self.reported_load)

    def is_leaving(self, now: float) -> bool:
        """Return whether it has said lately that it is shutting down."""
        return now < self.leaving_until

    def is_outlier(self, typical: float) -> bool:
        """Return whether it fails, or is far slower than its service."""
        if self.failures >= _MAX_FAILURES:
            return True
        slow = self.latency.average > _SLOW_FACTOR * typical
        return slow and self.latency.samples >= _MIN_SAMPLES

    def eject(self, now: float, settings: CoreSettings) -> None:
        """Send it no requests for a time that doubles with each ejection."""
        self.ejected_until = now + doubled(
            settings.ejection_time, self.ejections, _MAX_EJECTION_S
        )
        self.ejections += 1

    def begin_trial(self) -> None:
        """Send it one request at a time to test whether it has recovered."""
        self.trial = True
        self.failures = 0
        self.latency = LatencyAverage()

    def max_in_use(
        self, slots: int, seats: int, slow_start: float, now: float
    ) -> int | None:
        """Return the maximum of requests in flight to it; None for no maximum.

        A cold upstream gets its full slots over ``slow_start`` seconds.
        """
        if now < self.ejected_until:
            return 0
        if self.trial:
            return 1
        if self.cold_since is None:
            return None
        progress = 1.0
        if slow_start:
            progress = (now - self.cold_since) / slow_start
        if progress >= 1:
            self.cold_since = None
            return None
        return max(1, int(slots * progress / seats))
