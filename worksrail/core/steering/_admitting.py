"""Admits requests by the quotas of their customers."""

from collections.abc import Iterator

from worksrail.core.customers import Customer
from worksrail.core.limits import (
    Addressed,
    Admission,
    Verdict,
    quota_name,
)
from worksrail.core.pacing import ALL_REGIONS
from worksrail.core.results import ResultCode
from worksrail.core.steering._members import members_by_region
from worksrail.core.steering._placing import drop, place, refuse
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering.effects import (
    Effect,
    SendLimitMessage,
)
from worksrail.core.steering.events import LimitMessageReceived
from worksrail.core.steering.state import SteeringState


def admit(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> Iterator[Effect]:
    """Place a request if the quota of its customer admits it."""
    if not isinstance(request.customer, Customer):
        yield from place(state, request, now)
        return
    name = quota_name(request.customer.name)
    verdict = state.limits.admit(name, request.number, now)
    if verdict.admission is not Admission.WAITING:
        yield from _apply_verdict(state, request, verdict, now)
    yield from process_limit_outputs(state, now)


def on_limit_message(
    state: SteeringState,
    event: LimitMessageReceived,
) -> Iterator[Effect]:
    """Handle a message of another entry on a shared limit."""
    state.limits.receive(event.message, event.now)
    yield from process_limit_outputs(state, event.now)


def maintain_limits(state: SteeringState, now: float) -> Iterator[Effect]:
    """Report admissions to the owners of limits, and update the members."""
    if not state.limits.limits:
        return
    if state.settled(now):
        members = members_by_region(state, now)[ALL_REGIONS]
        state.limits.update_members(members, now)
    state.limits.tick(now)
    yield from process_limit_outputs(state, now)


def process_limit_outputs(state: SteeringState, now: float) -> Iterator[Effect]:
    """Send the messages of the limits, and resume requests with a verdict."""
    for output in state.limits.take_outputs():
        if isinstance(output, Addressed):
            yield SendLimitMessage(output.peer, output.message)
            continue
        request = state.requests.get(output.ticket)
        if request:
            yield from _apply_verdict(state, request, output.verdict, now)


def _apply_verdict(
    state: SteeringState,
    request: SteeredRequest,
    verdict: Verdict,
    now: float,
) -> Iterator[Effect]:
    request.admitted = verdict.admission is Admission.ADMITTED
    if request.caller_gone:
        yield from drop(state, request)
    elif request.admitted:
        yield from place(state, request, now)
    else:
        delay = verdict.pause(state.rng)
        yield from refuse(
            state, request, ResultCode.QUOTA_REACHED, now, delay=delay
        )
