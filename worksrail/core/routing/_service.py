"""The running state of one service on this instance."""

from dataclasses import dataclass, field
from typing import Final

from worksrail.core.identity import RegionName
from worksrail.core.requests import RequestQueue, RetryBudget
from worksrail.core.routing._health import LatencyAverage
from worksrail.core.routing._rise_limit import RiseLimit
from worksrail.core.settings import CoreSettings

_FIRST_GUESS: Final = 0.1


@dataclass(slots=True)
class ServiceState:
    """Queue, budget and averages of one service."""

    queue: RequestQueue
    """Requests that wait for a slot."""

    budget: RetryBudget
    """What may be retried."""

    retries: RequestQueue
    """Requests that wait until the budget allows a retry."""

    latency: LatencyAverage = field(default_factory=LatencyAverage)
    """Service times over all upstreams."""

    rises: dict[RegionName, RiseLimit] = field(default_factory=dict)
    """Rise of shifted traffic by source region."""

    ejected: int = 0
    """Upstreams that are ejected."""

    @classmethod
    def from_settings(cls, settings: CoreSettings) -> 'ServiceState':
        """State of a service that has had no request yet."""
        budget = RetryBudget(settings.retry_ratio)
        limit = settings.queue_limit
        return cls(RequestQueue(limit), budget, RequestQueue(limit))

    @property
    def typical_latency(self) -> float:
        """Typical service time in seconds."""
        return self.latency.average or _FIRST_GUESS

    def rise(self, source: RegionName) -> RiseLimit:
        """Rise limit of traffic from a source region."""
        return self.rises.setdefault(source, RiseLimit())
