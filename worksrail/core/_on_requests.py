"""Handlers for requests, from admission to the end of the last attempt."""

from collections.abc import Iterator
from typing import Final

from worksrail.core._admission import ticket_owner
from worksrail.core._dispatching import dispatch_waiting, pass_on, place
from worksrail.core._finishing import close, drop, finish
from worksrail.core._pacing import learn_limit
from worksrail.core._placing import hold_until, release_all
from worksrail.core._quarantining import learn_crash
from worksrail.core._retrying import MAYBE_SENT
from worksrail.core.effects import CancelRequest, Effect, Note, NoteKind
from worksrail.core.events import (
    AttemptEnded,
    AttemptOutcome,
    CallerGone,
    PassEnded,
)
from worksrail.core.instance import Instance, TimedRelease
from worksrail.core.permits import PoolKey
from worksrail.core.requests.active import ActiveRequest, RequestState
from worksrail.core.results import Certainty, ResultCode
from worksrail.core.routing import ServiceReach

_AVOID_DURATION: Final = 1.0

# The upstream may still be running the request, so its slot is kept in use
# for a while.
_POSSIBLY_RUNNING: Final = frozenset(
    (
        AttemptOutcome.BROKE_BEFORE_ANSWER,
        AttemptOutcome.BROKE_IN_ANSWER,
        AttemptOutcome.UNVERIFIABLE,
        AttemptOutcome.UNPROVEN,
        AttemptOutcome.TIMED_OUT,
        AttemptOutcome.CANCELLED,
    )
)
# The upstream could not be reached, or did not answer.
_MISSED: Final = frozenset(
    (
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.BROKE_BEFORE_ANSWER,
        AttemptOutcome.TIMED_OUT,
    )
)
_NOT_RUN: Final = frozenset(
    (
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.WITHDRAWN,
        AttemptOutcome.CANCELLED_UNSENT,
        AttemptOutcome.SHED,
    )
)
_WITHOUT_ANSWER: Final = frozenset(
    (AttemptOutcome.BROKE_BEFORE_ANSWER, AttemptOutcome.UNPROVEN)
)
_CANCELLED: Final = frozenset(
    (AttemptOutcome.CANCELLED, AttemptOutcome.CANCELLED_UNSENT)
)

_FINAL_CODES: Final = {
    AttemptOutcome.NOT_SENT: ResultCode.UPSTREAM_UNREACHABLE,
    AttemptOutcome.WITHDRAWN: ResultCode.NO_SLOT,
    AttemptOutcome.CANCELLED_UNSENT: ResultCode.UPSTREAM_UNREACHABLE,
    AttemptOutcome.SHED: ResultCode.UPSTREAM_SHED,
    AttemptOutcome.BROKE_BEFORE_ANSWER: ResultCode.UPSTREAM_BROKE,
    AttemptOutcome.UNVERIFIABLE: ResultCode.UNVERIFIABLE_ANSWER,
    AttemptOutcome.UNPROVEN: ResultCode.UNPROVEN_REFUSAL,
    AttemptOutcome.TIMED_OUT: ResultCode.UPSTREAM_TIMEOUT,
}


def begin(
    instance: Instance,
    active: ActiveRequest,
    now: float,
) -> Iterator[Effect]:
    """Dispatch an admitted request, or pass it to the owner of its ticket."""
    active.state = RequestState.NEW
    owner = ticket_owner(instance, active, now)
    if isinstance(owner, ResultCode):
        yield from finish(instance, active, owner, now)
    elif owner:
        active.to_owner = True
        yield from pass_on(instance, active, owner)
    else:
        yield from place(instance, active, now)


def on_caller_gone(instance: Instance, event: CallerGone) -> Iterator[Effect]:
    """Drop a queued request; cancel a sent one if it is idempotent."""
    active = instance.requests.get(event.request)
    if active is None:
        return
    active.caller_gone = True
    state = instance.service_state(active.service)
    queues = {
        RequestState.WAITING: state.queue,
        RequestState.WAITING_FOR_BUDGET: state.retries,
    }
    queue = queues.get(active.state)
    if queue is not None:
        queue.remove(active.number)
        yield from drop(instance, active)
    elif active.idempotent:
        yield CancelRequest(active.number)


def on_attempt_ended(
    instance: Instance,
    event: AttemptEnded,
) -> Iterator[Effect]:
    """Release permits, update the upstream's health, then retry or finish."""
    active = instance.requests.get(event.request)
    if active is None or active.state is not RequestState.SENT:
        return
    _release_permits(instance, active, event)
    _update_health(instance, active, event)
    yield from learn_crash(instance, active, event)
    if event.limit and active.upstream is not None:
        yield from learn_limit(
            instance, active.upstream, active.number, event.limit
        )
    if event.outcome in _FINAL_CODES:
        yield from _retry_or_finish(instance, active, event)
    else:
        yield Note(NoteKind.REQUEST_ENDED, event.outcome.name, active.number)
        close(instance, active, executed=True)
    yield from dispatch_waiting(instance, active.service, event.now)


