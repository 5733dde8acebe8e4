"""Forwarding of valid and invalid answers of upstreams over real sockets."""

import asyncio
import itertools
import re
from collections.abc import Callable
from dataclasses import replace

import pytest

from tests.platform.upstream import RawUpstream, Reply, answer, refusal
from tests.steering.world import configuration, route, settings, upstream
from worksrail.core.identity import Incarnation
from worksrail.core.steering import (
    RouteKind,
    SteeringBounds,
    SteeringState,
)
from worksrail.core.steering.effects import (
    AnswerResult,
    CancelAttempt,
    Decision,
    DecisionKind,
    ExitProcess,
    SendDigest,
    SendUpstream,
)
from worksrail.core.steering.events import (
    ConfigurationRead,
    EvacuationsRead,
    StopRequested,
    UpstreamsListed,
)
from worksrail.daemon.http import _attempt
from worksrail.daemon.http._connections import ConnectionPool
from worksrail.daemon.http._server import ExchangeServer, HttpLimits
from worksrail.daemon.steered import Adapter
from worksrail.daemon.steered._engine import SteeringEngine
from worksrail.daemon.steered._requests import SteeredRequests
from worksrail.platform import (
    PlatformCallers,
    PlatformStore,
    PlatformUpstreams,
)

_ROUTES = (
    route('read'),
    route('write', kind=RouteKind.AT_MOST_ONCE),
    route('load', kind=RouteKind.DOWNLOAD),
)
_DEADLINE_S = 2
_BOUNDS = SteeringBounds(repeat_extra=1000)


class Entry:
    """An entry in this process with a real clock and no store."""

    def __init__(self, *upstreams: RawUpstream) -> None:
        """Route all requests to the upstreams."""
        adapter = Adapter(
            lambda: settings(bounds=_BOUNDS),
            PlatformCallers(),
            PlatformUpstreams(),
            PlatformStore,
        )
        state = SteeringState.from_settings(
            settings(bounds=_BOUNDS), Incarnation('one', 1), 0, 1
        )
        self.engine = SteeringEngine(state)
        pool = ConnectionPool(self.engine.now)
        self.requests = SteeredRequests(
            self.engine, adapter, pool, ConnectionPool(self.engine.now)
        )
        self.notes: list[Decision] = []
        self.engine.runners = {
            SendUpstream: self.requests.send_upstream,
            AnswerResult: self.requests.answer_result,
            CancelAttempt: self.requests.cancel,
            SendDigest: lambda _: None,
            Decision: self.notes.append,
            ExitProcess: lambda _: None,
        }
        self.server = ExchangeServer(
            self.requests, HttpLimits(), itertools.count(1), adapter.callers
        )
        now = self.engine.now()
        state.last_event_at = now
        records = tuple(
            replace(upstream(f'i-{number}'), address=raw.address)
            for number, raw in enumerate(upstreams)
        )
        self.engine.dispatch(ConfigurationRead(now, configuration(1, _ROUTES)))
        self.engine.dispatch(UpstreamsListed(now, records))
        self.engine.dispatch(EvacuationsRead(now, frozenset()))

    def open(self) -> int:
        """Listen on a free port; return it."""
        self.server.listen(0, '127.0.0.1')
        sockets = self.server._sockets.values()
        return int(next(iter(sockets)).getsockname()[1])


