"""Bytes that are no answer may come without end, in a head or in a body.

A sender may write until its connection is closed.  Each test counts what left
the sender; bounds are stated from the limits of the code, besides what the
kernel holds for both sides of a connection.
"""

import asyncio
import tracemalloc
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from tests.platform.test_upstream_faults import (
    Entry,
    _read_answer,
    _request,
)
from tests.platform.upstream import RawUpstream, Reply, answer
from worksrail.core.steering import StoreUpdate
from worksrail.core.steering.effects import FetchStoreUpdate, ProbeUpstream
from worksrail.core.steering.events import (
    PathProbed,
    StoreUpdateFailed,
)
from worksrail.core.steering.kinds import StoreKind
from worksrail.daemon.http._connections import ConnectionPool
from worksrail.daemon.platform import _store as own_store
from worksrail.daemon.steered import StoreFault
from worksrail.daemon.steered._digests import unpack_message
from worksrail.daemon.steered._packing import pack
from worksrail.daemon.steered._peers import NewsClient
from worksrail.daemon.steered._probing import PathProber
from worksrail.platform import PlatformStore, PlatformUpstreams

_KIB = 1024
_MIB = 1024 * _KIB
# The kernel's buffers on both sides, and a read buffer of the entry.
_BUFFERS = 2 * _MIB
_BLOCK = 16 * _KIB
_FILL = b'x' * _BLOCK
_CHUNK = f'{_BLOCK:x}\r\n'.encode() + _FILL + b'\r\n'
_CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n'
_COUNTED = 'Content-Length: 900000000000\r\n\r\n'
_OTHER = 'HTTP/1.1 200 OK\r\nRequest-Id: t0\r\n'
# Refusals of the first request, and one of none.
_REFUSED = 'HTTP/1.1 503 No\r\nRequest-Id: t1\r\nNot-Executed: 1\r\n'
_MISPLACED = 'HTTP/1.1 421 No\r\nRequest-Id: t1\r\nNot-Executed: 1\r\n'
_UNNAMED = 'HTTP/1.1 503 No\r\nNot-Executed: 1\r\n'

# The beginning of the first reply, what follows without end, and the status
# for a caller whose request may be executed only once.  A request that may be
# executed more than once is served by the other upstream.
_NO_ANSWERS: dict[str, tuple[str, bytes, int]] = {
    'start line': ('HTTP/1.1 200 ', _FILL, 502),
    'header line': ('HTTP/1.1 200 OK\r\nX-Own: ', _FILL, 502),
    'header lines': ('HTTP/1.1 200 OK\r\n', b'X-Own: 1\r\n' * 2000, 502),
    'empty lines': ('', b'\r\n' * 8000, 502),
    'interim answers': ('', b'HTTP/1.1 102 Wait\r\n\r\n' * 800, 502),
    'long interim answers': (
        '',
        b'HTTP/1.1 102 Wait\r\nX-Own: ' + _FILL + b'\r\n\r\n',
        502,
    ),
    'late answers': ('', answer('t0', 'late') * 200, 502),
    'late chunked': (_OTHER + _CHUNKED, _CHUNK, 502),
    'late counted': (_OTHER + _COUNTED, _FILL, 502),
    'late until close': (f'{_OTHER}\r\n', _FILL, 502),
    'unnamed chunked': ('HTTP/1.1 200 OK\r\n' + _CHUNKED, _CHUNK, 502),
    'unnamed counted': ('HTTP/1.1 200 OK\r\n' + _COUNTED, _FILL, 502),
    'unnamed until close': ('HTTP/1.1 200 OK\r\n\r\n', _FILL, 502),
    'no http': ('', _FILL, 502),
    'not executed chunked': (_REFUSED + _CHUNKED, _CHUNK, 200),
    'not executed counted': (_REFUSED + _COUNTED, _FILL, 200),
    'not executed until close': (f'{_REFUSED}\r\n', _FILL, 200),
    'misdirected chunked': (_MISPLACED + _CHUNKED, _CHUNK, 200),
    'misdirected counted': (_MISPLACED + _COUNTED, _FILL, 200),
    'unnamed refusal chunked': (_UNNAMED + _CHUNKED, _CHUNK, 502),
    'unnamed refusal counted': (_UNNAMED + _COUNTED, _FILL, 502),
    'unnamed refusal until close': (f'{_UNNAMED}\r\n', _FILL, 502),
}


