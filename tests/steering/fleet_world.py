"""A fleet of entries in several zones, on a virtual clock, no I/O."""

import random
from collections import Counter
from dataclasses import replace

from tests.steering.world import (
    configuration,
    of_type,
    route,
    settings,
    upstream,
)
from worksrail.core.identity import Incarnation
from worksrail.core.pacing import (
    PacingMessage,
    TokenGrant,
    TokenRequest,
)
from worksrail.core.steering import (
    Digest,
    EntryAddresses,
    EntryLimits,
    EntryList,
    Route,
    SteeringBounds,
    SteeringState,
    UpstreamRecord,
    look_up,
    reduce,
    store_update_since,
)
from worksrail.core.steering.effects import (
    CheckStore,
    Effect,
    FetchStoreUpdate,
    ListStore,
    SendDigest,
    SendPacingMessage,
)
from worksrail.core.steering.events import (
    ConfigurationRead,
    DigestReceived,
    EvacuationsRead,
    Event,
    PacingMessageReceived,
    StoreAnswered,
    StoreChecked,
    StoreLost,
    StoreUpdateFailed,
    StoreUpdateFetched,
    Ticked,
    UpstreamsListed,
)
from worksrail.core.steering.kinds import StoreKind

STEP = 0.05
# When the first entries start, by the world's clock.
_BEGIN = 50.0


