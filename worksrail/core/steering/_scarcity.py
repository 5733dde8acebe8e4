"""Decides which requests get the slots of a service that is short of them.

The load that this answers: for a while, more is asked of a service than it has
slots.  Whoever queues then delays all others, so a request may queue only as
far as its priority and the share of its customer entitle it to a slot.  Others
are still served by slots that would stay idle.
"""

from collections.abc import Iterable
from functools import partial
from math import inf
from typing import Final

from worksrail.core.customers import CustomerName
from worksrail.core.identity import ServiceName
from worksrail.core.overload import (
    AdvertisedDemand,
    DemandKey,
    SlotShares,
    SlotTime,
)
from worksrail.core.steering._backing_off import slots_backing_off
from worksrail.core.steering._congestion import current_slot_usage
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._routes import RoutingConfiguration
from worksrail.core.steering._service_load import (
    NOT_SHORT,
    ServiceLoad,
    service_load,
)
from worksrail.core.steering.events import AttemptEnded, AttemptOutcome
from worksrail.core.steering.state import SteeringState

# Stands for all routes of a service among the times that requests hold slots.
_ALL_ROUTES: Final = ''
# Positions from which a request may queue for less than its permitted wait,
# and from which it may not queue at all.  The demand is known to about a tenth:
# it is an average over a second and others advertise theirs once a second.
_FULL_WAIT_POSITION: Final = 0.7
_NO_WAIT_POSITION: Final = 1.3
# Demand over the slots from which entries advertise it, so that all of them
# know it before slots run short.
_ADVERTISED_DEMAND: Final = 0.8
# Seconds between two advertisements.
_ADVERTISED_EVERY: Final = 0.9
# Multiple of the slots that an entry's reported rate of requests would occupy,
# plus a number of slots, up to which its advertised demand counts.
_MAX_DEMAND_FACTOR: Final = 1.5
_MAX_DEMAND_EXTRA: Final = 1.0


