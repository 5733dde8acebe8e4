"""A store that falls silent, and one entry that reads it; virtual clock."""

import asyncio
from dataclasses import replace

from tests.steering.world import configuration, route, settings, upstream
from tests.virtual_time import at_most
from worksrail.core.steering import (
    EntrySettings,
    SteeringBounds,
    StoreUpdate,
    UpstreamRecord,
)
from worksrail.core.steering.kinds import StoreKind
from worksrail.daemon._logs import LineSink
from worksrail.daemon.steered import Adapter, StoreFault
from worksrail.daemon.steered._daemon import SteeredDaemon
from worksrail.platform import PlatformCallers, PlatformUpstreams

_Answer = StoreUpdate | StoreFault
_STEP = 0.01
# Seconds beyond its own time after which a call is given up.
_LIMIT = 2.0
# Seconds for which the store keeps its history: watches wait for 0.8 of them.
_HISTORY = 20


class SilentStore:
    """Upstreams in a store that answers nothing for a while.

    What is asked of it while it is silent is never answered.  A watch that
    waited already is answered once it is back, or never if it forgets it.
    """

    def __init__(self, clock: 'Clock', *, forgets: bool) -> None:
        """Begin with five upstreams."""
        self.clock = clock
        self.forgets = forgets
        self.silent = False
        self.silences = 0
        self.revision = 1
        self.records: dict[str, UpstreamRecord] = {}
        self.changes: list[tuple[int, str]] = []
        for name in ('1', '2', '3', '4', '5'):
            self.put(name)

    def fall_silent(self) -> None:
        """Answer nothing from now on."""
        self.silent = True
        self.silences += 1

    def put(self, name: str) -> None:
        """An upstream reports."""
        self.records[name] = upstream(
            name, address=f'10.0.0.{name}:1', sequence=self.revision
        )
        self._change(name)

    def remove(self, name: str) -> None:
        """An upstream's entry lapses, or it has left."""
        self.records.pop(name)
        self._change(name)

    async def read_all(
        self, kind: StoreKind, *, stale: bool = False, seconds: float = _LIMIT
    ) -> _Answer:
        """A complete list."""
        return await at_most(seconds, self._list(kind), StoreFault.UNREACHABLE)

    async def watch(
        self, kind: StoreKind, since: int, seconds: float
    ) -> _Answer:
        """What changed after a revision."""
        return await at_most(
            seconds + _LIMIT,
            self._watch(kind, since, seconds),
            StoreFault.UNREACHABLE,
        )

    async def _list(self, kind: StoreKind) -> StoreUpdate:
        await self._be_heard()
        if kind is StoreKind.CONFIGURATION:
            return StoreUpdate(self.revision, configuration(1, (route(),)))
        if kind is StoreKind.EVACUATIONS:
            return StoreUpdate(self.revision)
        return StoreUpdate(self.revision, records=tuple(self.records.values()))

    async def _watch(
        self, kind: StoreKind, since: int, seconds: float
    ) -> StoreUpdate:
        await self._be_heard()
        begun, silences = self.clock.now(), self.silences
        while self.silent or not self._has_news(kind, since):
            if self.clock.now() - begun >= seconds and not self.silent:
                break
            await asyncio.sleep(_STEP)
        if self.forgets and self.silences != silences:
            await asyncio.Event().wait()
        if kind is not StoreKind.UPSTREAMS:
            return StoreUpdate(self.revision)
        names = {name for at, name in self.changes if at > since}
        return StoreUpdate(
            self.revision,
            records=tuple(
                self.records[name] for name in names & self.records.keys()
            ),
            removed=tuple(names - self.records.keys()),
        )

    async def _be_heard(self) -> None:
        await asyncio.sleep(_STEP)
        if self.silent:
            await asyncio.Event().wait()

    def _has_news(self, kind: StoreKind, since: int) -> bool:
        upstreams = kind is StoreKind.UPSTREAMS
        return upstreams and any(at > since for at, _ in self.changes)

    def _change(self, name: str) -> None:
        self.revision += 1
        self.changes.append((self.revision, name))


class Clock:
    """Virtual seconds; the loop begins with the test."""

    def now(self) -> float:
        """Seconds since the loop began."""
        return asyncio.get_running_loop().time()


class Reader:
    """One entry that reads a store and knows no other entries."""

    def __init__(self, *, forgets: bool) -> None:
        """Build it; nothing runs yet."""
        clock = Clock()
        self.store = SilentStore(clock, forgets=forgets)
        adapter = Adapter(
            _settings,
            PlatformCallers(),
            PlatformUpstreams(),
            lambda _, count: self.store,
        )
        self.daemon = SteeredDaemon.from_adapter(
            adapter, _settings(), LineSink(len)
        )
        state = self.daemon.engine.state
        state.started_at = state.last_event_at = clock.now()
        self.daemon.engine.clock = clock.now
        self.fewest = 0

    def usable(self) -> set[str]:
        """Names of the upstreams that the entry may use."""
        usable = self.daemon.engine.state.catalog.usable('orders')
        return {found.name for found in usable}

    def report(self, *names: str) -> None:
        """Some upstreams write their entries."""
        for name in names:
            self.store.put(name)

    async def play(self, seconds: float) -> None:
        """Let time pass, and count how many upstreams are usable at least."""
        end = asyncio.get_running_loop().time() + seconds
        self.fewest = len(self.usable())
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(_STEP)
            self.fewest = min(self.fewest, len(self.usable()))

    async def begin(self) -> None:
        """Begin to read, and know everything."""
        self.daemon.begin_work()
        await self.play(2)

    def end(self) -> None:
        """Cease to read."""
        for task in tuple(self.daemon.tasks):
            task.cancel()


def _settings() -> EntrySettings:
    bounds = SteeringBounds(store_history=_HISTORY)
    return replace(settings(bounds=bounds), seeds=())
