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
# Weight of an execution in the shares of warm ones: some slow machines look
# like cold keys, so a single one says little.
_WARMTH_WEIGHT: Final = 0.1
# Homes of each key that are always used, the primary one included, and at
# most.
MIN_HOMES: Final = 2
MAX_HOMES: Final = 4
# Share of warm executions at a home from which the next one is used: by then
# it has kept copies of many keys that it is not the primary home of.
_MIN_WARMTH: Final = 0.25
# Seconds for which an upstream is assumed to keep a key cached.
_KEY_TTL: Final = 20.0
_MAX_KEYS: Final = 10_000


def _no_warmth() -> list[float]:
    return [0 for _ in range(MIN_HOMES, MAX_HOMES + 1)]


@dataclass(slots=True)
class RouteTimes:
    """Execution times on one route, and how often its keys are warm."""

    warm: LatencyEwma
    """Average time where the key is warm."""

    cold: LatencyEwma
    """Average time where the key is cold."""

    primary_warmth: float = 1
    """Share of executions at primary homes whose key was warm."""

    spill_warmth: list[float] = field(default_factory=_no_warmth)
    """Share of executions at each further home, in their order, whose key was
    warm although this entry had not sent it there recently: other entries
    had."""

    @property
    def cold_penalty(self) -> float:
        """Extra seconds of an execution whose key is cold."""
        return max(0, self.cold.typical - self.warm.typical)

    @property
    def homes(self) -> int:
        """Number of homes that a key may spill to, the primary one included.

        A further home is used once keys are often warm at the one before: the
        load needs copies of keys, and upstreams have room for them.
        """
        count = MIN_HOMES
        for warmth in self.spill_warmth[:-1]:
            if warmth * self.primary_warmth < _MIN_WARMTH:
                break
            count += 1
        return count

    def penalty(self, home: int) -> float:
        """Return the extra seconds expected at a home, by its position.

        Upstreams that forget keys have no room for copies of them, so the
        share of warm executions at a further home counts only as far as
        primary homes keep their keys.
        """
        if home <= 1:
            return 0
        warmth = self.spill_warmth[home - MIN_HOMES] * self.primary_warmth
        return self.cold_penalty * (1 - warmth)

    def record_primary(self, execution: float) -> None:
        """Add an execution at the primary home of its key."""
        warm = self._is_warm(execution)
        self.primary_warmth += _WARMTH_WEIGHT * (warm - self.primary_warmth)

    def record_spill(self, home: int, execution: float) -> bool:
        """Add an execution at a further home of its key.

        Returns whether the key was warm there.
        """
        warm = self._is_warm(execution)
        position = home - MIN_HOMES
        before = self.spill_warmth[position]
        self.spill_warmth[position] += _WARMTH_WEIGHT * (warm - before)
        return warm

    def _is_warm(self, execution: float) -> bool:
        """Tell a warm execution from a cold one by the ratio to both times."""
        return execution**2 < self.warm.typical * self.cold.typical


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