def record_demand(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> None:
    """Count a request of a caller, and determine its position."""
    if not is_contended(state, request.service):
        return
    seconds = slot_time(state, request).seconds
    state.demand.record(request.service, _key(request), seconds, now)
    request.position = position_of(state, request, now)


def position_of(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> float:
    """Return the demand that goes before a request, over the usable slots.

    Zero is the first place; requests above one are beyond the slots.
    """
    if not is_contended(state, request.service):
        return 0
    # A request that came back when it was told to has waited for its place.
    draw = 0 if request.returned else state.rng.random()
    return current_shares(state, request.service, now).position(
        _key(request), draw
    )


def current_shares(
    state: SteeringState,
    service: ServiceName,
    now: float,
) -> SlotShares:
    """Return how the usable slots of a service are shared at present."""
    shares = state.demand.current_shares(service, now)
    if shares is None:
        slots = state.catalog.slots_of(service)
        if state.rates.backoffs.by_upstream:
            slots -= slots_backing_off(state, service, now)
        shares = state.demand.update_shares(
            service, slots, partial(_weight_of, state), now
        )
    return shares


def wait_factor(position: float) -> float:
    """Return the share of its permitted wait that a request may queue.

    >>> wait_factor(0.5), wait_factor(2)
    (1, 0)
    """
    width = _NO_WAIT_POSITION - _FULL_WAIT_POSITION
    return min(1, max(0, (_NO_WAIT_POSITION - position) / width))


def is_contended(state: SteeringState, service: ServiceName) -> bool:
    """Return whether requests for a service differ in priority or customer."""
    configuration = state.configuration
    if not isinstance(configuration, RoutingConfiguration):
        return False
    return service in configuration.contended_services


def slot_time(state: SteeringState, request: SteeredRequest) -> SlotTime:
    """Return the estimate for how long such a request occupies a slot."""
    key = (request.route.name, request.service)
    known = state.slot_times.get(key)
    if known is None:
        known = SlotTime.from_guess(_service_time(state, request).seconds)
        state.slot_times[key] = known
    return known


def max_slot_time(state: SteeringState, request: SteeredRequest) -> float:
    """Return for how many seconds such a request occupies a slot at most.

    Infinite where that is not measured.
    """
    if not is_contended(state, request.service):
        return inf
    return slot_time(state, request).seconds


def _service_time(state: SteeringState, request: SteeredRequest) -> SlotTime:
    """Return the estimate over all routes of the request's service."""
    key = (_ALL_ROUTES, request.service)
    known = state.slot_times.get(key)
    if known is None:
        times = state.warm_keys.times_of(request.route, request.service)
        known = SlotTime.from_guess(times.warm.typical)
        state.slot_times[key] = known
    return known


def contended_load(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> ServiceLoad:
    """Return the load of a request's service if others compete with it."""
    if not is_contended(state, request.service):
        return NOT_SHORT
    seconds = slot_time(state, request).seconds
    return service_load(state, request.service, seconds, now)


def has_slots_free(state: SteeringState) -> bool:
    """Return whether no service is known to be short of slots."""
    return not any(load.is_short for load in state.service_loads.values())


def record_slot_time(
    state: SteeringState,
    request: SteeredRequest,
    event: AttemptEnded,
) -> None:
    """Learn from an answer for how long its request occupied a slot.

    The rest of the time it queued.  Over many requests, the share of time in a
    slot is the share of requests in flight that are in slots.
    """
    if event.outcome is not AttemptOutcome.ANSWERED:
        return
    if not is_contended(state, request.service):
        return
    share = contended_load(state, request, event.now).share_in_slots
    elapsed = event.now - request.current.sent_at
    _service_time(state, request).add(elapsed, share)
    slot_time(state, request).add(elapsed, share)


def receive_demand(
    state: SteeringState,
    source: str,
    advertised: Iterable[AdvertisedDemand],
    rate: float,
    now: float,
) -> None:
    """Apply what an entry of the own zone or another zone advertises.

    ``rate`` is the requests per second that arrive there.
    """
    state.demand.receive(
        source, advertised, partial(_max_demand, state, rate), now
    )


def demand_to_advertise(
    state: SteeringState,
    now: float,
    *,
    to_new: bool,
) -> tuple[AdvertisedDemand, ...]:
    """Return the own demand for services that are short of slots, if due.

    It always is for an entry that has just been met.
    """
    state.demand.prune(now)
    if now - state.demand.advertised_at < _ADVERTISED_EVERY and not to_new:
        return ()
    advertised = state.demand.advertise(_short_services(state, now), now)
    if advertised:
        state.demand.advertised_at = now
    return advertised


def zone_demand_to_advertise(
    state: SteeringState,
    peers: list[str],
    now: float,
    *,
    to_new: bool,
) -> tuple[AdvertisedDemand, ...]:
    """Return the demand of the own zone likewise."""
    advertised_at = state.demand.zone_advertised_at
    if now - advertised_at < _ADVERTISED_EVERY and not to_new:
        return ()
    advertised = state.demand.advertise_zone(
        _short_services(state, now), peers, now
    )
    if advertised:
        state.demand.zone_advertised_at = now
    return advertised


def _short_services(state: SteeringState, now: float) -> list[ServiceName]:
    return [
        service
        for service in sorted(state.demand.services())
        if is_contended(state, service)
        and (
            current_slot_usage(state, service, now) >= _ADVERTISED_DEMAND
            or current_shares(state, service, now).total >= _ADVERTISED_DEMAND
        )
    ]


def _max_demand(
    state: SteeringState, rate: float, service: ServiceName
) -> float:
    times = [
        known.seconds
        for (_, name), known in state.slot_times.items()
        if name == service
    ]
    longest = max(times, default=0)
    return rate * longest * _MAX_DEMAND_FACTOR + _MAX_DEMAND_EXTRA


def _key(request: SteeredRequest) -> DemandKey:
    return DemandKey(request.priority, request.customer_name)


def _weight_of(state: SteeringState, customer: CustomerName) -> float:
    configuration = state.configuration
    if not isinstance(configuration, RoutingConfiguration):
        return 1
    table = configuration.customers
    return table.weight_of(customer) if table else 1
