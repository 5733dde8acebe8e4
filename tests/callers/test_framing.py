"""What is sent on is the one request, or answer, that was received.

The other side of each message is a strict reader, whatever headers the sender
names in ``Connection`` to have them removed.
"""

import asyncio
import itertools
from enum import Enum, unique
from types import SimpleNamespace
from typing import Any

import pytest

from tests.callers.strict import Message, StrictUpstream, read_answer
from tests.refusals.entries import Way, open_entry
from worksrail.core.effects import PassRequest, SendUpstream
from worksrail.core.requests import TicketSigner
from worksrail.core.results import ResultCode
from worksrail.daemon.http._connections import ConnectionPool
from worksrail.daemon.http._exchange import Exchange
from worksrail.daemon.http._requests import HttpRequests
from worksrail.daemon.http._server import ExchangeServer, HttpLimits

_LONG = 70_000
_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'delete', 'BREW')
_CHUNKED = ('POST', 'PUT', 'PATCH')
_OPTIONS = (
    'keep-alive',
    'content-length',
    'transfer-encoding',
    'host',
    'request-id',
    'deadline-ms',
    'target-instance',
    'worksrail-terms',
    'worksrail-trace',
    'Content-Length, close, HOST, x-own',
)


@unique
class Path(Enum):
    """How a request reaches the upstream."""

    DIRECT = 'directly'
    PASSED = 'through another entry'
    REPEATED = 'with a second send, after a refusal'
    OWN = 'directly, in the own mode'
    OWN_PASSED = 'passed to another instance, in the own mode'


class _OwnHandler:
    """Sends each request of the own mode on at once."""

    def __init__(self, address: str, path: Path) -> None:
        """Take the address to send to."""
        self.address = address
        self.path = path
        active = SimpleNamespace(home='a', customer='', upstream=None)
        self.active: dict[int, Any] = {}
        engine: Any = SimpleNamespace(
            now=lambda: 0.0,
            dispatch=lambda _: None,
            instance=SimpleNamespace(
                requests=self.active, place=SimpleNamespace(region='a')
            ),
        )
        self.template = active
        pool = ConnectionPool(lambda: 0.0)
        self.requests = HttpRequests(
            engine, pool, pool, lambda: TicketSigner((b's',))
        )

    def arrived(self, exchange: Exchange) -> None:
        """Send it on."""
        number = exchange.number
        self.requests.exchanges[number] = exchange
        self.active[number] = self.template
        if self.path is Path.OWN:
            self.requests.send_upstream(
                SendUpstream(number, 'u', self.address, 9, 9, True)
            )
        else:
            self.requests.pass_request(
                PassRequest(number, 'peer', self.address, 9, 'a', False)
            )

    def caller_gone(self, exchange: Exchange) -> None:
        """Do nothing."""


def _listen(server: ExchangeServer) -> int:
    server.listen(0, '127.0.0.1')
    return int(next(iter(server._sockets.values())).getsockname()[1])


async def _open(path: Path, upstream: StrictUpstream) -> int:
    if path in {Path.OWN, Path.OWN_PASSED}:
        return _listen(
            ExchangeServer(
                _OwnHandler(upstream.address, path),
                HttpLimits(),
                itertools.count(1),
            )
        )
    way = Way.THROUGH_ANOTHER if path is Path.PASSED else Way.DIRECT
    # A refused request is sent to another upstream.
    second = StrictUpstream(upstream.answer, upstream.requests, upstream.faults)
    first, *_ = open_entry(way, upstream, await second.open())
    return first.open()


def _answer(path: Path) -> Any:
    def answer(request: Message, number: int) -> bytes:
        trace = (request.fields.get('request-id') or ['none'])[0]
        own = (request.fields.get('worksrail-trace') or ['none'])[0]
        named = (
            f'Request-Id: {trace}\r\nResponse-Signature: s\r\n'
            f'Worksrail-Trace: {own}\r\nWorksrail-Result: {ResultCode.OK.number}\r\n'
        )
        if path is Path.REPEATED and number % 2:
            return (
                f'HTTP/1.1 503 X\r\nNot-Executed: 1\r\n{named}'
                'Content-Length: 0\r\n\r\n'
            ).encode()
        if request.start[0] == 'HEAD':
            return (
                f'HTTP/1.1 200 OK\r\n{named}Content-Length: 4\r\n\r\n'.encode()
            )
        return (
            f'HTTP/1.1 200 OK\r\n{named}Content-Length: 4\r\n\r\ndone'
        ).encode()

    return answer