def _endless_first(
    begin: str, endless: bytes, pause: float = 0
) -> Callable[[int, str], Reply]:
    """Reply without end to the first request of all, and properly later."""
    requests: list[str] = []

    def script(number: int, trace: str) -> Reply:
        requests.append(trace)
        if len(requests) == 1:
            return Reply(begin.encode(), endless=endless, pause=pause)
        return Reply(answer(trace))

    return script


async def _ask(
    port: int, name: str, trace: str, method: str = 'GET'
) -> tuple[int, bytes]:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(_request(name, trace, method))
    try:
        async with asyncio.timeout(20):
            status, _, body = await _read_answer(reader)
    finally:
        writer.close()
    return status, body


async def _ask_all(
    script: Callable[[int, str], Reply], name: str
) -> tuple[int, list[int], int]:
    """Ask once, and several times more while the first request is open."""
    raws = [await RawUpstream(script).open() for _ in range(2)]
    entry = Entry(*raws)
    port = entry.open()
    first = asyncio.ensure_future(_ask(port, name, 't1'))
    while not any(raw.heads for raw in raws):
        await asyncio.sleep(0)
    others = await asyncio.gather(
        *(_ask(port, 'write', f't{number}') for number in range(2, 5))
    )
    status, body = await first
    assert status != 200 or body == b'done'
    # Leave time to take more bytes, if anything still reads.
    await asyncio.sleep(0.1)
    entry.server.stop()
    return (
        status,
        [status for status, _ in others],
        sum(raw.endless_taken for raw in raws),
    )


@pytest.mark.parametrize('place', _NO_ANSWERS)
@pytest.mark.parametrize('name', ['read', 'write'])
def test_endless_bytes_of_an_upstream_do_not_hold_its_caller(
    place: str, name: str
) -> None:
    begin, endless, once = _NO_ANSWERS[place]
    status, others, taken = asyncio.run(
        _ask_all(_endless_first(begin, endless), name)
    )
    assert status == (200 if name == 'read' else once)
    assert others == [200] * 3
    assert taken <= _BUFFERS


@pytest.mark.parametrize('place', ['not executed', 'misdirected'])
def test_refusal_whose_body_trickles_does_not_hold_its_caller(
    place: str,
) -> None:
    begin, _, _ = _NO_ANSWERS[f'{place} chunked']
    status, others, _ = asyncio.run(
        _ask_all(_endless_first(begin, b'1\r\nx\r\n', 0.02), 'write')
    )
    assert status == 200
    assert others == [200] * 3


@pytest.mark.parametrize('surplus', [_FILL, answer('t1') * 100, b'\r\n' * 8000])
def test_endless_surplus_on_an_idle_connection_reaches_no_request(
    surplus: bytes,
) -> None:
    async def run() -> tuple[list[tuple[int, bytes]], int]:
        def script(number: int, trace: str) -> Reply:
            endless = surplus if number == 1 else b''
            return Reply(answer(trace, trace), endless=endless)

        raw = await RawUpstream(script).open()
        entry = Entry(raw)
        port = entry.open()
        found = [await _ask(port, 'write', 't1')]
        # The connection is idle while the surplus arrives.
        await asyncio.sleep(0.1)
        found += [await _ask(port, 'write', f't{n}') for n in (2, 3)]
        entry.server.stop()
        return found, raw.endless_taken

    found, taken = asyncio.run(run())
    assert found == [(200, b't1'), (200, b't2'), (200, b't3')]
    assert taken <= _BUFFERS


@pytest.mark.parametrize(
    ('begin', 'endless'),
    [
        # The size of a chunk, and what follows the last one.
        ('', b'0' * _BLOCK),
        ('1;', b'x' * _BLOCK),
        ('0\r\n', b'X-Own: 1\r\n' * 2000),
        ('1\r\nx', _FILL),
    ],
)
def test_endless_bytes_between_chunks_end_the_answer(
    begin: str, endless: bytes
) -> None:
    async def run() -> int:
        head = f'HTTP/1.1 200 OK\r\nRequest-Id: t1\r\n{_CHUNKED}{begin}'
        raw = await RawUpstream(_endless_first(head, endless)).open()
        entry = Entry(raw)
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await _ask(entry.open(), 'read', 't1')
        await asyncio.sleep(0.1)
        entry.server.stop()
        return raw.endless_taken

    assert asyncio.run(run()) <= _BUFFERS


_LONG = 48 * _MIB
_LONG_ANSWERS = {
    'counted': (f'Content-Length: {_LONG}\r\n\r\n', _FILL),
    'chunked': (_CHUNKED, _CHUNK),
    'until close': ('\r\n', _FILL),
}


