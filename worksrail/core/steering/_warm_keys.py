"""Where affinity keys are warm, and how long executions take there."""

from dataclasses import dataclass, field
from typing import Final

from worksrail.core.identity import ServiceName
from worksrail.core.steering._load import LatencyEwma
from worksrail.core.steering._routes import Route

# First guesses as shares of a route's target latency, until answers teach
# better: operators set targets that a warm upstream meets and a cold one
# does not.
_WARM_GUESS: Final = 0.45
_COLD_GUESS: Final = 1.2
# Seconds for which an upstream is thought to remember a key.
_REMEMBERS: Final = 20.0
_KEYS: Final = 10_000


@dataclass(slots=True)
class RouteTimes:
    """Times of executions on one route."""

    warm: LatencyEwma
    """Where the key is warm."""

    cold: LatencyEwma
    """Where it is not."""

    @property
    def loss(self) -> float:
        """Seconds that a cold key costs."""
        return max(0, self.cold.typical - self.warm.typical)


@dataclass(slots=True)
class WarmKeys:
    """What this entry has learned of warm keys."""

    times: dict[tuple[str, ServiceName], RouteTimes] = field(
        default_factory=dict
    )
    """Times by route name and service."""

    served: dict[tuple[ServiceName, str], dict[str, float]] = field(
        default_factory=dict
    )
    """When each upstream last served a key from here."""

    def of(self, route: Route, service: ServiceName) -> RouteTimes:
        """Times of a route at one of its services."""
        times = self.times.get((route.name, service))
        if times is None:
            times = RouteTimes(
                LatencyEwma(route.target_latency * _WARM_GUESS),
                LatencyEwma(route.target_latency * _COLD_GUESS),
            )
            self.times[route.name, service] = times
        return times

    def note_served(
        self,
        service: ServiceName,
        key: str,
        upstream: str,
        now: float,
    ) -> None:
        """An upstream has served a key."""
        if len(self.served) > _KEYS:
            self.served.clear()
        self.served.setdefault((service, key), {})[upstream] = now

    def warm_at(
        self,
        service: ServiceName,
        key: str,
        now: float,
    ) -> frozenset[str]:
        """Upstreams that have served a key from here lately."""
        served = self.served.get((service, key), {})
        return frozenset(
            name for name, at in served.items() if now - at < _REMEMBERS
        )
