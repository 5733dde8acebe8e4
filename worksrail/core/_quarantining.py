"""Quarantine of requests that crash upstreams, and what is advertised of it."""

from collections.abc import Iterable, Iterator
from typing import Final

from worksrail.core.effects import Note, NoteKind
from worksrail.core.events import AttemptEnded, AttemptOutcome, RequestArrived
from worksrail.core.instance import Instance
from worksrail.core.quarantine import (
    CRASHES_UNTIL_HELD,
    AdvertisedCrashes,
    Crash,
    Fingerprint,
    fingerprint,
    label,
)
from worksrail.core.requests.active import ActiveRequest

# Maximum number of changed crash records in one heartbeat.
_MAX_CRASHES_PER_HEARTBEAT: Final = 64
_CONNECTION_BROKEN: Final = frozenset(
    (AttemptOutcome.BROKE_BEFORE_ANSWER, AttemptOutcome.BROKE_IN_ANSWER)
)


def fingerprint_of(
    instance: Instance,
    active: ActiveRequest,
    event: RequestArrived,
) -> Fingerprint:
    """Fingerprint that a request shares with its repetitions by the caller.

    Trace and idempotency key are left out: they change with each arrival or
    each order.
    """
    head = event.head
    texts = (active.customer, head.method, head.host, head.path)
    key = instance.settings.fingerprint_key
    return fingerprint(key, texts, event.body_digest)


def hold_time(instance: Instance, active: ActiveRequest, now: float) -> float:
    """Remaining seconds of a request's quarantine; zero if it may be sent."""
    return instance.quarantine.hold_time(
        active.fingerprint, now, active.crash_number
    )


def learn_crash(
    instance: Instance,
    active: ActiveRequest,
    event: AttemptEnded,
) -> Iterator[Note]:
    """Record a crash or an answer under a request's fingerprint."""
    if event.outcome is AttemptOutcome.ANSWERED:
        if instance.quarantine.record_response(active.fingerprint, event.now):
            yield _note(NoteKind.QUARANTINE_CLEARED, active)
    elif event.outcome in _CONNECTION_BROKEN and active.upstream is not None:
        crash = Crash(
            str(active.upstream),
            active.crash_number,
            instance.upstream_health(active.upstream).last_success_at,
            active.sent_at,
        )
        crashes = instance.quarantine.record_crash(
            active.fingerprint, crash, event.now
        )
        active.crash_number = 0
        yield _note(NoteKind.CRASH_SUSPECTED, active)
        if crashes >= CRASHES_UNTIL_HELD:
            yield _note(NoteKind.QUARANTINED, active)


def crashes_to_advertise(
    instance: Instance,
    now: float,
) -> tuple[AdvertisedCrashes, ...]:
    """Crash records to advertise in a heartbeat."""
    return instance.quarantine.advertise(
        _MAX_CRASHES_PER_HEARTBEAT, now, instance.rng
    )


def receive_crashes(
    instance: Instance,
    crashes: Iterable[AdvertisedCrashes],
    now: float,
) -> Iterator[Note]:
    """Apply crash records that another instance advertises."""
    for advertised in crashes:
        if instance.quarantine.receive(advertised, now):
            yield Note(NoteKind.QUARANTINED, label(advertised.fingerprint))


def _note(kind: NoteKind, active: ActiveRequest) -> Note:
    return Note(kind, label(active.fingerprint), active.number)
