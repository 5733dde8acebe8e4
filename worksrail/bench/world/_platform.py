"""Reads the fake platform for the processes of a world, at their pace."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from worksrail.bench.world._clock import VirtualClock
from worksrail.bench.world._process import FakeProcess
from worksrail.bench.world._runner import EffectRunner
from worksrail.bench.world._store import FakeStore
from worksrail.core.events import (
    DrainsSeen,
    Event,
    HeadSeen,
    InstanceListRead,
    SeatTableRead,
)
from worksrail.core.membership import rendezvous
from worksrail.core.messages import Heartbeat
from worksrail.core.settings import CoreSettings

# Seconds between two looks at what a process lacks.
_QUICK_READ: Final = 0.4
# Spread of the slow reads around their pace.
_SPREAD: Final = (0.5, 1.5)
# Seconds after which those who watch the store notice a change.
_NOTICE: Final = 0.01


class ReadingPlan(Protocol):
    """What the reader needs to know of a plan."""

    @property
    def settings(self) -> CoreSettings:
        """Times and limits of the instances."""


class ReadingWorld(Protocol):
    """What the reader needs of a world."""

    @property
    def plan(self) -> ReadingPlan:
        """What it was made from."""

    @property
    def clock(self) -> VirtualClock:
        """Virtual time."""

    @property
    def rng(self) -> random.Random:
        """Seeded source of spread."""

    @property
    def store(self) -> FakeStore:
        """The platform's store."""

    @property
    def runner(self) -> EffectRunner | None:
        """Runs effects."""

    def live(self) -> list[FakeProcess]:
        """Processes that run."""

    def deliver(
        self,
        process: FakeProcess,
        make: Callable[[float], Event],
    ) -> None:
        """Hand an event to a process."""


@dataclass(slots=True)
class PlatformReader:
    """Reads seats, instances, head and drains for each process."""

    world: ReadingWorld
    """The world that is read for."""

    def work(self, process: FakeProcess) -> None:
        """Do what is due for one process."""
        now = self.world.clock.now
        if now >= process.next_slow_read:
            pace = self.world.plan.settings.reclaim_after / 3
            process.next_slow_read = now + pace * self.world.rng.uniform(
                *_SPREAD
            )
            self._read_platform(process)
        elif now >= process.next_quick_read:
            process.next_quick_read = now + _QUICK_READ
            self._quick_duties(process)

    def _quick_duties(self, process: FakeProcess) -> None:
        instance = process.instance
        if instance.seats.read_at is None:
            self._read_seats(process)
        if instance.configuration.topology is None:
            self._read_head(process)
        if self._is_watcher(process):
            self._read_head(process)
        known = instance.membership.members
        listed = instance.membership.listed or {}
        for name in sorted(listed.keys() - known.keys() - {process.name}):
            record = instance.record(self.world.clock.now)
            if self.world.runner:
                self.world.runner.send(process, name, Heartbeat(record))

    def _is_watcher(self, process: FakeProcess) -> bool:
        zone = process.place.zone
        instance = process.instance
        names = [process.name]
        names.extend(
            record.who.name
            for record in instance.membership.live(
                self.world.clock.now, instance.settings, process.place.region
            )
            if record.place.zone == zone
        )
        return rendezvous(f'watch/{zone}', names) == process.name

    def notify_watchers(self) -> None:
        """Let those who watch the store read its head soon."""

        def notify() -> None:
            for process in self.world.live():
                if self._is_watcher(process):
                    self._read_head(process)

        self.world.clock.after(_NOTICE, notify)

    def _read_platform(self, process: FakeProcess) -> None:
        self._read_seats(process)
        self._read_head(process)
        if self.world.store.reaches(process.places):
            listed = self.world.store.instances()
            self.world.deliver(
                process, lambda now: InstanceListRead(now, listed)
            )

    def _read_seats(self, process: FakeProcess) -> None:
        if self.world.store.reaches(process.places):
            version, table = self.world.store.read_table(process.place.region)
            self.world.deliver(
                process, lambda now: SeatTableRead(now, version, table)
            )

    def _read_head(self, process: FakeProcess) -> None:
        if not self.world.store.reaches(process.places):
            return
        head = self.world.store.read_head()
        if head.generation:
            self.world.deliver(
                process,
                lambda now: HeadSeen(now, head.generation, head.digest),
            )
        if head.drain_revision:
            self.world.deliver(
                process,
                lambda now: DrainsSeen(now, head.drain_revision, head.drains),
            )
