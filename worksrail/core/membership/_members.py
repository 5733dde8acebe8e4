"""Who is there: heartbeats with incarnations, suspicion before death.

Each round an instance sends its record, and a sample of the records it has
heard of, to a few others.  What a round costs does not depend on how many
instances there are.  A record replaces another one of the same name only
when its incarnation, or within it its counter, is higher; repeated and late
heartbeats therefore change nothing.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

from worksrail.core.identity import Incarnation, InstanceName, RegionName
from worksrail.core.messages import Heartbeat, MemberRecord, MemberStatus
from worksrail.core.settings import CoreSettings

_RENEWALS: Final = 2.5


@unique
class Liveness(Enum):
    """What this instance believes of another one."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    DEAD = 'dead'


@dataclass(slots=True)
class Member:
    """What is known of another instance."""

    record: MemberRecord
    """Its newest record."""

    received_at: float
    """When a record of it last grew."""

    avoid_until: float = 0
    """Until when it gets no new work because a connection failed."""


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An instance on the platform's lagging list."""

    name: InstanceName
    """Its name."""

    region: RegionName
    """Region it runs in."""

    peer: str
    """Address for messages."""

    leaving: bool = False
    """The platform is about to stop it."""


@dataclass(slots=True)
class Membership:
    """All other instances, as far as they are known."""

    own: Incarnation
    """This instance."""

    region: RegionName
    """Its region."""

    members: dict[InstanceName, Member] = field(default_factory=dict)
    """Others by name."""

    listed: dict[InstanceName, ListedInstance] | None = None
    """The platform's list; None until it was read once."""

    counter: int = 0
    """Heartbeat rounds of this incarnation."""

    cursor: int = 0
    """Where the next round goes on in the order of names."""

    sample_cursor: int = 0
    """Where the next sample of records goes on."""

    last_contact_at: float = 0
    """When any other instance was last heard."""

    # -- what is heard

    def merge_heartbeat(
        self,
        message: Heartbeat,
        now: float,
    ) -> tuple[MemberRecord, ...]:
        """Take in a heartbeat; give the records that were news."""
        self.last_contact_at = now
        news = [
            record
            for record in (message.record, *message.others)
            if self._merge(record, now)
        ]
        return tuple(news)

    def avoid(self, name: InstanceName, now: float, time: float) -> None:
        """Give an instance no new work for a while."""
        member = self.members.get(name)
        if member:
            member.avoid_until = now + time

    def forget_dead(self, now: float, settings: CoreSettings) -> None:
        """Drop records of instances that are long gone."""
        keep = 4 * settings.reclaim_after
        gone = [
            name
            for name, member in self.members.items()
            if now - member.received_at > keep
        ]
        for name in gone:
            self.members.pop(name)

    # -- what is believed

    def liveness(
        self,
        name: InstanceName,
        now: float,
        settings: CoreSettings,
    ) -> Liveness:
        """Judge an instance by the age of its newest record."""
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
        """How much longer silences are tolerated in a large fleet.

        A round carries a fixed number of records, so that its cost stays
        level; the more members there are, the longer it takes until each
        of them was heard of again.
        """
        round_records = settings.heartbeat_fanout * (
            settings.heartbeat_sample + 1
        )
        rounds = len(self.members) / round_records
        renewal = rounds * settings.heartbeat_interval
        return max(1, _RENEWALS * renewal / settings.suspect_after)

    def live(
        self,
        now: float,
        settings: CoreSettings,
        region: RegionName | None = None,
    ) -> Iterator[MemberRecord]:
        """Records of the live instances, of one region or of all."""
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
        """Records of live instances that take new work."""
        for record in self.live(now, settings, region):
            member = self.members[record.who.name]
            if record.status is MemberStatus.READY:
                if member.avoid_until <= now:
                    yield record

    def seen_within(self, name: InstanceName, now: float, age: float) -> bool:
        """Whether an instance was heard in the last ``age`` seconds."""
        member = self.members.get(name)
        return member is not None and now - member.received_at < age

    def has_ended(self, who: Incarnation, now: float, age: float) -> bool:
        """Whether an incarnation has ended: replaced, left or long silent."""
        member = self.members.get(who.name)
        if member is None:
            return True
        if member.record.who.number > who.number:
            return True
        if member.record.status is MemberStatus.LEFT:
            return True
        return now - member.received_at >= age

    # -- what is sent

    def round_targets(
        self,
        now: float,
        settings: CoreSettings,
    ) -> list[InstanceName]:
        """Choose the receivers of the next round, everybody in turn."""
        names = sorted(
            name
            for name, member in self.members.items()
            if member.record.status is not MemberStatus.LEFT
            and now - member.received_at < 2 * settings.reclaim_after
        )
        self.counter += 1
        return self._turn(names, settings.heartbeat_fanout)

    def sample(self, settings: CoreSettings) -> tuple[MemberRecord, ...]:
        """Records to pass on, all in turn."""
        names = sorted(self.members)
        count = min(settings.heartbeat_sample, len(names))
        chosen = [
            names[(self.sample_cursor + step) % len(names)]
            for step in range(count)
        ]
        self.sample_cursor += count
        return tuple(self.members[name].record for name in chosen)

    # -- helpers

    def _turn(self, names: list[str], count: int) -> list[str]:
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
        age = (record.who.number, record.counter)
        if age <= (old.who.number, old.counter):
            return False
        member.record = record
        member.received_at = now
        return True