def _request(name: str, trace: str, method: str = 'GET') -> bytes:
    body = b'abc' if method == 'POST' else b''
    length = f'Content-Length: {len(body)}\r\n' if body else ''
    return (
        f'{method} /{name}/x HTTP/1.1\r\nHost: orders.example\r\n'
        f'Request-Id: {trace}\r\n'
        f'Deadline-Ms: {_DEADLINE_S * 1000}\r\n{length}\r\n'
    ).encode() + body


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, str, bytes]:
    head = await reader.readuntil(b'\r\n\r\n')
    status = int(head.split(b' ')[1])
    if status == 204:
        return status, head.decode(), b''
    length = re.search(rb'Content-Length: (\d+)', head)
    if length:
        return status, head.decode(), await reader.readexactly(int(length[1]))
    body = b''
    while True:
        line = await reader.readline()
        if not line:
            raise ConnectionError('the answer was truncated')
        size = int(line, 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            return status, head.decode(), body


async def _send_all(
    script: Callable[[int, str], Reply],
    names: tuple[str, ...],
    method: str = 'GET',
) -> tuple[list[tuple[int, str, bytes] | None], RawUpstream]:
    """Send requests in sequence on one connection of a caller."""
    raw = await RawUpstream(script).open()
    entry = Entry(raw)
    port = entry.open()
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    answers: list[tuple[int, str, bytes] | None] = []
    for number, name in enumerate(names, 1):
        writer.write(_request(name, f't{number}', method))
        try:
            async with asyncio.timeout(10):
                answers.append(await _read_answer(reader))
        except (asyncio.IncompleteReadError, ConnectionError):
            answers.append(None)
            break
        # Leave time for surplus bytes to arrive.
        await asyncio.sleep(0.05)
    writer.close()
    entry.server.stop()
    return answers, raw


def _run(
    script: Callable[[int, str], Reply],
    names: tuple[str, ...],
    method: str = 'GET',
) -> tuple[list[tuple[int, str, bytes] | None], RawUpstream]:
    return asyncio.run(_send_all(script, names, method))


def _statuses(answers: list[tuple[int, str, bytes] | None]) -> list[int]:
    return [found[0] if found else 0 for found in answers]


def test_request_and_answer_are_forwarded_unchanged() -> None:
    answers, raw = _run(
        lambda number, trace: Reply(answer(trace, extra='X-Own: 1\r\n')),
        ('write', 'write'),
        'POST',
    )
    assert answers[0] is not None
    assert answers[0][0] == 200
    assert answers[0][2] == b'done'
    assert 'Response-Signature: s' in answers[0][1]
    assert 'X-Own: 1' in answers[0][1]
    head = raw.heads[0].decode()
    assert head.startswith('POST /write/x HTTP/1.1\r\n')
    assert 'Request-Id: t1' in head
    assert 'Target-Instance: i-0' in head
    deadline = re.search(r'Deadline-Ms: (\d+)', head)
    assert deadline
    assert 1000 < int(deadline[1]) <= 2000
    assert raw.bodies == [b'abc', b'abc']
    assert raw.connections == 1


# The upstream's reply to its first request, and the status that the caller gets
# if the request may be executed more than once and if it may not.  Later
# requests to the upstream succeed.
_SPOILED = {
    'no http': (lambda trace: Reply(b'garbage\r\n\r\n', close=True), 200, 502),
    'closed': (lambda trace: Reply(b'', close=True), 200, 502),
    'reset': (lambda trace: Reply(b'', reset=True), 200, 502),
    'encoded': (
        lambda trace: Reply(answer(trace, extra='Content-Encoding: gzip\r\n')),
        200,
        502,
    ),
    'without id': (lambda trace: Reply(answer('')), 200, 502),
    'without id or length': (
        lambda trace: Reply(b'HTTP/1.1 200 OK\r\n\r\nabc', close=True),
        200,
        502,
    ),
    'not executed': (lambda trace: Reply(refusal(503, trace)), 200, 200),
    'not executed without id': (
        lambda trace: Reply(refusal(503), close=True),
        200,
        502,
    ),
    'misdirected': (lambda trace: Reply(refusal(421, trace)), 503, 503),
    'misdirected without id': (
        lambda trace: Reply(refusal(421), close=True),
        200,
        502,
    ),
    'two lengths': (
        lambda trace: Reply(
            f'HTTP/1.1 200 OK\r\nRequest-Id: {trace}\r\n'
            'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd'.encode(),
            close=True,
        ),
        200,
        502,
    ),
}


@pytest.mark.parametrize('fault', _SPOILED)
@pytest.mark.parametrize('name', ['read', 'write'])
def test_spoiled_answer_is_never_passed_on(
    fault: str, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    spoil, repeatable, once = _SPOILED[fault]
    # Beside much load a connection takes longer than the timeout allows.
    monkeypatch.setattr(_attempt, '_CONNECT_TIMEOUT', _DEADLINE_S)

    async def run() -> tuple[int, list[int]]:
        def script(number: int, trace: str) -> Reply:
            counts.append(number)
            return spoil(trace) if len(counts) == 1 else Reply(answer(trace))

        counts: list[int] = []
        raws = [await RawUpstream(script).open() for _ in range(2)]
        if fault == 'misdirected':
            raws = raws[:1]
        entry = Entry(*raws)
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', entry.open()
        )
        writer.write(_request(name, 't1'))
        status, _, body = await _read_answer(reader)
        assert status != 200 or body == b'done'
        writer.close()
        entry.server.stop()
        return status, counts

    status, counts = asyncio.run(run())
    assert status == (repeatable if name == 'read' else once)
    if name == 'write' and once != 200 and fault != 'misdirected':
        assert len(counts) == 1


def test_surplus_answer_is_not_used_for_another_request() -> None:
    answers, raw = _run(
        lambda number, trace: Reply(answer(trace) + answer(trace, 'more')),
        ('write', 'write', 'write'),
    )
    assert [found and found[2] for found in answers] == [b'done'] * 3
    assert raw.connections == 3


def test_late_answer_of_another_request_is_skipped() -> None:
    def script(number: int, trace: str) -> Reply:
        late = answer('t1', 'late') if number == 2 else b''
        return Reply(late + answer(trace))

    answers, _ = _run(script, ('write', 'write', 'write'))
    assert [found and found[2] for found in answers] == [b'done'] * 3


@pytest.mark.parametrize('late', [1, 2, 3])
def test_attempt_after_late_answers_does_not_wait_for_its_deadline(
    late: int,
) -> None:
    # After one late answer its connection waited, after two its caller.
    answers, raw = _run(
        lambda number, trace: Reply(
            answer('t0', 'late') * late + answer(trace, trace)
        ),
        ('write', 'write', 'write'),
    )
    assert [found and found[2] for found in answers] == [b't1', b't2', b't3']
    assert raw.connections == 1


_LIMIT = 'Server-Limit: 5.1\r\n'
_LIMIT_ANSWERS = {
    'its answer': (lambda trace: answer(trace, extra=_LIMIT), 5.1),
    'not executed': (
        lambda trace: refusal(503, trace, _LIMIT),
        5.1,
    ),
    'not executed, to no request': (
        lambda trace: refusal(503, '', _LIMIT) + answer(trace),
        None,
    ),
    'another upstream': (lambda trace: refusal(421, trace, _LIMIT), None),
    'late answer to another request': (
        lambda trace: answer('t0', 'late', _LIMIT) + answer(trace),
        None,
    ),
    'unreadable': (
        lambda trace: answer(trace, extra='Server-Limit: soon\r\n'),
        None,
    ),
}


@pytest.mark.parametrize('kind', _LIMIT_ANSWERS)
def test_only_the_upstreams_own_answer_sets_its_limit(kind: str) -> None:
    payload, rate = _LIMIT_ANSWERS[kind]

    async def run() -> Entry:
        raw = await RawUpstream(lambda _, trace: Reply(payload(trace))).open()
        entry = Entry(raw)
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', entry.open()
        )
        writer.write(_request('read', 't1'))
        await _read_answer(reader)
        await asyncio.sleep(0.05)
        writer.close()
        entry.server.stop()
        return entry

    entry = asyncio.run(run())
    assert entry.engine.state.rates.named.rate_of('i-0') == rate
    warnings = [
        note
        for note in entry.notes
        if note.kind is DecisionKind.UPSTREAM_LIMIT_UNREADABLE
    ]
    assert bool(warnings) is (kind == 'unreadable')


