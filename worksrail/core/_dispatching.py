"""Dispatching requests: to an upstream, a queue or another region."""

from collections.abc import Generator, Iterator
from math import inf
from typing import Final

from worksrail.core._availability import delay_until_return, retry_delay
from worksrail.core._borrowing import borrow
from worksrail.core._finishing import finish
from worksrail.core._placing import (
    Placement,
    acquire_local_permits,
    choose_neighbour,
    choose_remote_instance,
    send,
)
from worksrail.core._quarantining import hold_time
from worksrail.core._retrying import (
    MAYBE_SENT,
    charge_budget,
    is_earned_within,
    may_send,
)
from worksrail.core._tokens import (
    MAX_TOKEN_WAIT,
    awaits_token,
    delay_until_token,
    send_token_requests,
)
from worksrail.core.effects import Effect, Note, NoteKind, PassRequest
from worksrail.core.instance import Instance
from worksrail.core.messages import MemberRecord
from worksrail.core.permits import slot_group
from worksrail.core.requests import ArrivalPath, QueuedRequest
from worksrail.core.requests.active import ActiveRequest, RequestState
from worksrail.core.results import ResultCode

# Queueing here is preferred to another region if the expected wait is at most
# this share of the longest wait allowed.
_SHORT_WAIT_SHARE: Final = 0.25
# The request is quarantined, or the budget allows no retry.
_BLOCKED_CODES: Final = MAYBE_SENT | {ResultCode.REQUEST_HELD}
# All upstreams of this region want no requests.
_UNAVAILABLE_CODES: Final = frozenset(
    (ResultCode.UPSTREAMS_BACKING_OFF, ResultCode.UPSTREAMS_LEAVING)
)


def place(
    instance: Instance,
    active: ActiveRequest,
    now: float,
) -> Iterator[Effect]:
    """Send a request, queue it, pass it on, or refuse it at once."""
    if _is_removed(instance, active.service):
        yield from finish(instance, active, ResultCode.UNKNOWN_SERVICE, now)
        return
    neighbour = _neighbour_for_lost_service(instance, active, now)
    if neighbour:
        active.tried_instances.add(neighbour.who.name)
        yield from pass_on(instance, active, neighbour)
    else:
        yield from _place_here(instance, active, now)


def _place_here(
    instance: Instance,
    active: ActiveRequest,
    now: float,
) -> Iterator[Effect]:
    placement = _acquire_unless_blocked(instance, active, now)
    if isinstance(placement, Placement):
        yield from _send(instance, active, placement, now)
        return
    if placement in _BLOCKED_CODES:
        yield from _wait_for_retry(instance, active, placement, now)
        return
    if placement is ResultCode.UPSTREAMS_LIMITED:
        yield from _wait_for_token(instance, active, now)
        return
    if placement in _UNAVAILABLE_CODES:
        yield from _wait_for_return(instance, active, placement, now)
        return
    if _may_queue(instance, active, now, _SHORT_WAIT_SHARE):
        yield from _enqueue(instance, active, now)
        return
    target = _remote_target(instance, active, now)
    if target:
        active.tried_regions.add(target.place.region)
        yield from pass_on(instance, active, target)
        return
    if _may_queue(instance, active, now, 1):
        yield from _enqueue(instance, active, now)
        return
    yield from finish(instance, active, placement, now)


def dispatch_waiting(
    instance: Instance, service: str, now: float
) -> Iterator[Effect]:
    """Dispatch queued requests while the budget and the permits allow it."""
    yield from _dispatch_retry(instance, service, now)
    queue = instance.service_state(service).queue
    group = instance.ledger.groups.get(slot_group(service))
    while group and group.available.keys:
        queued = queue.pop()
        if queued is None:
            break
        is_dispatched = yield from _dispatch_queued(instance, queued, now)
        if not is_dispatched:
            queue.put_first(queued)
            break
    instance.lending.note_shortage(slot_group(service), len(queue))


