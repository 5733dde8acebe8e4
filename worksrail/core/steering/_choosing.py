"""Chooses the upstream with the least estimated cost for a request."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from math import inf
from typing import Final

from worksrail.core.identity import RegionName
from worksrail.core.pacing import Permission
from worksrail.core.results import ResultCode
from worksrail.core.steering._affinity import Homes
from worksrail.core.steering._backing_off import BackoffFilter
from worksrail.core.steering._catalog import Upstream
from worksrail.core.steering._cold_limits import cold_senders
from worksrail.core.steering._congestion import (
    current_slot_usage,
    service_congestion_price,
    upstream_congestion_price,
)
from worksrail.core.steering._load import (
    MIN_SLOWNESS,
    LatencyEwma,
    UpstreamLoad,
)
from worksrail.core.steering._max_wait import max_wait
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._routes import (
    RouteKind,
    RoutingConfiguration,
    ServicePolicy,
)
from worksrail.core.steering._scarcity import (
    contended_load,
    max_slot_time,
    wait_factor,
)
from worksrail.core.steering._service_load import ServiceLoad
from worksrail.core.steering._stated_load import ServiceReports
from worksrail.core.steering._tokens import may_ask_for_token
from worksrail.core.steering._warm_keys import RouteTimes
from worksrail.core.steering.state import SteeringState

# Initial estimates of the round-trip time to another region and within the
# own one, used until connections have been measured; seconds.
_INITIAL_FAR_RTT: Final = 0.05
_INITIAL_NEAR_RTT: Final = 0.001
# Seconds added to the cost of a download from another region: a large answer
# takes several round trips, and traffic between regions is the most expensive.
_CROSS_REGION_DOWNLOAD_COST: Final = 0.15
# Seconds added to the cost of another zone of the own region, since traffic
# between zones is charged.
_CROSS_ZONE_COST: Final = 0.004
# Share of the cold penalty at a secondary home of the key that has served the
# key from this entry recently.
_RECENTLY_SERVED_PENALTY: Final = 0.15
# Multiple of the cold penalty at an upstream that is not a home of the key.
_NON_HOME_PENALTY: Final = 4.0
# Cost of a failed answer, in target latencies: a failed request has lost its
# whole value, a late one only most of it.
_FAILURE_COST: Final = 3.0
# Cost of a rejection, in target latencies: it uses up one of the few repeats,
# or the request is refused.
_REJECTION_COST: Final = 1.0
# Share of a service's slots in use from which a key is no longer sent to its
# secondary home because of a queue at the primary one: cold executions would
# take slots from warm ones.
_FULL_USAGE: Final = 0.85
# Maximum number of upstreams evaluated for one request besides its homes.
# They are sampled anew for each request: the best of such a sample is about as
# good as the best of all.
_MAX_CANDIDATES: Final = 128
# Upstreams evaluated for a request besides as many as the entry has requests
# in flight at the service, if slots are short.
_MIN_CANDIDATES: Final = 2
# Probability that a request leaves its token to more urgent ones while those
# are refused.
_YIELD_PROBABILITY: Final = 0.9
# Seconds added to the cost of an upstream whose queue has no place left: it
# would reject the request.
_FULL_QUEUE_COST: Final = 1000.0
# Minimum slowness assumed of a cold upstream.
_COLD_SLOWNESS: Final = 2.0


@dataclass(frozen=True, slots=True)
class Choice:
    """The upstream chosen for an attempt, and the estimates behind it."""

    upstream: Upstream
    """Upstream that the request is sent to."""

    cost: float
    """Estimated cost in seconds, preferences and penalties included."""

    wait: float
    """Expected seconds in the queue for a slot."""

    latency: float
    """Expected seconds of execution and round trip, without the queue."""

    queue: float
    """Queued requests ahead of it for each slot."""

    warm: bool
    """Whether the key is expected to be warm there."""

    pace: float = 1
    """Pace of the upstream that the estimates assume; 1 is as usual."""


@dataclass(slots=True)
class _CostModel:
    """The inputs of one decision that are the same for all upstreams."""

    state: SteeringState
    request: SteeredRequest
    now: float

    warm_time: float
    """Seconds of an execution on the route whose key is warm."""

    execution_time: float
    """Average seconds of an execution at the service, over all routes."""

    times: RouteTimes
    """Execution times of the route."""

    cold_penalty: float
    """Extra seconds of an execution whose key is cold."""

    homes: Homes
    """Home upstreams of the key; empty if the request has no key."""

    recently_served: frozenset[str]
    """Upstreams that have served the key from this entry recently."""

    congestion_price: float
    """Price of a second of execution, by the use of the service's slots."""

    slots_used: float
    """Requests in flight at the service over its slots."""

    policy: ServicePolicy | None
    """Policy of the service, if a configuration is in force."""

    failure_cost: float
    """Cost of a failed answer in seconds."""

    rejection_cost: float
    """Cost of a rejection in seconds."""

    has_limits: bool
    """Whether any upstream has named a limit."""

    service_load: ServiceLoad
    """Load of the service if requests compete for its slots."""

    backing_off: BackoffFilter
    """Excludes upstreams that have asked for a backoff."""

    reports: ServiceReports | None
    """What reports of the service's upstreams show; None if there are none."""

    yields: bool = False
    """Whether the request leaves tokens to more urgent ones."""

    limited: list[str] = field(default_factory=list)
    """Upstreams skipped for want of a token."""

    @classmethod
    def from_request(
        cls,
        state: SteeringState,
        request: SteeredRequest,
        now: float,
    ) -> '_CostModel':
        """Collect the inputs of the decision."""
        key = request.affinity_key
        service = request.service
        times = state.warm_keys.times_of(request.route, service)
        slots_used = current_slot_usage(state, service, now)
        longest = max_slot_time(state, request)
        policy = None
        if isinstance(state.configuration, RoutingConfiguration):
            policy = state.configuration.services.get(service)
        return cls(
            state,
            request,
            now,
            min(times.warm.typical, longest),
            min(
                state.typical_time(service, times.warm.typical).typical,
                longest,
            ),
            times,
            times.cold_penalty if key else 0,
            _homes(state, request) if key else (),
            state.warm_keys.warm_upstreams(service, key, now),
            service_congestion_price(slots_used),
            slots_used,
            policy,
            request.route.target_latency * _FAILURE_COST,
            request.route.target_latency * _REJECTION_COST,
            state.rates.named.has_limits,
            contended_load(state, request, now),
            BackoffFilter.from_request(state, request, now),
            state.loads.services.get(service),
            _yields_tokens(state, request, now),
        )

    def evaluate(
        self, upstream: Upstream, max_cost: float = inf
    ) -> Choice | None:
        """Estimate the cost of sending the request to an upstream.

        Returns None if that is not below ``max_cost``, the least cost found so
        far.  Every term is non-negative, so the evaluation of most upstreams
        ends early.
        """
        load = self.state.loads.of(upstream.name)
        occupancy = self._occupancy(upstream, load)
        queue = _queue_per_slot(upstream, occupancy)
        pace = self._pace(load, queue)
        slowness = max(MIN_SLOWNESS, self._slowness(upstream, load) * pace)
        penalty = self._cold_penalty(upstream.name)
        execution = (self.warm_time + penalty) * slowness
        wait = queue * self.execution_time * slowness
        latency = execution + region_rtt(self.state, upstream.region).typical
        cost = wait + latency + self._locality_cost(upstream)
        if cost + execution * self.congestion_price >= max_cost:
            return None
        cost += self._risk_cost(upstream, load, execution, occupancy)
        if queue and self._is_full(upstream, load, occupancy):
            cost += _FULL_QUEUE_COST
            wait = inf
        if cost >= max_cost:
            return None
        return Choice(upstream, cost, wait, latency, queue, penalty == 0, pace)

    def min_cost_elsewhere(self) -> float:
        """Lower bound of the cost at upstreams that are no home of the key."""
        least_execution = (
            self.warm_time + self.cold_penalty * _NON_HOME_PENALTY
        ) * MIN_SLOWNESS
        return least_execution * (1 + self.congestion_price)

    def allows(self, upstream: Upstream) -> bool:
        """Whether the upstream may receive this request now."""
        if upstream.name in self.request.tried:
            return False
        regions = self.request.regions
        if regions and upstream.region not in regions:
            return False
        if not self.backing_off.allows(upstream.name):
            return False
        if upstream.cold_until > self.now and self.policy is not None:
            if not self._cold_allows(upstream, self.policy.cold_rate):
                return False
        return self._limit_allows(upstream.name)

    def _slowness(self, upstream: Upstream, load: UpstreamLoad) -> float:
        measured = self.service_load.normal_slowness(
            load.current_slowness(self.now)
        )
        if upstream.cold_until > self.now:
            return max(measured, _COLD_SLOWNESS)
        return measured

    def _risk_cost(
        self,
        upstream: Upstream,
        load: UpstreamLoad,
        execution: float,
        occupancy: float,
    ) -> float:
        """Cost of tokens, failures and the delay of other requests."""
        used = occupancy / max(1, upstream.record.slots)
        cost = self._token_wait(upstream)
        cost += load.current_failure_rate(self.now) * self.failure_cost
        cost += load.current_rejection_rate(self.now) * self.rejection_cost
        return cost + execution * (
            upstream_congestion_price(used) + self.congestion_price
        )

    def _occupancy(self, upstream: Upstream, load: UpstreamLoad) -> float:
        """Estimate the requests of all entries at the upstream."""
        slots = max(1, upstream.record.slots)
        others = self.service_load.in_flight_at(0, load.others, slots)
        return load.occupancy(self.now, others)

    def _pace(self, load: UpstreamLoad, queue: float) -> float:
        """Return the stated pace as far as it holds when execution starts."""
        if self.reports is None or load.stated is None:
            return 1
        start = self.now + queue * self.execution_time
        return load.current_pace(start, self.reports.lifetime.seconds)

    def _is_full(
        self, upstream: Upstream, load: UpstreamLoad, occupancy: float
    ) -> bool:
        """Whether the queue has no place left for the request."""
        slots = max(1, upstream.record.slots)
        if self.reports is None or occupancy < slots:
            return False
        delay = region_rtt(self.state, upstream.region).typical
        unseen = load.unseen_sends(slots, self.execution_time, delay, self.now)
        places = self.reports.places
        max_occupancy = places.max_occupancy(slots, unseen, self.now)
        return occupancy >= max_occupancy

    def _cold_penalty(self, name: str) -> float:
        if not self.homes or name == self.homes[0]:
            return 0
        if name not in self.homes:
            return self.cold_penalty * _NON_HOME_PENALTY
        penalty = self.times.penalty(self.homes.index(name) + 1)
        if name in self.recently_served:
            return min(self.cold_penalty * _RECENTLY_SERVED_PENALTY, penalty)
        return penalty

    def _token_wait(self, upstream: Upstream) -> float:
        """Seconds until a token arrives, if one has to be requested."""
        pacer = self.state.rates.named
        asked = pacer.permission(upstream.name, self.now)
        if asked is Permission.TOKEN_NEEDED:
            return region_rtt(self.state, upstream.region).typical
        return 0

    def _locality_cost(self, upstream: Upstream) -> float:
        settings = self.state.settings
        if upstream.region != settings.region:
            if self.request.route.kind is RouteKind.DOWNLOAD:
                return _CROSS_REGION_DOWNLOAD_COST
            return 0
        return 0 if upstream.record.zone == settings.zone else _CROSS_ZONE_COST

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
        senders = cold_senders(
            upstream.name,
            [own, *state.fleet.entries_in_region(region, self.now)],
            rate,
            state.settings.bounds,
        )
        if own not in senders:
            return False
        return state.rates.cold.allows(
            upstream.name, rate, len(senders), self.now
        )