def test_limit_in_an_answer_is_forwarded_to_the_caller() -> None:
    answers, _ = _run(
        lambda number, trace: Reply(answer(trace, extra=_LIMIT)), ('read',)
    )
    assert answers[0] is not None
    assert _LIMIT in answers[0][1]


def test_truncated_answer_is_not_completed() -> None:
    answers, _ = _run(
        lambda number, trace: Reply(answer(trace)[:-2], close=True), ('read',)
    )
    assert answers == [None]


@pytest.mark.parametrize(('reset', 'status'), [(False, 200), (True, 0)])
def test_answer_delimited_by_connection_close(reset: bool, status: int) -> None:
    def script(number: int, trace: str) -> Reply:
        head = f'HTTP/1.1 200 OK\r\nRequest-Id: {trace}\r\n\r\n'
        return Reply(head.encode() + b'x' * 300, close=not reset, reset=reset)

    answers, _ = _run(script, ('load',))
    # A reset may arrive before the head is read; then the request is retried.
    assert _statuses(answers) in ([status], [502] if reset else [status])
    if status and answers[0]:
        assert answers[0][2] == b'x' * 300


def test_answer_without_body() -> None:
    answers, _ = _run(
        lambda number, trace: Reply(
            f'HTTP/1.1 204 No\r\nRequest-Id: {trace}\r\n\r\n'.encode()
        ),
        ('read',),
    )
    assert _statuses(answers) == [204]


