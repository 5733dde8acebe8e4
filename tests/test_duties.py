"""What an instance reads from the platform around a silence of its store.

Found while the cause of an incident on the users' platform was looked for
elsewhere: a watch that was begun while the store was silent was given up only
after 12 s, and a change whose object could not be read was never read again.
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
from worksrail.daemon.platform._duties import PlatformDuties
from worksrail.daemon.platform._records import HEAD_KEY, Generation, Head
from worksrail.daemon.platform._store import (
    StoredObject,
    StoreFault,
    WatchReport,
)

_LIMIT = 2.0
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


class SilentStore:
    """Holds the head, and answers nothing for a while."""

    def __init__(self, *, forgets: bool) -> None:
        """Begin at the first generation."""
        self.forgets = forgets
        self.silent = False
        self.silences = 0
        self.failing_reads = 0
        self.generation = 1

    async def read(self, key: str) -> StoredObject | StoreFault:
        """Read an object."""
        return await at_most(_LIMIT, self._read(key), StoreFault.UNREACHABLE)

    async def watch(self, since: int, seconds: float) -> Any:
        """Wait for a change."""
        return await at_most(
            seconds + _LIMIT,
            self._watch(since, seconds),
            StoreFault.UNREACHABLE,
        )

    async def instances(self) -> Any:
        """Nobody else is listed."""
        return ()

    async def _read(self, key: str) -> StoredObject | StoreFault:
        await self._be_heard()
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
        await self._be_heard()
        silences, end = self.silences, _now() + seconds
        while self.silent or self.generation <= since:
            if _now() >= end and not self.silent:
                break
            await asyncio.sleep(_STEP)
        if self.forgets and silences != self.silences:
            await asyncio.Event().wait()
        changed = (HEAD_KEY,) if self.generation > since else ()
        return WatchReport(self.generation, changed)

    async def _be_heard(self) -> None:
        await asyncio.sleep(_STEP)
        if self.silent:
            await asyncio.Event().wait()


def _now() -> float:
    return asyncio.get_running_loop().time()


class Recorder:
    """Takes the events of the duties in the engine's place."""

    def __init__(self, engine: Engine) -> None:
        """Stand in for an engine."""
        self.instance = engine.instance
        # An instance without any bundle reads the head all the time.
        self.instance.configuration.topology = Mock()
        self.now = engine.now
        self.seen: list[int] = []

    def dispatch(self, event: Event) -> None:
        """Keep the generations that were read."""
        if isinstance(event, HeadSeen):
            self.seen.append(event.generation)


def _watching(store: SilentStore) -> tuple[PlatformDuties, list[int]]:
    """Duties on a store, and the generations that they read."""
    settings = load_settings(_SETTINGS, {})
    assert isinstance(settings, DaemonSettings)
    duties = Daemon.from_settings(settings).duties
    recorder = Recorder(duties.engine)
    duties.store = store
    duties.engine = recorder
    duties.start()
    return duties, recorder.seen


@pytest.mark.parametrize('forgets', [False, True])
@pytest.mark.parametrize('silent_for', [0.5, 3, 8])
@pytest.mark.parametrize('after', [2, 9])
def test_roll_after_a_silence_is_seen_soon(
    after: float, silent_for: float, forgets: bool
) -> None:
    async def play() -> list[int]:
        store = SilentStore(forgets=forgets)
        duties, seen = _watching(store)
        await asyncio.sleep(after)
        store.silent, store.silences = True, 1
        await asyncio.sleep(silent_for)
        store.silent = False
        await asyncio.sleep(3)
        store.generation = 2
        await asyncio.sleep(2.5)
        duties.stop()
        return seen

    assert run_virtually(play())[-1] == 2


def test_roll_that_could_not_be_read_is_read_again() -> None:
    async def play() -> list[int]:
        store = SilentStore(forgets=False)
        duties, seen = _watching(store)
        await asyncio.sleep(2)
        store.failing_reads, store.generation = 1, 2
        await asyncio.sleep(2)
        duties.stop()
        return seen

    assert run_virtually(play())[-1] == 2
