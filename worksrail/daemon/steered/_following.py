"""Follows one kind of object in the store: list once, then watch."""

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
# Seconds that one watch waits at the most: longer ones cost fewer calls, and
# checks beside them notice a store that is silent.  A watch that
# outlasts the store's history ends with nothing but the need to list anew:
# three calls where one does.
_WATCH_TIME: Final = 25.0
_WATCH_SHARE_OF_HISTORY: Final = 0.8
# Seconds that a watch waits while it is not known whether the store answers.
# What is asked of a silent store may never be answered, also once it is back,
# and a long watch is given up only after its whole time: on a day with a store
# silent for 6.8 s each of nine readers began one just before its end, and no
# entry learned of three leaving upstreams for 8 s (29 requests reached them
# after the 2.5 s that are allowed).
_FIRST_WATCH_TIME: Final = 0.1
# Seconds between calls that fail, doubled each time up to the longest.  A
# call that is turned away is paid for; one that reaches nobody is not, and
# the return of a path should be noticed soon: what lapsed is kept for a
# while from then on, and must be dropped before others rely on it.
_FIRST_PAUSE: Final = 0.1
_LONGEST_PAUSES: Final = {
    StoreFault.UNREACHABLE: 0.1,
    StoreFault.CUT: 0.1,
    StoreFault.REFUSED: 0.8,
    StoreFault.MALFORMED: 0.8,
}
_PAUSE_SPREAD: Final = (0.7, 1.3)
# Seconds that pass after changes before the next watch.  Upstreams come and
# go in numbers; taking several changes with one call costs a fraction, and
# the bound within which a leaving upstream must be noticed is seconds.
_PACES: Final = {
    StoreKind.CONFIGURATION: 0,
    StoreKind.UPSTREAMS: 0.3,
    StoreKind.EVACUATIONS: 0,
}


_Answer = StoreUpdate | StoreFault


