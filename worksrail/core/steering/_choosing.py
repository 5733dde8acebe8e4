"""Which upstream a request goes to: the one that costs least time."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from math import inf
from typing import Final

from worksrail.core.identity import RegionName
from worksrail.core.pacing import Permission
from worksrail.core.results import ResultCode
from worksrail.core.steering._affinity import Homes
from worksrail.core.steering._catalog import Upstream
from worksrail.core.steering._cold_limits import cold_senders
from worksrail.core.steering._congestion import (
    crowding,
    price_of,
    use_of_slots,
)
from worksrail.core.steering._load import FASTEST, LatencyEwma, UpstreamLoad
from worksrail.core.steering._max_wait import patience
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._routes import (
    RouteKind,
    RoutingConfiguration,
    ServicePolicy,
)
from worksrail.core.steering._tokens import may_ask_for_token
from worksrail.core.steering.state import SteeringState

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
# Lost warmth that is counted at an upstream that the key does not spill to.
_STRANGER_LOSS: Final = 4.0
# Target latencies that an answer which is no success is counted for: the
# request has lost all its worth, a late one only most of it.
_FAILURE_LOSS: Final = 3.0
# The same for a rejection: it takes one of few repeats, or the request is
# refused.
_REJECTION_LOSS: Final = 1.0
# Share of a service's slots in use, queues included, from which a key is not
# sent to another upstream for a queue at its own: cold work would take slots
# from warm.
_NO_ROOM: Final = 1.0
# Upstreams that are weighed for one request besides its homes, drawn anew each
# time: the best of so many is as good as any.
_MOST_WEIGHED: Final = 128
# Share of the less urgent requests that leave their tokens to more urgent ones
# while these are refused.
_YIELDING: Final = 0.9
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
    homes: Homes
    served: frozenset[str]
    shortage: float
    used: float
    policy: ServicePolicy | None
    failure_loss: float
    rejection_loss: float
    has_limits: bool
    yields: bool = False
    limited: list[str] = field(default_factory=list)

    @classmethod
    def from_request(
        cls,
        state: SteeringState,
        request: SteeredRequest,
        now: float,
    ) -> '_Scale':
        """Look up what the decision needs."""
        key = request.affinity_key
        service = request.service
        times = state.warm_keys.of(request.route, service)
        used = use_of_slots(state, service, now)
        policy = None
        if isinstance(state.configuration, RoutingConfiguration):
            policy = state.configuration.services.get(service)
        return cls(
            state,
            request,
            now,
            times.warm.typical,
            state.typical_time(service, times.warm.typical).typical,
            times.loss if key else 0,
            _homes(state, request) if key else (),
            state.warm_keys.warm_at(service, key, now),
            price_of(used),
            used,
            policy,
            request.route.target_latency * _FAILURE_LOSS,
            request.route.target_latency * _REJECTION_LOSS,
            state.rates.named.has_limits,
            _yields_tokens(state, request, now),
        )

    def weigh(self, upstream: Upstream, least: float = inf) -> Choice | None:
        """What it costs to send the request to an upstream.

        None if that is no less than the least so far.  Nothing that is added
        lowers a cost, so most upstreams need not be weighed to the end.
        """
        record = upstream.record
        load = self.state.loads.of(record.name)
        slots = max(1, record.slots)
        slowness = self._slowness(upstream, load)
        lost = self._lost(record.name)
        work = (self.warm + lost) * slowness
        queue = max(0, load.in_flight + 1 - slots) / slots
        wait = queue * self.usual * slowness
        own = work + distance(self.state, upstream.region).typical
        cost = wait + own + self._preference(upstream)
        if cost + work * self.shortage >= least:
            return None
        cost += self._token_wait(upstream)
        cost += load.failing_now(self.now) * self.failure_loss
        cost += load.rejecting_now(self.now) * self.rejection_loss
        cost += work * (crowding(load.in_flight / slots) + self.shortage)
        if cost >= least:
            return None
        return Choice(upstream, cost, wait, own, queue, lost == 0)

    def least_elsewhere(self) -> float:
        """No upstream that the key does not belong to costs less."""
        least_work = (self.warm + self.loss * _STRANGER_LOSS) * FASTEST
        return least_work * (1 + self.shortage)

    def allows(self, upstream: Upstream) -> bool:
        """Whether the upstream may get this request now."""
        if upstream.name in self.request.tried:
            return False
        regions = self.request.regions
        if regions and upstream.region not in regions:
            return False
        if upstream.cold_until > self.now and self.policy is not None:
            if not self._cold_allows(upstream, self.policy.cold_rate):
                return False
        return self._limit_allows(upstream.name)

    def _slowness(self, upstream: Upstream, load: UpstreamLoad) -> float:
        learned = load.current_slowness(self.now)
        if upstream.cold_until > self.now:
            return max(learned, _COLD_SLOWNESS)
        return learned

    def _lost(self, name: str) -> float:
        if not self.homes or name == self.homes[0]:
            return 0
        if name not in self.homes:
            return self.loss * _STRANGER_LOSS
        return self.loss * _SERVED_LOSS if name in self.served else self.loss

    def _token_wait(self, upstream: Upstream) -> float:
        """Seconds until a token comes, if one has to be asked for."""
        pacer = self.state.rates.named
        asked = pacer.permission(upstream.name, self.now)
        if asked is Permission.TOKEN_NEEDED:
            return distance(self.state, upstream.region).typical
        return 0

    def _preference(self, upstream: Upstream) -> float:
        settings = self.state.settings
        if upstream.region != settings.region:
            if self.request.route.kind is RouteKind.DOWNLOAD:
                return _DOWNLOAD_ABROAD
            return 0
        return 0 if upstream.record.zone == settings.zone else _OTHER_ZONE

    def _limit_allows(self, name: str) -> bool:
        if not self.has_limits and not self.yields:
            return True
        permission = self.state.rates.named.permission(name, self.now)
        if permission is Permission.GRANTED and not self.yields:
            return True
        if permission is Permission.TOKEN_NEEDED:
            if may_ask_for_token(self.request):
                return True
        self.limited.append(name)
        return False

    def _cold_allows(self, upstream: Upstream, rate: float) -> bool:
        region = self.state.settings.region
        if upstream.region != region or not self.state.settled(self.now):
            return False
        state = self.state
        own = state.settings.name
        sharers = cold_senders(
            upstream.name,
            [own, *state.fleet.entries_in_region(region)],
            rate,
            state.settings.bounds,
        )
        if own not in sharers:
            return False
        return state.rates.cold.allows(
            upstream.name, rate, len(sharers), self.now
        )


def choose(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> Choice | ResultCode:
    """Choose the upstream for the next attempt of a request."""
    scale = _Scale.from_request(state, request, now)
    best = _best_home(scale) or _best_of_all(scale)
    if scale.limited:
        # The key's own upstreams are weighed first.
        state.rates.named.add_demand(scale.limited[0])
    if best is None:
        if scale.limited:
            state.rates.named.add_demand(state.rng.choice(scale.limited))
            state.rates.refused[request.priority] = now
            return ResultCode.UPSTREAMS_LIMITED
        return ResultCode.NO_SLOT
    if _is_in_time(scale, best):
        return best
    return _other_home(scale) or ResultCode.QUEUE_FULL


def distance(state: SteeringState, region: RegionName) -> LatencyEwma:
    """Seconds to a region and back."""
    known = state.region_rtts.get(region)
    if known is None:
        near = region == state.settings.region
        known = LatencyEwma(_NEAR_GUESS if near else _FAR_GUESS)
        state.region_rtts[region] = known
    return known


def _yields_tokens(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> bool:
    """Whether a request leaves scarce tokens to more urgent ones.

    A part of the less urgent ones does not, so that none of them starves.
    """
    rates = state.rates
    if not rates.is_wanted_by_more_urgent(request.priority, now):
        return False
    return state.rng.random() < _YIELDING


def _best_home(scale: _Scale) -> Choice | None:
    """The best of the upstreams that the key belongs to, if no other wins.

    The others need not be weighed when even the fastest of them, without a
    wait, would cost more: a service may have hundreds.
    """
    best = _best(scale, _home_candidates(scale))
    if best is None or best.cost > scale.least_elsewhere():
        return None
    return best


def _home_candidates(scale: _Scale) -> Iterator[Upstream]:
    return _candidates(scale, _own_homes(scale), ejected=False)


def _own_homes(scale: _Scale) -> list[Upstream]:
    known = scale.state.catalog.upstreams
    return [known[name] for name in scale.homes]


def _is_in_time(scale: _Scale, choice: Choice) -> bool:
    return choice.wait <= patience(scale.request, choice.work, scale.now)


def _other_home(scale: _Scale) -> Choice | None:
    """The best of the key's upstreams at which it need not wait too long.

    Keys are drawn unevenly: one upstream has a queue while others have free
    slots.  The answer may be late, but the key is warm there from then on.
    """
    if scale.used >= _NO_ROOM:
        return None
    choices = map(scale.weigh, _home_candidates(scale))
    in_time = (
        choice for choice in choices if choice and _is_in_time(scale, choice)
    )
    return min(in_time, key=_cost, default=None)


def _best_of_all(scale: _Scale) -> Choice | None:
    usable = scale.state.catalog.services.get(scale.request.service, [])
    if len(usable) > _MOST_WEIGHED:
        drawn = scale.state.rng.sample(usable, _MOST_WEIGHED)
        best = _best_among(scale, (*_own_homes(scale), *drawn))
        if best:
            return best
    return _best_among(scale, usable)


def _best_among(scale: _Scale, upstreams: Sequence[Upstream]) -> Choice | None:
    # If all are ejected, these are better than nothing.
    for ejected in (False, True):
        best = _best(scale, _candidates(scale, upstreams, ejected=ejected))
        if best:
            return best
    return None


def _best(scale: _Scale, upstreams: Iterable[Upstream]) -> Choice | None:
    best: Choice | None = None
    for upstream in upstreams:
        choice = scale.weigh(upstream, best.cost if best else inf)
        best = choice or best
    return best


def _homes(state: SteeringState, request: SteeredRequest) -> Homes:
    return state.affinity.homes_of(
        state.catalog,
        state.region_shares,
        state.settings.region,
        request.service,
        request.affinity_key,
        request.regions,
    )


def _candidates(
    scale: _Scale,
    upstreams: Iterable[Upstream],
    *,
    ejected: bool,
) -> Iterator[Upstream]:
    state = scale.state
    for upstream in upstreams:
        load = state.loads.of(upstream.name)
        out = (
            load.ejected_until > scale.now
            or state.reachability.is_excluded(upstream.record.zone, scale.now)
            or load.is_silent(scale.usual, upstream.record.slots, scale.now)
        )
        if out is ejected:
            if scale.allows(upstream):
                yield upstream


def _cost(choice: Choice) -> float:
    return choice.cost
