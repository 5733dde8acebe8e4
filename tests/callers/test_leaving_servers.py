"""A server notices callers that leave, whatever they sent before.

What was seen: behind an open request, bytes of the next one hid the end of the
connection, so that upstreams worked on for callers that had left.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import pytest
from tornado.testing import bind_unused_port

from tests.callers.leaving import WAYS, LeavingCaller, until
from worksrail.daemon.http._exchange import Exchange
from worksrail.daemon.http._server import ExchangeServer, HttpLimits

_GET = b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n'
_KEPT_BODY = 200_000
_LARGE_BODY = 8_000_000


def _post(size: int) -> bytes:
    head = f'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n'
    return head.encode() + bytes(size)


@dataclass
class _Handler:
    """Notes requests and callers that have left; answers when told to."""

    arrivals: list[Exchange] = field(default_factory=list)
    gone: list[Exchange] = field(default_factory=list)

    def arrived(self, exchange: Exchange) -> None:
        """Keep a request open."""
        self.arrivals.append(exchange)

    def caller_gone(self, exchange: Exchange) -> None:
        """Note that a caller has left."""
        self.gone.append(exchange)

    @property
    def has_noticed(self) -> bool:
        """Whether there are requests, and the callers of all have left."""
        return bool(self.arrivals) and len(self.gone) == len(self.arrivals)


def _play(
    play: Callable[[int, _Handler, ExchangeServer], Awaitable[None]],
) -> None:
    async def run() -> None:
        handler = _Handler()
        server = ExchangeServer(handler, HttpLimits(), itertools.count(1))
        listening, port = bind_unused_port(address='127.0.0.1')
        server.add_socket(listening)
        try:
            await play(port, handler, server)
        finally:
            server.stop()
            await server.close_connections()

    asyncio.run(run())


_SENT = {
    'one request': _GET,
    'a request with a body': _post(_KEPT_BODY),
    'half a head behind it': _GET + _GET[:12],
    'an empty line behind it': _GET + b'\r\n',
    'one request behind it': _GET * 2,
    'a write behind it': _GET + _post(10),
    'half a body behind it': _GET + _post(100)[:-50],
    'eight at once': _GET * 8,
    'a body and a request': _post(10) + _GET,
    'a body that nobody takes': _post(_LARGE_BODY),
    'a body that nobody takes and a request': _post(_KEPT_BODY * 3) + _GET,
    'fifty thousand at once': _GET * 50_000,
}


@pytest.mark.parametrize('way', WAYS)
@pytest.mark.parametrize('sent', _SENT)
def test_caller_that_leaves_is_noticed_whatever_it_sent(
    sent: str, way: str
) -> None:
    async def play(port: int, handler: _Handler, _: ExchangeServer) -> None:
        caller = LeavingCaller(port)
        await caller.send(_SENT[sent])
        assert await until(lambda: handler.arrivals)
        WAYS[way](caller)
        assert await until(lambda: handler.has_noticed)
        begun = len(handler.arrivals)
        for exchange in tuple(handler.arrivals):
            exchange.answer_document(b'')
            await asyncio.sleep(0.01)
        assert len(handler.arrivals) == begun
        caller.sock.close()

    _play(play)


@pytest.mark.parametrize('way', WAYS)
@pytest.mark.parametrize(
    'sent', [_GET[:12], _post(100)[:-50]], ids=['half a head', 'half a body']
)
def test_connection_of_a_half_read_request_ends_with_its_caller(
    sent: bytes, way: str
) -> None:
    async def play(
        port: int, handler: _Handler, server: ExchangeServer
    ) -> None:
        caller = LeavingCaller(port)
        await caller.send(sent)
        assert await until(lambda: server.open.connections)
        WAYS[way](caller)
        assert await until(lambda: not server.open.connections)
        assert not handler.arrivals
        caller.sock.close()

    _play(play)