@pytest.mark.parametrize('form', _LONG_ANSWERS)
def test_long_answer_streams_whole_at_the_pace_of_its_caller(form: str) -> None:
    async def run() -> tuple[int, int]:
        head, block = _LONG_ANSWERS[form]
        blocks = _LONG // _BLOCK

        def script(number: int, trace: str) -> Reply:
            begin = f'HTTP/1.1 200 OK\r\nRequest-Id: {trace}\r\n{head}'
            last = b'0\r\n\r\n' if form == 'chunked' else b''
            return Reply(begin.encode(), close=True, endless=block, last=last)

        most = blocks * len(block)
        raw = await RawUpstream(script, most_endless=most).open()
        entry = Entry(raw)
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', entry.open(), limit=_BLOCK
        )
        writer.write(_request('load', 't1'))
        await reader.readuntil(b'\r\n\r\n')
        await asyncio.sleep(0.3)
        waiting = raw.endless_taken
        size = await _read_long(reader, counted=form == 'counted')
        writer.close()
        entry.server.stop()
        return waiting, size

    waiting, size = asyncio.run(run())
    assert size == _LONG
    # Kernel buffers of two connections, which grow as their reader reads.
    assert waiting <= _LONG // 2


async def _read_long(reader: asyncio.StreamReader, *, counted: bool) -> int:
    size = 0
    if counted:
        while size < _LONG:
            size += len(await reader.readexactly(_BLOCK))
        return size
    while True:
        length = int(await reader.readline(), 16)
        await reader.readexactly(length + 2)
        size += length
        if not length:
            return size


# -- the platform's store and other entries

_HEADS = {
    'header line': ('HTTP/1.1 200 OK\r\nX-Own: ', _FILL),
    'header lines': ('HTTP/1.1 200 OK\r\n', b'X-Own: 1\r\n' * 2000),
    'interim answers': ('', b'HTTP/1.1 102 Wait\r\n\r\n' * 800),
    'no http': ('', _FILL),
}
_BODIES = {
    f'{status} {form}': (f'HTTP/1.1 {status} Any\r\n{head}', block)
    for status in (200, 503)
    for form, (head, block) in {
        'chunked': (_CHUNKED, _CHUNK),
        'counted': (_COUNTED, _FILL),
        'until close': ('\r\n', _FILL),
    }.items()
}
_COLLECTED = _HEADS | _BODIES
_SURPLUS = 'HTTP/1.1 200 OK\r\nObject-Version: 1\r\nContent-Length: 2\r\n\r\n{}'


async def _sender(place: str) -> RawUpstream:
    begin, endless = _COLLECTED[place]
    return await RawUpstream(
        lambda number, trace: Reply(begin.encode(), endless=endless)
    ).open()


_PAGE = (
    '{{"items":[{{"Metadata":{{"Name":"{}"}},"Spec":"{}"}}],'
    '"HasMore":true,"AsOf":1}}'
)


@pytest.mark.parametrize('watching', [False, True])
@pytest.mark.parametrize('place', _COLLECTED)
def test_endless_bytes_of_the_store_are_a_fault(
    place: str, watching: bool
) -> None:
    async def run() -> tuple[Any, int]:
        raw = await _sender(place)
        store = PlatformStore(raw.address, str)
        async with asyncio.timeout(30):
            if watching:
                found = await store.watch(StoreKind.UPSTREAMS, 1, 5)
            else:
                found = await store.read_all(StoreKind.UPSTREAMS)
        await asyncio.sleep(0.1)
        store.pool.close()
        return found, raw.endless_taken

    found, taken = asyncio.run(run())
    assert isinstance(found, StoreFault)
    assert taken <= 16 * _MIB + _BUFFERS


@pytest.mark.parametrize('names', ['same', 'new'])
def test_list_of_the_store_without_end_is_a_fault(names: str) -> None:
    async def run() -> tuple[Any, int]:
        def script(number: int, trace: str) -> Reply:
            name = 'i' if names == 'same' else f'{number}'
            page = _PAGE.format(name, 'x' * _MIB)
            head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(page)}\r\n\r\n'
            # A list that is read for longer than this has no bound.
            return Reply((head + page).encode() if number < 300 else b'')

        raw = await RawUpstream(script).open()
        store = PlatformStore(raw.address, str)
        found = await store.read_all(StoreKind.EVACUATIONS)
        store.pool.close()
        return found, len(raw.heads)

    found, pages = asyncio.run(run())
    assert found is StoreFault.MALFORMED
    assert pages <= 130


