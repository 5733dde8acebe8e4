"""Answers that an entry makes itself, for each method of a request."""

import asyncio
import itertools

import pytest
from tornado.testing import bind_unused_port

from worksrail.core.results import ResultCode
from worksrail.daemon.http._dialect import CallerDialect, OwnDialect
from worksrail.daemon.http._exchange import Exchange
from worksrail.daemon.http._server import ExchangeServer, HttpLimits
from worksrail.platform import PlatformCallers

_DOCUMENT = b'{"ready": true}'
_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'DELETE', 'OPTIONS', 'PATCH')


class _Answering:
    """Answers with a document, or with a result where the path says so."""

    def arrived(self, exchange: Exchange) -> None:
        """Answer at once."""
        if exchange.start.path == '/document':
            exchange.answer_document(_DOCUMENT)
        else:
            exchange.answer_result(ResultCode.NOT_READY)

    def caller_gone(self, exchange: Exchange) -> None:
        """Do nothing."""


async def _ask(dialect: CallerDialect, method: str, path: str) -> bytes:
    """Return what comes for a request and another one behind it."""
    server = ExchangeServer(
        _Answering(), HttpLimits(), itertools.count(1), dialect
    )
    listening, port = bind_unused_port(address='127.0.0.1')
    server.add_socket(listening)
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    head = 'Host: a\r\nContent-Length: 0\r\n'
    writer.write(
        f'{method} {path} HTTP/1.1\r\n{head}\r\n'
        f'GET /document HTTP/1.1\r\n{head}Connection: close\r\n\r\n'.encode()
    )
    async with asyncio.timeout(30):
        received = await reader.read(-1)
    writer.close()
    server.stop()
    return received


# A document for HEAD was written with a body, so the connection closed without
# an answer, and the request behind it was lost.
@pytest.mark.parametrize('path', ['/document', '/result'])
@pytest.mark.parametrize('method', _METHODS)
@pytest.mark.parametrize(
    'dialect', [OwnDialect(), PlatformCallers()], ids=['own', 'platform']
)
def test_own_answer_keeps_the_connection(
    dialect: CallerDialect, method: str, path: str
) -> None:
    received = asyncio.run(_ask(dialect, method, path))
    first, _, rest = received.partition(b'\r\n\r\n')
    status = b'200' if path == '/document' else b'503'
    assert first.split(b' ')[1] == status
    assert rest.count(b'HTTP/1.1 200 OK') == 1
    assert rest.endswith(_DOCUMENT)
    if method == 'HEAD':
        assert rest.startswith(b'HTTP/1.1')
