"""Life cycle of a request: placement, retries, refusal, answer."""

from collections.abc import Iterator
from typing import Final

from worksrail.core.customers import Customer, NoCustomer
from worksrail.core.identity import RegionName
from worksrail.core.results import ResultCode
from worksrail.core.steering._admitting import admit
from worksrail.core.steering._ending import abandon_other
from worksrail.core.steering._identifying import (
    allowed_regions,
    resolve_customer,
)
from worksrail.core.steering._learning import record_attempt
from worksrail.core.steering._named_limits import learn_limit
from worksrail.core.steering._path_evidence import record_path
from worksrail.core.steering._placing import (
    drop,
    give_back_unexecuted,
    place,
    refuse,
    retry_delay,
)
from worksrail.core.steering._quarantining import fingerprint_of, learn_crash
from worksrail.core.steering._repeating import (
    NEVER_SENT,
    NOT_EXECUTED,
    record_end,
    repeat_denial,
)
from worksrail.core.steering._reports import learn_end
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._request_log import (
    attempt_cancelled,
    caller_left,
    rejection_of,
    request_answered,
    request_failed,
    strays_of,
    version_of,
)
from worksrail.core.steering._returning import record_caller
from worksrail.core.steering._routes import (
    NoRoute,
    Route,
    RoutingConfiguration,
)
from worksrail.core.steering._scarcity import (
    record_demand,
    record_slot_time,
)
from worksrail.core.steering._stop_times import takes_requests
from worksrail.core.steering.effects import (
    AnswerResult,
    CancelAttempt,
    Decision,
    DecisionKind,
    Effect,
)
from worksrail.core.steering.events import (
    AttemptEnded,
    AttemptOutcome,
    CallerGone,
    PassEnded,
    RequestArrived,
)
from worksrail.core.steering.state import SteeringState

_FINAL_CODES: Final = {
    AttemptOutcome.NOT_CONNECTED: ResultCode.UPSTREAM_UNREACHABLE,
    AttemptOutcome.WITHDRAWN: ResultCode.NO_SLOT,
    AttemptOutcome.CANCELLED_UNSENT: ResultCode.UPSTREAM_UNREACHABLE,
    AttemptOutcome.NOT_EXECUTED: ResultCode.UPSTREAM_SHED,
    AttemptOutcome.OTHER_UPSTREAM: ResultCode.UPSTREAM_UNREACHABLE,
    AttemptOutcome.UNPROVEN: ResultCode.UNPROVEN_REFUSAL,
    AttemptOutcome.BROKE_BEFORE_ANSWER: ResultCode.UPSTREAM_BROKE,
    AttemptOutcome.BROKE_IN_ANSWER: ResultCode.UPSTREAM_BROKE,
    AttemptOutcome.SPOILED: ResultCode.SPOILED_ANSWER,
    AttemptOutcome.TIMED_OUT: ResultCode.UPSTREAM_TIMEOUT,
    AttemptOutcome.CANCELLED: ResultCode.UPSTREAM_TIMEOUT,
}


def on_arrival(
    state: SteeringState,
    event: RequestArrived,
) -> Iterator[Effect]:
    """Match a request to its route and place it, or refuse it."""
    state.arrivals.note(event.now)
    request = _resolve(state, event)
    if isinstance(request, ResultCode):
        retry_after = retry_delay(state) if _is_retryable(request) else 0
        yield Decision(
            DecisionKind.REQUEST_REFUSED,
            request.name,
            event.request,
            (('version', version_of(state)),),
        )
        yield AnswerResult(event.request, request, retry_after)
        return
    state.budgets.record_request(request.service, event.now)
    record_caller(state, request, event.now)
    if request.affinity_key:
        state.key_overlap.record_key(
            request.service, request.affinity_key, event.now
        )
    state.requests[event.request] = request
    record_demand(state, request, event.now)
    yield from admit(state, request, event.now)


def on_caller_gone(
    state: SteeringState,
    event: CallerGone,
) -> Iterator[Effect]:
    """Cancel the attempt if that is safe, and stop retrying."""
    request = state.requests.get(event.request)
    if request is None:
        return
    request.caller_gone = True
    yield caller_left(request, event.now)
    if request.number in state.rates.waiting:
        yield from drop(state, request)
        return
    # An execution that must not be repeated is allowed to finish: the caller
    # may rely on its side effects.
    if not request.route.idempotent:
        return
    for attempt in request.in_progress:
        yield attempt_cancelled(
            state, request, attempt, 'caller gone', event.now
        )
        yield CancelAttempt(request.number, attempt.number)


def on_attempt_ended(
    state: SteeringState,
    event: AttemptEnded,
) -> Iterator[Effect]:
    """Learn from an attempt, then finish the request or retry it."""
    request = state.requests.get(event.request)
    if request is None or not request.select(event.attempt):
        return
    if not request.current.upstream:
        return
    yield from strays_of(request, event)
    yield from _learn(state, request, event)
    if event.outcome is AttemptOutcome.ANSWERED:
        yield from conclude_answered(state, request, event)
    else:
        yield from conclude(state, request, event)


