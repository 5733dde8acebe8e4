"""A world of the product's own mode in which all retries are counted."""

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
_SETTLED: Final = 8.0


@dataclass
class Tally:
    """What all instances together sent again, and what was answered."""

    steps: list[float] = field(default_factory=list)
    """One for each request sent again, minus the ratio for each answer."""

    sent: set[str] = field(default_factory=set)
    """Traces of requests that were sent once."""

    under_way: set[tuple[int, int]] = field(default_factory=set)
    """Requests that are at an upstream, by process and number."""

    passed: set[str] = field(default_factory=set)
    """Traces of requests that were passed on to be sent again."""

    retries: int = 0
    """Requests sent again."""

    successes: int = 0
    """Requests answered."""

    def record_sent(self, key: tuple[int, int], trace: str) -> None:
        """Count a request that goes to an upstream."""
        self.under_way.add(key)
        if trace in self.passed:
            self.passed.remove(trace)
        elif trace in self.sent:
            self._note_retry()
        self.sent.add(trace)

    def note_passed(self, key: tuple[int, int], trace: str) -> None:
        """Count a request that goes to another instance."""
        self.under_way.discard(key)
        if trace in self.sent and trace not in self.passed:
            self.passed.add(trace)
            self._note_retry()

    def note_answered(self, key: tuple[int, int], ratio: float) -> None:
        """Count the answer of an upstream."""
        if key in self.under_way:
            self.under_way.remove(key)
            self.successes += 1
            self.steps.append(-ratio)

    def _note_retry(self) -> None:
        self.retries += 1
        self.steps.append(1)

    def excess(self) -> float:
        """Most retries, in any span, beyond those earned in that span."""
        worst = current = 0.0
        for step in self.steps:
            current = max(0.0, current + step)
            worst = max(worst, current)
        return worst


class CountingRunner(EffectRunner):
    """Runs effects and counts those that a retry budget is about."""

    def __init__(self, world: World) -> None:
        """Count in a world."""
        super().__init__(world)
        self.tally = Tally()

    def run(self, process: FakeProcess, effect: Effect) -> None:
        """Count an effect and run it."""
        if isinstance(effect, SendUpstream | PassRequest):
            key = (id(process), effect.request)
            trace = process.exchanges[effect.request].trace
            sent = isinstance(effect, SendUpstream)
            note = self.tally.record_sent if sent else self.tally.note_passed
            note(key, trace)
        elif isinstance(effect, Note):
            self._count_note(process, effect)
        super().run(process, effect)

    def _count_note(self, process: FakeProcess, note: Note) -> None:
        if note.kind is not NoteKind.REQUEST_ENDED:
            return
        if note.subject == AttemptOutcome.ANSWERED.name:
            ratio = process.instance.settings.retry_ratio
            self.tally.note_answered((id(process), note.request), ratio)


@dataclass
class RetryingWorld:
    """Instances whose callers and upstreams the tests direct."""

    world: World
    """Where they are."""

    tally: Tally
    """What was sent again."""

    @classmethod
    def begin(
        cls,
        entries: int,
        *,
        seats: int = 0,
        slots: int = 8,
        service_time: float = 0.02,
        seed: int = 1,
    ) -> 'RetryingWorld':
        """A world with so many instances in each region, settled."""
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
        world.run_until(_SETTLED)
        return cls(world, runner.tally)

    @property
    def names(self) -> list[str]:
        """Names of the instances, in an order that changes regions."""
        return sorted(self.world.processes, key=lambda name: name[::-1])

    def send(self, entry: str, rate: float, seconds: float) -> None:
        """Let callers send to one entry at a steady rate."""
        home = self.world.processes[entry].place.region

        def ask() -> None:
            self.world.callers.request(SERVICE, home, entry=entry)

        for step in range(int(rate * seconds)):
            self.world.clock.after((step + 0.5) / rate, ask)

    def send_all(self, rate: float, seconds: float) -> None:
        """Let callers send to all entries alike."""
        for name in self.names:
            self.send(name, rate, seconds)

    def shed(self, share: float) -> None:
        """Let a share of the upstreams refuse what comes, as not run."""
        fakes = list(self.world.upstreams.values())
        for number, fake in enumerate(fakes):
            fake.shed = number < share * len(fakes)

    def shed_in(self, region: str) -> None:
        """Let the upstreams of one region refuse what comes, as not run."""
        for fake in self.world.upstreams.values():
            fake.shed = fake.upstream.zone.startswith(region)

    def slow_down(self, factor: float) -> None:
        """Let the upstreams take so many times longer."""
        for fake in self.world.upstreams.values():
            fake.slow = factor

    def shed_at_random(self, share: float, seconds: float) -> None:
        """Let each upstream refuse in a share of all short spans."""
        gap = 0.02

        def draw() -> None:
            for fake in self.world.upstreams.values():
                fake.shed = self.world.rng.random() < share

        for step in range(int(seconds / gap)):
            self.world.clock.after(step * gap, draw)
        self.world.clock.after(seconds, partial(self.shed, 0))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.world.run_until(self.world.clock.now + seconds)

    def cut_off(self, name: str) -> None:
        """Cut an instance off from the others and from the store."""
        self.world.network.cuts.update(
            frozenset((name, other)) for other in self.names if other != name
        )
        self.world.store.unreachable.add(name)

    def join_again(self) -> None:
        """End all cuts."""
        self.world.network.cuts.clear()
        self.world.store.unreachable.clear()

    def change_seats(self, seats: int) -> None:
        """Roll a bundle with so many seats in each region."""
        self.world.roll(_bundle(seats, 8))

    def restart(self, name: str) -> None:
        """Start an instance that has ended again under its name."""
        self.world.start(name, self.world.processes[name].place)

    def denied(self) -> int:
        """Requests that were refused although they might be sent again."""
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
