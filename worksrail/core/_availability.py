"""Availability that upstreams state in their answers: learning, refusing."""

from collections.abc import Iterator
from math import inf
from typing import Final

from worksrail.core._pacing import learn_limit
from worksrail.core.effects import Note, NoteKind
from worksrail.core.events import NoticeReceived
from worksrail.core.instance import Instance
from worksrail.core.permits import PoolKey, slot_group
from worksrail.core.requests.active import ActiveRequest, RequestState
from worksrail.core.results import ResultCode

# Seconds for which a backoff is remembered after its end.
_BACKOFF_TTL: Final = 2.0
# Refused callers are asked to come back over this multiple of the time for
# which their upstreams are unavailable.
_SPREAD_FACTOR: Final = 2.0


def on_notice(instance: Instance, event: NoticeReceived) -> Iterator[Note]:
    """Learn from the head of an answer, before its body has arrived."""
    active = instance.requests.get(event.request)
    if active is None or active.upstream is None:
        return
    if active.state is not RequestState.SENT:
        return
    key = active.upstream
    if event.limit:
        yield from learn_limit(instance, key, active.number, event.limit)
    if not event.notice.is_empty:
        yield from _learn_notice(instance, active, key, event)
    _stop_requests(instance, key, event.now)


def _learn_notice(
    instance: Instance,
    active: ActiveRequest,
    key: PoolKey,
    event: NoticeReceived,
) -> Iterator[Note]:
    for statement in event.notice.unreadable:
        if instance.backoffs.note_unreadable(key, statement):
            kind = NoteKind.UPSTREAM_NOTICE_UNREADABLE
            yield Note(kind, key, active.number)
    if event.notice.backoff:
        # An upstream that rejects again as soon as it gets requests counts as
        # failing like any other that rejects.
        ended = instance.backoffs.has_lately_ended(key, event.now)
        active.backed_off = not ended
        if instance.backoffs.note(key, event.notice.backoff, event.now):
            yield Note(NoteKind.UPSTREAM_BACKOFF, key, active.number)
    if event.notice.leaving:
        health = instance.upstream_health(key)
        if not health.is_leaving(event.now):
            yield Note(NoteKind.UPSTREAM_LEAVING, key, active.number)
        health.leaving_until = event.now + instance.settings.leave_time


def maintain_availability(instance: Instance, now: float) -> Iterator[Note]:
    """Log the ends of backoffs."""
    for key in instance.backoffs.take_ended(now, _BACKOFF_TTL):
        yield Note(NoteKind.UPSTREAM_RESUMED, key)


def code_if_unavailable(
    instance: Instance,
    service: str,
    now: float,
) -> ResultCode | None:
    """Return why no upstream of a service wants requests; None if one does."""
    keys = _pools_of(instance, service)
    if not keys or any(instance.wants_requests(key, now) for key in keys):
        return None
    if all(instance.upstream_health(key).is_leaving(now) for key in keys):
        return ResultCode.UPSTREAMS_LEAVING
    return ResultCode.UPSTREAMS_BACKING_OFF


def delay_until_return(instance: Instance, service: str, now: float) -> float:
    """Seconds until the first upstream of a service wants requests again."""
    return min(
        (
            instance.unavailable_until(key) - now
            for key in _pools_of(instance, service)
        ),
        default=inf,
    )


def retry_delay(instance: Instance, delay: float) -> float:
    """Seconds after which a refused caller should come back.

    The random part keeps callers from returning all at once.
    """
    return delay + instance.rng.uniform(0, delay * _SPREAD_FACTOR)


def _pools_of(instance: Instance, service: str) -> list[PoolKey]:
    group = instance.ledger.groups.get(slot_group(service))
    return group.pools if group else []


def _stop_requests(instance: Instance, key: PoolKey, now: float) -> None:
    if key in instance.ledger.pools and not instance.wants_requests(key, now):
        instance.monitored.add(key)
        instance.ledger.limit_pool(key, 0)
        instance.ledger.refresh_pool(key, now)
