"""What an instance reads from the platform, and how often.

One instance of each zone watches the store, chosen by rendezvous hashing;
all others hear of changes from their peers.  Everybody reads the seat table
and the list of instances at a slow pace, with jitter, so that the end of an
outage brings no stampede.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Final, TypeVar

from logbook import Logger

from worksrail.core.bundle import Bundle
from worksrail.core.effects import FetchBundle, WriteSeatTable
from worksrail.core.events import (
    BundleFetched,
    BundleFetchFailed,
    DrainsSeen,
    HeadSeen,
    InstanceListRead,
    SeatTableRead,
    SeatTableWritten,
    WriteOutcome,
)
from worksrail.core.membership import rendezvous
from worksrail.core.messages import Heartbeat
from worksrail.core.permits import SeatTable, decode_seats, encode_seats
from worksrail.daemon._engine import Engine
from worksrail.daemon._peers import PeerClient
from worksrail.daemon.platform._chunks import ChunkCache, ChunkSource
from worksrail.daemon.platform._records import (
    DRAINS_KEY,
    HEAD_KEY,
    CorruptObject,
    DrainList,
    Head,
    chunk_key,
    decode,
    seats_key,
)
from worksrail.daemon.platform._store import (
    StoreClient,
    StoredObject,
    StoreFault,
    WatchReport,
)

_Record = TypeVar('_Record')
_LOG: Final = Logger('worksrail.platform')
# Seconds that a watch waits.  One that the store has forgotten, since it has
# been silent, is given up two seconds later.  Each zone has one watch.
_WATCH_SECONDS: Final = 2.0
# Seconds that it waits while it is not known whether the store answers: what a
# silent store is asked is never answered.
_FIRST_WATCH_SECONDS: Final = 0.1
# Seconds between watches that fail, doubled up to the last.
_RETRY_FIRST: Final = 0.25
_RETRY_LAST: Final = 1.0
_QUICK_READ: Final = 0.4
_DUTY_CHECK: Final = 0.5
_PEERS_ASKED: Final = 3
_SPREAD: Final = (0.5, 1.5)


@dataclass(slots=True)
class PlatformDuties:
    """Keeps an instance informed, and writes for it."""

    engine: Engine
    """Takes the events."""

    store: StoreClient
    """The platform's object API."""

    peers: PeerClient
    """Other instances."""

    cache: ChunkCache
    """Chunks of bundles."""

    seeds: tuple[str, ...] = ()
    """Peer addresses to ask at start."""

    rng: random.Random = field(default_factory=random.Random)
    """Source of jitter."""

    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    """Work under way."""

    def start(self) -> None:
        """Begin to read and to watch."""
        self._run(self._watch())
        self._run(self._read_slowly())
        self._run(self._greet())

    def stop(self) -> None:
        """End all work under way."""
        for task in self.tasks:
            task.cancel()

    # -- effects

    def fetch_bundle(self, effect: FetchBundle) -> None:
        """Get a bundle from other instances, or from the store."""
        self._run(self._fetch(effect))

    def write_seats(self, effect: WriteSeatTable) -> None:
        """Update the seat table conditionally."""
        self._run(self._write_seats(effect))

    # -- reading

    async def read_head(self) -> bool:
        """Read the head and make an event of it; false if nothing answers."""
        head = await self._record(HEAD_KEY, Head)
        if isinstance(head, Head):
            newest = head.newest
            self.engine.dispatch(
                HeadSeen(self.engine.now(), newest.generation, newest.digest)
            )
        return head is not StoreFault.UNREACHABLE

    async def read_drains(self) -> bool:
        """Read the drain list and make an event of it."""
        drains = await self._record(DRAINS_KEY, DrainList)
        if isinstance(drains, DrainList):
            self.engine.dispatch(
                DrainsSeen(self.engine.now(), drains.revision, drains.targets)
            )
        return drains is not StoreFault.UNREACHABLE

    async def read_seats(self) -> bool:
        """Read the region's seat table and make an event of it."""
        region = self.engine.instance.place.region
        stored = await self.store.read(seats_key(region))
        if stored is StoreFault.UNREACHABLE:
            return False
        version, table = 0, None
        if isinstance(stored, StoredObject):
            decoded = decode_seats(stored.payload)
            if not isinstance(decoded, SeatTable):
                _LOG.error('corrupt object {}: {}', seats_key(region), decoded)
                return True
            version, table = stored.version, decoded
        self.engine.dispatch(SeatTableRead(self.engine.now(), version, table))
        return True

    async def read_instances(self) -> None:
        """Read the platform's list and make an event of it."""
        listed = await self.store.instances()
        if not isinstance(listed, StoreFault):
            self.engine.dispatch(InstanceListRead(self.engine.now(), listed))

    def is_watcher(self) -> bool:
        """Whether this instance watches the store for its zone."""
        instance = self.engine.instance
        zone = instance.place.zone
        names = [instance.who.name]
        names.extend(
            record.who.name
            for record in instance.membership.live(
                self.engine.now(), instance.settings, instance.place.region
            )
            if record.place.zone == zone
        )
        return rendezvous(f'watch/{zone}', names) == instance.who.name

    # -- work under way

    async def _watch(self) -> None:
        revision = 0
        pause = _RETRY_FIRST
        answered = False
        await self._read_everything()
        while True:
            if not self.is_watcher():
                revision, answered = 0, False
                await asyncio.sleep(_DUTY_CHECK)
                continue
            seconds = _WATCH_SECONDS if answered else _FIRST_WATCH_SECONDS
            report = await self.store.watch(revision, seconds)
            answered = await self._take(report)
            if isinstance(report, WatchReport) and answered:
                pause = _RETRY_FIRST
                revision = report.revision
                continue
            await asyncio.sleep(self._jittered(pause))
            pause = min(_RETRY_LAST, 2 * pause)

    async def _take(self, report: WatchReport | StoreFault) -> bool:
        """Read what a watch told of; else it has to tell it once more."""
        if isinstance(report, StoreFault):
            return False
        return await self._read_changed(report.keys)

    async def _read_everything(self) -> None:
        await asyncio.gather(
            self.read_head(),
            self.read_drains(),
            self.read_seats(),
            self.read_instances(),
        )

    async def _read_changed(self, keys: tuple[str, ...]) -> bool:
        """Read the objects that matter here; false if one could not be."""
        region = self.engine.instance.place.region
        readers: dict[str, Callable[[], Awaitable[bool]]] = {
            HEAD_KEY: self.read_head,
            DRAINS_KEY: self.read_drains,
            seats_key(region): self.read_seats,
        }
        wanted = [readers[key] for key in keys if key in readers]
        return all([await reader() for reader in wanted])

    async def _read_slowly(self) -> None:
        pace = self.engine.instance.settings.reclaim_after / 3
        due = float(0)
        while True:
            await asyncio.sleep(_QUICK_READ)
            now = self.engine.now()
            if now >= due:
                due = now + self._jittered(pace)
                await self.read_instances()
                await self.read_seats()
            elif self.engine.instance.seats.read_at is None:
                await self.read_seats()
            if self.engine.instance.configuration.topology is None:
                await self.read_head()

    async def _greet(self) -> None:
        interval = self.engine.instance.settings.heartbeat_interval
        while True:
            membership = self.engine.instance.membership
            listed = membership.listed or {}
            known = {
                member.record.endpoints.peer
                for member in membership.members.values()
            }
            addresses = {one.peer for one in listed.values()}
            addresses.update(self.seeds)
            own = self.engine.instance.endpoints.peer
            for address in addresses - known - {own}:
                record = self.engine.instance.record(self.engine.now())
                self.peers.send_to(address, Heartbeat(record))
            await asyncio.sleep(4 * interval if known else interval)

    async def _fetch(self, effect: FetchBundle) -> None:
        bundle = await self.cache.fetch(effect.digest, self._sources(effect))
        now = self.engine.now()
        if isinstance(bundle, Bundle):
            self.engine.dispatch(
                BundleFetched(now, effect.generation, effect.digest, bundle)
            )
            return
        _LOG.warning('bundle {}: {}', effect.digest, bundle.value)
        self.engine.dispatch(BundleFetchFailed(now, effect.generation))

    def _sources(self, effect: FetchBundle) -> list[ChunkSource]:
        members = self.engine.instance.membership.members
        addresses = [
            members[name].record.endpoints.peer
            for name in effect.peers[:_PEERS_ASKED]
            if name in members
        ]
        sources = [self._peer_source(address) for address in addresses]
        return [*sources, self._stored_chunk]

    def _peer_source(self, address: str) -> ChunkSource:
        return partial(self.peers.read_chunk, address)

    async def _stored_chunk(self, digest: str) -> bytes | None:
        stored = await self.store.read(chunk_key(digest))
        return stored.payload if isinstance(stored, StoredObject) else None

    async def _write_seats(self, effect: WriteSeatTable) -> None:
        report = await self.store.write(
            seats_key(effect.table.region),
            encode_seats(effect.table),
            effect.expected,
        )
        done = report.outcome is WriteOutcome.DONE
        self.engine.dispatch(
            SeatTableWritten(
                self.engine.now(),
                report.outcome,
                report.version,
                effect.table if done else None,
            )
        )

    async def _record(
        self,
        key: str,
        kind: type[_Record],
    ) -> _Record | StoreFault:
        stored = await self.store.read(key)
        if not isinstance(stored, StoredObject):
            return stored
        try:
            return decode(stored.payload, kind)
        except CorruptObject as error:
            _LOG.error('corrupt object {}: {}', key, error)
            return StoreFault.NOT_FOUND

    def _jittered(self, seconds: float) -> float:
        return seconds * self.rng.uniform(*_SPREAD)

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            _LOG.error('platform work failed: {!r}', task.exception())
