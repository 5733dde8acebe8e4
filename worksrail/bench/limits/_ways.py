"""Ways to keep quotas over all entries."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import Final, Protocol

import msgspec

from worksrail.bench.limits._network import Network
from worksrail.bench.limits._plan import ZONES
from worksrail.core._meters import RateMeter
from worksrail.core.identity import Incarnation
from worksrail.core.limits import (
    Addressed,
    Admission,
    Members,
    SharedLimit,
    SharedLimits,
    TokenBucket,
)

Limits = Mapping[str, SharedLimit]
Done = Callable[[bool], None]
# Seconds over which demand is averaged by the way that shares by demand.
_DEMAND_TIME: Final = 10.0
# Digests between two words of demand that are told.
_TOLD_EVERY: Final = 2


class Way(Protocol):
    """Decides at each entry whether a customer's request is admitted."""

    def follow(self, limits: Limits) -> None:
        """Bring limits into force at all entries."""

    def join(self, alive: frozenset[int]) -> None:
        """The entries that run see which of them do."""

    def restart(self, entry: int) -> None:
        """An entry begins anew and knows nothing."""

    def admit(self, entry: int, customer: str, done: Done) -> None:
        """Decide, at once or later."""

    def tick(self, entry: int) -> None:
        """Let a tenth of a second pass at an entry."""


@dataclass(slots=True)
class EqualShares:
    """Each entry has the same part of each quota, without any message."""

    network: Network
    limits: Limits = field(default_factory=dict)
    buckets: dict[tuple[int, str], TokenBucket] = field(default_factory=dict)
    alive: int = 1

    def follow(self, limits: Limits) -> None:
        """Bring limits into force at all entries."""
        self.limits = limits
        self._resize()

    def join(self, alive: frozenset[int]) -> None:
        """The entries that run see which of them do."""
        self.alive = max(1, len(alive))
        self._resize()

    def restart(self, entry: int) -> None:
        """An entry begins with empty buckets."""
        for name, limit in self.limits.items():
            self.buckets[entry, name] = self._bucket(limit, 0)

    def admit(self, entry: int, customer: str, done: Done) -> None:
        """Take a token of the entry's own part."""
        bucket = self.buckets.get((entry, customer))
        if bucket is None:
            limit = self.limits[customer]
            bucket = self._bucket(limit, limit.capacity)
            self.buckets[entry, customer] = bucket
        done(bool(bucket.take(1, self.network.now)))

    def tick(self, entry: int) -> None:
        """Nothing is told."""

    def _bucket(self, limit: SharedLimit, level: float) -> TokenBucket:
        capacity = max(1, limit.capacity / self.alive)
        return TokenBucket(
            limit.rate / self.alive,
            capacity,
            min(capacity, level),
            self.network.now,
        )

    def _resize(self) -> None:
        for (_, name), bucket in self.buckets.items():
            limit = self.limits[name]
            capacity = max(1, limit.capacity / self.alive)
            bucket.resize(limit.rate / self.alive, capacity, self.network.now)


