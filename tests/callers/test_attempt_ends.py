"""Every attempt reports its end exactly once, whatever ends its task."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

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
_WAYS = ('send', 'pass_on')
# Turns after which an attempt is cancelled; the answer has come by the last.
_CANCELLED_AFTER = range(30)


async def _until_ended(attempts: Attempts) -> list[Any]:
    """Return the events that end attempts."""
    async with asyncio.timeout(30):
        while not _ends(attempts):
            await asyncio.sleep(0.001)
    # A second report would follow at once.
    await turns(5)
    return _ends(attempts)


def _ends(attempts: Attempts) -> list[Any]:
    return [
        event
        for event in attempts.ended
        if type(event).__name__ in {'AttemptEnded', 'PassEnded'}
    ]


# An attempt that was cancelled before its task began never reported its end.
@pytest.mark.parametrize('way', _WAYS)
@pytest.mark.parametrize('mode', _MODES)
def test_attempt_that_is_cancelled_at_any_moment_reports_its_end(
    mode: str, way: str
) -> None:
    async def run() -> None:
        raw = RawUpstream(lambda _, trace: Reply(answer(trace)))
        await raw.open()
        for count in _CANCELLED_AFTER:
            pool = ConnectionPool(lambda: 0.0)
            attempts = _MODES[mode](pool)
            getattr(attempts, way)(raw.address)
            await turns(count)
            attempts.cancel()
            ends = await _until_ended(attempts)
            assert len(ends) == 1, f'cancelled after {count} turns'
            pool.close()

    asyncio.run(run())
