"""Where a request goes: to an upstream, into a queue, or to another region."""

from collections.abc import Iterator
from math import inf
from typing import Final

from worksrail.core._borrowing import borrow
from worksrail.core._finishing import finish
from worksrail.core._placing import (
    Placement,
    passing_target,
    placement_here,
    send,
)
from worksrail.core._quarantining import hold_time
from worksrail.core._retrying import (
    MAYBE_SENT,
    is_earned_within,
    may_go,
    pay,
)
from worksrail.core._tokens import (
    TOKEN_PATIENCE,
    delay_until_token,
    expects_token,
    send_token_requests,
)
from worksrail.core.effects import Effect, Note, NoteKind, PassRequest
from worksrail.core.instance import Instance
from worksrail.core.messages import MemberRecord
from worksrail.core.permits import slot_group
from worksrail.core.requests import ArrivalPath, QueuedRequest
from worksrail.core.requests.active import ActiveRequest, RequestState
from worksrail.core.results import ResultCode

_QUICK_SHARE: Final = 0.25
# The request is held, or the budget allows no retry.
_NOT_NOW: Final = MAYBE_SENT | {ResultCode.REQUEST_HELD}


def place(
    instance: Instance,
    active: ActiveRequest,
    now: float,
) -> Iterator[Effect]:
    """Send a request, let it wait, pass it on, or refuse it at once."""
    placement = _placement_or_hold(instance, active, now)
    if isinstance(placement, Placement):
        yield from _send(instance, active, placement, now)
        return
    if placement in _NOT_NOW:
        yield from _wait_for_retry(instance, active, placement, now)
        return
    if placement is ResultCode.UPSTREAMS_LIMITED:
        yield from _wait_for_token(instance, active, now)
        return
    if _may_wait(instance, active, now, _QUICK_SHARE):
        yield from _wait(instance, active, now)
        return
    target = _other_region(instance, active, now)
    if target:
        active.tried_regions.add(target.place.region)
        yield from pass_on(instance, active, target)
        return
    if _may_wait(instance, active, now, 1):
        yield from _wait(instance, active, now)
        return
    yield from finish(instance, active, placement, now)


def dispatch_waiting(
    instance: Instance, service: str, now: float
) -> Iterator[Effect]:
    """Send waiting requests as far as there are retries and permits."""
    yield from _pump_retries(instance, service, now)
    queue = instance.service_state(service).queue
    group = instance.ledger.groups.get(slot_group(service))
    while group and group.available.keys:
        waiting = queue.pop()
        if waiting is None:
            break
        active = instance.requests[waiting.request]
        placement = _placement_or_hold(instance, active, now)
        if isinstance(placement, Placement):
            yield from _send(instance, active, placement, now)
        elif placement in _NOT_NOW:
            yield from _refuse(instance, active, placement, now)
        else:
            queue.put_first(waiting)
            break
    instance.lending.set_shortage(slot_group(service), len(queue))


def give_up_retries(
    instance: Instance,
    service: str,
    now: float,
) -> Iterator[Effect]:
    """Refuse the requests that waited too long for a retry."""
    for number in instance.service_state(service).retries.expired(now):
        active = instance.requests[number]
        code = active.failed_with or ResultCode.NO_SLOT
        yield from _refuse(instance, active, code, now)


def give_up_waiting(
    instance: Instance,
    service: str,
    now: float,
) -> Iterator[Effect]:
    """Refuse the requests that waited too long, or pass them on."""
    queue = instance.service_state(service).queue
    for number in queue.expired(now):
        active = instance.requests[number]
        active.state = RequestState.NEW
        target = _other_region(instance, active, now)
        if target:
            active.tried_regions.add(target.place.region)
            yield from pass_on(instance, active, target)
        else:
            yield from finish(instance, active, ResultCode.NO_SLOT, now)


def pass_on(
    instance: Instance,
    active: ActiveRequest,
    target: MemberRecord,
) -> Iterator[Effect]:
    """Hand a request on to another instance."""
    pay(instance, active)
    active.state = RequestState.PASSED
    active.passed_to = target.who.name
    active.attempts += 1
    yield PassRequest(
        active.number,
        target.who.name,
        target.endpoints.passing,
        active.deadline,
        active.home,
        active.to_owner,
    )
    yield Note(NoteKind.REQUEST_PASSED, target.who.name, active.number)


