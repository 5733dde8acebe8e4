"""Callers that send requests without waiting for the answers before them."""

import asyncio
import re
from collections.abc import Awaitable, Callable
from dataclasses import replace
from itertools import pairwise
from math import inf

import pytest

from tests.callers.leaving import PATIENCE_S, until
from tests.callers.test_leaving_upstreams import long_entry, request
from tests.callers.watching import WatchingUpstream
from tests.platform.test_upstream_faults import Entry
from tests.platform.upstream import RawUpstream, Reply, answer
from worksrail.core.results import ResultCode
from worksrail.core.steering._service_load import NOT_SHORT
from worksrail.core.steering.events import StopRequested
from worksrail.daemon.http._held_bytes import HeldBytes

_BESIDE_EACH_OTHER = 8


class Pipeline:
    """A connection on which answers are read after all requests were sent."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Use an open connection."""
        self.reader = reader
        self.writer = writer

    async def answer(self) -> tuple[int, bytes, bool]:
        """Status, body, and whether the connection is closed behind it."""
        async with asyncio.timeout(PATIENCE_S):
            head = await self.reader.readuntil(b'\r\n\r\n')
            length = re.search(rb'(?i)content-length: (\d+)', head)
            body = await self.reader.readexactly(
                int(length[1] if length else 0)
            )
        closes = b'connection: close' in head.lower()
        return int(head.split()[1]), body, closes

    async def ends(self) -> bool:
        """Whether nothing more comes."""
        async with asyncio.timeout(PATIENCE_S):
            return not await self.reader.read(1)


async def _open(entry: Entry) -> Pipeline:
    opened = await asyncio.open_connection('127.0.0.1', entry.open())
    return Pipeline(*opened)


Play = Callable[[Pipeline, WatchingUpstream, Entry], Awaitable[None]]


def _play(play: Play) -> None:
    async def run() -> None:
        upstream = await WatchingUpstream().open()
        entry = long_entry(upstream)
        pipeline = await _open(entry)
        try:
            await play(pipeline, upstream, entry)
        finally:
            pipeline.writer.close()
            entry.server.stop()
            await entry.server.close_connections()

    asyncio.run(run())


def _reads(count: int) -> bytes:
    return b''.join(request(f't{number}') for number in range(count))


def test_safe_requests_run_beside_each_other_and_are_answered_in_order() -> (
    None
):
    async def play(
        pipeline: Pipeline, upstream: WatchingUpstream, _: Entry
    ) -> None:
        pipeline.writer.write(_reads(4))
        assert await until(lambda: len(upstream.works) == 4)
        for trace in ('t2', 't1', 't3', 't0'):
            work = upstream.find(trace)
            assert work
            work.release.set()
            assert await until(lambda work=work: work.done)
        for _number in range(4):
            assert (await pipeline.answer())[::2] == (200, False)

    _play(play)


def test_answers_belong_to_their_requests() -> None:
    async def run() -> list[bytes]:
        upstream = await RawUpstream(
            lambda number, trace: Reply(
                answer(trace, body=trace), after=0.02 * (number % 3)
            )
        ).open()
        entry = long_entry(upstream)
        pipeline = await _open(entry)
        pipeline.writer.write(_reads(40))
        answers = [await pipeline.answer() for _ in range(40)]
        pipeline.writer.close()
        entry.server.stop()
        return [body for _, body, _ in answers]

    assert asyncio.run(run()) == [f't{n}'.encode() for n in range(40)]


def test_number_of_requests_beside_each_other_is_bounded() -> None:
    async def play(
        pipeline: Pipeline, upstream: WatchingUpstream, _: Entry
    ) -> None:
        pipeline.writer.write(_reads(_BESIDE_EACH_OTHER + 5))
        assert await until(lambda: len(upstream.works) >= _BESIDE_EACH_OTHER)
        await asyncio.sleep(0.1)
        assert len(upstream.works) == _BESIDE_EACH_OTHER
        first = upstream.find('t0')
        assert first
        first.release.set()
        assert await until(lambda: len(upstream.works) > _BESIDE_EACH_OTHER)

    _play(play)


