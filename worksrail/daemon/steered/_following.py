"""Follows one kind of object in the store: lists it once, then watches it."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

from logbook import Logger

from worksrail.core.steering import StoreUpdate
from worksrail.core.steering.events import (
    ConfigurationRead,
    EvacuationsRead,
    StoreAnswered,
    StoreLost,
    UpstreamsChanged,
    UpstreamsListed,
)
from worksrail.core.steering.kinds import StoreKind
from worksrail.daemon.steered._adapter import (
    SteeringStore,
    StoreFault,
)
from worksrail.daemon.steered._engine import SteeringEngine

_LOG: Final = Logger('worksrail.store')
# Maximum time of one watch in seconds.  Longer watches need fewer calls, and
# separate health checks detect a store that does not answer.  A watch that
# outlasts the store's history must be followed by a new list: three calls
# instead of one.
_MAX_WATCH_TIME: Final = 25.0
_MAX_SHARE_OF_HISTORY: Final = 0.8
# Time in seconds of a watch while it is unknown whether the store answers.  A
# call to a silent store may never be answered, even after the store recovers,
# and a long watch is abandoned only after its full time.  In one run, each of
# nine readers started a long watch shortly before the end of a silence of
# 6.8 s, and no entry learned of three leaving upstreams for 8 s (29 requests
# reached them after the 2.5 s that are allowed).
_PROBE_WATCH_TIME: Final = 0.1
# Exponential backoff of failing calls in seconds: first delay and maximum.  A
# refused call has its cost; one that does not reach the store has none, and a
# recovered path should be noticed soon: expired objects are kept for a while
# from then on and must be dropped before other entries rely on them.
_MIN_BACKOFF: Final = 0.1
_MAX_BACKOFFS: Final = {
    StoreFault.UNREACHABLE: 0.1,
    StoreFault.CUT: 0.1,
    StoreFault.REFUSED: 0.8,
    StoreFault.MALFORMED: 0.8,
}
_BACKOFF_JITTER: Final = (0.7, 1.3)
# Delay in seconds between changes and the next watch.  Upstreams come and go
# in groups; reading several changes with one call costs a fraction, and a
# leaving upstream need only be noticed within seconds.
_WATCH_DELAYS: Final = {
    StoreKind.CONFIGURATION: 0,
    StoreKind.UPSTREAMS: 0.3,
    StoreKind.EVACUATIONS: 0,
}


_Answer = StoreUpdate | StoreFault


@dataclass(slots=True)
class Follower:
    """Keeps one kind of object in the state up to date with the store."""

    engine: SteeringEngine
    """Handles the events."""

    store: SteeringStore
    """The store to read."""

    kind: StoreKind
    """Kind of object to follow."""

    revision: int | None = None
    """Revision from which to watch; None if a list is needed first."""

    answered: bool = False
    """Whether the store answered the last call, which allows a long watch."""

    called_at: float = 0
    """When the current call began."""

    call: asyncio.Future[_Answer] | None = None
    """The current call."""

    abandoned: bool = False
    """Whether the current call was abandoned, as it may never be answered."""

    backoff: float = _MIN_BACKOFF
    """Delay in seconds after the next failure."""

    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    """Waits some seconds; tests replace it."""

    turn: asyncio.Event = field(default_factory=asyncio.Event)
    """Set while this entry is one of those that read the store."""

    count_unusable: Callable[[str], object] = str
    """Counts objects that cannot be decoded, by kind."""

    logged_faults: frozenset[str] = frozenset()
    """Faults of the last update that had any; each is logged once."""

    async def run(self) -> None:
        """Follow until cancelled."""
        self._resume()
        while True:
            if not self.turn.is_set():
                await self.turn.wait()
                self._resume()
            update = await self._call_store()
            if isinstance(update, StoreFault):
                await self._handle_fault(update)
            else:
                self._handle_update(update)
                await self.sleep(_WATCH_DELAYS[self.kind])

    def restart_call(self) -> None:
        """Abandon the current call, which the store may never answer."""
        if self.call and not self.call.done():
            self.abandoned = True
            self.call.cancel()

    async def list_once(self) -> None:
        """Read a stale list to start with; peers provide later changes."""
        update = await self._answer_of(
            self.store.read_all(self.kind, stale=True)
        )
        if isinstance(update, StoreFault):
            _LOG.info(
                'initial list failed',
                extra={'kind': self.kind.value, 'reason': update.value},
            )
            return
        self._report_faults(update)
        now = self.engine.now()
        if update.revision > self.engine.state.store_sync.revisions[self.kind]:
            self._dispatch(update, now, listed=True)

    def _resume(self) -> None:
        self.answered = False
        # Peers have provided the changes in the meantime.
        known = self.engine.state.store_sync.revisions[self.kind]
        self.revision = max(self.revision or 0, known) or None

    async def _call_store(self) -> _Answer:
        self.call = asyncio.ensure_future(self._list_or_watch())
        try:
            await asyncio.wait((self.call,))
        finally:
            self.call.cancel()
        if self.abandoned:
            self.abandoned = False
            return StoreFault.ABANDONED
        return self.call.result()

    async def _list_or_watch(self) -> _Answer:
        self.called_at = self.engine.now()
        if self.revision is None:
            return await self._answer_of(self.store.read_all(self.kind))
        seconds = self._watch_time() if self.answered else _PROBE_WATCH_TIME
        return await self._answer_of(
            self.store.watch(self.kind, self.revision, seconds)
        )

    async def _answer_of(self, call: Awaitable[_Answer]) -> _Answer:
        """Wait for a call; an unexpected error is one of this answer only."""
        try:
            return await call
        except Exception:
            _LOG.exception(
                'answer of the store not handled',
                extra={'kind': self.kind.value},
            )
            self.count_unusable(self.kind.value)
            return StoreFault.MALFORMED

    def _watch_time(self) -> float:
        history = self.engine.state.settings.bounds.store_history
        return min(_MAX_WATCH_TIME, history * _MAX_SHARE_OF_HISTORY)

    async def _handle_fault(self, fault: StoreFault) -> None:
        if fault is StoreFault.HISTORY_GONE:
            _LOG.info(
                'history dropped; listing again',
                extra={'kind': self.kind.value, 'revision': self.revision},
            )
            self.revision = None
            return
        self.answered = False
        if fault is StoreFault.ABANDONED:
            return
        now = self.engine.now()
        waited = now - self.called_at
        self.engine.dispatch(StoreLost(now, self.kind, fault.value, waited))
        jitter = random.uniform(*_BACKOFF_JITTER)
        await self.sleep(self.backoff * jitter)
        self.backoff = min(_MAX_BACKOFFS[fault], self.backoff * 2)

    def _handle_update(self, update: StoreUpdate) -> None:
        listed = self.revision is None
        self.revision = update.revision
        self.answered = True
        self.backoff = _MIN_BACKOFF
        now = self.engine.now()
        self.engine.dispatch(StoreAnswered(now, self.kind))
        self._report_faults(update)
        known = self.engine.state.store_sync.revisions[self.kind]
        if update.revision < known:
            # Peers have provided later changes, which this would revert.
            self.revision = known
        elif listed or _has_changes(update):
            self._dispatch(update, now, listed=listed)

    def _report_faults(self, update: StoreUpdate) -> None:
        for fault in update.faults:
            self.count_unusable(self.kind.value)
            if fault not in self.logged_faults:
                _LOG.warning(
                    'object cannot be used',
                    extra={'kind': self.kind.value, 'problem': fault},
                )
        if update.faults:
            self.logged_faults = frozenset(update.faults)

    def _dispatch(
        self, update: StoreUpdate, now: float, *, listed: bool
    ) -> None:
        if self.kind is StoreKind.UPSTREAMS:
            self._dispatch_upstreams(update, now, listed=listed)
        elif self.kind is StoreKind.EVACUATIONS:
            self._dispatch_zones(update, now, listed=listed)
        elif update.configuration:
            self.engine.dispatch(
                ConfigurationRead(now, update.configuration, update.revision)
            )

    def _dispatch_upstreams(
        self,
        update: StoreUpdate,
        now: float,
        *,
        listed: bool,
    ) -> None:
        if listed:
            self.engine.dispatch(
                UpstreamsListed(now, update.records, update.revision)
            )
        else:
            self.engine.dispatch(
                UpstreamsChanged(
                    now, update.records, update.removed, update.revision
                )
            )

    def _dispatch_zones(
        self,
        update: StoreUpdate,
        now: float,
        *,
        listed: bool,
    ) -> None:
        zones: set[str] = set()
        if not listed:
            zones.update(self.engine.state.catalog.evacuated)
        zones.difference_update(update.removed)
        zones.update(update.zones)
        self.engine.dispatch(
            EvacuationsRead(now, frozenset(zones), update.revision)
        )


def _has_changes(update: StoreUpdate) -> bool:
    return bool(
        update.configuration or update.records or update.zones or update.removed
    )
