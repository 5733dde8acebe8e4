"""Sends a request to the upstream that is chosen, or refuses it."""

from collections.abc import Iterator
from typing import Final

from worksrail.core.limits import quota_name
from worksrail.core.pacing import Permission
from worksrail.core.quarantine import label
from worksrail.core.results import ResultCode
from worksrail.core.steering._choosing import Choice, choose
from worksrail.core.steering._quarantining import hold_time, record_sent
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._routes import RoutingConfiguration
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

# Seconds for which an answer is awaited beyond the time that the upstream
# was given: its own word that the time is over has to come back.
_ANSWER_MARGIN: Final = 0.1
# An execution that would have less time than this is not begun; seconds.
_LEAST_TIME: Final = 0.02
# Seconds after which callers that were refused shall come back.
_SHORTEST_RETRY: Final = 0.2
_LONGEST_RETRY: Final = 1.0
_RETRY_SPREAD: Final = (0.5, 1.5)


def place(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> Iterator[Effect]:
    """Send a request to the best upstream, or refuse it at once."""
    if request.deadline - now < _LEAST_TIME:
        yield from refuse(state, request, ResultCode.DEADLINE_EXPIRED, now)
        return
    held = hold_time(state, request, now)
    if held:
        yield from refuse(
            state, request, ResultCode.REQUEST_HELD, now, pause=held
        )
        return
    choice, permission = _choose_permitted(state, request, now)
    if isinstance(choice, ResultCode):
        limited = choice is ResultCode.UPSTREAMS_LIMITED
        pause = delay_until_token(state, request, now) if limited else 0
        yield from refuse(state, request, choice, now, pause=pause)
    elif permission is Permission.TOKEN_NEEDED:
        yield from await_token(state, request, choice.upstream.name, now)
    else:
        yield from _send(state, request, choice, now)


def drop(state: SteeringState, request: SteeredRequest) -> Iterator[Effect]:
    """End a request whose caller left while it waited to be placed."""
    state.requests.pop(request.number)
    if request.admitted:
        state.limits.give_back(quota_name(request.customer_name))
    yield Decision(
        DecisionKind.REQUEST_DROPPED, 'before any attempt', request.number
    )
    yield AnswerResult(request.number, ResultCode.DEADLINE_EXPIRED)


def _choose_permitted(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> tuple[Choice | ResultCode, Permission]:
    """The best upstream, and whether a token of it has to be asked for."""
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
    load = state.loads.of(upstream.name)
    kind = DecisionKind.REQUEST_SENT
    if request.sends:
        kind = DecisionKind.REQUEST_REPEATED
    load.record_sent(now)
    request.attempts += 1
    request.sends += 1
    request.upstream = upstream.name
    request.sent_at = now
    request.expected_time = choice.wait + choice.work
    request.warm = choice.warm
    request.queue = choice.queue
    if upstream.cold_until > now:
        state.rates.cold.record_sent(upstream.name, now)
    state.rates.named.record_sent(upstream.name, now)
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
    yield Decision(
        kind,
        upstream.name,
        request.number,
        (
            ('service', request.service),
            ('address', upstream.record.address),
            ('key', request.head.key),
            ('cost', round(choice.cost, 4)),
            ('wait', round(choice.wait, 4)),
            ('own', load.own),
            ('others', load.others),
            ('warm', int(choice.warm)),
            ('version', version_of(state)),
            *_reason_to_repeat(request),
        ),
    )


def _reason_to_repeat(
    request: SteeredRequest,
) -> tuple[tuple[str, str], ...]:
    if not request.last_outcome:
        return ()
    return ('outcome', request.last_outcome), ('from', request.last_upstream)


def refuse(
    state: SteeringState,
    request: SteeredRequest,
    code: ResultCode,
    now: float,
    *,
    pause: float = 0,
) -> Iterator[Effect]:
    """End a request that no upstream shall get (any more).

    Its caller shall come back after a pause, a usual one if none is given.
    """
    state.requests.pop(request.number)
    kind = DecisionKind.REQUEST_REFUSED
    retry_after = pause or retry_delay(state)
    if request.maybe_executed:
        # Only what was never executed may be called refused.
        kind = DecisionKind.REQUEST_FAILED
        code = ResultCode.UPSTREAM_BROKE
        retry_after = 0
    elif request.admitted:
        state.limits.give_back(quota_name(request.customer_name))
    yield Decision(
        kind,
        code.name,
        request.number,
        (
            ('service', request.service),
            ('customer', request.customer_name),
            ('after', round(now - request.arrived_at, 4)),
            ('retry_after', round(retry_after, 3)),
            ('fingerprint', label(request.fingerprint)),
            ('version', version_of(state)),
        ),
    )
    yield AnswerResult(request.number, code, retry_after)


def retry_delay(state: SteeringState) -> float:
    """Seconds after which a refused caller shall come back."""
    spread = state.rng.uniform(*_RETRY_SPREAD)
    return round(min(_LONGEST_RETRY, _SHORTEST_RETRY * spread), 3)


def version_of(state: SteeringState) -> int:
    """Version of the configuration in force; zero if there is none."""
    configuration = state.configuration
    if isinstance(configuration, RoutingConfiguration):
        return configuration.version
    return 0
