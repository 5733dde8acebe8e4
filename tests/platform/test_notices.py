"""Answers whose heads state something about their upstream, over sockets."""

import asyncio

import pytest
from tornado import httputil

from tests.platform.upstream import RawUpstream, Reply, answer
from worksrail.core.availability import AvailabilityNotice
from worksrail.daemon.http._attempt import AttemptEnd, HttpAttempt, Outgoing
from worksrail.daemon.http._body import BodyStream
from worksrail.daemon.http._collected import CollectedAnswer
from worksrail.daemon.http._connections import ConnectionPool
from worksrail.platform._dialect import PlatformUpstreams

_LEAVING = AvailabilityNotice(leaving=True)
_BACKOFF = AvailabilityNotice(backoff=3)


async def _heard(
    reply: bytes, *, close: bool = False
) -> tuple[list[AvailabilityNotice], AttemptEnd]:
    """Return the notices of one attempt, and how it ended."""
    server = await RawUpstream(lambda number, trace: Reply(reply, close)).open()
    loop = asyncio.get_running_loop()
    heard: list[AvailabilityNotice] = []
    dialect = PlatformUpstreams()

    def observe(status: int, headers: httputil.HTTPHeaders) -> None:
        heard.append(dialect.read_notice(status, headers))

    pool = ConnectionPool(loop.time)
    attempt = HttpAttempt(
        pool,
        loop.time,
        Outgoing(
            server.address,
            httputil.RequestStartLine('GET', '/x', 'HTTP/1.1'),
            httputil.HTTPHeaders({'Host': 'a', 'Request-Id': 't1'}),
            loop.time() + 5,
            loop.time() + 2,
        ),
        BodyStream.from_bytes(b''),
        CollectedAnswer(),
        observe,
    )
    report = await attempt.run()
    pool.close()
    if server.server:
        server.server.close()
    return heard, report.end


def _head(status: int, *lines: str, length: int = 0) -> bytes:
    headers = ''.join(f'{line}\r\n' for line in lines)
    return (
        f'HTTP/1.1 {status} X\r\nRequest-Id: t1\r\n{headers}'
        f'Content-Length: {length}\r\n\r\n'
    ).encode()


@pytest.mark.parametrize(
    ('reply', 'close', 'notice', 'end'),
    [
        (answer('t1', extra='Server-Leaving: 1\r\n'), False, _LEAVING, 'WHOLE'),
        (_head(500, 'Server-Leaving: 1'), False, _LEAVING, 'WHOLE'),
        (
            _head(503, 'Server-Leaving: 1', 'Connection: close'),
            True,
            _LEAVING,
            'WHOLE',
        ),
        (
            _head(503, 'Not-Executed: 1', 'Retry-After: 3'),
            False,
            _BACKOFF,
            'WHOLE',
        ),
        (_head(503, 'Retry-After: 3'), False, _BACKOFF, 'WHOLE'),
        (
            _head(200, 'Server-Leaving: 1', length=9) + b'half',
            True,
            _LEAVING,
            'CUT_ANSWER',
        ),
        (
            _head(421, 'Server-Leaving: 1', 'Not-Executed: 1'),
            False,
            AvailabilityNotice(),
            'WHOLE',
        ),
        (_head(200, 'Retry-After: 3'), False, AvailabilityNotice(), 'WHOLE'),
    ],
)
def test_head_is_heard_whatever_becomes_of_the_body(
    reply: bytes,
    close: bool,
    notice: AvailabilityNotice,
    end: str,
) -> None:
    heard, ended = asyncio.run(_heard(reply, close=close))
    assert heard == [notice]
    assert ended is AttemptEnd[end]


@pytest.mark.parametrize(
    'reply',
    [
        b'Server-Leaving: 1\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nServer-Leaving 1\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nContent-Length: 1\r\n'
        b'Content-Length: 2\r\n\r\n',
    ],
)
def test_spoiled_head_states_nothing(reply: bytes) -> None:
    heard, _ = asyncio.run(_heard(reply, close=True))
    assert not heard