def expire_retries(
    instance: Instance,
    service: str,
    now: float,
) -> Iterator[Effect]:
    """Refuse requests whose wait for the retry budget has timed out."""
    for number in instance.service_state(service).retries.expired(now):
        active = instance.requests[number]
        code = active.failed_with or ResultCode.NO_SLOT
        yield from _refuse(instance, active, code, now)


def expire_queued(
    instance: Instance,
    service: str,
    now: float,
) -> Iterator[Effect]:
    """Pass on or refuse requests whose queueing time has run out."""
    queue = instance.service_state(service).queue
    for number in queue.expired(now):
        active = instance.requests[number]
        active.state = RequestState.NEW
        target = _remote_target(instance, active, now)
        if target:
            active.tried_regions.add(target.place.region)
            yield from pass_on(instance, active, target)
        else:
            yield from finish(instance, active, ResultCode.NO_SLOT, now)
    instance.lending.note_shortage(slot_group(service), len(queue))


def refuse_removed(instance: Instance, now: float) -> Iterator[Effect]:
    """Refuse requests that wait for a service that the bundle has no more."""
    for service, state in instance.services.items():
        if not _is_removed(instance, service):
            continue
        for queue in (state.queue, state.retries):
            while queued := queue.pop():
                active = instance.requests[queued.request]
                yield from finish(
                    instance, active, ResultCode.UNKNOWN_SERVICE, now
                )
        instance.lending.note_shortage(slot_group(service), 0)


def pass_on(
    instance: Instance,
    active: ActiveRequest,
    target: MemberRecord,
) -> Iterator[Effect]:
    """Pass a request to another instance."""
    charge_budget(instance, active)
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
    """Queue a request if a token was requested; else pass it on or refuse."""
    yield from send_token_requests(instance, now)
    if awaits_token(instance) and _may_queue(instance, active, now, 1):
        yield from _enqueue(instance, active, now, MAX_TOKEN_WAIT)
        return
    target = _remote_target(instance, active, now)
    if target:
        active.tried_regions.add(target.place.region)
        yield from pass_on(instance, active, target)
        return
    wait = delay_until_token(instance, active.service, now)
    yield from finish(instance, active, ResultCode.UPSTREAMS_LIMITED, now, wait)


def _wait_for_return(
    instance: Instance,
    active: ActiveRequest,
    code: ResultCode,
    now: float,
) -> Iterator[Effect]:
    """Pass a request on, queue it if an upstream returns soon, or refuse it."""
    delay = delay_until_return(instance, active.service, now)
    target = _remote_target(instance, active, now)
    if target:
        active.tried_regions.add(target.place.region)
        yield from pass_on(instance, active, target)
    elif delay < _max_wait(instance, active, now) and _may_queue(
        instance, active, now, 1
    ):
        yield from _enqueue(instance, active, now)
    else:
        wait = retry_delay(instance, delay)
        yield from finish(instance, active, code, now, wait)


def _dispatch_queued(
    instance: Instance,
    queued: QueuedRequest,
    now: float,
) -> Generator[Effect, None, bool]:
    """Send a request of the queue; return whether it has left the queue."""
    active = instance.requests[queued.request]
    if now >= active.deadline:
        yield from finish(instance, active, ResultCode.NO_SLOT, now)
        return True
    placement = _acquire_unless_blocked(instance, active, now)
    if isinstance(placement, Placement):
        yield from _send(instance, active, placement, now)
        return True
    if placement in _BLOCKED_CODES:
        max_wait = queued.give_up_at - now
        yield from _wait_for_retry(instance, active, placement, now, max_wait)
        return True
    return False


def _dispatch_retry(
    instance: Instance,
    service: str,
    now: float,
) -> Iterator[Effect]:
    state = instance.service_state(service)
    if not state.retries.entries:
        return
    if not instance.retry_budget(service).has_retry:
        return
    queued = state.retries.pop()
    if queued:
        active = instance.requests[queued.request]
        active.state = RequestState.NEW
        yield from place(instance, active, now)


