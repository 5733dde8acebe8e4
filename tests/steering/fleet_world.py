"""A fleet of entries in several zones on a virtual clock, without I/O."""

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
from worksrail.core.customers import Customer
from worksrail.core.identity import Incarnation
from worksrail.core.limits import (
    LimitHandover,
    LimitMessage,
    LimitReply,
    LimitReport,
)
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
    SendLimitMessage,
    SendPacingMessage,
)
from worksrail.core.steering.events import (
    ConfigurationRead,
    DigestReceived,
    EvacuationsRead,
    Event,
    LimitMessageReceived,
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
_Message = Digest | LimitMessage | PacingMessage
# Time at which the first entries start.
_START = 50.0


class FleetWorld:
    """Entries that exchange digests; a datagram takes one step or is lost."""

    routes: tuple[Route, ...] = (route(),)
    """Routes of the configuration."""

    customers: tuple[Customer, ...] | None = None
    """Customers of the configuration; None means that it has none."""

    cold_rate: float = 0
    """Requests a second that a cold upstream tolerates."""

    bounds: SteeringBounds = settings().bounds
    """Bounds set by the operators."""

    def __init__(
        self,
        zones: dict[str, int],
        regions: dict[str, str],
        loss: float = 0,
        limits: dict[str, EntryLimits] | None = None,
        *,
        with_initial_state: bool = True,
    ) -> None:
        """Start a number of entries in each zone."""
        self.now = _START
        self.regions = regions
        self.loss = loss
        self.with_initial_state = with_initial_state
        self.pending_fetches: list[tuple[str, FetchStoreUpdate]] = []
        self.store = 0
        self.rejected: set[str] = set()
        self.frozen: set[str] = set()
        self.cut_off: set[str] = set()
        self.store_unresponsive = False
        self.listed_records: tuple[UpstreamRecord, ...] = ()
        self.calls: Counter[str] = Counter()
        self.limits = limits or {}
        self.rng = random.Random(3)
        self.states: dict[str, SteeringState] = {}
        self.incarnations: Counter[str] = Counter()
        self.in_transit: list[tuple[str, _Message]] = []
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
        """Start or restart an entry."""
        zone = name.partition('-')[0]
        self.incarnations[name] += 1
        own_settings = replace(
            settings(name, self.bounds),
            zone=zone,
            region=self.regions[zone],
            regions=self.regions,
            addresses=EntryAddresses(name, name, name, f'{name}:peer'),
            seeds=self.seeds,
            limits=self.limits.get(name, EntryLimits()),
            first_start=self.now == _START,
        )
        state = SteeringState.from_settings(
            own_settings,
            Incarnation(name, self.incarnations[name]),
            self.now,
            len(name),
        )
        self.states[name] = state
        if self.with_initial_state:
            self.deliver_store(name, 1)

    def deliver_store(
        self,
        name: str,
        revision: int,
        records: tuple[UpstreamRecord, ...] = (),
    ) -> None:
        """Let an entry read the complete store as of a revision."""
        version = configuration(
            revision, self.routes, self.cold_rate, self.customers
        )
        for event in (
            StoreAnswered(self.now, StoreKind.UPSTREAMS),
            ConfigurationRead(self.now, version, revision),
            UpstreamsListed(self.now, records, revision),
            EvacuationsRead(self.now, frozenset(), revision),
        ):
            reduce(self.states[name], event)

    def set_store_revision(self, revision: int) -> None:
        """Change the store; entries that read it receive the change."""
        self.store = revision

    def set_upstreams(self, *names: str) -> None:
        """Change the listed upstreams; entries that read the store get them."""
        self.listed_records = tuple(upstream(name) for name in names)
        # Entries receive the first revision at their start.
        self.store = max(self.store, 1) + 1

    def watchers(self) -> set[str]:
        """Return the entries that read the store."""
        return {name for name, state in self.states.items() if state.watching}

    def stop(self, name: str) -> None:
        """Kill an entry."""
        self.states.pop(name)

    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            arriving, self.in_transit = self.in_transit, []
            for receiver, digest in arriving:
                name = receiver.partition(':')[0]
                if self._is_reached(name):
                    self._run(name, _event_of(digest, self.now))
            self._run_fetches()
            self._update_watchers()
            for name in tuple(self.states):
                if name not in self.frozen:
                    self._run(name, Ticked(self.now))

    def collect_digests(self, seconds: float) -> list[tuple[str, Digest]]:
        """Return the digests sent during some seconds, with their receivers."""
        digests: list[tuple[str, Digest]] = []
        for _ in range(round(seconds / STEP)):
            self.wait(STEP)
            digests += self.in_transit
        return digests

    def looked_up(self, asked: str, zone: str) -> set[str]:
        """Return the entries that one of them lists to callers of a zone."""
        found = look_up(self.states[asked], self.regions[zone], zone, self.now)
        return set(found.addresses) if isinstance(found, EntryList) else set()

    def alive_entries(self, name: str) -> set[str]:
        """Return the other entries that an entry considers alive."""
        alive = self.states[name].fleet.alive(self.now)
        return {entry.contact.name for entry in alive}

    def estimated_load(self, name: str, upstream: str) -> int:
        """Return the in-flight requests at an upstream as an entry sees them."""
        return self.states[name].loads.of(upstream).in_flight

    def _run_fetches(self) -> None:
        asked, self.pending_fetches = self.pending_fetches, []
        for name, fetch in asked:
            peer = fetch.peer.partition(':')[0]
            event: Event = StoreUpdateFailed(self.now, fetch.kind, fetch.peer)
            if self._is_reached(peer) and self._is_reached(name):
                source = self.states[peer]
                update = store_update_since(
                    source, fetch.kind, fetch.since, self.now
                )
                event = StoreUpdateFetched(
                    self.now, fetch.kind, fetch.peer, update
                )
            if name in self.states and name not in self.frozen:
                self._run(name, event)

    def _update_watchers(self) -> None:
        unreachable = self.frozen | self.cut_off
        for name in sorted(self.watchers() - unreachable) if self.store else ():
            known = min(self.states[name].store_sync.revisions.values())
            if name in self.rejected:
                for kind in StoreKind:
                    lost = StoreLost(self.now, kind, 'busy')
                    self._run(name, lost)
            elif known < self.store and not self.store_unresponsive:
                self.calls['watch'] += len(StoreKind)
                self.deliver_store(name, self.store, self.listed_records)

    def _run(self, name: str, event: Event) -> None:
        self._perform(name, reduce(self.states[name], event))

    def _perform(self, name: str, effects: list[Effect]) -> None:
        """Perform the effects of an entry."""
        lists = of_type(effects, ListStore)
        self.calls['list'] += len(lists) * len(StoreKind)
        unanswered = (
            self.store_unresponsive or name in self.rejected | self.cut_off
        )
        if lists and self.store and not unanswered:
            self.deliver_store(name, self.store, self.listed_records)
        if of_type(effects, CheckStore):
            self.calls['check'] += 1
            failure = 'no answer' if unanswered else ''
            self._run(name, StoreChecked(self.now, failure))
        self.pending_fetches += [
            (name, fetch) for fetch in of_type(effects, FetchStoreUpdate)
        ]
        for effect in of_type(effects, SendDigest):
            for receiver in effect.receivers:
                places = (name.partition('-')[0], receiver.partition('-')[0])
                self.sent[places] += 1
                self._post(name, receiver, effect.digest)
        for sent in of_type(effects, SendPacingMessage):
            self._post(name, sent.receiver, sent.message)
        for told in of_type(effects, SendLimitMessage):
            self._post(name, told.receiver, told.message)

    def _post(
        self,
        name: str,
        receiver: str,
        message: _Message,
    ) -> None:
        if name in self.cut_off or self.rng.random() < self.loss:
            return
        self.in_transit.append((receiver, message))

    def _is_reached(self, name: str) -> bool:
        unreachable = self.frozen | self.cut_off
        return name in self.states and name not in unreachable


def _event_of(message: _Message, now: float) -> Event:
    if isinstance(message, TokenRequest | TokenGrant):
        return PacingMessageReceived(now, message)
    if isinstance(message, LimitReport | LimitReply | LimitHandover):
        return LimitMessageReceived(now, message)
    return DigestReceived(now, message)
