"""A simulated fleet that serves bundles, in which all retries are counted."""

from dataclasses import dataclass, field
from functools import partial
from typing import Final

from worksrail.bench.world import World, WorldPlan
from worksrail.bench.world._process import FakeProcess
from worksrail.bench.world._runner import EffectRunner
from worksrail.core.bundle import Bundle, parse_bundle
from worksrail.core.effects import (
    Effect,
    Note,
    NoteKind,
    PassRequest,
    SendUpstream,
)
from worksrail.core.events import AttemptOutcome
from worksrail.core.results import ResultCode
from worksrail.core.settings import CoreSettings

REGIONS: Final = ('north', 'south', 'west')
SERVICE: Final = 'orders'
_UPSTREAMS: Final = 18
_SETTLING_S: Final = 8.0


@dataclass
class RetryTally:
    """Retries and answers of all instances together."""

    steps: list[float] = field(default_factory=list)
    """One for each retry, minus the retry ratio for each answer."""

    sent: set[str] = field(default_factory=set)
    """Traces of requests that were sent at least once."""

    in_progress: set[tuple[int, int]] = field(default_factory=set)
    """Requests in progress at an upstream, by process and number."""

    passed: set[str] = field(default_factory=set)
    """Traces of requests that were passed to another instance for a retry."""

    retries: int = 0
    """Number of retries."""

    successes: int = 0
    """Number of answered requests."""

    def count_sent(self, key: tuple[int, int], trace: str) -> None:
        """Record a request that is sent to an upstream."""
        self.in_progress.add(key)
        if trace in self.passed:
            self.passed.remove(trace)
        elif trace in self.sent:
            self._count_retry()
        self.sent.add(trace)

    def count_passed(self, key: tuple[int, int], trace: str) -> None:
        """Record a request that is passed to another instance."""
        self.in_progress.discard(key)
        if trace in self.sent and trace not in self.passed:
            self.passed.add(trace)
            self._count_retry()

    def count_answered(self, key: tuple[int, int], ratio: float) -> None:
        """Record the answer of an upstream."""
        if key in self.in_progress:
            self.in_progress.remove(key)
            self.successes += 1
            self.steps.append(-ratio)

    def _count_retry(self) -> None:
        self.retries += 1
        self.steps.append(1)

    def excess(self) -> float:
        """Return the maximum, over all spans of time, of unearned retries."""
        largest = current = 0.0
        for step in self.steps:
            current = max(0.0, current + step)
            largest = max(largest, current)
        return largest


class CountingRunner(EffectRunner):
    """Runs effects and records those that count against a retry budget."""

    def __init__(self, world: World) -> None:
        """Create a runner for a world."""
        super().__init__(world)
        self.retry_tally = RetryTally()

    def run(self, process: FakeProcess, effect: Effect) -> None:
        """Record an effect and run it."""
        if isinstance(effect, SendUpstream | PassRequest):
            key = (id(process), effect.request)
            trace = process.exchanges[effect.request].trace
            sent = isinstance(effect, SendUpstream)
            count = (
                self.retry_tally.count_sent
                if sent
                else self.retry_tally.count_passed
            )
            count(key, trace)
        elif isinstance(effect, Note):
            self._count_answer(process, effect)
        super().run(process, effect)

    def _count_answer(self, process: FakeProcess, note: Note) -> None:
        if note.kind is not NoteKind.REQUEST_ENDED:
            return
        if note.subject == AttemptOutcome.ANSWERED.name:
            ratio = process.instance.settings.retry_ratio
            self.retry_tally.count_answered((id(process), note.request), ratio)