def _acquire_unless_blocked(
    instance: Instance,
    active: ActiveRequest,
    now: float,
) -> Placement | ResultCode:
    """Take permits for a local upstream, unless the request is blocked now."""
    if hold_time(instance, active, now):
        return ResultCode.REQUEST_HELD
    if active.failed_with and not may_send(instance, active):
        return active.failed_with
    return acquire_local_permits(instance, active, now)


def _send(
    instance: Instance,
    active: ActiveRequest,
    placement: Placement,
    now: float,
) -> Iterator[Effect]:
    charge_budget(instance, active)
    yield from send(instance, active, placement, now)


def _is_removed(instance: Instance, service: str) -> bool:
    topology = instance.configuration.topology
    return topology is None or service not in topology.services


def _refuse(
    instance: Instance,
    active: ActiveRequest,
    code: ResultCode,
    now: float,
) -> Iterator[Effect]:
    wait = hold_time(instance, active, now)
    yield from finish(instance, active, code, now, wait)


def _may_queue(
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
    max_wait = _max_wait(instance, active, now)
    return wait <= max_wait * share


def _max_wait(instance: Instance, active: ActiveRequest, now: float) -> float:
    topology = instance.configuration.topology
    if topology is None:
        return 0
    service = topology.services[active.service].service
    state = instance.service_state(active.service)
    return min(
        service.queue_wait, active.deadline - now - state.typical_latency
    )


def _enqueue(
    instance: Instance,
    active: ActiveRequest,
    now: float,
    upper_bound: float = inf,
) -> Iterator[Effect]:
    state = instance.service_state(active.service)
    active.state = RequestState.WAITING
    expires_at = now + min(upper_bound, _max_wait(instance, active, now))
    state.queue.put(QueuedRequest(active.number, expires_at))
    group = slot_group(active.service)
    instance.lending.note_shortage(group, len(state.queue))
    yield from borrow(instance, group, now)


def _wait_for_retry(
    instance: Instance,
    active: ActiveRequest,
    code: ResultCode,
    now: float,
    upper_bound: float = inf,
) -> Iterator[Effect]:
    """Queue a request if a retry is expected in time; else refuse it."""
    max_wait = min(upper_bound, _max_wait(instance, active, now))
    quarantined = code is ResultCode.REQUEST_HELD
    if quarantined or not is_earned_within(instance, active, max_wait, now):
        yield from _refuse(instance, active, code, now)
        return
    active.state = RequestState.WAITING_FOR_BUDGET
    queued = QueuedRequest(active.number, now + max_wait)
    instance.service_state(active.service).retries.put(queued)


def _neighbour_for_lost_service(
    instance: Instance,
    active: ActiveRequest,
    now: float,
) -> MemberRecord | None:
    """Return an instance of this region for a request that cannot be sent.

    One request after the other is sent all the same, to find out whether the
    upstreams can be reached again.
    """
    if not instance.has_lost(active.service) or not _may_pass(instance, active):
        return None
    if hold_time(instance, active, now):
        return None
    reach = instance.service_state(active.service).reach
    is_first = active.idempotent and not active.attempts
    if is_first and reach.begin_trial(now):
        return None
    return choose_neighbour(instance, active, now)


def _remote_target(
    instance: Instance,
    active: ActiveRequest,
    now: float,
) -> MemberRecord | None:
    if not _may_pass(instance, active):
        return None
    return choose_remote_instance(instance, active, now)


def _may_pass(instance: Instance, active: ActiveRequest) -> bool:
    if active.head.passing is ArrivalPath.SHIFTED or active.caller_gone:
        return False
    if active.attempts >= instance.settings.attempt_limit:
        return False
    return may_send(instance, active)
