"""Membership by gossip: heartbeats, with a suspect state before death.

In each round an instance sends its own record, and a sample of the records
of other instances, to a few peers.  The cost of a round does not depend on
the number of instances.  A record replaces an earlier one of the same name
only if its incarnation, or within the incarnation its counter, is higher;
duplicate and late heartbeats therefore have no effect.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

from worksrail.core.identity import Incarnation, InstanceName, RegionName
from worksrail.core.messages import Heartbeat, MemberRecord, MemberStatus
from worksrail.core.settings import CoreSettings

_RENEWALS_BEFORE_SUSPICION: Final = 2.5


@unique
class Liveness(Enum):
    """The state of another instance, judged by its heartbeats."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    DEAD = 'dead'


@dataclass(slots=True)
class Member:
    """The local state of another instance."""

    record: MemberRecord
    """Its newest record."""

    received_at: float
    """When its newest record was received."""

    avoid_until: float = 0
    """Until when it gets no new work because a connection failed."""


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An instance on the list of the platform, which may be outdated."""

    name: InstanceName
    """Name of the instance."""

    region: RegionName
    """Region that it runs in."""

    peer: str
    """Address that peers send messages to."""

    leaving: bool = False
    """Whether the platform is about to stop it."""


@dataclass(slots=True)
class Membership:
    """All known instances except this one."""

    own: Incarnation
    """This instance."""

    region: RegionName
    """Its region."""

    members: dict[InstanceName, Member] = field(default_factory=dict)
    """Other instances by name."""

    listed: dict[InstanceName, ListedInstance] | None = None
    """The platform's list; None before the first read."""

    counter: int = 0
    """Number of heartbeat rounds of this incarnation."""

    cursor: int = 0
    """Position in the sorted names at which the next round starts."""

    sample_cursor: int = 0
    """Position in the sorted names at which the next sample starts."""

    last_contact_at: float = 0
    """When a heartbeat of any other instance was last received."""

    # -- received state

    def merge_heartbeat(
        self,
        message: Heartbeat,
        now: float,
    ) -> tuple[MemberRecord, ...]:
        """Merge a heartbeat; return the records that were newer."""
        self.last_contact_at = now
        newer = [
            record
            for record in (message.record, *message.others)
            if self._merge(record, now)
        ]
        return tuple(newer)

    def avoid(self, name: InstanceName, now: float, time: float) -> None:
        """Send an instance no new work for ``time`` seconds."""
        member = self.members.get(name)
        if member:
            member.avoid_until = now + time

    def forget_dead(self, now: float, settings: CoreSettings) -> None:
        """Remove the records of instances that ended long ago."""
        retention = 4 * settings.reclaim_after
        expired = [
            name
            for name, member in self.members.items()
            if now - member.received_at > retention
        ]
        for name in expired:
            self.members.pop(name)

    # -- liveness

    def liveness(
        self,
        name: InstanceName,
        now: float,
        settings: CoreSettings,
    ) -> Liveness:
        """Classify an instance by the age of its newest record."""
        member = self.members.get(name)
        if member is None or member.record.status is MemberStatus.LEFT:
            return Liveness.DEAD
        silence = (now - member.received_at) / self.timeout_factor(settings)
        if silence < settings.suspect_after:
            return Liveness.LIVE
        listed = self.listed is None or name in self.listed
        if silence < settings.dead_after and listed:
            return Liveness.SUSPECT
        return Liveness.DEAD

    def timeout_factor(self, settings: CoreSettings) -> float:
        """Return the factor by which failure timeouts grow with the fleet.

        A round carries a fixed number of records, which keeps its cost
        constant; the more members there are, the longer it takes until the
        record of each of them is renewed.
        """
        round_records = settings.heartbeat_fanout * (
            settings.heartbeat_sample + 1
        )
        rounds = len(self.members) / round_records
        renewal = rounds * settings.heartbeat_interval
        return max(
            1, _RENEWALS_BEFORE_SUSPICION * renewal / settings.suspect_after
        )

    def live(
        self,
        now: float,
        settings: CoreSettings,
        region: RegionName | None = None,
    ) -> Iterator[MemberRecord]:
        """Yield the records of live instances, of one region or of all."""
        for name, member in self.members.items():
            place = member.record.place
            if region is not None and place.region != region:
                continue
            if self.liveness(name, now, settings) is Liveness.LIVE:
                yield member.record

    def accepting_work(
        self,
        now: float,
        settings: CoreSettings,
        region: RegionName | None = None,
    ) -> Iterator[MemberRecord]:
        """Yield the records of live instances that accept new work."""
        for record in self.live(now, settings, region):
            member = self.members[record.who.name]
            if record.status is MemberStatus.READY:
                if member.avoid_until <= now:
                    yield record

    def seen_within(self, name: InstanceName, now: float, age: float) -> bool:
        """Return whether a record was received in the last ``age`` seconds."""
        member = self.members.get(name)
        return member is not None and now - member.received_at < age

    def has_ended(self, who: Incarnation, now: float, age: float) -> bool:
        """Return whether an incarnation has ended.

        It has if it was replaced, has left, or sent nothing for ``age``.
        """
        member = self.members.get(who.name)
        if member is None:
            return True
        if member.record.who.number > who.number:
            return True
        if member.record.status is MemberStatus.LEFT:
            return True
        return now - member.received_at >= age

    # -- sending

    def round_targets(
        self,
        now: float,
        settings: CoreSettings,
    ) -> list[InstanceName]:
        """Choose the receivers of the next round, in round-robin order."""
        names = sorted(
            name
            for name, member in self.members.items()
            if member.record.status is not MemberStatus.LEFT
            and now - member.received_at < 2 * settings.reclaim_after
        )
        self.counter += 1
        return self._next_names(names, settings.heartbeat_fanout)

    def sample(self, settings: CoreSettings) -> tuple[MemberRecord, ...]:
        """Choose the records to forward, in round-robin order."""
        names = sorted(self.members)
        count = min(settings.heartbeat_sample, len(names))
        chosen = [
            names[(self.sample_cursor + step) % len(names)]
            for step in range(count)
        ]
        self.sample_cursor += count
        return tuple(self.members[name].record for name in chosen)

    # -- helpers

    def _next_names(self, names: list[str], count: int) -> list[str]:
        count = min(count, len(names))
        chosen = [
            names[(self.cursor + step) % len(names)] for step in range(count)
        ]
        self.cursor += count
        return chosen

    def _merge(self, record: MemberRecord, now: float) -> bool:
        name = record.who.name
        if name == self.own.name:
            return False
        member = self.members.get(name)
        if member is None:
            self.members[name] = Member(record, now)
            return True
        old = member.record
        version = (record.who.number, record.counter)
        if version <= (old.who.number, old.counter):
            return False
        member.record = record
        member.received_at = now
        return True
