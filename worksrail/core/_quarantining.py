"""Holds requests under which upstreams crash, and tells others of them."""

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

# Changes in what is known of requests with crashes under them, in a heartbeat.
_CRASHES_LIMIT: Final = 64
_BROKEN: Final = frozenset(
    (AttemptOutcome.BROKE_BEFORE_ANSWER, AttemptOutcome.BROKE_IN_ANSWER)
)


def fingerprint_of(
    instance: Instance,
    active: ActiveRequest,
    event: RequestArrived,
) -> Fingerprint:
    """What a request has in common with its repetitions by the caller.

    Its trace and idempotency key are of one arrival or one order only.
    """
    head = event.head
    texts = (active.customer, head.method, head.host, head.path)
    key = instance.settings.fingerprint_key
    return fingerprint(key, texts, event.body_digest)


def hold_time(instance: Instance, active: ActiveRequest, now: float) -> float:
    """Seconds for which a request must not be sent; zero if it may be."""
    return instance.quarantine.hold_time(
        active.fingerprint, now, active.crash_number
    )


def learn_crash(
    instance: Instance,
    active: ActiveRequest,
    event: AttemptEnded,
) -> Iterator[Note]:
    """Take in what the end of an attempt says of the request itself."""
    if event.outcome is AttemptOutcome.ANSWERED:
        if instance.quarantine.record_response(active.fingerprint, event.now):
            yield _note(NoteKind.QUARANTINE_CLEARED, active)
    elif event.outcome in _BROKEN and active.upstream is not None:
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


def crashes_to_tell(
    instance: Instance,
    now: float,
) -> tuple[AdvertisedCrashes, ...]:
    """What a heartbeat tells of requests that crash upstreams."""
    return instance.quarantine.advertise(_CRASHES_LIMIT, now, instance.rng)


def receive_crashes(
    instance: Instance,
    crashes: Iterable[AdvertisedCrashes],
    now: float,
) -> Iterator[Note]:
    """Take in what another instance tells of them."""
    for told in crashes:
        if instance.quarantine.receive(told, now):
            yield Note(NoteKind.QUARANTINED, label(told.fingerprint))


def _note(kind: NoteKind, active: ActiveRequest) -> Note:
    return Note(kind, label(active.fingerprint), active.number)
