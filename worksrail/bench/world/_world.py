"""A world: fake processes, network, store, upstreams and callers."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from worksrail.bench.world._callers import Callers
from worksrail.bench.world._checks import Watch
from worksrail.bench.world._clock import WALL, VirtualClock
from worksrail.bench.world._network import NetworkFaults
from worksrail.bench.world._plan import WorldPlan, places_of
from worksrail.bench.world._platform import PlatformReader
from worksrail.bench.world._process import Exchange, FakeProcess, Reply
from worksrail.bench.world._requests import RequestLog, Traffic
from worksrail.bench.world._runner import EffectRunner
from worksrail.bench.world._store import FakeHead, FakeStore
from worksrail.bench.world._upstreams import FakeUpstream
from worksrail.core.bundle import Bundle, pack_bundle
from worksrail.core.events import (
    BundleFetched,
    CallerGone,
    Event,
    RequestArrived,
    StopRequested,
    Ticked,
)
from worksrail.core.identity import Endpoints, Incarnation, Place
from worksrail.core.instance import Instance
from worksrail.core.membership import ListedInstance
from worksrail.core.reducer import reduce
from worksrail.core.requests import RequestHead


@dataclass(slots=True)
class World:
    """Everything there is, on one virtual clock."""

    plan: WorldPlan
    """What it was made from."""

    clock: VirtualClock
    """Virtual time."""

    rng: random.Random
    """Seeded source of whatever is random."""

    network: NetworkFaults
    """What happens to messages."""

    store: FakeStore
    """The platform's store."""

    upstreams: dict[str, FakeUpstream]
    """Upstreams by name."""

    crashing: set[str] = field(default_factory=set)
    """Paths of requests under which upstreams crash."""

    processes: dict[str, FakeProcess] = field(default_factory=dict)
    """Processes by the name of their instance."""

    bundles: dict[str, Bundle] = field(default_factory=dict)
    """Bundles in the store, by digest."""

    watch: Watch = field(default_factory=Watch)
    """Checks of the promises."""

    log: RequestLog = field(default_factory=RequestLog)
    """What became of requests."""

    runner: EffectRunner | None = None
    """Runs the effects."""

    incarnations: int = 0
    """Last incarnation number given."""

    reader: PlatformReader = field(init=False)
    """Reads the platform for the processes."""

    callers: Callers = field(init=False)
    """Send requests."""

    def __post_init__(self) -> None:
        """Let the reader and the callers see this world."""
        self.reader = PlatformReader(self)
        self.callers = Callers(self)

    @classmethod
    def from_plan(cls, plan: WorldPlan) -> 'World':
        """Make a world with all entries started and the bundle rolled."""
        rng = random.Random(plan.seed)
        clock = VirtualClock()
        world = cls(
            plan,
            clock,
            rng,
            NetworkFaults(random.Random(plan.seed + 1)),
            FakeStore(),
            {},
        )
        world.runner = EffectRunner(world)
        world.add_upstreams(plan.bundle)
        world.roll(plan.bundle)
        for place in places_of(plan):
            world.start(*place)
        return world

    # -- processes

    def start(self, name: str, place: Place) -> FakeProcess:
        """Start an instance; its name may have run before."""
        self.incarnations += 1
        seed = self.plan.seed * 1000 + self.incarnations
        who = Incarnation(name, self.incarnations * 100)
        instance = Instance.from_settings(
            who,
            place,
            Endpoints(name, name, name, name),
            self.plan.settings,
            now=self.clock.now,
            seed=seed,
        )
        process = FakeProcess(instance, place)
        self.processes[name] = process
        self.store.listed[name] = ListedInstance(name, place.region, name)
        offset = self.rng.uniform(0, self.plan.tick)
        self.clock.after(offset, lambda: self._tick(process))
        return process

    def kill(self, name: str) -> None:
        """End a process at once: its connections close."""
        process = self.processes[name]
        process.dead = True
        for exchange in process.exchanges.values():
            if exchange.upstream and exchange.execution:
                exchange.upstream.cancel(exchange.execution)
            if exchange.on_end:
                exchange.on_end()
            if exchange.passed:
                target, number = exchange.passed
                self.deliver(target, _caller_gone(number))
        process.exchanges.clear()
        lag = self.plan.settings.dead_after
        self.clock.after(lag, lambda: self._unlist(name, process))

    def stop(self, name: str) -> None:
        """Ask a process to stop gracefully."""
        self.deliver(self.processes[name], StopRequested)

    def pause(self, name: str, seconds: float) -> None:
        """Freeze a process for a while."""
        process = self.processes[name]
        process.paused = True
        self.clock.after(seconds, lambda: self._resume(process))

    def live(self) -> list[FakeProcess]:
        """Processes that have not ended."""
        return [one for one in self.processes.values() if not one.dead]

    # -- configuration

    def add_upstreams(self, bundle: Bundle) -> None:
        """Add the upstreams of a bundle that are not there yet."""
        for service in bundle.services:
            for upstream in service.upstreams:
                if upstream.name not in self.upstreams:
                    self.upstreams[upstream.name] = FakeUpstream(
                        upstream,
                        self.clock,
                        random.Random(f'{self.plan.seed}/{upstream.name}'),
                        self.plan.service_times[service.name],
                        cold_factor=self.plan.cold[0],
                        warm_after=self.plan.cold[1],
                        queue_limit=self.plan.queue_limit,
                    )

    def roll(self, bundle: Bundle, generation: int = 0) -> None:
        """Roll a bundle, as the operators' desk does."""
        self.add_upstreams(bundle)
        digest = pack_bundle(bundle).digest
        self.bundles[digest] = bundle
        head = self.store.head
        number = generation or head.generation + 1
        self.store.change_head(
            FakeHead(number, digest, head.drain_revision, head.drains)
        )
        self.reader.notify_watchers()

    def set_drains(self, targets: tuple[str, ...]) -> None:
        """Change the list of drains."""
        head = self.store.head
        self.store.change_head(
            FakeHead(
                head.generation,
                head.digest,
                head.drain_revision + 1,
                targets,
            )
        )
        self.reader.notify_watchers()

    # -- events

    def deliver(
        self,
        process: FakeProcess,
        make: Callable[[float], Event],
    ) -> None:
        """Hand an event to a process, when it is able to take it."""
        if process.dead:
            return
        if process.paused:
            process.inbox.append(make)
            return
        event = make(self.clock.now)
        process.events += 1
        effects = reduce(process.instance, event)
        if self.runner:
            for effect in effects:
                self.runner.run(process, effect)

    def load(self, traffic: Traffic) -> None:
        """Let callers of a region send requests until a time."""
        self.callers.load(traffic)

    def run_until(self, end: float) -> None:
        """Let time pass."""
        self.clock.run_until(end)

    def arrive_at(
        self,
        process: FakeProcess,
        head: RequestHead,
        reply: Reply,
    ) -> int:
        """Hand a request to a process; gives its number there."""
        number = process.next_number()
        process.exchanges[number] = Exchange(head.trace, reply)
        self.deliver(
            process,
            lambda now: RequestArrived(now, WALL + now, number, head),
        )
        return number

    def _tick(self, process: FakeProcess) -> None:
        if process.dead:
            return
        if not process.paused:
            self.deliver(process, lambda now: Ticked(now, WALL + now))
            self.reader.work(process)
        self.clock.after(self.plan.tick, lambda: self._tick(process))

    def _resume(self, process: FakeProcess) -> None:
        process.paused = False
        waiting = process.inbox
        process.inbox = []
        for make in waiting:
            self.deliver(process, make)

    def _unlist(self, name: str, process: FakeProcess) -> None:
        if self.processes.get(name) is process:
            if name not in self.store.ghosts:
                self.store.listed.pop(name, None)

    def fetched(
        self,
        process: FakeProcess,
        generation: int,
        digest: str,
    ) -> None:
        """Hand a fetched bundle to a process and note what it applies."""
        bundle = self.bundles[digest]
        process.bundles.add(digest)
        self.deliver(
            process,
            lambda now: BundleFetched(now, generation, digest, bundle),
        )
        instance = process.instance
        self.watch.applied(
            self.clock.now,
            process.name,
            id(process),
            instance.configuration.generation,
            instance.configuration.digest,
        )


def _caller_gone(number: int) -> Callable[[float], Event]:
    return lambda now: CallerGone(now, number)
