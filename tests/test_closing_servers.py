"""What callers get from a server that is about to close, over real sockets."""

import asyncio
import itertools
from dataclasses import dataclass, field

import pytest
from tornado.httputil import HTTPHeaders, ResponseStartLine

from worksrail.core.results import ResultCode
from worksrail.daemon.http._exchange import Exchange
from worksrail.daemon.http._server import ExchangeServer, HttpLimits

_PART = b'x' * 65_536
_PARTS = 200
_PATIENCE_S = 20.0


@dataclass
class LongAnswers:
    """Answers each request with parts, without waiting for the reader."""

    arrivals: list[Exchange] = field(default_factory=list)
    """Requests that were read."""

    tasks: list[asyncio.Future[None]] = field(default_factory=list)
    """Answers that are being written."""

    def arrived(self, exchange: Exchange) -> None:
        """Write the whole answer, which the kernel cannot take at once."""
        self.arrivals.append(exchange)
        self.tasks.append(asyncio.ensure_future(self._answer(exchange)))

    def caller_gone(self, exchange: Exchange) -> None:
        """Do nothing."""

    async def _answer(self, exchange: Exchange) -> None:
        start = ResponseStartLine('HTTP/1.1', 200, 'OK')
        headers = HTTPHeaders({'Transfer-Encoding': 'chunked'})
        exchange.connection.write_headers(start, headers)
        exchange.begun = True
        for _ in range(_PARTS):
            exchange.connection.write(_PART)
        exchange.end()


def _server() -> tuple[ExchangeServer, LongAnswers, int]:
    handler = LongAnswers()
    server = ExchangeServer(handler, HttpLimits(), itertools.count(1))
    server.listen(0, '127.0.0.1')
    sockets = server._sockets.values()
    return server, handler, next(iter(sockets)).getsockname()[1]


async def _read_after_the_stop() -> bytes:
    server, handler, port = _server()
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
    head = await reader.readuntil(b'\r\n\r\n')
    server.stop()
    flushed = asyncio.ensure_future(server.flush())
    await asyncio.sleep(0)
    assert not flushed.done()
    read = asyncio.ensure_future(reader.readuntil(b'\r\n0\r\n\r\n'))
    reader._limit = len(_PART) * _PARTS * 2  # type: ignore[attr-defined]
    body = await read
    await flushed
    await server.close_connections()
    writer.close()
    assert handler.arrivals
    return head + body


def test_slow_reader_gets_the_end_of_its_answer_before_the_close() -> None:
    async def play() -> bytes:
        async with asyncio.timeout(_PATIENCE_S):
            return await _read_after_the_stop()

    answer = asyncio.run(play())
    assert answer.count(b'x') == len(_PART) * _PARTS


async def _refused_in_its_body(sent: bytes) -> bytes:
    server, handler, port = _server()
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(
        b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n' + sent
    )
    while not server.open.receiving:
        await asyncio.sleep(0.01)
    server.stop()
    server.refuse_unread(ResultCode.ENTRY_LEAVING)
    await server.flush()
    answer = await reader.readuntil(b'\r\n\r\n')
    await server.close_connections()
    writer.close()
    assert not handler.arrivals
    return answer


@pytest.mark.parametrize('sent', [b'', b'half'], ids=['none', 'some'])
def test_request_without_its_whole_body_is_refused_before_the_close(
    sent: bytes,
) -> None:
    async def play() -> bytes:
        async with asyncio.timeout(_PATIENCE_S):
            return await _refused_in_its_body(sent)

    answer = asyncio.run(play()).lower()
    assert answer.startswith(b'http/1.1 503')
    assert b'worksrail-result: 2105' in answer
    assert b'connection: close' in answer
