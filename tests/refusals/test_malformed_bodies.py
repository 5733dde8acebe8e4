"""A body that becomes malformed after its request was passed on."""

import asyncio
import itertools

import pytest
from tornado.testing import bind_unused_port

from worksrail.core.results import ResultCode
from worksrail.daemon.http._body import REPLAY_LIMIT
from worksrail.daemon.http._dialect import CallerDialect, OwnDialect
from worksrail.daemon.http._exchange import Exchange
from worksrail.daemon.http._server import ExchangeServer, HttpLimits
from worksrail.platform import PlatformCallers


class _Handler:
    """Has requests in progress that no upstream has answered yet."""

    def __init__(self) -> None:
        """Begin with none."""
        self.begun = 0
        self.left = 0

    def arrived(self, exchange: Exchange) -> None:
        """Begin a request."""
        self.begun += 1

    def caller_gone(self, exchange: Exchange) -> None:
        """Note that its caller has left."""
        self.left += 1


async def _send(dialect: CallerDialect, before: int) -> tuple[bytes, _Handler]:
    """Send bytes of a body and then a chunk that is malformed."""
    handler = _Handler()
    server = ExchangeServer(handler, HttpLimits(), itertools.count(1), dialect)
    listening, port = bind_unused_port(address='127.0.0.1')
    server.add_socket(listening)
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(
        b'POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
    )
    if before:
        writer.write(b'%x\r\n%s\r\n' % (before, b'x' * before))
    writer.write(b'no size\r\n')
    async with asyncio.timeout(30):
        received = await reader.read(-1)
    writer.close()
    server.stop()
    return received, handler


# A caller was told that its request did not run, though an upstream had got it.
@pytest.mark.parametrize(
    'dialect', [OwnDialect(), PlatformCallers()], ids=['own', 'platform']
)
def test_request_that_was_passed_on_is_not_called_not_run(
    dialect: CallerDialect,
) -> None:
    received, handler = asyncio.run(_send(dialect, 2 * REPLAY_LIMIT))
    assert handler.begun == 1
    assert handler.left == 1
    assert received == b''


@pytest.mark.parametrize('before', [0, 10])
def test_request_that_was_not_passed_on_is_refused(before: int) -> None:
    received, handler = asyncio.run(_send(OwnDialect(), before))
    assert not handler.begun
    code = ResultCode.MALFORMED_REQUEST.number
    assert f'Worksrail-Result: {code}'.encode() in received
    assert b'Worksrail-Not-Run: true' in received