def _body(size: int) -> bytes:
    """Return a body that reads as a request."""
    if size < 100:
        return b'G' * size
    hidden = (
        b'DELETE /read/hidden HTTP/1.1\r\nHost: orders.example\r\n'
        b'Request-Id: hidden\r\nDeadline-Ms: 2000\r\n\r\n'
    )
    return hidden + b'\r\n' * ((size - len(hidden)) // 2)


def _request(
    method: str, trace: str, option: str, body: bytes, *, chunked: bool
) -> bytes:
    framing = ''
    sent = body
    if chunked:
        framing = 'Transfer-Encoding: chunked\r\n'
        sent = b'%x\r\n%s\r\n' % (len(body), body) if body else b''
        sent += b'0\r\n\r\n'
    elif body:
        framing = f'Content-Length: {len(body)}\r\n'
    return (
        f'{method} /write/x?y=1 HTTP/1.1\r\nHost: orders.example\r\n'
        f'Request-Id: {trace}\r\nDeadline-Ms: 4000\r\n'
        f'Worksrail-Deadline: 4\r\nConnection: {option}\r\n'
        f'X-Own: 1\r\n{framing}\r\n'
    ).encode() + sent


async def _exchange(port: int, request: bytes, method: str) -> str:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(request)
    try:
        async with asyncio.timeout(1):
            answer = await read_answer(reader, method)
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        return '0'
    finally:
        writer.close()
    return answer.start[0]


def _fault(
    sent: tuple[str, str, bytes], got: Message, option: str, path: Path
) -> str:
    """Return what is wrong with a request as an upstream got it."""
    method, trace, body = sent
    if got.start != (method, '/write/x?y=1'):
        return f'start line {got.start}'
    if got.body != body:
        return f'body of {len(got.body)} bytes instead of {len(body)}'
    if got.only('host') != 'orders.example':
        return f'host {got.only("host")}'
    if got.only('request-id') != trace and path not in {
        Path.OWN,
        Path.OWN_PASSED,
    }:
        return f'identifier {got.only("request-id")}'
    if ('x-own' in option) == ('x-own' in got.fields):
        return 'another header of the connection'
    return ''


async def _play(path: Path, method: str) -> list[str]:
    upstream = await StrictUpstream(_answer(path)).open()
    port = await _open(path, upstream)
    faults: list[str] = []
    framings = (False, True) if method in _CHUNKED else (False,)
    for number, (option, size, chunked) in enumerate(
        itertools.product(_OPTIONS, (0, 3, _LONG), framings)
    ):
        upstream.requests.clear()
        body = _body(size)
        trace = f't{number}'
        status = await _exchange(
            port,
            _request(method, trace, option, body, chunked=chunked),
            method,
        )
        found = [
            _fault((method, trace, body), got, option, path)
            for got in upstream.requests
        ]
        found += upstream.faults
        upstream.faults.clear()
        expected = 2 if path is Path.REPEATED and size != _LONG else 1
        if len(upstream.requests) != expected:
            found.append(f'{len(upstream.requests)} requests')
        wanted = '503' if path is Path.REPEATED and size == _LONG else '200'
        if status != wanted:
            found.append(f'status {status}')
        faults += [
            f'{option!r}, {size}, chunked {chunked}: {one}'
            for one in found
            if one
        ]
    return faults


# A DELETE with a long body left without its length, if the caller named that
# in Connection: upstreams executed the request hidden in its body.
@pytest.mark.parametrize('method', _METHODS)
@pytest.mark.parametrize('path', Path, ids=lambda path: path.name)
def test_upstreams_get_the_request_that_the_caller_sent(
    path: Path, method: str
) -> None:
    assert asyncio.run(_play(path, method)) == []


_ANSWER_OPTIONS = (
    'content-length',
    'transfer-encoding',
    'request-id',
    'response-signature',
    'worksrail-trace',
    'worksrail-result',
    'content-encoding',
    'close, Content-Length, Response-Signature',
)


async def _play_answers(path: Path, method: str) -> list[str]:
    faults: list[str] = []
    for option, chunked in itertools.product(_ANSWER_OPTIONS, (False, True)):

        def answer(
            request: Message,
            _: int,
            option: str = option,
            chunked: bool = chunked,
        ) -> bytes:
            trace = (request.fields.get('request-id') or ['none'])[0]
            own = (request.fields.get('worksrail-trace') or ['none'])[0]
            head = (
                f'HTTP/1.1 200 OK\r\nConnection: {option}\r\n'
                f'Request-Id: {trace}\r\nResponse-Signature: s\r\n'
                f'Worksrail-Trace: {own}\r\nWorksrail-Result: {ResultCode.OK.number}\r\n'
            ).encode()
            if chunked:
                head += b'Transfer-Encoding: chunked\r\n\r\n'
                rest = b'4\r\ndone\r\n0\r\n\r\n'
            else:
                head += b'Content-Length: 4\r\n\r\n'
                rest = b'done'
            return head if method == 'HEAD' else head + rest

        upstream = await StrictUpstream(answer).open()
        port = await _open(path, upstream)
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(_request(method, 't1', 'keep-alive', b'', chunked=False))
        async with asyncio.timeout(1):
            got = await read_answer(reader, method)
        writer.close()
        expected = b'' if method == 'HEAD' else b'done'
        own = path in {Path.OWN, Path.OWN_PASSED}
        if (got.start, got.body) != (('200',), expected):
            faults.append(f'{option!r}: {got.start}, {got.body!r}')
        if not own and got.only('response-signature') != 's':
            faults.append(f'{option!r}: no signature')
        if not own and got.only('request-id') != 't1':
            faults.append(f'{option!r}: no identifier')
        if not chunked and got.only('content-length') != '4':
            faults.append(f'{option!r}: no length')
    return faults


# An upstream could have its signature removed, by naming it in Connection.
@pytest.mark.parametrize('method', ['GET', 'HEAD', 'POST'])
@pytest.mark.parametrize(
    'path',
    [Path.DIRECT, Path.PASSED, Path.OWN, Path.OWN_PASSED],
    ids=lambda path: path.name,
)
def test_callers_get_the_answer_that_the_upstream_sent(
    path: Path, method: str
) -> None:
    assert asyncio.run(_play_answers(path, method)) == []