def test_endless_surplus_of_the_store_reaches_no_call() -> None:
    async def run() -> tuple[list[Any], int]:
        page = '{"items":[],"HasMore":false,"AsOf":1}'
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(page)}\r\n\r\n'
        raw = await RawUpstream(
            lambda number, trace: Reply((head + page).encode(), endless=_FILL)
        ).open()
        store = PlatformStore(raw.address, str)
        found = []
        for _ in range(3):
            found.append(await store.read_all(StoreKind.UPSTREAMS))
            await asyncio.sleep(0.05)
        store.pool.close()
        return found, raw.endless_taken

    found, taken = asyncio.run(run())
    assert found == [StoreUpdate(1)] * 3
    assert taken <= 3 * _BUFFERS


@pytest.mark.parametrize('call', ['read', 'keys', 'watch', 'instances'])
@pytest.mark.parametrize('place', _COLLECTED)
def test_endless_bytes_of_the_own_store_are_a_fault(
    place: str, call: str
) -> None:
    async def run() -> tuple[Any, int]:
        raw = await _sender(place)
        store = own_store.StoreClient(raw.address)
        calls = {
            'read': lambda: store.read('head'),
            'keys': lambda: store.keys('a'),
            'watch': lambda: store.watch(1, 1),
            'instances': store.instances,
        }
        async with asyncio.timeout(30):
            found = await calls[call]()
        await asyncio.sleep(0.1)
        store.close()
        return found, raw.endless_taken

    found, taken = asyncio.run(run())
    assert found is own_store.StoreFault.UNREACHABLE
    assert taken <= 4 * _MIB + _BUFFERS


@pytest.mark.parametrize('call', ['keys', 'watch', 'instances'])
def test_deeply_nested_answer_of_the_own_store_is_a_fault(call: str) -> None:
    async def run() -> Any:
        body = '[' * 200_000
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
        raw = await RawUpstream(
            lambda number, trace: Reply((head + body).encode())
        ).open()
        store = own_store.StoreClient(raw.address)
        calls = {
            'keys': lambda: store.keys('a'),
            'watch': lambda: store.watch(1, 1),
            'instances': store.instances,
        }
        found = await calls[call]()
        store.close()
        return found

    assert asyncio.run(run()) is own_store.StoreFault.UNREACHABLE


def _engine(events: list[Any]) -> Any:
    loop = asyncio.get_running_loop()
    return SimpleNamespace(now=loop.time, dispatch=events.append)


@pytest.mark.parametrize('place', _COLLECTED)
def test_endless_news_of_a_peer_fail(place: str) -> None:
    async def run() -> tuple[list[Any], int]:
        raw = await _sender(place)
        events: list[Any] = []
        engine = _engine(events)
        client = NewsClient(engine, ConnectionPool(engine.now))
        client.fetch(FetchStoreUpdate(StoreKind.UPSTREAMS, raw.address, 1))
        async with asyncio.timeout(30):
            await asyncio.gather(*client.tasks)
        await asyncio.sleep(0.1)
        client.pool.close()
        return events, raw.endless_taken

    events, taken = asyncio.run(run())
    assert [type(event) for event in events] == [StoreUpdateFailed]
    assert taken <= 20_000_000 + _BUFFERS


@pytest.mark.parametrize('place', _COLLECTED)
def test_endless_answer_to_a_health_check_is_none(place: str) -> None:
    async def run() -> tuple[list[Any], int]:
        raw = await _sender(place)
        events: list[Any] = []
        prober = PathProber(_engine(events), PlatformUpstreams())
        prober.probe(ProbeUpstream('a', raw.address, '/health', 'a'))
        async with asyncio.timeout(30):
            await asyncio.gather(*prober.tasks)
        await asyncio.sleep(0.1)
        return events, raw.endless_taken

    events, taken = asyncio.run(run())
    assert [type(event) for event in events] == [PathProbed]
    assert not events[0].answered
    assert taken <= _MIB + _BUFFERS


def test_datagram_that_unpacks_to_many_bytes_is_malformed() -> None:
    bomb = pack(b'\x93' + bytes(12_000_000))
    assert len(bomb) < 65_536
    tracemalloc.start()
    try:
        with pytest.raises(ValueError, match=r'.'):
            unpack_message(bomb)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < 4_000_000
