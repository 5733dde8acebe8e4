"""A fleet of entries in several zones, on a virtual clock, no I/O."""

import random
from collections import Counter
from dataclasses import replace

from tests.steering.world import configuration, of_type, route, settings
from worksrail.core.identity import Incarnation
from worksrail.core.steering import (
    Digest,
    EntryAddresses,
    EntryLimits,
    EntryList,
    SteeringState,
    UpstreamRecord,
    look_up,
    reduce,
)
from worksrail.core.steering.effects import SendDigest
from worksrail.core.steering.events import (
    ConfigurationRead,
    DigestReceived,
    EvacuationsRead,
    Ticked,
    UpstreamsListed,
)

_STEP = 0.05


class FleetWorld:
    """Entries that tell each other; datagrams take one step, or are lost."""

    def __init__(
        self,
        zones: dict[str, int],
        regions: dict[str, str],
        loss: float = 0,
        limits: dict[str, EntryLimits] | None = None,
    ) -> None:
        """Start a number of entries in each zone."""
        self.now = 50.0
        self.regions = regions
        self.loss = loss
        self.limits = limits or {}
        self.rng = random.Random(3)
        self.states: dict[str, SteeringState] = {}
        self.lives: Counter[str] = Counter()
        self.under_way: list[tuple[str, Digest]] = []
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
            settings(name),
            zone=zone,
            region=self.regions[zone],
            regions=self.regions,
            addresses=EntryAddresses(name, name, name, f'{name}:peer'),
            seeds=self.seeds,
            limits=self.limits.get(name, EntryLimits()),
        )
        state = SteeringState.from_settings(
            given, Incarnation(name, self.lives[name]), self.now, len(name)
        )
        self.states[name] = state
        records: tuple[UpstreamRecord, ...] = ()
        for event in (
            ConfigurationRead(self.now, configuration(1, (route(),))),
            UpstreamsListed(self.now, records),
            EvacuationsRead(self.now, frozenset()),
        ):
            reduce(state, event)

    def stop(self, name: str) -> None:
        """Kill an entry."""
        self.states.pop(name)

    def wait(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += _STEP
            arriving, self.under_way = self.under_way, []
            for receiver, digest in arriving:
                name = receiver.partition(':')[0]
                if name in self.states:
                    self._run(name, DigestReceived(self.now, digest))
            for name in tuple(self.states):
                self._run(name, Ticked(self.now))

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

    def _run(self, name: str, event: DigestReceived | Ticked) -> None:
        effects = reduce(self.states[name], event)
        for effect in of_type(effects, SendDigest):
            for receiver in effect.receivers:
                places = (name.partition('-')[0], receiver.partition('-')[0])
                self.sent[places] += 1
                if self.rng.random() >= self.loss:
                    self.under_way.append((receiver, effect.digest))