def test_error_status_of_the_upstream_is_forwarded() -> None:
    answers, _ = _run(
        lambda number, trace: Reply(
            f'HTTP/1.1 500 No\r\nRequest-Id: {trace}\r\n'
            'Response-Signature: s\r\nContent-Length: 1\r\n\r\nx'.encode()
        ),
        ('write',),
    )
    assert answers[0] is not None
    assert answers[0][0] == 500
    assert 'Response-Signature: s' in answers[0][1]


@pytest.mark.parametrize(
    ('chunked', 'method'), [(True, 'POST'), (False, 'POST'), (False, 'DELETE')]
)
def test_body_is_forwarded_unchanged(chunked: bool, method: str) -> None:
    async def run() -> bytes:
        raw = await RawUpstream(
            lambda number, trace: Reply(answer(trace))
        ).open()
        entry = Entry(raw)
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', entry.open()
        )
        head = (
            f'{method} /write/x HTTP/1.1\r\nHost: orders.example\r\n'
            'Request-Id: t1\r\n'
        )
        if chunked:
            head += 'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n'
        else:
            head += 'Content-Length: 3\r\n\r\nabc'
        writer.write(head.encode())
        assert (await _read_answer(reader))[0] == 200
        writer.close()
        entry.server.stop()
        return raw.bodies[0]

    assert asyncio.run(run()) == b'abc'


@pytest.mark.parametrize(('name', 'dropped'), [('read', 1), ('write', 0)])
def test_caller_that_disconnects_cancels_its_attempt(
    name: str, dropped: int
) -> None:
    async def run() -> int:
        raw = await RawUpstream(lambda number, trace: Reply(b'')).open()
        entry = Entry(raw)
        _, writer = await asyncio.open_connection('127.0.0.1', entry.open())
        writer.write(_request(name, 't1'))
        while not raw.heads:
            await asyncio.sleep(0.01)
        writer.close()
        for _ in range(30):
            await asyncio.sleep(0.01)
            if raw.dropped:
                break
        entry.server.stop()
        return raw.dropped

    assert asyncio.run(run()) == dropped


def test_leaving_entry_answers_and_closes_the_connection() -> None:
    async def run() -> str:
        raw = await RawUpstream(
            lambda number, trace: Reply(answer(trace))
        ).open()
        entry = Entry(raw)
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', entry.open()
        )
        entry.engine.dispatch(StopRequested(entry.engine.now()))
        writer.write(_request('read', 't1'))
        status, head, _ = await _read_answer(reader)
        assert status == 200
        assert await reader.read() == b''
        entry.server.stop()
        return head

    assert 'Connection: close' in asyncio.run(run())
