"""Which upstream a request goes to: the one that costs least time."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from worksrail.core.identity import RegionName, ServiceName
from worksrail.core.results import ResultCode
from worksrail.core.steering._catalog import Upstream
from worksrail.core.steering._cold import sharers_of
from worksrail.core.steering._load import LearnedTime
from worksrail.core.steering._routes import (
    RouteKind,
    RoutingConfiguration,
    ServicePolicy,
)
from worksrail.core.steering.state import SteeredRequest, SteeringState

# Share of its slots from which an upstream counts as short of room.
_ROOMY: Final = 0.5
# Seconds of others' waiting that a second of work causes at an upstream all
# of whose slots are in use.
_CROWDING: Final = 1.0
# Share of a service's slots in use from which slots are short everywhere, and
# seconds of others' waiting for each second of work when all are in use.  It
# keeps requests at warm upstreams under load: cold ones use up several times
# as much, and a service that is full of cold work does not recover.
_SHORT: Final = 0.4
_SHORTAGE: Final = 3.0
# Share of the target latency that an answer should take, and the least share
# that may be spent waiting for a slot whatever the work takes.
_ON_TIME: Final = 0.9
_LEAST_WAIT: Final = 0.15
# Target latencies that a request which came back after a refusal may wait.
_RETURNED_WAIT: Final = 1.0
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
# Upstreams of each key, its own included, that it spills to first, and the
# lost warmth that is counted at others.  An upstream remembers a limited
# number of keys: when keys spill anywhere, each is soon cold everywhere.
_SPILL: Final = 2
_STRANGER_LOSS: Final = 4.0
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

    queue: float
    """Requests ahead of it for each slot, beyond those being executed."""

    warm: bool
    """Whether its key should be warm there."""


@dataclass(slots=True)
class _Scale:
    """What is the same for all upstreams of one decision."""

    state: SteeringState
    request: SteeredRequest
    now: float
    warm: float
    usual: float
    loss: float
    ranks: dict[str, int]
    served: frozenset[str]
    shortage: float
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
        policy = None
        if isinstance(state.configuration, RoutingConfiguration):
            policy = state.configuration.services.get(service)
        return cls(
            state,
            request,
            now,
            times.warm.typical,
            state.usual_time(service, times.warm.typical).typical,
            times.loss if key else 0,
            _ranks(state, request) if key else {},
            state.warmth.warm_at(service, key, now),
            _shortage(state, service),
            policy,
        )

    def weigh(self, upstream: Upstream) -> Choice:
        """What it costs to send the request to an upstream."""
        used = self.state.loads.of(upstream.name).in_flight
        slots = max(1, upstream.record.slots)
        slowness = self._slowness(upstream)
        lost = self._lost(upstream.name)
        work = (self.warm + lost) * slowness
        queue = max(0, used + 1 - slots) / slots
        wait = queue * self.usual * slowness
        own = work + distance(self.state, upstream.region).typical
        crowding = _excess(used / slots, _ROOMY) * _CROWDING
        cost = wait + own + self._preference(upstream)
        cost += work * (crowding + self.shortage)
        return Choice(upstream, cost, wait, own, queue, lost == 0)

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

    def _slowness(self, upstream: Upstream) -> float:
        learned = self.state.loads.of(upstream.name).slowness_now(self.now)
        if upstream.cold_until > self.now:
            return max(learned, _COLD_SLOWNESS)
        return learned

    def _lost(self, name: str) -> float:
        rank = self.ranks.get(name, 0)
        if not rank:
            return 0
        if rank >= _SPILL:
            return self.loss * _STRANGER_LOSS
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
        state = self.state
        own = state.settings.name
        sharers = sharers_of(
            upstream.name,
            [own, *state.fleet.sharers(region)],
            rate,
            state.settings.bounds,
        )
        if own not in sharers:
            return False
        return state.cold.allows(upstream.name, rate, len(sharers), self.now)


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
    if best.wait > patience(request, best, now):
        return ResultCode.QUEUE_FULL
    return best


def patience(request: SteeredRequest, choice: Choice, now: float) -> float:
    """Seconds for which a request may wait for a slot.

    A request that would wait longer is better refused at once: its caller
    can come back while an answer is still in time, and the slot serves
    another one in time.  One that has come back already may wait longer.
    """
    target = request.route.target_latency
    if request.returned:
        left = request.deadline - now - choice.work
        return min(left, target * _RETURNED_WAIT)
    left = request.arrived_at + target * _ON_TIME - now - choice.work
    return max(target * _LEAST_WAIT, left)


def distance(state: SteeringState, region: RegionName) -> LearnedTime:
    """Seconds to a region and back."""
    known = state.distances.get(region)
    if known is None:
        near = region == state.settings.region
        known = LearnedTime(_NEAR_GUESS if near else _FAR_GUESS)
        state.distances[region] = known
    return known


def _ranks(state: SteeringState, request: SteeredRequest) -> dict[str, int]:
    ranked = state.affinity.ranks_of(
        state.catalog, request.service, request.head.key
    )
    if request.route.kind is RouteKind.DOWNLOAD:
        return ranked.by_region
    return ranked.everywhere


def _shortage(state: SteeringState, service: ServiceName) -> float:
    slots = 0
    in_flight = 0
    for upstream in state.catalog.usable(service):
        slots += upstream.record.slots
        in_flight += state.loads.of(upstream.name).in_flight
    used = in_flight / slots if slots else 1
    return _SHORTAGE * _excess(used, _SHORT)


def _excess(used: float, roomy: float) -> float:
    """How far a use of slots is between a roomy share and all, 0 to 1."""
    return min(1, max(0, used - roomy) / (1 - roomy))


def _candidates(scale: _Scale, *, ejected: bool) -> Iterator[Upstream]:
    state = scale.state
    for upstream in state.catalog.usable(scale.request.service):
        load = state.loads.of(upstream.name)
        out = load.ejected_until > scale.now or load.is_silent(
            scale.usual, upstream.record.slots, scale.now
        )
        if out is ejected:
            if scale.allows(upstream):
                yield upstream


def _cost(choice: Choice) -> float:
    return choice.cost
