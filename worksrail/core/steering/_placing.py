"""Sends a request to the chosen upstream, or refuses it."""

from collections.abc import Generator, Iterator
from typing import Final

from worksrail.core.limits import quota_name
from worksrail.core.pacing import Permission
from worksrail.core.quarantine import label
from worksrail.core.results import ResultCode
from worksrail.core.steering._attempt import Attempt
from worksrail.core.steering._backing_off import (
    delay_after_backoffs,
    record_return,
)
from worksrail.core.steering._choosing import Choice, choose, rank_of_home
from worksrail.core.steering._passing import (
    cannot_send,
    choose_entry,
    pass_on,
)
from worksrail.core.steering._quarantining import hold_time, record_sent
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._request_log import request_sent, version_of
from worksrail.core.steering._returning import retry_delay_of
from worksrail.core.steering._stop_times import exits_at
from worksrail.core.steering._tokens import (
    await_token,
    delay_until_token,
    obtain_token,
)
from worksrail.core.steering.effects import (
    AnswerResult,
    Decision,
    DecisionKind,
    Effect,
    SendUpstream,
)
from worksrail.core.steering.state import SteeringState

# Seconds beyond the upstream's deadline for which its answer is awaited, so
# that its own timeout answer can still arrive.
_ANSWER_MARGIN: Final = 0.1
# Minimum seconds before the deadline for an execution to be started.
_MIN_TIME_LEFT: Final = 0.02
# Seconds after which refused callers are asked to retry, multiplied by a
# random jitter and then capped.
_BASE_RETRY_DELAY: Final = 0.2
_MAX_RETRY_DELAY: Final = 1.0
_RETRY_JITTER: Final = (0.5, 1.5)


