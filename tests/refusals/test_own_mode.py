"""What counts as not executed in the product's own mode."""

import asyncio
from collections.abc import Callable

import pytest

from tests.callers.attempts import OwnAttempts
from tests.platform.upstream import RawUpstream, Reply
from worksrail.core.results import ResultCode
from worksrail.daemon.http._connections import ConnectionPool

_WAYS = ('send', 'pass_on')


def _refusal(trace: str) -> bytes:
    named = f'Worksrail-Trace: {trace}\r\n' if trace else ''
    code = ResultCode.UPSTREAM_SHED.number
    return (
        f'HTTP/1.1 503 X\r\n{named}Worksrail-Not-Run: true\r\n'
        f'Worksrail-Result: {code}\r\nContent-Length: 0\r\n\r\n'
    ).encode()


def _end(way: str, payload: bytes, *, close: bool) -> str:
    """Return how the attempt ends if the other side writes some bytes."""

    async def run() -> str:
        raw = RawUpstream(lambda *_: Reply(payload, close=close))
        await raw.open()
        pool = ConnectionPool(lambda: 0.0)
        attempts = OwnAttempts(pool)
        getattr(attempts, way)(raw.address)
        async with asyncio.timeout(20):
            while not attempts.ended:
                await asyncio.sleep(0.001)
        pool.close()
        end = attempts.ended[-1]
        if way == 'pass_on':
            return str(end.code.certainty.value)
        return 'not run' if end.outcome.name == 'SHED' else 'unknown'

    return asyncio.run(run())


_UNPROVEN: dict[str, Callable[[], bytes]] = {
    'names no request': lambda: _refusal(''),
    'names another request': lambda: _refusal('another'),
}


# A refusal of another request, or of none, was taken for that of the request
# in progress.
@pytest.mark.parametrize('way', _WAYS)
@pytest.mark.parametrize('form', _UNPROVEN)
def test_refusal_counts_only_for_the_request_it_names(
    form: str, way: str
) -> None:
    assert _end(way, _UNPROVEN[form](), close=True) == 'unknown'


@pytest.mark.parametrize('way', _WAYS)
def test_refusal_that_names_the_request_counts(way: str) -> None:
    assert _end(way, _refusal('trace-1'), close=False) == 'not run'
