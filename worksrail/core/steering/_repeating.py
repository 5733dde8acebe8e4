"""Whether a request may be sent to one more upstream."""

from typing import Final

from worksrail.core.steering._quarantining import hold_time
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering.events import AttemptEnded, AttemptOutcome
from worksrail.core.steering.state import SteeringState

# Attempts that do not meet the upstream they are meant for, because there is no
# connection or another one has its address, leave the route's attempts alone:
# where addresses change hands, callers would be refused with most of their time
# left.  So many are made at the most.
_MISSED_ATTEMPTS: Final = 4
NOT_EXECUTED: Final = frozenset(
    (
        AttemptOutcome.NOT_CONNECTED,
        AttemptOutcome.NOT_EXECUTED,
        AttemptOutcome.OTHER_UPSTREAM,
    )
)
_MISSED: Final = frozenset(
    (AttemptOutcome.NOT_CONNECTED, AttemptOutcome.OTHER_UPSTREAM)
)
_REPEATABLE: Final = frozenset(
    (
        AttemptOutcome.BROKE_BEFORE_ANSWER,
        AttemptOutcome.SPOILED,
        AttemptOutcome.CANCELLED,
    )
)


def repeat_denial(
    state: SteeringState,
    request: SteeredRequest,
    event: AttemptEnded,
) -> str:
    """Why a request is not sent to one more upstream; empty if it may be."""
    request.tried.add(request.last_upstream)
    refusal = _denial_of_execution(request, event)
    if refusal:
        return refusal
    if hold_time(state, request, event.now):
        return 'held'
    if not event.replayable:
        return 'body not kept'
    if event.outcome in _MISSED:
        request.sends -= 1
        if request.attempts >= _MISSED_ATTEMPTS:
            return 'connections'
    if event.outcome is AttemptOutcome.NOT_CONNECTED:
        # No byte left, so nothing arrived that the budget would count.
        return ''
    if request.sends >= request.route.max_attempts:
        return 'attempts'
    return '' if _is_within_budget(state, request, event.now) else 'budget'


def _denial_of_execution(request: SteeredRequest, event: AttemptEnded) -> str:
    """Why a request that may have been executed must not be once more."""
    if event.outcome in NOT_EXECUTED:
        return ''
    if event.outcome not in _REPEATABLE:
        return 'outcome'
    return '' if request.route.idempotent else 'at most once'


def _is_within_budget(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> bool:
    if not state.settled(now):
        # What the others use is not known yet.
        return False
    return state.budgets.spend(
        request.service, now, preferred=_can_be_in_time(state, request, now)
    )


def _can_be_in_time(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> bool:
    """Whether one more attempt may still be answered within the target."""
    usual = state.typical_time(request.service, request.expected_time)
    left = request.arrived_at + request.route.target_latency - now
    return left >= usual.typical
