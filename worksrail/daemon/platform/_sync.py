"""Reads of the platform by an instance, and their timing.

In each zone one instance, chosen by rendezvous hashing, watches the store; the
others receive changes from their peers.  Every instance polls the seat table
and the list of instances at a long interval, with jitter, so that there is no
thundering herd at the end of an outage.
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
# Seconds for which a watch waits.  A watch that the store lost in an outage
# times out two seconds later.  There is one watch per zone.
_WATCH_TIMEOUT: Final = 2.0
# Seconds for which a watch waits while it is unknown whether the store
# responds: requests sent to an unresponsive store are never answered.
_FIRST_WATCH_TIMEOUT: Final = 0.1
# Exponential backoff between failed watches, in seconds.
_MIN_RETRY_DELAY: Final = 0.25
_MAX_RETRY_DELAY: Final = 1.0
_POLL_INTERVAL: Final = 0.4
_WATCHER_CHECK_INTERVAL: Final = 0.5
_MAX_CHUNK_PEERS: Final = 3
_JITTER_RANGE: Final = (0.5, 1.5)


@dataclass(slots=True)
class PlatformSync:
    """Keeps an instance in sync with the platform, and writes to it."""

    engine: Engine
    """Receives the events."""

    store: StoreClient
    """Client of the platform's object API."""

    peers: PeerClient
    """Client for messages to other instances."""

    cache: ChunkCache
    """Cache of bundle chunks."""

    seeds: tuple[str, ...] = ()
    """Peer addresses to contact at start."""

    rng: random.Random = field(default_factory=random.Random)
    """Source of jitter."""

    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    """Tasks in progress."""

    def start(self) -> None:
        """Start watching, polling and contacting peers."""
        self._start_task(self._watch())
        self._start_task(self._poll())
        self._start_task(self._contact_unknown_peers())

    def stop(self) -> None:
        """Cancel all tasks."""
        for task in self.tasks:
            task.cancel()

    # -- effects

    def fetch_bundle(self, effect: FetchBundle) -> None:
        """Fetch a bundle from other instances or from the store."""
        self._start_task(self._fetch(effect))

    def write_seats(self, effect: WriteSeatTable) -> None:
        """Update the seat table conditionally."""
        self._start_task(self._write_seats(effect))

    # -- reading

    async def read_head(self) -> bool:
        """Read the head and dispatch it; false if the store is unreachable."""
        head = await self._read_record(HEAD_KEY, Head)
        if isinstance(head, Head):
            newest = head.newest
            self.engine.dispatch(
                HeadSeen(self.engine.now(), newest.generation, newest.digest)
            )
        return head is not StoreFault.UNREACHABLE

    async def read_drains(self) -> bool:
        """Read the drain list and dispatch it; false if unreachable."""
        drains = await self._read_record(DRAINS_KEY, DrainList)
        if isinstance(drains, DrainList):
            self.engine.dispatch(
                DrainsSeen(self.engine.now(), drains.revision, drains.targets)
            )
        return drains is not StoreFault.UNREACHABLE

    async def read_seats(self) -> bool:
        """Read the region's seats and dispatch them; false if unreachable."""
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
        """Read the platform's list of instances and dispatch it."""
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

    # -- tasks

    async def _watch(self) -> None:
        revision = 0
        delay = _MIN_RETRY_DELAY
        answered = False
        await self._read_everything()
        while True:
            if not self.is_watcher():
                revision, answered = 0, False
                await asyncio.sleep(_WATCHER_CHECK_INTERVAL)
                continue
            seconds = _WATCH_TIMEOUT if answered else _FIRST_WATCH_TIMEOUT
            report = await self.store.watch(revision, seconds)
            answered = await self._read_reported(report)
            if isinstance(report, WatchReport) and answered:
                delay = _MIN_RETRY_DELAY
                revision = report.revision
                continue
            await asyncio.sleep(self._jittered(delay))
            delay = min(_MAX_RETRY_DELAY, 2 * delay)

    async def _read_reported(self, report: WatchReport | StoreFault) -> bool:
        """Read the objects that a watch reported as changed.

        False makes the caller repeat the watch from the same revision.
        """
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
        """Read the changed objects used here; false if a read failed."""
        region = self.engine.instance.place.region
        readers: dict[str, Callable[[], Awaitable[bool]]] = {
            HEAD_KEY: self.read_head,
            DRAINS_KEY: self.read_drains,
            seats_key(region): self.read_seats,
        }
        wanted = [readers[key] for key in keys if key in readers]
        return all([await reader() for reader in wanted])

    async def _poll(self) -> None:
        interval = self.engine.instance.settings.reclaim_after / 3
        next_read = float(0)
        while True:
            await asyncio.sleep(_POLL_INTERVAL)
            now = self.engine.now()
            if now >= next_read:
                next_read = now + self._jittered(interval)
                await self.read_instances()
                await self.read_seats()
            elif self.engine.instance.seats.read_at is None:
                await self.read_seats()
            if self.engine.instance.configuration.topology is None:
                await self.read_head()

    async def _contact_unknown_peers(self) -> None:
        interval = self.engine.instance.settings.heartbeat_interval
        while True:
            membership = self.engine.instance.membership
            listed = membership.listed or {}
            known = {
                member.record.endpoints.peer
                for member in membership.members.values()
            }
            addresses = {entry.peer for entry in listed.values()}
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
            for name in effect.peers[:_MAX_CHUNK_PEERS]
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

    async def _read_record(
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
        return seconds * self.rng.uniform(*_JITTER_RANGE)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            _LOG.error('platform task failed: {!r}', task.exception())