def test_requests_run_one_by_one_while_slots_are_short() -> None:
    async def play(
        pipeline: Pipeline, upstream: WatchingUpstream, entry: Entry
    ) -> None:
        loads = entry.engine.state.service_loads
        short = replace(NOT_SHORT, is_short=True, measured_at=inf)
        loads['orders'] = short
        pipeline.writer.write(_reads(3))
        for number in range(3):
            assert await until(
                lambda number=number: len(upstream.works) > number
            )
            await asyncio.sleep(0.05)
            assert len(upstream.works) == number + 1
            upstream.works[number].release.set()
            assert (await pipeline.answer())[0] == 200

    _play(play)


def test_write_waits_for_those_before_it_and_others_wait_for_it() -> None:
    async def play(
        pipeline: Pipeline, upstream: WatchingUpstream, _: Entry
    ) -> None:
        row = ('read-1', 'read-2', 'write', 'read-3')
        for name in row:
            route, _, _ = name.partition('-')
            body = b'abc' if route == 'write' else b''
            pipeline.writer.write(request(name, route, body))
        for name, begun in (('read-1', 2), ('read-2', 2), ('write', 3)):
            assert await until(lambda name=name: upstream.find(name))
            await asyncio.sleep(0.05)
            assert len(upstream.works) == begun
            work = upstream.find(name)
            assert work
            work.release.set()
        assert await until(lambda: upstream.find('read-3'))
        upstream.works[-1].release.set()
        for _name in row:
            assert (await pipeline.answer())[0] == 200

    _play(play)


def test_request_that_closes_is_the_last() -> None:
    async def play(
        pipeline: Pipeline, upstream: WatchingUpstream, _: Entry
    ) -> None:
        closing = request('last').replace(
            b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n'
        )
        pipeline.writer.write(request('t0') + closing + request('never'))
        assert await until(lambda: len(upstream.works) == 2)
        for work in reversed(upstream.works):
            work.release.set()
        assert (await pipeline.answer())[::2] == (200, False)
        assert (await pipeline.answer())[::2] == (200, True)
        assert await pipeline.ends()
        assert not upstream.find('never')

    _play(play)


_UNROUTED = request('unrouted', 'nowhere')
_MALFORMED = b'no http\r\n\r\n'


@pytest.mark.parametrize(
    ('middle', 'code', 'is_last'),
    [
        (_UNROUTED, ResultCode.UNKNOWN_ROUTE, False),
        (_MALFORMED, ResultCode.MALFORMED_REQUEST, True),
    ],
    ids=['unrouted', 'malformed'],
)
def test_refusal_in_the_middle_waits_for_its_turn(
    middle: bytes, code: ResultCode, *, is_last: bool
) -> None:
    async def play(
        pipeline: Pipeline, upstream: WatchingUpstream, _: Entry
    ) -> None:
        pipeline.writer.write(request('t0') + middle + request('t1'))
        assert await until(lambda: upstream.find('t0'))
        await asyncio.sleep(0.05)
        upstream.works[0].release.set()
        assert (await pipeline.answer())[0] == 200
        status, body, _ = await pipeline.answer()
        assert (status, f'"result": {code.number}'.encode() in body) == (
            code.http_status,
            True,
        )
        if is_last:
            assert await pipeline.ends()
            assert not upstream.find('t1')
            return
        upstream.works[-1].release.set()
        assert (await pipeline.answer())[0] == 200

    _play(play)


@pytest.mark.parametrize('broken', [0, 1, 2])
def test_broken_answer_costs_those_behind_it_nothing(broken: int) -> None:
    async def run() -> list[int]:
        def reply(_: int, trace: str) -> Reply:
            if trace == f't{broken}':
                cut = answer(trace, body='x' * 100)[:-50]
                return Reply(cut, close=True, after=0.05)
            return Reply(answer(trace), after=0.1)

        upstream = await RawUpstream(reply).open()
        entry = long_entry(upstream)
        pipeline = await _open(entry)
        pipeline.writer.write(_reads(4))
        statuses = [(await pipeline.answer())[0] for _ in range(4)]
        pipeline.writer.close()
        entry.server.stop()
        return statuses

    expected = [502 if number == broken else 200 for number in range(4)]
    assert asyncio.run(run()) == expected


