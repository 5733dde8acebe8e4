"""An attempt that ends unsent left no byte at its upstream."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from tornado.iostream import IOStream

from tests.callers.attempts import (
    Attempts,
    OwnAttempts,
    SteeredAttempts,
    turns,
)
from tests.platform.upstream import RawUpstream, Reply, answer
from worksrail.daemon.http._connections import ConnectionPool

_MODES: dict[str, Callable[[Any], Attempts]] = {
    'own': OwnAttempts,
    'platform': SteeredAttempts,
}
_UNSENT = frozenset(
    ('NOT_SENT', 'NOT_CONNECTED', 'CANCELLED_UNSENT', 'WITHDRAWN')
)
_CANCELLED_AFTER = range(30)


def _ends(attempts: Attempts) -> list[Any]:
    return [
        event
        for event in attempts.ended
        if type(event).__name__ in {'AttemptEnded', 'PassEnded'}
    ]


async def _end(attempts: Attempts) -> Any:
    async with asyncio.timeout(30):
        while not _ends(attempts):
            await asyncio.sleep(0.001)
    return _ends(attempts)[0]


@pytest.mark.parametrize('cancels', [1, 2, 3])
@pytest.mark.parametrize('mode', _MODES)
def test_attempt_that_is_cancelled_unsent_reached_nobody(
    mode: str, cancels: int
) -> None:
    async def run() -> None:
        raw = await RawUpstream(lambda *_: Reply(b'')).open()
        for count in _CANCELLED_AFTER:
            pool = ConnectionPool(lambda: 0.0)
            attempts = _MODES[mode](pool)
            before = len(raw.heads)
            attempts.send(raw.address)
            await turns(count)
            for _ in range(cancels):
                attempts.cancel()
            end = await _end(attempts)
            # What had left arrives at once.
            await asyncio.sleep(0.005)
            if end.outcome.name in _UNSENT:
                assert len(raw.heads) == before, f'after {count} turns'
            pool.close()

    asyncio.run(run())


# An error after the head had been handed to the socket counted as not sent.
@pytest.mark.parametrize('mode', _MODES)
def test_error_behind_the_first_byte_is_not_unsent(
    mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> tuple[str, int]:
        raw = await RawUpstream(
            lambda _, trace: Reply(answer(trace), after=0.05)
        ).open()
        write = IOStream.write

        def write_and_fail(stream: IOStream, data: bytes) -> Any:
            write(stream, data)
            if data.startswith(b'GET'):
                raise ValueError('odd')
            return write(stream, b'')

        monkeypatch.setattr(IOStream, 'write', write_and_fail)
        pool = ConnectionPool(lambda: 0.0)
        attempts = _MODES[mode](pool)
        attempts.send(raw.address)
        end = await _end(attempts)
        await asyncio.sleep(0.02)
        pool.close()
        return end.outcome.name, len(raw.heads)

    outcome, arrived = asyncio.run(run())
    assert arrived == 1
    assert outcome not in _UNSENT
