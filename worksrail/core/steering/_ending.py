"""Ends attempts that are not needed any more."""

from collections.abc import Iterator

from worksrail.core.steering._attempt import Attempt
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._request_log import attempt_cancelled
from worksrail.core.steering.effects import CancelAttempt, Effect
from worksrail.core.steering.state import SteeringState


def release(state: SteeringState, attempt: Attempt, now: float) -> None:
    """Stop counting an attempt as in flight at its upstream."""
    if attempt.counted:
        attempt.counted = False
        state.loads.of(attempt.upstream).record_end(now)


def abandon(
    state: SteeringState,
    request: SteeredRequest,
    attempt: Attempt,
    reason: str,
    now: float,
) -> Iterator[Effect]:
    """Cancel an attempt whose end is not awaited."""
    release(state, attempt, now)
    yield attempt_cancelled(state, request, attempt, reason, now)
    yield CancelAttempt(request.number, attempt.number)


def abandon_other(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> Iterator[Effect]:
    """Cancel the attempt beside the one whose answer has begun."""
    other = request.other
    if other:
        request.other = None
        yield from abandon(state, request, other, 'answered elsewhere', now)
