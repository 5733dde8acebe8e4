"""Which upstream a request goes to: the one that costs least time."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from worksrail.core.identity import RegionName
from worksrail.core.results import ResultCode
from worksrail.core.steering._catalog import Upstream
from worksrail.core.steering._load import LearnedTime
from worksrail.core.steering._routes import (
    RouteKind,
    RoutingConfiguration,
    ServicePolicy,
)
from worksrail.core.steering.state import SteeredRequest, SteeringState

# Seconds that a full upstream is thought worse than an idle one, so that
# equal choices go where there is more room.
_FULLNESS: Final = 0.06
# First guess of the way to another region and back, until connections teach
# better; seconds.
_FAR_GUESS: Final = 0.05
_NEAR_GUESS: Final = 0.001
# A large answer crosses regions in several round trips, and its bytes are
# the dearest: seconds that this is counted for.
_DOWNLOAD_ABROAD: Final = 0.15
# Seconds that another zone of the region is counted for; its bytes cost.
_OTHER_ZONE: Final = 0.004
# Share of the lost warmth that is counted where this entry has sent the key
# lately, though it is not the key's own upstream.
_SERVED_LOSS: Final = 0.15
# Times slower that a cold upstream is taken to be.
_COLD_SLOWNESS: Final = 2.0


@dataclass(frozen=True, slots=True)
class Choice:
    """The upstream for an attempt, and what it is expected to cost."""

    upstream: Upstream
    """Where to send it."""

    cost: float
    """Seconds, with what preferences add."""

    wait: float
    """Seconds for which it will wait for a slot."""

    work: float
    """Seconds of execution and way."""

    warm: bool
    """Whether its key should be warm there."""


@dataclass(slots=True)
class _Scale:
    """What is the same for all upstreams of one decision."""

    state: SteeringState
    request: SteeredRequest
    now: float
    warm: float
    loss: float
    ranks: dict[str, int]
    served: frozenset[str]
    policy: ServicePolicy | None

    @classmethod
    def from_request(
        cls,
        state: SteeringState,
        request: SteeredRequest,
        now: float,
    ) -> '_Scale':
        """Look up what the decision needs."""
        key = request.head.key if request.route.affinity else ''
        service = request.service
        times = state.warmth.of(request.route, service)
        ranks: dict[str, int] = {}
        served: frozenset[str] = frozenset()
        if key:
            ranked = state.affinity.ranks_of(state.catalog, service, key)
            ranks = ranked.rank
            served = state.warmth.warm_at(service, key, now)
        policy = None
        if isinstance(state.configuration, RoutingConfiguration):
            policy = state.configuration.services.get(service)
        return cls(
            state,
            request,
            now,
            times.warm.typical,
            times.loss if key else 0,
            ranks,
            served,
            policy,
        )

    def weigh(self, upstream: Upstream) -> Choice:
        """What it costs to send the request to an upstream."""
        load = self.state.loads.of(upstream.name)
        slots = max(1, upstream.record.slots)
        slowness = load.slowness_now(self.now)
        if upstream.cold_until > self.now:
            slowness = max(slowness, _COLD_SLOWNESS)
        warm = not self.ranks.get(upstream.name, 0)
        lost = self._lost(upstream.name, warm=warm)
        work = (self.warm + lost) * slowness
        over = max(0, load.in_flight + 1 - slots)
        wait = over / slots * self.warm * slowness
        way = distance(self.state, upstream.region)
        cost = wait + work + way.typical + self._preference(upstream)
        cost += _FULLNESS * load.in_flight / slots
        return Choice(upstream, cost, wait, work + way.typical, lost == 0)

    def allows(self, upstream: Upstream) -> bool:
        """Whether the upstream may get this request now."""
        if upstream.name in self.request.tried:
            return False
        regions = self.request.route.regions
        if regions and upstream.region not in regions:
            return False
        if upstream.cold_until <= self.now or self.policy is None:
            return True
        return self._cold_allows(upstream, self.policy.cold_rate)

    def _lost(self, name: str, *, warm: bool) -> float:
        if warm:
            return 0
        return self.loss * _SERVED_LOSS if name in self.served else self.loss

    def _preference(self, upstream: Upstream) -> float:
        settings = self.state.settings
        if upstream.region != settings.region:
            if self.request.route.kind is RouteKind.DOWNLOAD:
                return _DOWNLOAD_ABROAD
            return 0
        return 0 if upstream.record.zone == settings.zone else _OTHER_ZONE

    def _cold_allows(self, upstream: Upstream, rate: float) -> bool:
        region = self.state.settings.region
        if upstream.region != region:
            return False
        sharers = self.state.fleet.sharers(region)
        return self.state.cold.allows(upstream.name, rate, sharers, self.now)


def choose(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> Choice | ResultCode:
    """Choose the upstream for the next attempt of a request."""
    scale = _Scale.from_request(state, request, now)
    choices = [
        scale.weigh(upstream) for upstream in _candidates(scale, ejected=False)
    ]
    if not choices:
        # All are ejected, or there are none: the ejected ones are better
        # than nothing.
        choices = [
            scale.weigh(upstream)
            for upstream in _candidates(scale, ejected=True)
        ]
    if not choices:
        return ResultCode.NO_SLOT
    best = min(choices, key=_cost)
    if now + best.wait > request.deadline:
        return ResultCode.QUEUE_FULL
    return best


def distance(state: SteeringState, region: RegionName) -> LearnedTime:
    """Seconds to a region and back."""
    known = state.distances.get(region)
    if known is None:
        near = region == state.settings.region
        known = LearnedTime(_NEAR_GUESS if near else _FAR_GUESS)
        state.distances[region] = known
    return known


def _candidates(scale: _Scale, *, ejected: bool) -> Iterator[Upstream]:
    state = scale.state
    for upstream in state.catalog.usable(scale.request.service):
        load = state.loads.of(upstream.name)
        if (load.ejected_until > scale.now) is ejected:
            if scale.allows(upstream):
                yield upstream


def _cost(choice: Choice) -> float:
    return choice.cost
