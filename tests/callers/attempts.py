"""The attempts of both modes, with an engine that only records events."""

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, Protocol

from tornado.httputil import HTTPHeaders, RequestStartLine

from tests.steering.world import settings
from worksrail.core.effects import CancelRequest
from worksrail.core.effects import (
    PassRequest as OwnPassRequest,
)
from worksrail.core.effects import (
    SendUpstream as OwnSendUpstream,
)
from worksrail.core.identity import Incarnation
from worksrail.core.requests import TicketSigner
from worksrail.core.steering import PassingTerms, SteeringState
from worksrail.core.steering.effects import (
    CancelAttempt,
    PassRequest,
    SendUpstream,
)
from worksrail.daemon.http._exchange import Exchange
from worksrail.daemon.http._requests import HttpRequests
from worksrail.daemon.steered import Adapter
from worksrail.daemon.steered._requests import SteeredRequests
from worksrail.platform import (
    PlatformCallers,
    PlatformStore,
    PlatformUpstreams,
)

_DEADLINE_S = 9.0


class Attempts(Protocol):
    """Starts and cancels the attempt of request 1."""

    ended: list[Any]
    """Events that were dispatched."""

    def send(self, address: str) -> None:
        """Send the request to an upstream."""

    def pass_on(self, address: str) -> None:
        """Pass the request to another entry."""

    def cancel(self) -> None:
        """Cancel the attempt."""


def _exchange() -> Exchange:
    exchange = Exchange(
        None,  # type: ignore[arg-type]
        RequestStartLine('GET', '/', 'HTTP/1.1'),
        HTTPHeaders({'Host': 'orders.example', 'Request-Id': 'trace-1'}),
        '10.0.0.1',
        'trace-1',
        1,
    )
    exchange.body.end()
    return exchange


@dataclass
class OwnAttempts:
    """Attempts of the product's own mode."""

    pool: Any
    ended: list[Any] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create the requests."""
        active = SimpleNamespace(home='a', customer='', upstream=None)
        engine: Any = SimpleNamespace(
            now=lambda: 0.0,
            dispatch=self.ended.append,
            instance=SimpleNamespace(
                requests={1: active}, place=SimpleNamespace(region='a')
            ),
        )
        self.requests = HttpRequests(
            engine, self.pool, self.pool, lambda: TicketSigner((b's',))
        )
        self.requests.exchanges[1] = _exchange()

    def send(self, address: str) -> None:
        """Send the request to an upstream."""
        self.requests.send_upstream(
            OwnSendUpstream(1, 'u', address, _DEADLINE_S, _DEADLINE_S, True)
        )

    def pass_on(self, address: str) -> None:
        """Pass the request to another entry."""
        self.requests.pass_request(
            OwnPassRequest(1, 'peer', address, _DEADLINE_S, 'a', False)
        )

    def cancel(self) -> None:
        """Cancel the attempt."""
        self.requests.cancel(CancelRequest(1))


@dataclass
class SteeredAttempts:
    """Attempts on the users' platform."""

    pool: Any
    ended: list[Any] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create the requests."""
        engine: Any = SimpleNamespace(
            now=lambda: 0.0,
            dispatch=self.ended.append,
            state=SteeringState.from_settings(
                settings(), Incarnation('one', 1), 0, 1
            ),
        )
        adapter = Adapter(
            settings, PlatformCallers(), PlatformUpstreams(), PlatformStore
        )
        self.requests = SteeredRequests(engine, adapter, self.pool, self.pool)
        self.requests.exchanges[1] = _exchange()

    def send(self, address: str) -> None:
        """Send the request to an upstream."""
        self.requests.send_upstream(
            SendUpstream(1, 1, 'i-1', address, _DEADLINE_S, _DEADLINE_S)
        )

    def pass_on(self, address: str) -> None:
        """Pass the request to another entry."""
        terms = PassingTerms(
            'one', 'orders', 'read', 'safe', 1.0, 1, 2, False, (), '', 0, 1
        )
        self.requests.pass_request(
            PassRequest(1, 1, address, _DEADLINE_S, _DEADLINE_S, terms)
        )

    def cancel(self) -> None:
        """Cancel the attempt."""
        self.requests.cancel(CancelAttempt(1, 1))


async def turns(count: int) -> None:
    """Let the event loop run some turns."""
    for _ in range(count):
        await asyncio.sleep(0)