def test_begun_answer_does_not_wait_long_for_its_end() -> None:
    async def run() -> bytes:
        def reply(_: int, trace: str) -> Reply:
            whole = answer(trace, body='x' * 100)
            if trace == 't0':
                return Reply(whole[:-50], endless=b'', after=0)
            return Reply(whole, after=60)

        upstream = await RawUpstream(reply).open()
        entry = long_entry(upstream)
        pipeline = await _open(entry)
        pipeline.writer.write(_reads(2))
        async with asyncio.timeout(PATIENCE_S):
            head = await pipeline.reader.readuntil(b'\r\n\r\n')
            body = await pipeline.reader.readexactly(50)
        pipeline.writer.close()
        entry.server.stop()
        return head + body

    assert asyncio.run(run()).endswith(b'x' * 50)


def test_stop_in_the_middle_of_a_row_answers_all_of_it() -> None:
    async def play(
        pipeline: Pipeline, upstream: WatchingUpstream, entry: Entry
    ) -> None:
        pipeline.writer.write(_reads(3))
        assert await until(lambda: len(upstream.works) == 3)
        entry.engine.dispatch(StopRequested(entry.engine.now()))
        for exchange in entry.requests.exchanges.values():
            exchange.closing = True
        for work in upstream.works:
            work.release.set()
            assert await until(lambda work=work: work.done)
        closes = [(await pipeline.answer())[::2] for _ in range(3)]
        assert closes == [(200, False), (200, False), (200, True)]
        assert await pipeline.ends()

    _play(play)


def test_input_is_bounded_while_nobody_reads_it() -> None:
    async def play(
        pipeline: Pipeline, upstream: WatchingUpstream, entry: Entry
    ) -> None:
        held = entry.server.held
        held.maximum = 2_000_000
        held.hold(1_200_000)
        pipeline.writer.write(_reads(1) * 50_000)
        assert await until(lambda: upstream.works)
        (row,) = entry.server.open.connections
        assert await until(lambda: not row.receiving)
        await asyncio.sleep(0.5)
        assert len(row.input) <= 64 * 1024 + 256 * 1024

    _play(play)


def test_answers_that_wait_for_their_turn_count_as_held() -> None:
    async def run() -> list[int]:
        def reply(_: int, trace: str) -> Reply:
            first = trace == 't0'
            return Reply(answer(trace, body='x' * 9_000), after=0.4 * first)

        upstream = await RawUpstream(reply).open()
        entry = long_entry(upstream)
        pipeline = await _open(entry)
        held: HeldBytes = entry.server.held
        seen = []
        pipeline.writer.write(_reads(4))
        assert await until(lambda: held.held > 27_000)
        seen.append(held.held)
        for _number in range(4):
            await pipeline.answer()
        assert await until(lambda: not held.held)
        pipeline.writer.close()
        entry.server.stop()
        return seen

    assert asyncio.run(run())


def test_requests_split_at_each_byte_are_served() -> None:
    async def play(
        pipeline: Pipeline, upstream: WatchingUpstream, _: Entry
    ) -> None:
        upstream.seconds = 0.01
        text = b'\r\n' + _reads(2) + b'\r\n\r\n' + request('w', 'write', b'abc')
        for begin, end in pairwise(range(len(text) + 1)):
            pipeline.writer.write(text[begin:end])
            await asyncio.sleep(0)
        for _number in range(3):
            assert (await pipeline.answer())[0] == 200

    _play(play)


def test_answer_that_was_written_reaches_a_caller_that_closed_its_sending() -> (
    None
):
    body = 'x' * 3_000_000

    async def run() -> int:
        upstream = await RawUpstream(
            lambda _, trace: Reply(answer(trace, body=body))
        ).open()
        entry = long_entry(upstream)
        pipeline = await _open(entry)
        pipeline.writer.write(request('t0'))
        assert await until(
            lambda: (
                (entry.requests.exchanges and not entry.engine.state.requests)
                or upstream.heads
            )
        )
        await pipeline.reader.readuntil(b'\r\n\r\n')
        received = await pipeline.reader.readexactly(len(body) - 100)
        pipeline.writer.write_eof()
        rest = await pipeline.reader.read(200)
        entry.server.stop()
        return len(received) + len(rest)

    assert asyncio.run(run()) >= len(body) - 100
