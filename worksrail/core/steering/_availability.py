"""Learns what upstreams state about themselves in their answers."""

from collections.abc import Iterator
from typing import Final

from worksrail.core.availability import AvailabilityNotice
from worksrail.core.steering.effects import Decision, DecisionKind, Effect
from worksrail.core.steering.events import NoticeReceived, RequestNumber
from worksrail.core.steering.state import SteeringState

# Seconds for which a backoff is remembered after its end.
_BACKOFF_TTL: Final = 2.0


def on_notice(
    state: SteeringState,
    event: NoticeReceived,
) -> Iterator[Effect]:
    """Learn from the head of an answer, before its body has arrived."""
    request = state.requests.get(event.request)
    if request is None or event.attempt != request.attempts:
        return
    yield from learn_notice(
        state, request.upstream, event.notice, event.now, request.number
    )


def learn_notice(
    state: SteeringState,
    name: str,
    notice: AvailabilityNotice,
    now: float,
    request: RequestNumber = 0,
) -> Iterator[Effect]:
    """Learn what an upstream states about itself."""
    if name not in state.catalog.upstreams:
        return
    for statement in notice.unreadable:
        if state.rates.backoffs.note_unreadable(name, statement):
            yield Decision(
                DecisionKind.UPSTREAM_NOTICE_UNREADABLE,
                name,
                request,
                (('statement', statement.name.lower()),),
            )
    if notice.leaving and state.catalog.leaving.note(name, now):
        yield Decision(DecisionKind.UPSTREAM_LEAVING, name, request)
    if notice.backoff and state.rates.backoffs.note(name, notice.backoff, now):
        yield Decision(
            DecisionKind.UPSTREAM_BACKOFF,
            name,
            request,
            (('seconds', round(notice.backoff, 3)),),
        )


def maintain_availability(
    state: SteeringState,
    now: float,
) -> Iterator[Decision]:
    """Log the ends of backoffs, and forget upstreams that are gone."""
    state.catalog.leaving.forget(state.catalog.upstreams, now)
    for name in state.rates.backoffs.take_ended(now, _BACKOFF_TTL):
        yield Decision(DecisionKind.UPSTREAM_RESUMED, name)
