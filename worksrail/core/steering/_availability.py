"""Learns what upstreams state about themselves in their answers."""

from collections.abc import Iterable, Iterator
from typing import Final

from worksrail.core.availability import (
    AdvertisedBackoff,
    AvailabilityNotice,
)
from worksrail.core.steering._backing_off import usual_rate_at
from worksrail.core.steering._ending import abandon_other
from worksrail.core.steering._named_limits import learn_limit
from worksrail.core.steering._reports import learn_load
from worksrail.core.steering.effects import (
    Decision,
    DecisionKind,
    DropConnections,
    Effect,
)
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
    if request is None or not request.select(event.attempt):
        return
    if event.begins:
        request.answering = True
        yield from abandon_other(state, request, event.now)
    if not request.current.upstream:
        return
    if event.limit:
        yield from learn_limit(state, request, event.limit)
    if event.load:
        learn_load(state, request, event.load, event.now)
    if event.notice.is_empty:
        return
    if event.notice.backoff:
        # An upstream that rejects again as soon as it gets requests is taken
        # for overloaded like any other that rejects.
        request.current.backed_off = not state.rates.backoffs.has_lately_ended(
            request.current.upstream, event.now
        )
    yield from learn_notice(
        state, request.current.upstream, event.notice, event.now, request.number
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
    if notice.leaving:
        yield from _exclude_leaving(state, name, now, request)
    if notice.backoff:
        usual = usual_rate_at(state, name, now)
        if state.rates.backoffs.note(name, notice.backoff, now, usual):
            state.next_digest_at = now
            yield Decision(
                DecisionKind.UPSTREAM_BACKOFF,
                name,
                request,
                (('seconds', round(notice.backoff, 3)),),
            )


def receive_leaving(
    state: SteeringState,
    names: Iterable[str],
    now: float,
) -> Iterator[Effect]:
    """Learn from another entry which upstreams say that they leave."""
    for name in names:
        if name in state.catalog.upstreams:
            yield from _exclude_leaving(state, name, now, told=True)


def leaving_to_advertise(
    state: SteeringState,
    max_count: int,
    now: float,
    *,
    with_all: bool,
) -> tuple[str, ...]:
    """Return the leaving upstreams to name in a digest.

    Those whose records say the same are not repeated.
    """
    catalog = state.catalog
    names = catalog.leaving.advertise(max_count, now, with_all=with_all)
    return tuple(
        name
        for name in names
        if name in catalog.upstreams
        and not catalog.upstreams[name].record.draining
    )


def receive_backoffs(
    state: SteeringState,
    advertised: Iterable[AdvertisedBackoff],
    now: float,
) -> None:
    """Learn which upstreams have asked other entries for a backoff."""
    for one in advertised:
        if one.upstream in state.catalog.upstreams:
            usual = usual_rate_at(state, one.upstream, now)
            state.rates.backoffs.note_told(one, now, usual)


def wants_requests(state: SteeringState, name: str, now: float) -> bool:
    """Return whether an upstream has said nothing against requests now."""
    if name in state.catalog.leaving:
        return False
    return not state.rates.backoffs.is_active(name, now)


def maintain_availability(
    state: SteeringState,
    now: float,
) -> Iterator[Decision]:
    """Log the ends of backoffs, and forget upstreams that are gone."""
    state.catalog.leaving.forget(state.catalog.upstreams, now)
    for name in state.rates.backoffs.take_ended(now, _BACKOFF_TTL):
        yield Decision(DecisionKind.UPSTREAM_RESUMED, name)


def _exclude_leaving(
    state: SteeringState,
    name: str,
    now: float,
    request: RequestNumber = 0,
    *,
    told: bool = False,
) -> Iterator[Effect]:
    """Send nothing more to an upstream that leaves, and tell other entries."""
    if not state.catalog.mark_leaving(name, now):
        return
    yield Decision(
        DecisionKind.UPSTREAM_LEAVING,
        name,
        request,
        (('told', int(told)),),
    )
    yield DropConnections(state.catalog.upstreams[name].record.address)
    state.next_digest_at = now
    state.next_zone_digest_at = now
