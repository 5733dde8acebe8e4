"""The graceful stop of an entry."""

from collections.abc import Iterator

from worksrail.core.results import ResultCode
from worksrail.core.steering._ending import abandon
from worksrail.core.steering._on_digests import schedule_digests, send_digests
from worksrail.core.steering._placing import refuse
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._request_log import request_failed
from worksrail.core.steering._stop_times import exits_at, lingers
from worksrail.core.steering.effects import (
    AnswerResult,
    Decision,
    DecisionKind,
    Effect,
    ExitProcess,
)
from worksrail.core.steering.events import StopRequested
from worksrail.core.steering.state import SteeringState


def on_stop(state: SteeringState, event: StopRequested) -> Iterator[Effect]:
    """Start to leave: notify the other entries, then drain requests."""
    if state.leaving:
        return
    state.leaving_at = event.now
    state.stop_account.under_way = len(state.requests)
    yield Decision(
        DecisionKind.LEAVING, inputs=(('requests', len(state.requests)),)
    )
    schedule_digests(state, event.now)
    yield from send_digests(state, event.now)


def exit_when_done(state: SteeringState, now: float) -> Iterator[Effect]:
    """Exit when all requests have ended, or when the grace period does."""
    if not state.leaving or state.exited:
        return
    forced = now > exits_at(state)
    if not forced and (state.requests or lingers(state, now)):
        return
    at_exit = len(state.requests)
    ends = [
        effect
        for request in tuple(state.requests.values())
        for effect in _end_at_exit(state, request, now)
    ]
    state.stop_account.count_ends(ends)
    yield from ends
    state.exited = True
    yield Decision(
        DecisionKind.STOPPED,
        inputs=(
            ('after', round(now - state.leaving_at, 3)),
            *state.stop_account.fields(at_exit),
        ),
    )
    yield ExitProcess()


def _end_at_exit(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> Iterator[Effect]:
    """Answer a request that is still open when the process must exit."""
    attempts = request.in_progress
    if not attempts:
        # It waits for a token or for the verdict on a quota.
        yield from refuse(state, request, ResultCode.ENTRY_LEAVING, now)
        return
    code = ResultCode.ENTRY_STOPPED
    state.requests.pop(request.number)
    yield request_failed(request, code, now, denial='exit')
    for attempt in attempts:
        yield from abandon(state, request, attempt, 'exit', now)
    yield AnswerResult(request.number, code, sends=request.sends)
