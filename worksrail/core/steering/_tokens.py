"""Tokens for requests to upstreams that name a rate limit."""

from collections.abc import Iterator
from typing import Final

from worksrail.core.pacing import Permission
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering.effects import (
    Decision,
    DecisionKind,
    Effect,
    SendPacingMessage,
)
from worksrail.core.steering.state import SteeringState

# Maximum number of tokens that one request asks for if replies are lost or
# tokens are denied: a service may have hundreds of upstreams with limits.
_MAX_TOKENS_ASKED: Final = 3


def may_ask_for_token(request: SteeredRequest) -> bool:
    """Whether a request may still ask for a token."""
    return request.tokens_requested < _MAX_TOKENS_ASKED


def obtain_token(
    state: SteeringState,
    request: SteeredRequest,
    upstream: str,
    now: float,
) -> Permission:
    """Obtain permission to send to an upstream, and a token if it needs one."""
    pacer = state.rates.named
    if pacer.permission(upstream, now) is Permission.TOKEN_NEEDED:
        request.tokens_requested += 1
    return pacer.obtain(upstream, now)


def await_token(
    state: SteeringState,
    request: SteeredRequest,
    upstream: str,
    now: float,
) -> Iterator[Effect]:
    """Make a request wait for a token of an upstream."""
    state.rates.waiting[request.number] = upstream
    yield Decision(DecisionKind.TOKEN_AWAITED, upstream, request.number)
    yield from send_token_requests(state, now, for_all=False)


def send_token_requests(
    state: SteeringState,
    now: float,
    *,
    for_all: bool = True,
) -> Iterator[SendPacingMessage]:
    """Request the tokens that are needed, and return unused ones."""
    for addressed in state.rates.named.make_requests(now, for_all=for_all):
        yield SendPacingMessage(addressed.peer, addressed.request)


def delay_until_token(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> float:
    """Return the seconds until any upstream of the service has a token."""
    names = state.catalog.names_of(request.service)
    return min((state.rates.named.wait(name, now) for name in names), default=0)
