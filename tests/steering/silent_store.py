"""An unresponsive store and one entry that reads it, on a virtual clock."""

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
# Seconds after which a call is abandoned, in addition to its own wait time.
_EXTRA_TIMEOUT = 2.0
# Seconds for which the store keeps its history; watches wait for 0.8 of that.
_HISTORY_SECONDS = 20


class UnresponsiveStore:
    """A store with upstreams that is unresponsive for a while.

    Calls made during that time are never answered. A watch that was already
    pending is answered afterwards, or never if the store loses its watches.
    """

    def __init__(self, clock: 'Clock', *, loses_watches: bool) -> None:
        """Start with five upstreams."""
        self.clock = clock
        self.loses_watches = loses_watches
        self.unresponsive = False
        self.outages = 0
        self.revision = 1
        self.records: dict[str, UpstreamRecord] = {}
        self.changes: list[tuple[int, str]] = []
        for name in ('1', '2', '3', '4', '5'):
            self.put(name)

    def stop_answering(self) -> None:
        """Stop answering."""
        self.unresponsive = True
        self.outages += 1

    def put(self, name: str) -> None:
        """Write the record of an upstream."""
        self.records[name] = upstream(
            name, address=f'10.0.0.{name}:1', sequence=self.revision
        )
        self._change(name)

    def remove(self, name: str) -> None:
        """Remove the record of an upstream that expired or left."""
        self.records.pop(name)
        self._change(name)

    async def read_all(
        self,
        kind: StoreKind,
        *,
        stale: bool = False,
        seconds: float = _EXTRA_TIMEOUT,
    ) -> _Answer:
        """Return the complete list."""
        return await at_most(seconds, self._list(kind), StoreFault.UNREACHABLE)

    async def watch(
        self, kind: StoreKind, since: int, seconds: float
    ) -> _Answer:
        """Return the changes after a revision."""
        return await at_most(
            seconds + _EXTRA_TIMEOUT,
            self._watch(kind, since, seconds),
            StoreFault.UNREACHABLE,
        )

    async def _list(self, kind: StoreKind) -> StoreUpdate:
        await self._wait_for_answer()
        if kind is StoreKind.CONFIGURATION:
            return StoreUpdate(self.revision, configuration(1, (route(),)))
        if kind is StoreKind.EVACUATIONS:
            return StoreUpdate(self.revision)
        return StoreUpdate(self.revision, records=tuple(self.records.values()))

    async def _watch(
        self, kind: StoreKind, since: int, seconds: float
    ) -> StoreUpdate:
        await self._wait_for_answer()
        started_at, outages = self.clock.now(), self.outages
        while self.unresponsive or not self._has_changes(kind, since):
            if (
                self.clock.now() - started_at >= seconds
                and not self.unresponsive
            ):
                break
            await asyncio.sleep(_STEP)
        if self.loses_watches and self.outages != outages:
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

    async def _wait_for_answer(self) -> None:
        await asyncio.sleep(_STEP)
        if self.unresponsive:
            await asyncio.Event().wait()

    def _has_changes(self, kind: StoreKind, since: int) -> bool:
        upstreams = kind is StoreKind.UPSTREAMS
        return upstreams and any(at > since for at, _ in self.changes)

    def _change(self, name: str) -> None:
        self.revision += 1
        self.changes.append((self.revision, name))


class Clock:
    """Virtual seconds; the event loop starts with the test."""

    def now(self) -> float:
        """Return the seconds since the loop started."""
        return asyncio.get_running_loop().time()


class Reader:
    """One entry that reads a store and knows no other entries."""

    def __init__(self, *, loses_watches: bool) -> None:
        """Build the entry without starting it."""
        clock = Clock()
        self.store = UnresponsiveStore(clock, loses_watches=loses_watches)
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
        self.min_usable = 0

    def usable(self) -> set[str]:
        """Return the names of the upstreams that the entry may use."""
        usable = self.daemon.engine.state.catalog.usable('orders')
        return {found.name for found in usable}

    def write_records(self, *names: str) -> None:
        """Let some upstreams write their records."""
        for name in names:
            self.store.put(name)

    async def run(self, seconds: float) -> None:
        """Advance the clock and track the minimum of usable upstreams."""
        end = asyncio.get_running_loop().time() + seconds
        self.min_usable = len(self.usable())
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(_STEP)
            self.min_usable = min(self.min_usable, len(self.usable()))

    async def start(self) -> None:
        """Start to read, until everything is known."""
        self.daemon.begin_work()
        await self.run(2)

    def stop(self) -> None:
        """Stop reading."""
        for task in tuple(self.daemon.tasks):
            task.cancel()


def _settings() -> EntrySettings:
    bounds = SteeringBounds(store_history=_HISTORY_SECONDS)
    return replace(settings(bounds=bounds), seeds=())