@dataclass(slots=True)
class DemandShares:
    """Each entry has the part of each quota that it has of the demand.

    Entries tell their zone what is asked of them, and one of each zone tells
    the sum to the other zones.
    """

    network: Network
    limits: Limits = field(default_factory=dict)
    meters: dict[int, dict[str, RateMeter]] = field(default_factory=dict)
    told: dict[int, dict[int, dict[str, float]]] = field(default_factory=dict)
    buckets: dict[tuple[int, str], TokenBucket] = field(default_factory=dict)
    ticks: int = 0
    alive: frozenset[int] = frozenset()

    def follow(self, limits: Limits) -> None:
        """Bring limits into force at all entries."""
        self.limits = limits

    def join(self, alive: frozenset[int]) -> None:
        """The entries that run see which of them do."""
        self.alive = alive
        for told in self.told.values():
            for teller in told.keys() - alive:
                told.pop(teller)

    def restart(self, entry: int) -> None:
        """An entry knows neither its demand nor that of others."""
        self.meters[entry] = {}
        self.told[entry] = {}
        self.buckets = {
            key: bucket
            for key, bucket in self.buckets.items()
            if key[0] != entry
        }

    def admit(self, entry: int, customer: str, done: Done) -> None:
        """Take a token of the entry's part of the demand."""
        now = self.network.now
        meter = self.meters.setdefault(entry, {}).setdefault(
            customer, RateMeter(seconds=_DEMAND_TIME)
        )
        meter.note(now)
        limit = self.limits[customer]
        own = meter.rate(now)
        others = sum(
            rates.get(customer, 0)
            for rates in self.told.get(entry, {}).values()
        )
        share = own / (own + others)
        bucket = self.buckets.get((entry, customer))
        if bucket is None:
            bucket = TokenBucket(limit.rate * share, 1, 1, now)
            self.buckets[entry, customer] = bucket
        bucket.resize(limit.rate * share, max(1, limit.capacity * share), now)
        done(bool(bucket.take(1, now)))

    def tick(self, entry: int) -> None:
        """Tell the mates now and then; the sum of the zone goes to all."""
        self.ticks += 1
        if (self.ticks // max(1, len(self.alive))) % _TOLD_EVERY:
            return
        now = self.network.now
        rates = {
            name: round(meter.rate(now), 3)
            for name, meter in self.meters.get(entry, {}).items()
        }
        size = len(msgspec.msgpack.encode(rates))
        for other in self.alive - {entry}:
            # Other zones get it summed up: the bytes of one in so many.
            near = other % ZONES == entry % ZONES
            cost = size if near else size * ZONES // len(self.alive)
            self.network.send(
                entry, other, cost, partial(self._hear, other, entry, rates)
            )

    def _hear(self, entry: int, teller: int, rates: dict[str, float]) -> None:
        self.told.setdefault(entry, {})[teller] = rates


@dataclass(slots=True)
class OwnedQuotas:
    """One owner for each quota, told afterwards or asked before: today's."""

    network: Network
    limits: Limits = field(default_factory=dict)
    states: dict[int, SharedLimits] = field(default_factory=dict)
    waiting: dict[tuple[int, int], Done] = field(default_factory=dict)
    tickets: int = 0
    known: int = 0

    def follow(self, limits: Limits) -> None:
        """Bring limits into force at all entries."""
        self.limits = limits
        for entry in range(self.network.entries):
            if entry not in self.states:
                self.restart(entry)
            self.states[entry].follow(limits, self.network.now)

    def join(self, alive: frozenset[int]) -> None:
        """The entries that run see which of them do."""
        peers = {str(entry): str(entry) for entry in alive}
        for entry in range(self.network.entries):
            heard = peers
            if entry in self.network.away:
                heard = {str(entry): str(entry)}
            members = Members(heard, self.network.entries)
            self.states[entry].update_members(members, self.network.now)
            self._run(entry)

    def restart(self, entry: int) -> None:
        """An entry begins anew."""
        who = Incarnation(str(entry), int(self.network.now))
        self.states[entry] = SharedLimits.begin(
            who, str(entry), self.network.now, ('0',)
        )
        self.states[entry].follow(self.limits, self.network.now)

    def admit(self, entry: int, customer: str, done: Done) -> None:
        """Ask the entry's own state."""
        self.tickets += 1
        verdict = self.states[entry].admit(
            customer, self.tickets, self.network.now
        )
        if verdict.admission is Admission.WAITING:
            self.waiting[entry, self.tickets] = done
        else:
            done(verdict.admission is Admission.ADMITTED)
        self._run(entry)

    def tick(self, entry: int) -> None:
        """Let it report."""
        self.states[entry].tick(self.network.now)
        self._run(entry)

    def _run(self, entry: int) -> None:
        for output in self.states[entry].take_outputs():
            if isinstance(output, Addressed):
                self._send(entry, output)
                continue
            done = self.waiting.pop((entry, output.ticket), None)
            if done:
                done(output.verdict.admission is Admission.ADMITTED)

    def _send(self, entry: int, output: Addressed) -> None:
        receiver = int(output.peer)
        size = len(msgspec.msgpack.encode(output.message))
        self.network.send(
            entry,
            receiver,
            size,
            partial(self._deliver, receiver, output),
        )

    def _deliver(self, entry: int, output: Addressed) -> None:
        self.states[entry].receive(output.message, self.network.now)
        self._run(entry)


WAYS: Final[dict[str, Callable[[Network], Way]]] = {
    'equal shares': EqualShares,
    'shares by demand': DemandShares,
    'owned': OwnedQuotas,
}
"""The ways by name."""
