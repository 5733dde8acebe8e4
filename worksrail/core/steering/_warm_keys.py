"""Where affinity keys are warm, and how long warm and cold executions take."""

from dataclasses import dataclass, field
from typing import Final

from worksrail.core.identity import ServiceName
from worksrail.core.steering._load import LatencyEwma
from worksrail.core.steering._routes import Route

# Initial estimates of execution times as shares of a route's target latency,
# until times have been measured: operators set targets that a warm upstream
# meets and a cold one does not.
_INITIAL_WARM_SHARE: Final = 0.45
_INITIAL_COLD_SHARE: Final = 1.2
# Seconds for which an upstream is assumed to keep a key cached.
_KEY_TTL: Final = 20.0
_MAX_KEYS: Final = 10_000


@dataclass(slots=True)
class RouteTimes:
    """Execution times on one route."""

    warm: LatencyEwma
    """Average time where the key is warm."""

    cold: LatencyEwma
    """Average time where the key is cold."""

    @property
    def cold_penalty(self) -> float:
        """Extra seconds of an execution whose key is cold."""
        return max(0, self.cold.typical - self.warm.typical)


@dataclass(slots=True)
class WarmKeys:
    """Upstreams where keys are warm, and execution times of each route."""

    times: dict[tuple[str, ServiceName], RouteTimes] = field(
        default_factory=dict
    )
    """Execution times by route name and service."""

    served_at: dict[tuple[ServiceName, str], dict[str, float]] = field(
        default_factory=dict
    )
    """When each upstream last served a key for this entry."""

    def times_of(self, route: Route, service: ServiceName) -> RouteTimes:
        """Return the execution times of a route at one of its services."""
        times = self.times.get((route.name, service))
        if times is None:
            times = RouteTimes(
                LatencyEwma(route.target_latency * _INITIAL_WARM_SHARE),
                LatencyEwma(route.target_latency * _INITIAL_COLD_SHARE),
            )
            self.times[route.name, service] = times
        return times

    def record_served(
        self,
        service: ServiceName,
        key: str,
        upstream: str,
        now: float,
    ) -> None:
        """Record that an upstream has served a key."""
        if len(self.served_at) > _MAX_KEYS:
            self.served_at.clear()
        self.served_at.setdefault((service, key), {})[upstream] = now

    def warm_upstreams(
        self,
        service: ServiceName,
        key: str,
        now: float,
    ) -> frozenset[str]:
        """Return the upstreams that served a key for this entry recently."""
        served_at = self.served_at.get((service, key), {})
        return frozenset(
            name for name, at in served_at.items() if now - at < _KEY_TTL
        )
