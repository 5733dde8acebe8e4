"""Timers after a suspension of the machine."""

import asyncio
import time
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

import pytest

from tests.steering.world import settings
from worksrail.daemon import main
from worksrail.daemon._loop import ServingLoop
from worksrail.daemon.steered import _daemon

_LONG = 3600.0
_TICK = 0.001
_TICKS = 5
_FLAGS = {
    'name': 'one',
    'zone': 'a1',
    'region': 'a',
    'caller': '127.0.0.1:1',
    'operator': '127.0.0.1:2',
    'peer': '127.0.0.1:3',
    'passing': '127.0.0.1:4',
    'store': '127.0.0.1:5',
    'ticket_secrets': 'a-secret-of-some-length',
}


@dataclass
class _Clock:
    """Monotonic clock that includes suspended time."""

    suspended: float = 0

    def __call__(self) -> float:
        return time.monotonic() + self.suspended


async def _tick() -> None:
    for _ in range(_TICKS):
        await asyncio.sleep(_TICK)


@pytest.mark.parametrize(
    ('seconds', 'expires'), [(_LONG + 1, True), (1, False)]
)
def test_deadline_passed_during_suspension_expires_at_once(
    seconds: float,
    *,
    expires: bool,
) -> None:
    clock = _Clock()

    async def wait() -> bool:
        deadline = asyncio.ensure_future(asyncio.sleep(_LONG))
        await _tick()
        clock.suspended = seconds
        await _tick()
        expired = deadline.done()
        deadline.cancel()
        return expired

    with asyncio.Runner(loop_factory=lambda: ServingLoop(clock)) as runner:
        assert runner.run(wait()) is expires


@pytest.mark.parametrize('program', ['worksraild', 'entry'])
def test_programs_run_on_a_loop_that_includes_suspended_time(
    program: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    loops: list[type] = []

    async def record_loop(*_: Any) -> None:
        loops.append(type(asyncio.get_running_loop()))

    if program == 'entry':
        adapter: Any = SimpleNamespace(read_settings=settings)
        monkeypatch.setattr(_daemon, '_serve', record_loop)
        monkeypatch.setattr(_daemon, 'install_logs', lambda *_: None)
        _daemon.serve(adapter)
    else:
        monkeypatch.setattr(main, '_serve', record_loop)
        monkeypatch.setattr(main, 'install_logs', lambda *_: None)
        main.serve(**_FLAGS)
    assert loops == [ServingLoop]