@dataclass(slots=True)
class Follower:
    """Keeps the state informed of one kind of object."""

    engine: SteeringEngine
    """Takes the events."""

    store: SteeringStore
    """Is read."""

    kind: StoreKind
    """What to follow."""

    revision: int | None = None
    """Revision up to which everything is known; None before a list."""

    answered: bool = False
    """The store answered the last call, so that the next one may wait long."""

    asked_at: float = 0
    """When the call under way began."""

    call: asyncio.Future[_Answer] | None = None
    """The call under way."""

    doubted: bool = False
    """The call under way may never be answered and was given up."""

    pause: float = _FIRST_PAUSE
    """Seconds until the next call after a failure."""

    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    """Waits some seconds; tests put their own in its place."""

    turn: asyncio.Event = field(default_factory=asyncio.Event)
    """Set while it is this entry's duty to read the store."""

    count_unusable: Callable[[str], object] = str
    """Counts objects that cannot be used, by kind."""

    told: frozenset[str] = frozenset()
    """Faults of the last news that had any; each is logged once."""

    async def run(self) -> None:
        """Follow until cancelled."""
        self._go_on()
        while True:
            if not self.turn.is_set():
                await self.turn.wait()
                self._go_on()
            news = await self._ask()
            if isinstance(news, StoreFault):
                await self._fail(news)
            else:
                self._take(news)
                await self.sleep(_PACES[self.kind])

    def ask_anew(self) -> None:
        """Give up the call under way; the store may have forgotten it."""
        if self.call and not self.call.done():
            self.doubted = True
            self.call.cancel()

    async def list_once(self) -> None:
        """Begin with a list that may be old; others tell what came after."""
        news = await self.store.read_all(self.kind, stale=True)
        if isinstance(news, StoreFault):
            _LOG.info(
                'nothing listed to begin with',
                extra={'kind': self.kind.value, 'reason': news.value},
            )
            return
        self._note_faults(news)
        now = self.engine.now()
        if news.revision > self.engine.state.store_sync.revisions[self.kind]:
            self._dispatch(news, now, listed=True)

    def _go_on(self) -> None:
        self.answered = False
        # Others have told what was new meanwhile.
        known = self.engine.state.store_sync.revisions[self.kind]
        self.revision = max(self.revision or 0, known) or None

    async def _ask(self) -> _Answer:
        self.call = asyncio.ensure_future(self._next())
        try:
            await asyncio.wait((self.call,))
        finally:
            self.call.cancel()
        if self.doubted:
            self.doubted = False
            return StoreFault.DOUBTED
        return self.call.result()

    async def _next(self) -> _Answer:
        self.asked_at = self.engine.now()
        if self.revision is None:
            return await self.store.read_all(self.kind)
        seconds = self._watch_time() if self.answered else _FIRST_WATCH_TIME
        return await self.store.watch(self.kind, self.revision, seconds)

    def _watch_time(self) -> float:
        history = self.engine.state.settings.bounds.store_history
        return min(_WATCH_TIME, history * _WATCH_SHARE_OF_HISTORY)

    async def _fail(self, fault: StoreFault) -> None:
        if fault is StoreFault.HISTORY_GONE:
            _LOG.info(
                'history dropped; listing anew',
                extra={'kind': self.kind.value, 'revision': self.revision},
            )
            self.revision = None
            return
        self.answered = False
        if fault is StoreFault.DOUBTED:
            return
        now = self.engine.now()
        waited = now - self.asked_at
        self.engine.dispatch(StoreLost(now, self.kind, fault.value, waited))
        spread = random.uniform(*_PAUSE_SPREAD)
        await self.sleep(self.pause * spread)
        self.pause = min(_LONGEST_PAUSES[fault], self.pause * 2)

    def _take(self, news: StoreUpdate) -> None:
        listed = self.revision is None
        self.revision = news.revision
        self.answered = True
        self.pause = _FIRST_PAUSE
        now = self.engine.now()
        self.engine.dispatch(StoreAnswered(now, self.kind))
        self._note_faults(news)
        known = self.engine.state.store_sync.revisions[self.kind]
        if news.revision < known:
            # Others have told more meanwhile: this would take it back.
            self.revision = known
        elif listed or _tells_anything(news):
            self._dispatch(news, now, listed=listed)

    def _note_faults(self, news: StoreUpdate) -> None:
        for fault in news.faults:
            self.count_unusable(self.kind.value)
            if fault not in self.told:
                _LOG.warning(
                    'object cannot be used',
                    extra={'kind': self.kind.value, 'problem': fault},
                )
        if news.faults:
            self.told = frozenset(news.faults)

    def _dispatch(self, news: StoreUpdate, now: float, *, listed: bool) -> None:
        if self.kind is StoreKind.UPSTREAMS:
            self._take_upstreams(news, now, listed=listed)
        elif self.kind is StoreKind.EVACUATIONS:
            self._take_zones(news, now, listed=listed)
        elif news.configuration:
            self.engine.dispatch(
                ConfigurationRead(now, news.configuration, news.revision)
            )

    def _take_upstreams(
        self,
        news: StoreUpdate,
        now: float,
        *,
        listed: bool,
    ) -> None:
        if listed:
            self.engine.dispatch(
                UpstreamsListed(now, news.records, news.revision)
            )
        else:
            self.engine.dispatch(
                UpstreamsChanged(now, news.records, news.removed, news.revision)
            )

    def _take_zones(
        self,
        news: StoreUpdate,
        now: float,
        *,
        listed: bool,
    ) -> None:
        zones: set[str] = set()
        if not listed:
            zones.update(self.engine.state.catalog.evacuated)
        zones.difference_update(news.removed)
        zones.update(news.zones)
        self.engine.dispatch(
            EvacuationsRead(now, frozenset(zones), news.revision)
        )


def _tells_anything(news: StoreUpdate) -> bool:
    return bool(
        news.configuration or news.records or news.zones or news.removed
    )
