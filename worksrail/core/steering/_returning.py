"""Tells refused callers when to come back, and knows them when they do."""

from typing import Final

from worksrail.core.identity import ServiceName
from worksrail.core.overload import (
    NoCapacity,
    RetrySchedule,
    Return,
    RouteDeadlines,
    SlotForecast,
    UsualUsage,
)
from worksrail.core.results import ResultCode
from worksrail.core.steering._congestion import current_slot_usage
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._scarcity import is_contended
from worksrail.core.steering.state import SteeringState

# Shortest delay in seconds that callers are told while slots are short.
_MIN_DELAY: Final = 0.5
# Seconds after its first attempt from which a caller counts as having waited.
_MIN_ELAPSED: Final = 0.25
# Share of the time for which callers obey in which promises fall.  Those who
# get none are spread over the last part of that time, in which a burst has most
# likely ended.
_PROMISED_SHARE: Final = 0.92
_UNPROMISED_SHARE: Final = 0.75
# Executions for which time must be left when a caller comes back.
_EXECUTIONS_LEFT: Final = 2.0
# Share of the slots in use from which they count as short.
_SHORT_USAGE: Final = 0.9
# Share of the slots usually in use from which they are always short.
_LASTING_USAGE: Final = 0.85
_WANTS_SLOT: Final = frozenset(
    (ResultCode.QUEUE_FULL, ResultCode.UPSTREAM_SHED, ResultCode.NO_SLOT)
)


def record_caller(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> None:
    """Note whether the caller has been refused before, and has waited."""
    _recognize(state, request, now)
    usual = _usual_usage_of(state, request)
    request.in_burst = usual.average < _LASTING_USAGE
    outstanding = _schedule_of(state, request).outstanding(now)
    if outstanding:
        usual.record_shortage(now)
        if _gives_way(state, request, now):
            request.promised = outstanding / _forecast(state, request).capacity
    if usual.is_due(now):
        _record_usage(state, request.service, usual, now)
    _update_own_share(state, now)


def _recognize(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> None:
    """Note whether a request was refused before, and has waited as told.

    Entries tell each other what they refused.  Where all callers of a route
    allow the same time, a shorter one shows it as well.
    """
    promise = state.promises.take(request.fingerprint, now)
    elapsed = _elapsed(state, request)
    request.caller_retried = promise is not Return.UNKNOWN or elapsed > 0
    request.returned = promise is Return.DUE or elapsed >= _MIN_ELAPSED
    state.known_returns += request.returned


def _gives_way(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> bool:
    """Return whether a new request queues less for callers that come back.

    Where priorities or customers compete, the positions of requests decide.
    """
    return (
        not request.returned
        and not is_contended(state, request.service)
        and _slots_are_short(state, request, now)
    )


def retry_delay_of(
    state: SteeringState,
    request: SteeredRequest,
    code: ResultCode,
    now: float,
) -> float:
    """Return when a refused caller should come back; zero if slots are free."""
    if code not in _WANTS_SLOT or not _slots_are_short(state, request, now):
        return 0
    _usual_usage_of(state, request).record_shortage(now)
    left = request.deadline - now
    execution = _execution_time(state, request)
    usable = min(
        left * state.settings.bounds.obeyed_share,
        left - execution * _EXECUTIONS_LEFT,
    )
    last = usable * _PROMISED_SHARE
    delay = _schedule_of(state, request).promise(
        _forecast(state, request), now, (_MIN_DELAY, last), state.rng
    )
    if isinstance(delay, NoCapacity):
        delay = state.rng.uniform(usable * _UNPROMISED_SHARE, usable)
    return max(0, round(delay, 3))


def _slots_are_short(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> bool:
    """Return whether the service has slots, nearly all of them in use."""
    service = request.service
    return (
        state.catalog.slots_of(service) > 0
        and current_slot_usage(state, service, now) >= _SHORT_USAGE
    )


def _forecast(state: SteeringState, request: SteeredRequest) -> SlotForecast:
    slots = state.catalog.slots_of(request.service) * state.own_share.average
    return SlotForecast(
        slots / _execution_time(state, request),
        _usual_usage_of(state, request).average,
    )


def _record_usage(
    state: SteeringState,
    service: ServiceName,
    usual: UsualUsage,
    now: float,
) -> None:
    slots = state.catalog.slots_of(service)
    if not slots:
        return
    used = 0
    in_flight = 0
    for one in state.catalog.usable(service):
        load = state.loads.loads.get(one.name)
        if load:
            used += min(load.in_flight, one.record.slots)
            in_flight += load.in_flight
    usual.record(used / slots, in_flight / slots, now)


def _update_own_share(state: SteeringState, now: float) -> None:
    # The request that has just arrived counts half.
    own = max(0, state.arrivals.rate(now) - 0.5 / state.arrivals.seconds)
    state.own_share.update(
        own,
        lambda: [one.contact.rate for one in state.fleet.alive(now)],
        now,
    )


def _execution_time(state: SteeringState, request: SteeredRequest) -> float:
    times = state.warm_keys.times_of(request.route, request.service)
    typical = state.typical_time(request.service, times.warm.typical).typical
    # Entries learn late what others send, so they take times for executions
    # that were spent in queues in part.
    in_slots = _usual_usage_of(state, request).share_in_slots
    return min(typical, times.warm.typical) * in_slots


def _elapsed(state: SteeringState, request: SteeredRequest) -> float:
    """Return the seconds since the first attempt; zero if none is known."""
    left = request.head.time_left
    if left is None:
        return 0
    deadlines = state.deadlines.setdefault(request.route.name, RouteDeadlines())
    deadlines.record(left)
    return deadlines.elapsed(left)


def _usual_usage_of(
    state: SteeringState,
    request: SteeredRequest,
) -> UsualUsage:
    return state.usual_usage.setdefault(request.service, UsualUsage())


def _schedule_of(
    state: SteeringState,
    request: SteeredRequest,
) -> RetrySchedule:
    return state.retries.setdefault(request.service, RetrySchedule())
