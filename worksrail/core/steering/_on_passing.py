"""Handles requests that were passed on, at both entries."""

from collections.abc import Iterator
from typing import Final

from worksrail.core.results import Certainty, ResultCode
from worksrail.core.steering._on_requests import conclude, conclude_answered
from worksrail.core.steering._placing import (
    give_back_unexecuted,
    place,
    refuse,
    retry_delay,
)
from worksrail.core.steering._quarantining import fingerprint_of
from worksrail.core.steering._repeating import NEVER_SENT
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._request_log import evidence_of, strays_of
from worksrail.core.steering._routes import RoutingConfiguration
from worksrail.core.steering._scarcity import position_of
from worksrail.core.steering.effects import (
    AnswerResult,
    Decision,
    DecisionKind,
    Effect,
)
from worksrail.core.steering.events import (
    AttemptEnded,
    AttemptOutcome,
    PassedRequestArrived,
    PassEnded,
)
from worksrail.core.steering.state import SteeringState

# Refusals that say something about the entry, not about the request: another
# one may be able to send it.
_OF_THE_ENTRY: Final = frozenset(
    (
        ResultCode.ENTRY_FULL,
        ResultCode.ENTRY_LEAVING,
        ResultCode.MALFORMED_REQUEST,
        ResultCode.NOT_READY,
        ResultCode.UNKNOWN_ROUTE,
        ResultCode.UPSTREAM_UNREACHABLE,
    )
)


def on_passed_arrival(
    state: SteeringState,
    event: PassedRequestArrived,
) -> Iterator[Effect]:
    """Send a request of another entry to an upstream, or refuse it.

    It is never passed on once more.
    """
    refusal = _refusal(state, event)
    if refusal:
        retry_after = retry_delay(state)
        yield Decision(
            DecisionKind.REQUEST_REFUSED,
            refusal.name,
            event.request,
            (('from', event.terms.sender), ('service', event.terms.service)),
        )
        yield AnswerResult(
            event.request, refusal, retry_after, event.terms.sends
        )
        return
    state.passed_arrivals.note(event.now)
    request = _new_request(state, event)
    state.requests[event.request] = request
    # Its demand was counted by the entry that passed it on.
    request.position = position_of(state, request, event.now)
    yield Decision(
        DecisionKind.REQUEST_TAKEN,
        event.terms.sender,
        event.request,
        (('service', request.service), ('version', event.terms.version)),
    )
    yield from place(state, request, event.now)


def on_pass_ended(
    state: SteeringState,
    event: PassEnded,
) -> Iterator[Effect]:
    """Finish a request that another entry had, or try a further one."""
    request = state.requests.get(event.request)
    if request is None or not request.select(event.attempt):
        return
    if not request.current.helper:
        return
    yield from strays_of(request, event)
    refused = event.refusal is not None
    not_sent = event.outcome in NEVER_SENT
    if not_sent or refused:
        # What was assumed to be sent by a silent entry is known now.
        request.sends -= request.current.overdue
    if not_sent:
        yield from _after_refusal(
            state, request, ResultCode.PEER_UNREACHABLE, event
        )
    elif event.refusal and event.refusal.code is not ResultCode.ENTRY_STOPPED:
        yield from _after_refusal(state, request, event.refusal.code, event)
    elif event.outcome is AttemptOutcome.ANSWERED:
        yield from conclude_answered(state, request, event)
    else:
        # For a silent entry that has been counted already.
        request.sends += refused or not request.current.overdue
        yield from conclude(state, request, _as_attempt(event))


def _refusal(
    state: SteeringState,
    event: PassedRequestArrived,
) -> ResultCode | None:
    if state.leaving:
        return ResultCode.ENTRY_LEAVING
    if not isinstance(state.configuration, RoutingConfiguration):
        return ResultCode.NOT_READY
    if event.terms.service in state.paths.lost_since:
        return ResultCode.UPSTREAM_UNREACHABLE
    rate = state.arrivals.rate(event.now)
    passed = state.passed_arrivals.rate(event.now)
    if rate + passed >= state.settings.capacity:
        return ResultCode.ENTRY_FULL
    return None


def _new_request(
    state: SteeringState,
    event: PassedRequestArrived,
) -> SteeredRequest:
    terms = event.terms
    allowed = event.head.time_left or 0
    request = SteeredRequest(
        event.request,
        event.head,
        terms.build_route(allowed),
        terms.service,
        event.now,
        event.now + allowed,
        terms.build_customer(),
        frozenset(terms.regions),
        sends=terms.sends,
        passed_by=terms.sender,
    )
    request.fingerprint = fingerprint_of(state, request, event.body_digest)
    request.replayable = event.replayable
    return request


def _drop_refused(
    state: SteeringState,
    request: SteeredRequest,
    code: ResultCode,
    event: PassEnded,
) -> Decision:
    if code.certainty is Certainty.NOT_RUN:
        give_back_unexecuted(state, request)
    state.requests.pop(request.number)
    return Decision(
        DecisionKind.REQUEST_DROPPED, event.outcome.name, request.number
    )


def _after_refusal(
    state: SteeringState,
    request: SteeredRequest,
    code: ResultCode,
    event: PassEnded,
) -> Iterator[Effect]:
    ended = request.end_current(event.outcome.name)
    if code.certainty is Certainty.NOT_RUN:
        yield from evidence_of(request, ended, event, code.name)
    if request.under_way:
        if code.certainty is Certainty.NOT_RUN and not _was_sent(
            request, event
        ):
            state.budgets.give_back(request.service, event.now)
        else:
            request.maybe_executed = True
        return
    if request.caller_gone:
        yield _drop_refused(state, request, code, event)
        return
    if _may_try_another(request, code, event):
        yield from place(state, request, event.now)
        return
    if code.certainty is Certainty.NOT_RUN:
        delay = event.refusal.retry_after if event.refusal else 0
        yield from refuse(state, request, code, event.now, delay=delay)
        return
    request.maybe_executed = True
    state.requests.pop(request.number)
    yield Decision(
        DecisionKind.REQUEST_FAILED,
        code.name,
        request.number,
        (
            ('outcome', event.outcome.name),
            ('entry', request.last_upstream),
            ('after', round(event.now - request.arrived_at, 4)),
        ),
    )
    yield AnswerResult(request.number, code)


def _may_try_another(
    request: SteeredRequest,
    code: ResultCode,
    event: PassEnded,
) -> bool:
    if code is ResultCode.PEER_UNREACHABLE:
        return event.replayable
    # Another try after an upstream had the request would be a retry, which
    # the budget of the other entry did not allow.
    sent = _was_sent(request, event)
    return code in _OF_THE_ENTRY and event.replayable and not sent


def _was_sent(request: SteeredRequest, event: PassEnded) -> bool:
    """Return whether the entry that refused a request had sent it."""
    return event.refusal is not None and event.refusal.sends > request.sends


def _as_attempt(event: PassEnded) -> AttemptEnded:
    return AttemptEnded(
        event.now,
        event.request,
        event.attempt,
        event.outcome,
        event.status,
        replayable=event.replayable,
        origin=event.origin,
    )