def place(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> Iterator[Effect]:
    """Send a request, pass it on, await a token for it, or refuse it."""
    if request.deadline - now < _MIN_TIME_LEFT:
        yield from refuse(state, request, ResultCode.DEADLINE_EXPIRED, now)
        return
    hold = hold_time(state, request, now)
    if hold:
        yield from refuse(
            state, request, ResultCode.REQUEST_HELD, now, delay=hold
        )
        return
    if cannot_send(state, request):
        is_placed = yield from _place_elsewhere(state, request, now)
        if is_placed:
            return
    choice, permission = _choose_permitted(state, request, now)
    if isinstance(choice, ResultCode):
        delay = _delay_of(state, request, choice, now)
        yield from refuse(state, request, choice, now, delay=delay)
    elif now + choice.wait + choice.latency > exits_at(state):
        yield from refuse(state, request, ResultCode.ENTRY_LEAVING, now)
    elif permission is Permission.TOKEN_NEEDED:
        yield from await_token(state, request, choice.upstream.name, now)
    else:
        yield from _send(state, request, choice, now)


def _place_elsewhere(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> Generator[Effect, None, bool]:
    """Pass a request on or refuse it; false if no entry has tried it."""
    if not _may_pass_on(state, request, now):
        yield from refuse(state, request, ResultCode.ENTRY_LEAVING, now)
        return True
    target = choose_entry(state, request, now)
    if target:
        yield from pass_on(state, request, target, now)
        return True
    if request.passed_to:
        code = ResultCode.UPSTREAM_UNREACHABLE
        yield from refuse(state, request, code, now)
        return True
    return False


def place_second(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> Iterator[Effect]:
    """Begin an attempt beside the current one if its answer can be in time.

    Otherwise nothing happens.
    """
    if cannot_send(state, request):
        target = choose_entry(state, request, now)
        if target and _may_pass_on(state, request, now):
            yield from pass_on(state, request, target, now)
        return
    choice, permission = _choose_permitted(state, request, now)
    if isinstance(choice, ResultCode) or permission is Permission.TOKEN_NEEDED:
        return
    due = min(request.deadline, exits_at(state))
    if now + choice.wait + choice.latency <= due:
        yield from _send(state, request, choice, now)


def _may_pass_on(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> bool:
    """Return whether another entry's answer is expected before the exit."""
    guess = request.route.target_latency
    typical = state.typical_time(request.service, guess).typical
    return now + typical <= exits_at(state)


def _delay_of(
    state: SteeringState,
    request: SteeredRequest,
    code: ResultCode,
    now: float,
) -> float:
    """Return when a refused caller should come back; zero if unknown."""
    if code is ResultCode.UPSTREAMS_LIMITED:
        return delay_until_token(state, request, now)
    if code is ResultCode.UPSTREAMS_BACKING_OFF:
        return delay_after_backoffs(state, request, now)
    return 0


def give_back_unexecuted(state: SteeringState, request: SteeredRequest) -> None:
    """Return to the quota of a customer what was certainly not executed."""
    if request.admitted and not request.maybe_executed:
        state.limits.give_back(quota_name(request.customer_name))


def drop(state: SteeringState, request: SteeredRequest) -> Iterator[Effect]:
    """End a request whose caller disconnected before it was sent."""
    state.requests.pop(request.number)
    state.rates.waiting.pop(request.number, None)
    give_back_unexecuted(state, request)
    yield Decision(
        DecisionKind.REQUEST_DROPPED, 'before any attempt', request.number
    )
    yield AnswerResult(request.number, ResultCode.DEADLINE_EXPIRED)


def _choose_permitted(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> tuple[Choice | ResultCode, Permission]:
    """Choose an upstream for which a token is available or can be requested."""
    while True:
        choice = choose(state, request, now)
        if isinstance(choice, ResultCode):
            return choice, Permission.DENIED
        name = choice.upstream.name
        permission = obtain_token(state, request, name, now)
        if permission is not Permission.DENIED:
            return choice, permission


def _send(
    state: SteeringState,
    request: SteeredRequest,
    choice: Choice,
    now: float,
) -> Iterator[Effect]:
    upstream = choice.upstream
    request.attempts += 1
    request.sends += 1
    attempt = Attempt(
        request.attempts,
        upstream.name,
        sent_at=now,
        expected_time=choice.wait + choice.latency,
        queue=choice.queue,
        warm=choice.warm,
        home=rank_of_home(state, request, upstream.name),
        pace=choice.pace,
    )
    request.begin(attempt)
    state.loads.of(upstream.name).record_sent(now)
    attempt.counted = True
    if upstream.cold_until > now:
        state.rates.cold.record_sent(upstream.name, now)
    state.rates.named.record_sent(upstream.name, now)
    state.rates.record_sent(request.service, now)
    record_return(state, upstream, now)
    yield from record_sent(state, request, now)
    yield SendUpstream(
        request.number,
        request.attempts,
        upstream.record.discovery_id,
        upstream.record.address,
        request.deadline,
        request.deadline + _ANSWER_MARGIN,
        request.customer_name,
    )
    yield request_sent(state, request, choice)


def refuse(
    state: SteeringState,
    request: SteeredRequest,
    code: ResultCode,
    now: float,
    *,
    delay: float = 0,
) -> Iterator[Effect]:
    """End a request that is sent to no upstream, or to no further one.

    Its caller is asked to retry after ``delay``, or after a default one if
    that is zero.
    """
    state.requests.pop(request.number)
    kind = DecisionKind.REQUEST_REFUSED
    reason = code
    retry_after = (
        delay
        or retry_delay_of(state, request, code, now)
        or _delay_in_time(state, request, now)
    )
    if request.maybe_executed:
        # A request counts as refused only if it was certainly not executed.
        kind = DecisionKind.REQUEST_FAILED
        code = ResultCode.UPSTREAM_BROKE
        retry_after = 0
    give_back_unexecuted(state, request)
    if retry_after:
        state.promises.record(request.fingerprint, now + retry_after)
    yield Decision(
        kind,
        code.name,
        request.number,
        (
            ('service', request.service),
            ('route', request.route.name),
            ('priority', request.priority),
            ('customer', request.customer_name),
            ('reason', reason.name),
            ('outcome', request.last_outcome),
            ('position', round(request.position, 3)),
            ('returned', int(request.caller_retried)),
            ('after', round(now - request.arrived_at, 4)),
            ('retry_after', round(retry_after, 3)),
            ('fingerprint', label(request.fingerprint)),
            ('version', version_of(state)),
        ),
    )
    yield AnswerResult(request.number, code, retry_after, request.sends)


def _delay_in_time(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> float:
    """Return the default delay, within the time that the caller has left."""
    left = max(0, request.deadline - now)
    return min(retry_delay(state), round(left, 3))


def retry_delay(state: SteeringState) -> float:
    """Return the default delay after which a refused caller may retry."""
    jitter = state.rng.uniform(*_RETRY_JITTER)
    return round(min(_MAX_RETRY_DELAY, _BASE_RETRY_DELAY * jitter), 3)
