"""Handlers for arriving requests and for the quotas of customers."""

from collections.abc import Iterator

from worksrail.core._admission import admit
from worksrail.core._finishing import drop, finish, refuse
from worksrail.core._members import members_by_region
from worksrail.core._on_requests import begin
from worksrail.core._quarantining import fingerprint_of
from worksrail.core.effects import Effect, SendMessage
from worksrail.core.events import RequestArrived
from worksrail.core.instance import Instance
from worksrail.core.limits import (
    Addressed,
    Admission,
    LimitMessage,
    Verdict,
    quota_name,
)
from worksrail.core.messages import MemberStatus
from worksrail.core.pacing import ALL_REGIONS
from worksrail.core.requests import ArrivalPath
from worksrail.core.requests.active import ActiveRequest, RequestState
from worksrail.core.results import ResultCode


def on_arrival(instance: Instance, event: RequestArrived) -> Iterator[Effect]:
    """Admit a request and start it, or refuse it."""
    instance.wall = max(instance.wall, event.wall)
    active = admit(instance, event)
    if isinstance(active, ResultCode):
        yield from refuse(instance, event.request, '', active, event.now)
        return
    instance.requests[active.number] = active
    active.fingerprint = fingerprint_of(instance, active, event)
    if not active.customer or active.head.passing is not ArrivalPath.DIRECT:
        yield from begin(instance, active, event.now)
        return
    verdict = instance.limits.admit(
        quota_name(active.customer), active.number, event.now
    )
    if verdict.admission is Admission.WAITING:
        active.state = RequestState.WAITING_FOR_QUOTA
    else:
        yield from _resume(instance, active, verdict, event.now)
    yield from process_limit_outputs(instance, event.now)


def on_limit_message(
    instance: Instance,
    message: LimitMessage,
    now: float,
) -> Iterator[Effect]:
    """Handle a message of another instance about a shared limit."""
    instance.limits.receive(message, now)
    yield from process_limit_outputs(instance, now)


def maintain_limits(instance: Instance, now: float) -> Iterator[Effect]:
    """Update the members that share the limits, and report admissions."""
    limits = instance.limits
    # Requests may still wait for limits that a new bundle does not have.
    if not (limits.limits or limits.reports.pending or limits.unanswered):
        return
    if instance.status(now) is not MemberStatus.JOINING:
        members = members_by_region(instance, now)[ALL_REGIONS]
        instance.limits.update_members(members, now)
    instance.limits.tick(now)
    yield from process_limit_outputs(instance, now)


def process_limit_outputs(instance: Instance, now: float) -> Iterator[Effect]:
    """Send queued messages of the limits, and resume requests they decided."""
    for output in instance.limits.take_outputs():
        if isinstance(output, Addressed):
            yield SendMessage(output.peer, output.message)
            continue
        active = instance.requests.get(output.ticket)
        if active and active.state is RequestState.WAITING_FOR_QUOTA:
            yield from _resume(instance, active, output.verdict, now)


def _resume(
    instance: Instance,
    active: ActiveRequest,
    verdict: Verdict,
    now: float,
) -> Iterator[Effect]:
    active.admitted = verdict.admission is Admission.ADMITTED
    if active.caller_gone:
        yield from drop(instance, active)
    elif active.admitted:
        yield from begin(instance, active, now)
    else:
        pause = verdict.pause(instance.rng)
        yield from finish(
            instance, active, ResultCode.QUOTA_REACHED, now, pause
        )
