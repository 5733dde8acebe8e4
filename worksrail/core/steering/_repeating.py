"""Decides whether a request may be sent to another upstream."""

from collections.abc import Iterator
from typing import Final

from worksrail.core.steering._attempt import Attempt
from worksrail.core.steering._quarantining import hold_time
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._request_log import evidence_of
from worksrail.core.steering.effects import Decision
from worksrail.core.steering.events import AttemptEnded, AttemptOutcome
from worksrail.core.steering.state import SteeringState

# Maximum number of attempts if some do not reach their upstream: the connection
# fails, another upstream has its address, or it says meanwhile that it wants no
# requests.  Such attempts do not
# count against the route's maximum: while addresses are reassigned, callers
# would otherwise be refused with most of their time left.
_MAX_MISSED_ATTEMPTS: Final = 4
# The same for requests of other entries, which may pass them on again.
_MAX_MISSED_OF_OTHERS: Final = 2
NOT_EXECUTED: Final = frozenset(
    (
        AttemptOutcome.NOT_CONNECTED,
        AttemptOutcome.WITHDRAWN,
        AttemptOutcome.CANCELLED_UNSENT,
        AttemptOutcome.NOT_EXECUTED,
        AttemptOutcome.OTHER_UPSTREAM,
    )
)
NEVER_SENT: Final = frozenset(
    (
        AttemptOutcome.NOT_CONNECTED,
        AttemptOutcome.WITHDRAWN,
        AttemptOutcome.CANCELLED_UNSENT,
    )
)
_MISSED: Final = NEVER_SENT | {AttemptOutcome.OTHER_UPSTREAM}
_REPEATABLE: Final = frozenset(
    (
        AttemptOutcome.BROKE_BEFORE_ANSWER,
        AttemptOutcome.SPOILED,
        AttemptOutcome.UNPROVEN,
        AttemptOutcome.CANCELLED,
    )
)


def record_end(
    request: SteeredRequest,
    ended: Attempt,
    event: AttemptEnded,
) -> Iterator[Decision]:
    """Record where a request was, and whether it may have been executed."""
    outcome = event.outcome
    if outcome in NOT_EXECUTED:
        yield from evidence_of(request, ended, event, outcome.name)
    else:
        request.maybe_executed = True
    request.tried.add(request.last_upstream)
    if outcome in _MISSED:
        request.sends -= 1
    if outcome is AttemptOutcome.NOT_CONNECTED:
        request.unconnected += 1


def repeat_denial(
    state: SteeringState,
    request: SteeredRequest,
    event: AttemptEnded,
) -> str:
    """Return why a request must not be sent again; empty if it may be."""
    denial = _denial_of_execution(request, event)
    if denial:
        return denial
    if hold_time(state, request, event.now):
        return 'held'
    if not event.replayable:
        return 'body not kept'
    if event.outcome in _MISSED and request.attempts >= _max_missed(request):
        return 'connections'
    if event.outcome in NEVER_SENT:
        # No upstream got a repeat that the budget counts.
        return ''
    if request.sends >= request.route.max_attempts:
        return 'attempts'
    return '' if is_within_budget(state, request, event.now) else 'budget'


def _max_missed(request: SteeredRequest) -> int:
    return _MAX_MISSED_OF_OTHERS if request.passed_by else _MAX_MISSED_ATTEMPTS


def _denial_of_execution(request: SteeredRequest, event: AttemptEnded) -> str:
    """Return why a second execution is not allowed; empty if it is."""
    if event.outcome in NOT_EXECUTED:
        return ''
    if event.outcome not in _REPEATABLE:
        return 'outcome'
    return '' if request.route.idempotent else 'at most once'


def is_within_budget(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> bool:
    """Take a retry from the budget; return false if there is none."""
    if not state.settled(now):
        # The use of the budget by other entries is not known yet.
        return False
    return state.budgets.spend(
        request.service, now, preferred=_can_be_in_time(state, request, now)
    )


def _can_be_in_time(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> bool:
    """Whether another attempt may still be answered within the target."""
    execution_time = state.typical_time(
        request.service, request.current.expected_time
    )
    time_left = request.arrived_at + request.route.target_latency - now
    return time_left >= execution_time.typical
