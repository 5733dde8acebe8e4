"""Whether a request may go to an upstream that names a limit."""

from collections.abc import Iterator
from typing import Final

from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering.effects import (
    Decision,
    DecisionKind,
    Effect,
    SendPacingMessage,
)
from worksrail.core.steering.state import SteeringState

# Seconds from the first token that a request asks for in which it may ask for
# others, if answers are lost or some are denied.
_ASKING: Final = 0.4


def may_wait_for_token(request: SteeredRequest, now: float) -> bool:
    """Whether a request may still wait for a token."""
    return not request.asking_since or now - request.asking_since < _ASKING


def await_token(
    state: SteeringState,
    request: SteeredRequest,
    upstream: str,
    now: float,
) -> Iterator[Effect]:
    """Let a request wait for a token of an upstream."""
    request.asking_since = request.asking_since or now
    state.rates.waiting[request.number] = upstream
    yield Decision(DecisionKind.TOKEN_AWAITED, upstream, request.number)
    yield from send_token_requests(state, now)


def send_token_requests(
    state: SteeringState,
    now: float,
) -> Iterator[SendPacingMessage]:
    """Ask for the tokens that are wanted, and return those not used."""
    for addressed in state.rates.named.ask(now):
        yield SendPacingMessage(addressed.peer, addressed.request)


def pause_until_token(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> float:
    """Seconds until a token is expected at any upstream of the service."""
    names = state.catalog.names_of(request.service)
    return min((state.rates.named.wait(name, now) for name in names), default=0)
