"""Contains an unexpected error of a handler to the request of its event.

What the handler had changed and decided up to the error stands, so its effects
are performed.  The request of the event is ended with a result that says truly
whether it may have been executed, and gives back what it holds.
"""

import traceback
from collections.abc import Callable, Iterable, Iterator
from pathlib import PurePath
from typing import Any, Final

from worksrail.core.results import ResultCode
from worksrail.core.steering._ending import release
from worksrail.core.steering._placing import give_back_unexecuted
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering.effects import (
    AnswerResult,
    CancelAttempt,
    Decision,
    DecisionKind,
    Effect,
    LogInputs,
)
from worksrail.core.steering.events import (
    Event,
    PassedRequestArrived,
    RequestArrived,
    RequestNumber,
    RequestOverdue,
)
from worksrail.core.steering.state import SteeringState

# Characters of an error's text in the log.
_MAX_TEXT: Final = 120

Step = Callable[[SteeringState, float], Iterable[Effect]]
"""A part of the work that is due from time to time."""


def run_handler(
    state: SteeringState,
    event: Event,
    handler: Callable[[SteeringState, Event], Iterable[Effect]],
) -> Iterator[Effect]:
    """Yield the effects of a handler; an error ends the event's request."""
    number: RequestNumber = getattr(event, 'request', 0)
    known = state.requests.get(number)
    try:
        yield from handler(state, event)
    except Exception as error:
        yield handler_failure(type(event).__name__, error, number)
        yield from _end_own_request(state, event, number, known)


def run_step(state: SteeringState, step: Step, now: float) -> Iterator[Effect]:
    """Yield the effects of a step; an error ends only this step."""
    try:
        yield from step(state, now)
    except Exception as error:
        yield handler_failure(step.__name__, error)


def on_overdue(state: SteeringState, event: RequestOverdue) -> Iterator[Effect]:
    """End a request that nothing else has ended by its deadline."""
    request = state.requests.get(event.request)
    if request is None:
        return
    yield Decision(
        DecisionKind.REQUEST_OVERDUE,
        request.current.place,
        event.request,
        (
            ('late', round(event.now - request.deadline, 3)),
            ('attempts', request.attempts),
            ('answering', int(request.answering)),
            ('outcome', request.last_outcome),
        ),
    )
    code = ResultCode.DEADLINE_EXPIRED
    if _may_be_executed(request):
        code = ResultCode.UPSTREAM_TIMEOUT
    yield from _end(state, request, code, event.now)


def handler_failure(
    subject: str, error: Exception, number: RequestNumber = 0
) -> Decision:
    """Return the log line of an unexpected error, with where it was raised."""
    return Decision(
        DecisionKind.HANDLER_FAILED, subject, number, _describe(error)
    )


def _describe(error: Exception) -> LogInputs:
    last = traceback.extract_tb(error.__traceback__)[-1]
    where = f'{PurePath(last.filename).name}:{last.lineno} {last.name}'
    text = f'{type(error).__name__}: {error}'
    return ('error', text[:_MAX_TEXT]), ('where', where)


def _end_own_request(
    state: SteeringState,
    event: Event,
    number: RequestNumber,
    known: SteeredRequest | None,
) -> Iterator[Effect]:
    request = state.requests.get(number, known)
    code = ResultCode.HANDLING_FAILED
    if request is None:
        if isinstance(event, RequestArrived | PassedRequestArrived):
            # Only an active request can have been sent.
            yield from _answer(number, code)
        return
    if _may_be_executed(request):
        code = ResultCode.HANDLING_BROKE
    else:
        give_back_unexecuted(state, request)
    yield from _end(state, request, code, event.now)


def _may_be_executed(request: SteeredRequest) -> bool:
    return bool(request.sends or request.passed_to)


def _end(
    state: SteeringState,
    request: SteeredRequest,
    code: ResultCode,
    now: float,
) -> Iterator[Effect]:
    state.requests.pop(request.number, None)
    state.rates.waiting.pop(request.number, None)
    for attempt in request.in_progress:
        release(state, attempt, now)
        yield CancelAttempt(request.number, attempt.number)
    yield from _answer(request.number, code, request.sends)


def _answer(
    number: RequestNumber, code: ResultCode, sends: int = 0
) -> Iterator[Effect]:
    yield Decision(DecisionKind.REQUEST_FAILED, code.name, number)
    yield AnswerResult(number, code, sends=sends)


HANDLERS: Final[dict[type, Any]] = {RequestOverdue: on_overdue}
"""Handlers of the events that concern requests which nothing else ends."""