class FleetWorld:
    """Entries that tell each other; datagrams take one step, or are lost."""

    routes: tuple[Route, ...] = (route(),)
    """Routes of the configuration."""

    cold_rate: float = 0
    """Requests a second that a cold upstream takes."""

    bounds: SteeringBounds = settings().bounds
    """Operators' bounds."""

    def __init__(
        self,
        zones: dict[str, int],
        regions: dict[str, str],
        loss: float = 0,
        limits: dict[str, EntryLimits] | None = None,
        *,
        told: bool = True,
    ) -> None:
        """Start a number of entries in each zone."""
        self.now = _BEGIN
        self.regions = regions
        self.loss = loss
        self.told = told
        self.fetched: list[tuple[str, FetchStoreUpdate]] = []
        self.store = 0
        self.turned_away: set[str] = set()
        self.frozen: set[str] = set()
        self.cut_off: set[str] = set()
        self.silent = False
        self.listed: tuple[UpstreamRecord, ...] = ()
        self.calls: Counter[str] = Counter()
        self.limits = limits or {}
        self.rng = random.Random(3)
        self.states: dict[str, SteeringState] = {}
        self.lives: Counter[str] = Counter()
        self.under_way: list[tuple[str, Digest | PacingMessage]] = []
        self.sent: Counter[tuple[str, str]] = Counter()
        names = [
            f'{zone}-{number}'
            for zone, count in zones.items()
            for number in range(count)
        ]
        self.seeds = tuple(f'{name}:peer' for name in names[:2])
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start an entry, or start it again."""
        zone = name.partition('-')[0]
        self.lives[name] += 1
        given = replace(
            settings(name, self.bounds),
            zone=zone,
            region=self.regions[zone],
            regions=self.regions,
            addresses=EntryAddresses(name, name, name, f'{name}:peer'),
            seeds=self.seeds,
            limits=self.limits.get(name, EntryLimits()),
            first_start=self.now == _BEGIN,
        )
        state = SteeringState.from_settings(
            given, Incarnation(name, self.lives[name]), self.now, len(name)
        )
        self.states[name] = state
        if self.told:
            self.deliver_store(name, 1)

    def deliver_store(
        self,
        name: str,
        revision: int,
        records: tuple[UpstreamRecord, ...] = (),
    ) -> None:
        """An entry reads everything in the store as of a revision."""
        version = configuration(revision, self.routes, self.cold_rate)
        for event in (
            StoreAnswered(self.now, StoreKind.UPSTREAMS),
            ConfigurationRead(self.now, version, revision),
            UpstreamsListed(self.now, records, revision),
            EvacuationsRead(self.now, frozenset(), revision),
        ):
            reduce(self.states[name], event)

    def change_store(self, revision: int) -> None:
        """The store has changed; those that read it are told."""
        self.store = revision

    def list_upstreams(self, *names: str) -> None:
        """The store lists other upstreams; those that read it are told."""
        self.listed = tuple(upstream(name) for name in names)
        # Entries are told of the first revision at their start.
        self.store = max(self.store, 1) + 1

    def watchers(self) -> set[str]:
        """Entries that read the store."""
        return {name for name, state in self.states.items() if state.watching}

    def stop(self, name: str) -> None:
        """Kill an entry."""
        self.states.pop(name)

    def wait(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            arriving, self.under_way = self.under_way, []
            for receiver, digest in arriving:
                name = receiver.partition(':')[0]
                if self._is_reached(name):
                    self._run(name, _event_of(digest, self.now))
            self._answer_fetches()
            self._tell_watchers()
            for name in tuple(self.states):
                if name not in self.frozen:
                    self._run(name, Ticked(self.now))

    def collect_digests(self, seconds: float) -> list[tuple[str, Digest]]:
        """What entries tell in some seconds, with its receivers."""
        told: list[tuple[str, Digest]] = []
        for _ in range(round(seconds / STEP)):
            self.wait(STEP)
            told += self.under_way
        return told

    def named(self, asked: str, zone: str) -> set[str]:
        """Entries that one of them names to callers of a zone."""
        found = look_up(self.states[asked], self.regions[zone], zone, self.now)
        return set(found.addresses) if isinstance(found, EntryList) else set()

    def known(self, name: str) -> set[str]:
        """Other entries that an entry takes to be alive."""
        alive = self.states[name].fleet.alive(self.now)
        return {entry.contact.name for entry in alive}

    def believed(self, name: str, upstream: str) -> int:
        """Requests in flight at an upstream, as an entry believes."""
        return self.states[name].loads.of(upstream).in_flight

    def _answer_fetches(self) -> None:
        asked, self.fetched = self.fetched, []
        for name, fetch in asked:
            peer = fetch.peer.partition(':')[0]
            event: Event = StoreUpdateFailed(self.now, fetch.kind, fetch.peer)
            if self._is_reached(peer) and self._is_reached(name):
                teller = self.states[peer]
                news = store_update_since(
                    teller, fetch.kind, fetch.since, self.now
                )
                event = StoreUpdateFetched(
                    self.now, fetch.kind, fetch.peer, news
                )
            if name in self.states and name not in self.frozen:
                self._run(name, event)

    def _tell_watchers(self) -> None:
        unreached = self.frozen | self.cut_off
        for name in sorted(self.watchers() - unreached) if self.store else ():
            known = min(self.states[name].store_sync.revisions.values())
            if name in self.turned_away:
                for kind in StoreKind:
                    lost = StoreLost(self.now, kind, 'busy')
                    self._run(name, lost)
            elif known < self.store and not self.silent:
                self.calls['watch'] += len(StoreKind)
                self.deliver_store(name, self.store, self.listed)

    def _run(self, name: str, event: Event) -> None:
        self._perform(name, reduce(self.states[name], event))

    def _perform(self, name: str, effects: list[Effect]) -> None:
        """Run the effects of an entry."""
        listed = of_type(effects, ListStore)
        self.calls['list'] += len(listed) * len(StoreKind)
        unheard = self.silent or name in self.turned_away | self.cut_off
        if listed and self.store and not unheard:
            self.deliver_store(name, self.store, self.listed)
        if of_type(effects, CheckStore):
            self.calls['check'] += 1
            failure = 'no answer' if unheard else ''
            self._run(name, StoreChecked(self.now, failure))
        self.fetched += [
            (name, one) for one in of_type(effects, FetchStoreUpdate)
        ]
        for effect in of_type(effects, SendDigest):
            for receiver in effect.receivers:
                places = (name.partition('-')[0], receiver.partition('-')[0])
                self.sent[places] += 1
                self._post(name, receiver, effect.digest)
        for one in of_type(effects, SendPacingMessage):
            self._post(name, one.receiver, one.message)

    def _post(
        self,
        name: str,
        receiver: str,
        message: Digest | PacingMessage,
    ) -> None:
        if name in self.cut_off or self.rng.random() < self.loss:
            return
        self.under_way.append((receiver, message))

    def _is_reached(self, name: str) -> bool:
        unreached = self.frozen | self.cut_off
        return name in self.states and name not in unreached


def _event_of(message: Digest | PacingMessage, now: float) -> Event:
    if isinstance(message, TokenRequest | TokenGrant):
        return PacingMessageReceived(now, message)
    return DigestReceived(now, message)
