"""Rate limits that upstreams name, enforced over all entries with tokens."""

from collections.abc import Collection, Iterable, Iterator

from worksrail.core.pacing import (
    AdvertisedLimit,
    TokenRequest,
    receive_limits,
)
from worksrail.core.steering._members import members_by_region
from worksrail.core.steering._named_limits import limit_decision
from worksrail.core.steering._placing import drop, place
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._tokens import send_token_requests
from worksrail.core.steering.effects import (
    Decision,
    Effect,
    SendPacingMessage,
)
from worksrail.core.steering.events import (
    PacingMessageReceived,
    RequestNumber,
)
from worksrail.core.steering.state import SteeringState


def receive_named_limits(
    state: SteeringState,
    reported: Iterable[AdvertisedLimit],
    now: float,
) -> Iterator[Decision]:
    """Handle the limits of upstreams that another entry advertises."""
    known = state.catalog.upstreams
    for change in receive_limits(state.rates.named, reported, known, now):
        yield limit_decision(change)


def on_pacing_message(
    state: SteeringState,
    event: PacingMessageReceived,
) -> Iterator[Effect]:
    """Issue tokens, or resume the requests that waited for them."""
    now = event.now
    message = event.message
    yield from receive_named_limits(state, message.limits, now)
    pacer = state.rates.named
    if isinstance(message, TokenRequest):
        yield SendPacingMessage(message.peer, pacer.serve(message, now))
    else:
        yield from _resume(state, pacer.receive_grant(message, now), now)


def maintain_pacing(state: SteeringState, now: float) -> Iterator[Effect]:
    """Update the possible issuers, and request, return and expire tokens."""
    pacer = state.rates.named
    if not pacer.has_limits:
        return
    if pacer.is_group_update_due(now) and state.settled(now):
        pacer.forget(state.catalog.upstreams, now)
        pacer.follow(members_by_region(state, now), now)
    yield from _resume(state, pacer.expire_requests(now), now)
    yield from send_token_requests(state, now)


def _resume(
    state: SteeringState,
    upstreams: Collection[str],
    now: float,
) -> Iterator[Effect]:
    """Place the requests that waited for some upstreams, most urgent first."""
    waiting = state.rates.waiting
    numbers = [
        number for number, upstream in waiting.items() if upstream in upstreams
    ]
    found = [_pop_waiting(state, number) for number in numbers]
    requests = [request for request in found if request]
    for request in sorted(requests, key=_rank):
        if request.caller_gone:
            yield from drop(state, request)
        else:
            yield from place(state, request, now)


def _pop_waiting(
    state: SteeringState,
    number: RequestNumber,
) -> SteeredRequest | None:
    state.rates.waiting.pop(number)
    return state.requests.get(number)


def _rank(request: SteeredRequest) -> tuple[int, float]:
    return request.priority, request.arrived_at
