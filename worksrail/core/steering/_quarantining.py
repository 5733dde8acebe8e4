"""Detects requests that crash upstreams, and holds them."""

from collections.abc import Iterable, Iterator
from typing import Final

from worksrail.core.quarantine import (
    CRASHES_UNTIL_HELD,
    AdvertisedCrashes,
    Crash,
    Fingerprint,
    fingerprint,
    label,
)
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering.effects import Decision, DecisionKind
from worksrail.core.steering.events import AttemptEnded, AttemptOutcome
from worksrail.core.steering.state import SteeringState

_BROKEN: Final = frozenset(
    (AttemptOutcome.BROKE_BEFORE_ANSWER, AttemptOutcome.BROKE_IN_ANSWER)
)


def fingerprint_of(
    state: SteeringState,
    request: SteeredRequest,
    body_digest: bytes,
) -> Fingerprint:
    """Return a hash that is the same when the caller repeats the request.

    The identifier and the time left differ on each arrival and are left out.
    """
    head = request.head
    texts = (
        request.customer_name,
        head.method,
        head.host,
        head.target,
        head.key,
    )
    return fingerprint(state.settings.fingerprint_key, texts, body_digest)


def hold_time(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> float:
    """Return the seconds for which a request is held; zero if it is not."""
    return state.quarantine.hold_time(
        request.fingerprint, now, request.current.crash_number
    )


def record_sent(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> Iterator[Decision]:
    """Record that a request is sent.

    The crashes known at this moment decide how a crash of the attempt counts.
    """
    number = state.quarantine.begin(request.fingerprint, now)
    request.current.crash_number = number
    if number > CRASHES_UNTIL_HELD:
        yield _decision(DecisionKind.QUARANTINE_TRIED, request, number - 1)


def learn_crash(
    state: SteeringState,
    request: SteeredRequest,
    event: AttemptEnded,
) -> Iterator[Decision]:
    """Update the quarantine from the outcome of an attempt."""
    quarantine = state.quarantine
    if event.outcome is AttemptOutcome.ANSWERED:
        cleared = quarantine.record_response(request.fingerprint, event.now)
        if cleared:
            yield _decision(DecisionKind.QUARANTINE_CLEARED, request, cleared)
    elif event.outcome in _BROKEN:
        crash = Crash(
            request.current.upstream,
            request.current.crash_number,
            state.loads.of(request.current.upstream).last_success_at,
            request.current.sent_at,
        )
        crashes = quarantine.record_crash(request.fingerprint, crash, event.now)
        request.current.crash_number = 0
        yield _decision(
            DecisionKind.CRASH_SUSPECTED,
            request,
            crashes,
            ('after', round(event.now - request.current.sent_at, 4)),
            ('beside', state.loads.of(request.current.upstream).own),
        )
        if crashes >= CRASHES_UNTIL_HELD:
            yield _decision(DecisionKind.QUARANTINED, request, crashes)


def receive_crashes(
    state: SteeringState,
    crashes: Iterable[AdvertisedCrashes],
    now: float,
) -> Iterator[Decision]:
    """Handle the crashes that another entry advertises."""
    for report in crashes:
        if state.quarantine.receive(report, now):
            yield Decision(
                DecisionKind.QUARANTINED,
                label(report.fingerprint),
                inputs=(('crashes', report.count), ('told', 1)),
            )


def _decision(
    kind: DecisionKind,
    request: SteeredRequest,
    crashes: int,
    *inputs: tuple[str, float | int | str],
) -> Decision:
    return Decision(
        kind,
        label(request.fingerprint),
        request.number,
        (
            ('crashes', crashes),
            ('upstream', request.current.upstream),
            ('route', request.route.name),
            *inputs,
        ),
    )