def _wait_for_token(
    instance: Instance,
    active: ActiveRequest,
    now: float,
) -> Iterator[Effect]:
    """Let a request wait if a token was asked for; else it goes elsewhere."""
    yield from send_token_requests(instance, now)
    if expects_token(instance) and _may_wait(instance, active, now, 1):
        yield from _wait(instance, active, now, TOKEN_PATIENCE)
        return
    target = _other_region(instance, active, now)
    if target:
        active.tried_regions.add(target.place.region)
        yield from pass_on(instance, active, target)
        return
    wait = delay_until_token(instance, active.service, now)
    yield from finish(instance, active, ResultCode.UPSTREAMS_LIMITED, now, wait)


def _pump_retries(
    instance: Instance,
    service: str,
    now: float,
) -> Iterator[Effect]:
    state = instance.service_state(service)
    if not state.retries.entries:
        return
    if not instance.retry_budget(service).has_retry:
        return
    waiting = state.retries.pop()
    if waiting:
        active = instance.requests[waiting.request]
        active.state = RequestState.NEW
        yield from place(instance, active, now)


def _placement_or_hold(
    instance: Instance,
    active: ActiveRequest,
    now: float,
) -> Placement | ResultCode:
    """Permits for an upstream here, unless it may not be sent now."""
    if hold_time(instance, active, now):
        return ResultCode.REQUEST_HELD
    if active.failed_with and not may_go(instance, active):
        return active.failed_with
    return placement_here(instance, active, now)


def _send(
    instance: Instance,
    active: ActiveRequest,
    placement: Placement,
    now: float,
) -> Iterator[Effect]:
    pay(instance, active)
    yield from send(instance, active, placement, now)


def _refuse(
    instance: Instance,
    active: ActiveRequest,
    code: ResultCode,
    now: float,
) -> Iterator[Effect]:
    wait = hold_time(instance, active, now)
    yield from finish(instance, active, code, now, wait)


def _may_wait(
    instance: Instance,
    active: ActiveRequest,
    now: float,
    share: float,
) -> bool:
    home = active.home == instance.place.region
    if not home or active.head.passing is ArrivalPath.SHIFTED:
        return False
    state = instance.service_state(active.service)
    group = instance.ledger.groups.get(slot_group(active.service))
    if group is None or len(state.queue) >= instance.settings.queue_limit:
        return False
    wait = state.queue.expected_wait(state.typical_latency, group.usable)
    patience = _patience(instance, active, now)
    return wait <= patience * share


def _patience(instance: Instance, active: ActiveRequest, now: float) -> float:
    topology = instance.configuration.topology
    if topology is None:
        return 0
    service = topology.services[active.service].service
    state = instance.service_state(active.service)
    return min(
        service.queue_wait, active.deadline - now - state.typical_latency
    )


def _wait(
    instance: Instance,
    active: ActiveRequest,
    now: float,
    longest: float = inf,
) -> Iterator[Effect]:
    state = instance.service_state(active.service)
    active.state = RequestState.WAITING
    give_up_at = now + min(longest, _patience(instance, active, now))
    state.queue.put(QueuedRequest(active.number, give_up_at))
    group = slot_group(active.service)
    instance.lending.set_shortage(group, len(state.queue))
    yield from borrow(instance, group, now)


def _wait_for_retry(
    instance: Instance,
    active: ActiveRequest,
    code: ResultCode,
    now: float,
) -> Iterator[Effect]:
    """Let a request wait if a retry is earned in time; else refuse it."""
    patience = _patience(instance, active, now)
    held = code is ResultCode.REQUEST_HELD
    if held or not is_earned_within(instance, active, patience, now):
        yield from _refuse(instance, active, code, now)
        return
    active.state = RequestState.WAITING_FOR_BUDGET
    waiting = QueuedRequest(active.number, now + patience)
    instance.service_state(active.service).retries.put(waiting)


def _other_region(
    instance: Instance,
    active: ActiveRequest,
    now: float,
) -> MemberRecord | None:
    if active.head.passing is ArrivalPath.SHIFTED or active.caller_gone:
        return None
    if active.attempts >= instance.settings.attempt_limit:
        return None
    if not may_go(instance, active):
        return None
    return passing_target(instance, active, now)
