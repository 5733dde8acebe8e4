"""Statuses that upstreams, other entries, the store and health checks send."""

import asyncio
import time
from collections.abc import Sequence

import pytest

from tests.callers.attempts import OwnAttempts
from tests.platform.upstream import RawUpstream, Reply
from tests.refusals.entries import Answered, Way, ask, open_entry
from tests.refusals.upstream import OddUpstream, Step
from worksrail.core.steering.kinds import StoreKind
from worksrail.daemon.http._connections import ConnectionPool
from worksrail.daemon.steered import StoreFault
from worksrail.platform import PlatformStore

# No server may send these as the status of a final answer.
_NO_STATUSES = (
    '000', '001', '099', '600', '601', '799', '999', '0', '1000', '0200', '+20',
    '-01', '2OO', '503x', '101', '199',
)  # fmt: skip
_STATUSES = (
    '200',
    '204',
    '205',
    '299',
    '304',
    '404',
    '418',
    '500',
    '503',
    '599',
)
_DEADLINE = 1.0


def _answer(status: str, trace: str, body: bytes = b'done') -> bytes:
    return (
        f'HTTP/1.1 {status} X\r\nRequest-Id: {trace}\r\n'
        f'Response-Signature: s\r\nContent-Length: {len(body)}\r\n\r\n'
    ).encode() + body


def _ask(status: str, way: Way, name: str) -> tuple[Answered, float, int]:
    """Return the answer, when it came, and how often the request ran."""

    async def run() -> tuple[Answered, float, int]:
        body = b'' if status in {'204', '304'} else b'done'

        def script(trace: str, _: int) -> tuple[bool, Sequence[Step]]:
            return True, (_answer(status, trace, body),)

        upstreams = [await OddUpstream(script).open() for _ in range(2)]
        first, *_ = open_entry(way, *upstreams)
        began = time.monotonic()
        answered = await ask(first.open(), name, 't1', deadline=_DEADLINE)
        took = time.monotonic() - began
        return answered, took, sum(one.runs['t1'] for one in upstreams)

    return asyncio.run(run())


# A caller got no answer to a request whose upstream answered with 000, and an
# answer with the status 600 if the upstream sent that.
@pytest.mark.parametrize('name', ['read', 'write'])
@pytest.mark.parametrize('way', Way, ids=lambda way: way.name)
@pytest.mark.parametrize('status', _NO_STATUSES)
def test_status_that_no_server_may_send_is_no_answer(
    status: str, way: Way, name: str
) -> None:
    answered, took, runs = _ask(status, way, name)
    assert answered.status == 502
    assert took < _DEADLINE + 1
    assert runs <= (2 if name == 'read' else 1)


@pytest.mark.parametrize('way', Way, ids=lambda way: way.name)
@pytest.mark.parametrize('status', [one for one in _STATUSES if one < '400'])
def test_status_of_a_success_is_passed_on(status: str, way: Way) -> None:
    async def run() -> bytes:
        body = b'' if status in {'204', '304'} else b'done'
        upstream = await OddUpstream(
            lambda trace, _: (True, (_answer(status, trace, body),))
        ).open()
        first, *_ = open_entry(way, upstream)
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', first.open()
        )
        writer.write(
            b'GET /read/x HTTP/1.1\r\nHost: orders.example\r\n'
            b'Request-Id: t1\r\nDeadline-Ms: 2000\r\n\r\n'
        )
        async with asyncio.timeout(10):
            head = await reader.readuntil(b'\r\n\r\n')
        writer.close()
        return head

    assert asyncio.run(run()).startswith(f'HTTP/1.1 {status} '.encode())


@pytest.mark.parametrize('way', ['send', 'pass_on'])
@pytest.mark.parametrize('status', ['000', '099', '600', '999'])
def test_status_that_no_server_may_send_is_no_answer_in_the_own_mode(
    status: str, way: str
) -> None:
    async def run() -> str:
        raw = RawUpstream(
            lambda *_: Reply(
                f'HTTP/1.1 {status} X\r\nWorksrail-Trace: trace-1\r\n'
                'Worksrail-Result: 1000\r\nContent-Length: 0\r\n\r\n'.encode()
            )
        )
        await raw.open()
        pool = ConnectionPool(lambda: 0.0)
        attempts = OwnAttempts(pool)
        getattr(attempts, way)(raw.address)
        async with asyncio.timeout(5):
            while not attempts.ended:
                await asyncio.sleep(0.001)
        pool.close()
        end = attempts.ended[-1]
        return str(
            end.code.certainty.value if way == 'pass_on' else end.outcome.name
        )

    assert asyncio.run(run()) in {'unknown', 'UNVERIFIABLE'}


@pytest.mark.parametrize('status', ['000', '099', '600', '999'])
def test_status_that_no_server_may_send_is_no_answer_of_the_store(
    status: str,
) -> None:
    async def run() -> object:
        raw = await RawUpstream(
            lambda *_: Reply(
                f'HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}'.encode()
            )
        ).open()
        store = PlatformStore(raw.address, lambda _: None)
        async with asyncio.timeout(5):
            return await store.read_all(StoreKind.EVACUATIONS)

    assert isinstance(asyncio.run(run()), StoreFault)
