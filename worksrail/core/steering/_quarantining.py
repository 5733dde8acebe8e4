"""Tells which requests upstreams crash under."""

from collections.abc import Iterator

from worksrail.core.quarantine import Fingerprint, fingerprint
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering.effects import Decision, DecisionKind
from worksrail.core.steering.events import AttemptEnded, AttemptOutcome
from worksrail.core.steering.state import SteeringState


def fingerprint_of(
    state: SteeringState,
    request: SteeredRequest,
    body_digest: bytes,
) -> Fingerprint:
    """What a request has in common with its repetitions by the caller.

    The identifier and the time left are of one arrival only.
    """
    head = request.head
    parts = (
        request.customer_name,
        head.method,
        head.host,
        head.target,
        head.key,
    )
    encoded = (part.encode(errors='surrogateescape') for part in parts)
    return fingerprint(state.settings.fingerprint_key, (*encoded, body_digest))


def learn_crash(
    state: SteeringState,
    request: SteeredRequest,
    event: AttemptEnded,
) -> Iterator[Decision]:
    """Say under which request the connection to an upstream broke."""
    if event.outcome is AttemptOutcome.BROKE_BEFORE_ANSWER:
        yield Decision(
            DecisionKind.CRASH_SUSPECTED,
            f'{request.fingerprint:016x}',
            request.number,
            (
                ('upstream', request.upstream),
                ('route', request.route.name),
                ('after', round(event.now - request.sent_at, 4)),
                ('beside', state.loads.of(request.upstream).own),
            ),
        )