@dataclass
class RetryWorld:
    """A simulated fleet whose load and upstreams are set by the tests."""

    world: World
    """The simulation."""

    retry_tally: RetryTally
    """Retries and answers so far."""

    @classmethod
    def start_settled(
        cls,
        entries: int,
        *,
        seats: int = 0,
        slots: int = 8,
        service_time: float = 0.02,
        seed: int = 1,
    ) -> 'RetryWorld':
        """Start ``entries`` instances in each region and let them settle."""
        plan = WorldPlan(
            _bundle(seats or entries, max(slots, seats or entries)),
            CoreSettings(),
            {SERVICE: service_time},
            entries_per_region=entries,
            seed=seed,
        )
        world = World.from_plan(plan)
        runner = CountingRunner(world)
        world.runner = runner
        world.reader.world = world
        world.run_until(_SETTLING_S)
        return cls(world, runner.retry_tally)

    @property
    def names(self) -> list[str]:
        """Names of the instances, in an order that alternates regions."""
        return sorted(self.world.processes, key=lambda name: name[::-1])

    def send(self, entry: str, rate: float, seconds: float) -> None:
        """Send requests to one entry at a constant rate."""
        home = self.world.processes[entry].place.region

        def send_request() -> None:
            self.world.callers.request(SERVICE, home, entry=entry)

        for step in range(int(rate * seconds)):
            self.world.clock.after((step + 0.5) / rate, send_request)

    def send_all(self, rate: float, seconds: float) -> None:
        """Send requests to each entry at a constant rate."""
        for name in self.names:
            self.send(name, rate, seconds)

    def shed(self, share: float) -> None:
        """Make a share of the upstreams refuse requests, as not run."""
        upstreams = list(self.world.upstreams.values())
        for number, upstream in enumerate(upstreams):
            upstream.shed = number < share * len(upstreams)

    def shed_in_region(self, region: str) -> None:
        """Make the upstreams of a region refuse requests, as not run."""
        for upstream in self.world.upstreams.values():
            upstream.shed = upstream.upstream.zone.startswith(region)

    def slow_down(self, factor: float) -> None:
        """Multiply the service times of the upstreams by a factor."""
        for upstream in self.world.upstreams.values():
            upstream.slow = factor

    def shed_at_random(self, share: float, seconds: float) -> None:
        """Make each upstream refuse in a random share of short intervals."""
        interval = 0.02

        def choose_shedding() -> None:
            for upstream in self.world.upstreams.values():
                upstream.shed = self.world.rng.random() < share

        for step in range(int(seconds / interval)):
            self.world.clock.after(step * interval, choose_shedding)
        self.world.clock.after(seconds, partial(self.shed, 0))

    def run(self, seconds: float) -> None:
        """Advance the time."""
        self.world.run_until(self.world.clock.now + seconds)

    def isolate(self, name: str) -> None:
        """Disconnect an instance from all others and from the store."""
        self.world.network.cuts.update(
            frozenset((name, other)) for other in self.names if other != name
        )
        self.world.store.unreachable.add(name)

    def reconnect(self) -> None:
        """Restore all connections."""
        self.world.network.cuts.clear()
        self.world.store.unreachable.clear()

    def change_seats(self, seats: int) -> None:
        """Roll out a bundle with another number of seats in each region."""
        self.world.roll(_bundle(seats, 8))

    def restart(self, name: str) -> None:
        """Restart a stopped instance under its name."""
        self.world.start(name, self.world.processes[name].place)

    def denied(self) -> int:
        """Return the number of requests that were refused a retry."""
        return sum(
            one.code is ResultCode.UPSTREAM_SHED
            for one in self.world.log.outcomes.values()
        )


def _bundle(seats: int, slots: int) -> Bundle:
    fallbacks = dict(zip(REGIONS, (*REGIONS[1:], REGIONS[0]), strict=True))
    lines = [
        'format: worksrail/1',
        'name: retries',
        'answer_age: 1',
        'regions:',
        *(
            f'  - {{name: {region}, seats: {seats}, headroom: 0.1, '
            f'fallbacks: [{fallback}]}}'
            for region, fallback in fallbacks.items()
        ),
        'zones:',
        *(f'  - {{name: {name}-a, region: {name}}}' for name in REGIONS),
        'services:',
        f'  - name: {SERVICE}',
        '    host: orders.example',
        '    deadline: 3',
        '    upstreams:',
        *(
            f'      - {{name: orders-{number}, '
            f'zone: {REGIONS[number % len(REGIONS)]}-a, slots: {slots}, '
            f'address: "127.30.1.{number + 1}:9300"}}'
            for number in range(_UPSTREAMS)
        ),
        '    shift_caps:',
        *(
            f'      - {{source: {source}, target: {target}, rate: 600, '
            'in_flight: 240, rise: 120}'
            for source, target in fallbacks.items()
        ),
    ]
    bundle = parse_bundle('\n'.join(lines))
    assert isinstance(bundle, Bundle), bundle
    return bundle