def on_pass_ended(instance: Instance, event: PassEnded) -> Iterator[Effect]:
    """Finish with the result of the other instance, or dispatch again."""
    active = instance.requests.get(event.request)
    if active is None or active.state is not RequestState.PASSED:
        return
    if event.code is ResultCode.OK:
        yield Note(
            NoteKind.REQUEST_ENDED,
            AttemptOutcome.ANSWERED.name,
            active.number,
        )
        close(instance, active, executed=True)
        return
    # A caller that left while its request was passed on proves nothing.
    if event.code is ResultCode.PEER_UNREACHABLE and not active.caller_gone:
        instance.membership.avoid(active.passed_to, event.now, _AVOID_DURATION)
    if event.code is ResultCode.REQUEST_HELD:
        yield from finish(
            instance, active, event.code, event.now, event.retry_after
        )
        return
    repeatable = event.code.certainty is Certainty.NOT_RUN or active.idempotent
    may_retry = (
        repeatable
        and not active.to_owner
        and _may_attempt_again(instance, active, event)
    )
    active.peer_retry_after = event.retry_after
    if event.code in MAYBE_SENT:
        active.failed_with = event.code
    if event.code.certainty is not Certainty.NOT_RUN:
        active.maybe_executed = True
    if may_retry:
        active.state = RequestState.NEW
        yield from place(instance, active, event.now)
    else:
        yield from finish(instance, active, event.code, event.now)


def _release_permits(
    instance: Instance,
    active: ActiveRequest,
    event: AttemptEnded,
) -> None:
    if event.outcome in _POSSIBLY_RUNNING:
        free_at = event.now + instance.settings.cancel_grace
        for hold in active.holds:
            hold_until(instance, TimedRelease(free_at, hold))
    else:
        release_all(instance, active.holds, event.now)
    active.holds = ()


def _update_health(
    instance: Instance,
    active: ActiveRequest,
    event: AttemptEnded,
) -> None:
    if active.upstream is None or event.outcome is AttemptOutcome.WITHDRAWN:
        return
    health = instance.upstream_health(active.upstream)
    state = instance.service_state(active.service)
    _update_reach(state.reach, active.upstream, event.outcome)
    if event.load is not None:
        health.record_report(event.load, event.now)
    if event.outcome in _CANCELLED:
        return
    health.last_answer_at = event.now
    if active.backed_off:
        # A backoff is no fault, and its end is known exactly.
        return
    if event.outcome is AttemptOutcome.ANSWERED:
        instance.retry_budget(active.service).record_success(event.now)
    if event.outcome is AttemptOutcome.ANSWERED and not event.failed:
        duration = event.now - active.sent_at
        health.latency.add(duration)
        state.latency.add(duration)
        health.failures = 0
        health.last_success_at = event.now
        health.trial = False
    else:
        health.failures += 1
    if health.trial or health.is_outlier(state.typical_latency):
        instance.monitored.add(active.upstream)


def _update_reach(
    reach: ServiceReach,
    upstream: PoolKey,
    outcome: AttemptOutcome,
) -> None:
    if outcome in _MISSED:
        reach.record_miss(upstream)
    elif outcome not in _CANCELLED:
        reach.record_answer()


def _retry_or_finish(
    instance: Instance,
    active: ActiveRequest,
    event: AttemptEnded,
) -> Iterator[Effect]:
    not_executed = event.outcome in _NOT_RUN
    without_answer = event.outcome in _WITHOUT_ANSWER
    may_repeat = not_executed or (without_answer and active.idempotent)
    if not not_executed:
        active.maybe_executed = True
    code = _FINAL_CODES[event.outcome]
    if code in MAYBE_SENT:
        active.failed_with = code
    if may_repeat and _may_attempt_again(instance, active, event):
        if active.upstream is not None:
            active.tried.add(active.upstream)
        active.state = RequestState.NEW
        yield from place(instance, active, event.now)
    else:
        yield from finish(instance, active, code, event.now)


def _may_attempt_again(
    instance: Instance,
    active: ActiveRequest,
    event: AttemptEnded | PassEnded,
) -> bool:
    if active.caller_gone or not event.replayable:
        return False
    attempts_left = active.attempts < instance.settings.attempt_limit
    return attempts_left and event.now < active.deadline
