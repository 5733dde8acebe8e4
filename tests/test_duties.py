"""Reads from the platform around an outage of its store.

The tests guard against two faults found during an incident on a platform: a
watch started while the store did not respond timed out only after 12 s, and
a changed object was never read again once its first read had failed.
"""

import asyncio
from typing import Any
from unittest.mock import Mock

import msgspec
import pytest

from tests.virtual_time import at_most, run_virtually
from worksrail.core.events import Event, HeadSeen
from worksrail.daemon._engine import Engine
from worksrail.daemon._settings import DaemonSettings, load_settings
from worksrail.daemon.main import Daemon
from worksrail.daemon.platform._records import HEAD_KEY, Generation, Head
from worksrail.daemon.platform._store import (
    StoredObject,
    StoreFault,
    WatchReport,
)
from worksrail.daemon.platform._sync import PlatformSync

_TIMEOUT = 2.0
_STEP = 0.01
_SETTINGS = {
    'name': 'one',
    'zone': 'a1',
    'region': 'a',
    'caller': '127.0.0.1:1',
    'operator': '127.0.0.1:2',
    'peer': '127.0.0.1:3',
    'passing': '127.0.0.1:4',
    'store': '127.0.0.1:5',
    'ticket_secrets': 'a-secret-that-is-long-enough',
    'seed': '7',
}


class UnresponsiveStore:
    """Store with a head record that does not respond during outages."""

    def __init__(self, *, loses_watches: bool) -> None:
        """Create a store at generation one."""
        self.loses_watches = loses_watches
        self.unresponsive = False
        self.outages = 0
        self.failing_reads = 0
        self.generation = 1

    async def read(self, key: str) -> StoredObject | StoreFault:
        """Read an object."""
        return await at_most(_TIMEOUT, self._read(key), StoreFault.UNREACHABLE)

    async def watch(self, since: int, seconds: float) -> Any:
        """Wait for a change."""
        return await at_most(
            seconds + _TIMEOUT,
            self._watch(since, seconds),
            StoreFault.UNREACHABLE,
        )

    async def instances(self) -> Any:
        """Return an empty list."""
        return ()

    async def _read(self, key: str) -> StoredObject | StoreFault:
        await self._respond()
        if key != HEAD_KEY:
            return StoreFault.NOT_FOUND
        if self.failing_reads:
            self.failing_reads -= 1
            return StoreFault.UNREACHABLE
        numbers = range(1, self.generation + 1)
        head = Head(
            tuple(
                Generation(number, 'd', number - 1, 'o', 's', 'a', 'r', 0)
                for number in numbers
            )
        )
        return StoredObject(self.generation, msgspec.json.encode(head))

    async def _watch(self, since: int, seconds: float) -> WatchReport:
        await self._respond()
        outages, end = self.outages, _now() + seconds
        while self.unresponsive or self.generation <= since:
            if _now() >= end and not self.unresponsive:
                break
            await asyncio.sleep(_STEP)
        if self.loses_watches and outages != self.outages:
            await asyncio.Event().wait()
        changed = (HEAD_KEY,) if self.generation > since else ()
        return WatchReport(self.generation, changed)

    async def _respond(self) -> None:
        await asyncio.sleep(_STEP)
        if self.unresponsive:
            await asyncio.Event().wait()


def _now() -> float:
    return asyncio.get_running_loop().time()


class FakeEngine:
    """Receives the events in place of an engine."""

    def __init__(self, engine: Engine) -> None:
        """Share the state and the clock of an engine."""
        self.instance = engine.instance
        # An instance without a topology polls the head; one with it doesn't.
        self.instance.configuration.topology = Mock()
        self.now = engine.now
        self.seen: list[int] = []

    def dispatch(self, event: Event) -> None:
        """Record the generations that were read."""
        if isinstance(event, HeadSeen):
            self.seen.append(event.generation)


def _start_sync(store: UnresponsiveStore) -> tuple[PlatformSync, list[int]]:
    """Start a sync with a store; return it and the generations it reads."""
    settings = load_settings(_SETTINGS, {})
    assert isinstance(settings, DaemonSettings)
    sync = Daemon.from_settings(settings).sync
    recorder = FakeEngine(sync.engine)
    sync.store = store
    sync.engine = recorder
    sync.start()
    return sync, recorder.seen


@pytest.mark.parametrize('loses_watches', [False, True])
@pytest.mark.parametrize('outage', [0.5, 3, 8])
@pytest.mark.parametrize('outage_at', [2, 9])
def test_generation_rolled_after_an_outage_is_read_soon(
    outage_at: float, outage: float, loses_watches: bool
) -> None:
    async def run() -> list[int]:
        store = UnresponsiveStore(loses_watches=loses_watches)
        sync, seen = _start_sync(store)
        await asyncio.sleep(outage_at)
        store.unresponsive, store.outages = True, 1
        await asyncio.sleep(outage)
        store.unresponsive = False
        await asyncio.sleep(3)
        store.generation = 2
        await asyncio.sleep(2.5)
        sync.stop()
        return seen

    assert run_virtually(run())[-1] == 2


def test_failed_read_of_a_new_generation_is_repeated() -> None:
    async def run() -> list[int]:
        store = UnresponsiveStore(loses_watches=False)
        sync, seen = _start_sync(store)
        await asyncio.sleep(2)
        store.failing_reads, store.generation = 1, 2
        await asyncio.sleep(2)
        sync.stop()
        return seen

    assert run_virtually(run())[-1] == 2
