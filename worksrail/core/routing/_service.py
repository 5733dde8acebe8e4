"""The state of one service on this instance."""

from dataclasses import dataclass, field
from typing import Final

from worksrail.core.identity import RegionName
from worksrail.core.requests import RequestQueue, RetryBudget
from worksrail.core.routing._health import LatencyAverage
from worksrail.core.routing._reach import ServiceReach
from worksrail.core.routing._rise_limit import RiseLimit
from worksrail.core.settings import CoreSettings

_INITIAL_LATENCY_S: Final = 0.1


@dataclass(slots=True)
class ServiceState:
    """Queues, retry budget and averages of one service."""

    queue: RequestQueue
    """Requests that wait for a slot."""

    budget: RetryBudget
    """Retry budget."""

    retries: RequestQueue
    """Requests that wait until the budget allows a retry."""

    latency: LatencyAverage = field(default_factory=LatencyAverage)
    """Service times over all upstreams."""

    rise_limits: dict[RegionName, RiseLimit] = field(default_factory=dict)
    """Limits on the growth of shifted traffic, by source region."""

    reach: ServiceReach = field(default_factory=ServiceReach)
    """Whether its upstreams can be reached from here."""

    ejected: int = 0
    """Number of ejected upstreams."""

    @classmethod
    def from_settings(cls, settings: CoreSettings) -> 'ServiceState':
        """Create the state of a service without requests."""
        budget = RetryBudget(settings.retry_ratio)
        limit = settings.queue_limit
        return cls(RequestQueue(limit), budget, RequestQueue(limit))

    @property
    def typical_latency(self) -> float:
        """Typical service time in seconds."""
        return self.latency.average or _INITIAL_LATENCY_S

    def rise(self, source: RegionName) -> RiseLimit:
        """Return the limit on the growth of traffic from a source region."""
        return self.rise_limits.setdefault(source, RiseLimit())