def conclude_answered(
    state: SteeringState,
    request: SteeredRequest,
    event: AttemptEnded | PassEnded,
) -> Iterator[Effect]:
    """Finish a request with the answer of the current attempt."""
    yield from abandon_other(state, request, event.now)
    ended = request.end_current(event.outcome.name)
    state.requests.pop(request.number)
    yield request_answered(request, ended, event.now, event.status)


def conclude(
    state: SteeringState,
    request: SteeredRequest,
    event: AttemptEnded,
) -> Iterator[Effect]:
    """Finish or retry a request after its current attempt without an answer.

    While another attempt is in progress, the request waits for that one.
    """
    ended = request.end_current(event.outcome.name)
    yield from record_end(request, ended, event)
    if request.under_way:
        if event.outcome in NEVER_SENT:
            state.budgets.give_back(request.service, event.now)
        return
    cancelled = event.outcome is AttemptOutcome.CANCELLED
    if request.caller_gone or (cancelled and not ended.lost):
        give_back_unexecuted(state, request)
        state.requests.pop(request.number)
        yield Decision(
            DecisionKind.REQUEST_DROPPED, event.outcome.name, request.number
        )
        return
    is_repeat = event.outcome not in NEVER_SENT
    denial = repeat_denial(state, request, event)
    if denial:
        yield from _finish(state, request, event, denial)
        return
    yield from place(state, request, event.now)
    if is_repeat and request.number not in state.requests:
        state.budgets.give_back(request.service, event.now)


def _learn(
    state: SteeringState,
    request: SteeredRequest,
    event: AttemptEnded,
) -> Iterator[Effect]:
    yield from rejection_of(state, request, event)
    learn_end(state, request, event)
    yield from record_attempt(state, request, event)
    yield from record_path(state, request, event)
    yield from learn_crash(state, request, event)
    record_slot_time(state, request, event)
    if event.limit:
        yield from learn_limit(state, request, event.limit)


def _resolve(
    state: SteeringState,
    event: RequestArrived,
) -> SteeredRequest | ResultCode:
    """Return the request with its route and customer, or why it is refused."""
    configuration = state.configuration
    if not isinstance(configuration, RoutingConfiguration):
        return ResultCode.NOT_READY
    route = _route(state, configuration, event)
    if isinstance(route, ResultCode):
        return route
    customer = resolve_customer(
        state, configuration, route, event.head, event.now
    )
    if isinstance(customer, ResultCode):
        return customer
    regions = allowed_regions(route, customer)
    if isinstance(regions, ResultCode):
        return regions
    return _new_request(state, event, route, customer, regions)


def _new_request(
    state: SteeringState,
    event: RequestArrived,
    route: Route,
    customer: Customer | NoCustomer,
    regions: frozenset[RegionName],
) -> SteeredRequest:
    allowed = route.timeout
    if event.head.time_left is not None:
        allowed = min(allowed, event.head.time_left)
    request = SteeredRequest(
        event.request,
        event.head,
        route,
        state.splits.choose(route),
        event.now,
        event.now + allowed,
        customer,
        regions,
    )
    request.fingerprint = fingerprint_of(state, request, event.body_digest)
    request.replayable = event.replayable
    return request


def _route(
    state: SteeringState,
    configuration: RoutingConfiguration,
    event: RequestArrived,
) -> Route | ResultCode:
    if state.exited:
        # Connections are closing, so a request that still arrives was never
        # started and is safe to refuse.
        return ResultCode.ENTRY_LEAVING
    if not takes_requests(state, event.now):
        return ResultCode.ENTRY_LEAVING
    route = configuration.match(event.head.host, event.head.target)
    if isinstance(route, NoRoute):
        return ResultCode.UNKNOWN_ROUTE
    return route


def _finish(
    state: SteeringState,
    request: SteeredRequest,
    event: AttemptEnded,
    denial: str,
) -> Iterator[Effect]:
    code = _FINAL_CODES[event.outcome]
    if event.outcome in NOT_EXECUTED:
        yield _repeat_denied(state, request, denial, event.now)
        if not request.maybe_executed:
            yield from refuse(state, request, code, event.now)
            return
        code = ResultCode.UPSTREAM_BROKE
    state.requests.pop(request.number)
    yield request_failed(request, code, event.now, denial)
    yield AnswerResult(request.number, code, sends=request.sends)


def _repeat_denied(
    state: SteeringState,
    request: SteeredRequest,
    denial: str,
    now: float,
) -> Decision:
    use = state.budgets.fleet_use(request.service, now)
    return Decision(
        DecisionKind.REPEAT_DENIED,
        denial,
        request.number,
        (
            ('service', request.service),
            ('outcome', request.last_outcome),
            ('from', request.last_upstream),
            ('left', round(use.left, 1)),
            ('reserved', use.own),
            ('reserved_by_all', round(use.total.reserved)),
            ('requests_of_all', round(use.requests)),
        ),
    )


def _is_retryable(code: ResultCode) -> bool:
    return code in {
        ResultCode.NOT_READY,
        ResultCode.ENTRY_LEAVING,
        ResultCode.KEY_UNCERTAIN,
    }
