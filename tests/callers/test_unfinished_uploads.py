"""No request follows one on a connection that was not written whole."""

import asyncio
import contextlib
from math import inf

import pytest
from tornado import httputil

from worksrail.daemon.http._attempt import AttemptEnd, HttpAttempt, Outgoing
from worksrail.daemon.http._body import BodyStream
from worksrail.daemon.http._collected import CollectedAnswer
from worksrail.daemon.http._connections import ConnectionPool

_SIZE = 1000
_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone'
# Seconds until an attempt whose body never ends is given up.
_DEADLINE_S = 0.5


async def _answer_early(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.closing(writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(_ANSWER)
        await reader.read(-1)


async def _upload(sent: int, *, leaves: bool) -> tuple[AttemptEnd, int]:
    """Return how an upload ended, and how many connections are pooled."""
    server = await asyncio.start_server(_answer_early, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    loop = asyncio.get_running_loop()
    pool = ConnectionPool(loop.time)
    body = BodyStream()
    if sent:
        await body.feed(bytes(sent))
    if leaves:
        body.break_off()
    else:
        body.end()
    attempt = HttpAttempt(
        pool,
        loop.time,
        Outgoing(
            f'{host}:{port}',
            httputil.RequestStartLine('POST', '/', 'HTTP/1.1'),
            httputil.HTTPHeaders({'Host': 'a', 'Content-Length': str(_SIZE)}),
            inf,
            loop.time() + _DEADLINE_S,
        ),
        body,
        CollectedAnswer(),
    )
    report = await attempt.run()
    pooled = sum(map(len, pool.idle.values()))
    pool.close()
    server.close()
    return report.end, pooled


# The next request on the connection was taken for the rest of the body.
@pytest.mark.parametrize(
    ('sent', 'leaves', 'pooled'),
    [
        pytest.param(_SIZE, False, 1, id='whole'),
        pytest.param(_SIZE // 2, True, 0, id='caller leaves within the body'),
        pytest.param(0, True, 0, id='caller leaves before the body'),
        pytest.param(_SIZE // 2, False, 0, id='shorter than stated'),
        pytest.param(_SIZE + 1, False, 0, id='longer than stated'),
    ],
)
def test_connection_of_an_unfinished_upload_is_not_used_again(
    sent: int, leaves: bool, pooled: int
) -> None:
    _, connections = asyncio.run(_upload(sent, leaves=leaves))
    assert connections == pooled