def _queue_per_slot(upstream: Upstream, occupancy: float) -> float:
    """Return the queued requests ahead of a further one, for each slot."""
    slots = max(1, upstream.record.slots)
    return max(0, occupancy + 1 - slots) / slots


def choose(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> Choice | ResultCode:
    """Choose the upstream for the next attempt, or say why there is none."""
    model = _CostModel.from_request(state, request, now)
    best = _best_home(model) or _best_of_some(model) or _best_of_all(model)
    if model.limited:
        # The homes of the key are checked first, so this is one of them if
        # any of them was limited.
        state.rates.named.add_demand(model.limited[0])
    if best is None:
        if model.limited:
            state.rates.named.add_demand(state.rng.choice(model.limited))
            state.rates.refused.record(request.priority, now)
            return ResultCode.UPSTREAMS_LIMITED
        if model.backing_off.excluded:
            state.rates.refused_in_backoff.record(request.priority, now)
            return ResultCode.UPSTREAMS_BACKING_OFF
        return _code_without_upstreams(state, request)
    if _is_in_time(model, best):
        return best
    return _best_home_in_time(model) or ResultCode.QUEUE_FULL


def _code_without_upstreams(
    state: SteeringState,
    request: SteeredRequest,
) -> ResultCode:
    catalog = state.catalog
    if request.service not in catalog.services and any(
        upstream.record.service == request.service
        for name, upstream in catalog.upstreams.items()
        if name in catalog.leaving
    ):
        return ResultCode.UPSTREAMS_LEAVING
    return ResultCode.NO_SLOT


def region_rtt(state: SteeringState, region: RegionName) -> LatencyEwma:
    """Return the average round-trip time to a region."""
    rtt = state.region_rtts.get(region)
    if rtt is None:
        near = region == state.settings.region
        rtt = LatencyEwma(_INITIAL_NEAR_RTT if near else _INITIAL_FAR_RTT)
        state.region_rtts[region] = rtt
    return rtt


def rank_of_home(
    state: SteeringState, request: SteeredRequest, name: str
) -> int:
    """Return the position of an upstream among the homes of the key.

    It is 1 for the primary home, and 0 if the upstream is none or if the
    request has no key.
    """
    if not request.affinity_key:
        return 0
    homes = _homes(state, request)
    return homes.index(name) + 1 if name in homes else 0


def _yields_tokens(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> bool:
    """Decide whether a request leaves scarce tokens to more urgent ones.

    Some of the less urgent requests do not yield, so that none starve.
    """
    if not state.rates.refused.is_needed(request.priority, now):
        return False
    return state.rng.random() < _YIELD_PROBABILITY


def _best_home(model: _CostModel) -> Choice | None:
    """Return the best home of the key if no other upstream can cost less.

    The other upstreams, of which a service may have hundreds, need not be
    evaluated if even the fastest of them without a queue would cost more.
    """
    best = _best(model, _home_candidates(model))
    if best is None or best.cost > model.min_cost_elsewhere():
        return None
    return best


def _home_candidates(model: _CostModel) -> Iterator[Upstream]:
    return _candidates(model, _home_upstreams(model), ejected=False)


def _home_upstreams(model: _CostModel) -> list[Upstream]:
    known = model.state.catalog.upstreams
    return [known[name] for name in model.homes]


def _is_in_time(model: _CostModel, choice: Choice) -> bool:
    position = model.request.position
    permitted = max_wait(model.request, choice.latency, model.now)
    # A queue at one upstream does not mean that slots are short.
    if model.service_load.is_short or position >= 1:
        permitted *= wait_factor(position)
    return choice.wait <= permitted


def _best_home_in_time(model: _CostModel) -> Choice | None:
    """Return the best home of the key whose queue is short enough.

    Keys are spread unevenly: one upstream has a queue while others have free
    slots.  The answer may be late, but the key is warm there from then on.
    """
    if model.slots_used >= _FULL_USAGE:
        return None
    choices = map(model.evaluate, _home_candidates(model))
    in_time = (
        choice for choice in choices if choice and _is_in_time(model, choice)
    )
    return min(in_time, key=_cost, default=None)


def _best_of_some(model: _CostModel) -> Choice | None:
    """Return the best of a few upstreams of the own region if it is in time.

    Where slots are short, entries that all evaluate all upstreams by the same
    outdated reports send to the same few of them at once.
    """
    load = model.service_load
    if model.homes or not load.is_short:
        return None
    region = model.state.settings.region
    near = [
        upstream
        for upstream in model.state.catalog.usable(model.request.service)
        if upstream.region == region
    ]
    count = _MIN_CANDIDATES + load.own
    if len(near) <= count:
        return None
    sampled = model.state.rng.sample(near, count)
    best = _best(model, _candidates(model, sampled, ejected=False))
    return best if best and _is_in_time(model, best) else None


def _best_of_all(model: _CostModel) -> Choice | None:
    usable = model.state.catalog.services.get(model.request.service, [])
    if len(usable) > _MAX_CANDIDATES:
        sampled = model.state.rng.sample(usable, _MAX_CANDIDATES)
        best = _best_among(model, (*_home_upstreams(model), *sampled))
        if best:
            return best
    return _best_among(model, usable)


def _best_among(
    model: _CostModel, upstreams: Sequence[Upstream]
) -> Choice | None:
    # If all are ejected, the request is sent to one of these anyway.
    for ejected in (False, True):
        best = _best(model, _candidates(model, upstreams, ejected=ejected))
        if best:
            return best
    return None


def _best(model: _CostModel, upstreams: Iterable[Upstream]) -> Choice | None:
    best: Choice | None = None
    for upstream in upstreams:
        choice = model.evaluate(upstream, best.cost if best else inf)
        best = choice or best
    return best


def _homes(state: SteeringState, request: SteeredRequest) -> Homes:
    times = state.warm_keys.times_of(request.route, request.service)
    return state.affinity.homes_of(
        state.catalog,
        state.region_shares,
        state.settings.region,
        request.service,
        request.affinity_key,
        request.regions,
        times.homes,
    )


def _candidates(
    model: _CostModel,
    upstreams: Iterable[Upstream],
    *,
    ejected: bool,
) -> Iterator[Upstream]:
    state = model.state
    for upstream in upstreams:
        load = state.loads.of(upstream.name)
        unavailable = (
            load.ejected_until > model.now
            or state.paths.zones.is_excluded(upstream.record.zone, model.now)
            or model.backing_off.avoids(upstream.name)
            or load.is_silent(
                model.execution_time, upstream.record.slots, model.now
            )
        )
        if unavailable is ejected:
            if model.allows(upstream):
                yield upstream


def _cost(choice: Choice) -> float:
    return choice.cost
