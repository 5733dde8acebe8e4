"""``make bench-decisions``: the reducer alone, on a virtual clock.

Naive versions and today's run on the same upstreams, arrivals and seeds.
Every figure is exact for its seed; the table gives the median over seeds
and, behind it, the spread.
"""

import statistics
import sys
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any, Final, Protocol

import fire

from worksrail.bench.naive import (
    LeastInFlight,
    NaiveWorld,
    RandomChoice,
    SharedTruth,
    TwoLaggedChoices,
)
from worksrail.bench.world import (
    FakeUpstream,
    RequestLog,
    Traffic,
    VirtualClock,
    Watch,
    World,
    WorldPlan,
)
from worksrail.core.bundle import Bundle, parse_bundle
from worksrail.core.permits import GroupKey, Lending
from worksrail.core.settings import CoreSettings

_EXAMPLES: Final = Path(__file__).resolve().parents[2] / 'examples'
_SERVICE_TIMES: Final = {
    'pedidos': 0.3,
    'despachos': 0.4,
    'count-desk': 0.2,
    'sheet-vault': 0.3,
}
_SPREAD_MEAN: Final = 1.0317
_WARM_UP: Final = 8.0
_SECONDS: Final = 16.0
_SEEDS: Final = (1, 2, 3)
_LOADS: Final = (50, 80, 95, 120, 200)
_POLICIES: Final = ('random', 'least', 'two', 'today', 'shared')
_DEPLOYMENTS: Final = ('mill', 'tally')


class Contender(Protocol):
    """A world that can be loaded."""

    log: RequestLog
    watch: Watch
    clock: VirtualClock
    upstreams: dict[str, FakeUpstream]

    def load(self, traffic: Traffic) -> None:
        """Send requests until a time."""

    def run_until(self, end: float) -> None:
        """Let time pass."""


@dataclass(frozen=True, slots=True)
class Case:
    """One measured situation."""

    deployment: str
    """Example deployment."""

    policy: str
    """Who decides."""

    percent: int
    """Load in percent of capacity."""

    seed: int
    """Seed of everything random."""

    trouble: str = ''
    """What is wrong: ``region``, ``stopped``, ``lying``, ``slow``, ``skew``."""


@dataclass(frozen=True, slots=True)
class Figures:
    """What was measured."""

    goodput: float
    """Whole answers over the best possible."""

    p50: float
    """Median latency in seconds."""

    p99: float
    """99th percentile of the latency."""

    p999: float
    """99.9th percentile of the latency."""

    refused: float
    """Share of requests without a whole answer."""

    slots: float
    """Highest in flight over slots."""

    caps: float
    """Highest use of a shift cap, in flight or rate."""

    fairness: float
    """Lowest over highest share served of any two services."""


def measure(case: Case) -> Figures:
    """Run one case."""
    bundle = _bundle(case.deployment)
    plan = WorldPlan(bundle, CoreSettings(), _SERVICE_TIMES, seed=case.seed)
    world = _contender(case.policy, plan)
    _trouble(world, case, bundle)
    world.run_until(_WARM_UP)
    end = _WARM_UP + _SECONDS
    for service in bundle.services:
        rate = _capacity(bundle, service.name) * case.percent / 100
        for region in bundle.regions:
            _load(world, case, service.name, region.name, rate / 3, end)
    world.run_until(end + 6)
    return _figures(world, case, bundle)


def _load(
    world: Contender,
    case: Case,
    service: str,
    region: str,
    rate: float,
    end: float,
) -> None:
    if case.trouble != 'skew':
        world.load(Traffic(service, region, rate, end))
        return
    entry = _entry_names(world, region)[0]
    world.load(Traffic(service, region, rate * 5 / 7, end, entry=entry))
    for other in _entry_names(world, region)[1:]:
        world.load(Traffic(service, region, rate / 7, end, entry=other))


def _entry_names(world: Contender, region: str) -> list[str]:
    if isinstance(world, World):
        return [
            process.name
            for process in world.processes.values()
            if process.place.region == region
        ]
    return [f'{region}-{index}' for index in range(3)]


def _trouble(world: Contender, case: Case, bundle: Bundle) -> None:
    upstreams = list(world.upstreams.values())
    if case.trouble == 'stopped':
        _report(upstreams, 'frozen')
    elif case.trouble == 'lying':
        _report(upstreams[::2], 'zero')
    elif case.trouble == 'slow':
        for upstream in upstreams[::10]:
            upstream.slow = 10
    elif case.trouble == 'region':
        lost = bundle.regions[0].name
        zones = {zone.name for zone in bundle.zones if zone.region == lost}
        world.clock.at(_WARM_UP, partial(_lose_region, world, upstreams, zones))


def _report(upstreams: Iterable[FakeUpstream], how: str) -> None:
    for upstream in upstreams:
        upstream.report = how


def _lose_region(
    world: Contender,
    upstreams: list[FakeUpstream],
    zones: set[str],
) -> None:
    for upstream in upstreams:
        if upstream.upstream.zone in zones:
            upstream.down = True
    if isinstance(world, World):
        for process in world.live():
            if process.place.zone in zones:
                world.kill(process.name)


def _contender(policy: str, plan: WorldPlan) -> Contender:
    if policy == 'today':
        return World.from_plan(plan)
    if policy in _LENDINGS:
        return _with_lending(World.from_plan(plan), _LENDINGS[policy])
    makers: dict[str, Callable[..., Any]] = {
        'random': lambda rng, _: RandomChoice(rng),
        'least': lambda rng, _: LeastInFlight(rng),
        'two': TwoLaggedChoices,
        'shared': lambda rng, _: SharedTruth(rng),
    }
    return NaiveWorld.from_plan(plan, makers[policy])


class FixedSplit(Lending):
    """Never borrows: each instance has the shares of its seats."""

    def wanted(self, key: GroupKey) -> int:
        """Nothing is wanted."""
        return 0


class WholeQuota(Lending):
    """Lends all that is idle, as the elastic quotas of the paper do."""

    def lendable(self, key: GroupKey, *, leaving: bool = False) -> int:
        """Everything idle, whatever the recent need."""
        return super().lendable(key, leaving=True)


_LENDINGS: Final[dict[str, type[Lending]]] = {
    'fixed': FixedSplit,
    'quota': WholeQuota,
}


def _with_lending(world: World, lending: type[Lending]) -> World:
    for process in world.processes.values():
        instance = process.instance
        instance.lending = lending(instance.settings, instance.ledger)
    return world


def _figures(world: Contender, case: Case, bundle: Bundle) -> Figures:
    outcomes = [
        outcome
        for outcome in world.log.outcomes.values()
        if outcome.started_at >= _WARM_UP
    ]
    latencies = sorted(one.latency for one in outcomes if one.is_ok)
    capacity = sum(
        _capacity(bundle, service.name) for service in bundle.services
    )
    if case.trouble == 'region':
        capacity *= 2 / 3
    best = min(len(outcomes), capacity * _SECONDS)
    shares = [
        world.log.share(service.name, _WARM_UP) for service in bundle.services
    ]
    return Figures(
        len(latencies) / best,
        _percentile(latencies, 0.5),
        _percentile(latencies, 0.99),
        _percentile(latencies, 0.999),
        1 - len(latencies) / len(outcomes),
        world.watch.highest_slot,
        max(world.watch.highest_flight, world.watch.highest_rate),
        min(shares) / max(shares) if max(shares) else 0,
    )


def _percentile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def _capacity(bundle: Bundle, name: str) -> float:
    service = next(one for one in bundle.services if one.name == name)
    slots = sum(upstream.slots for upstream in service.upstreams)
    return slots / (_SERVICE_TIMES[name] * _SPREAD_MEAN)


def _bundle(deployment: str) -> Bundle:
    text = (_EXAMPLES / f'{deployment}.yaml').read_text()
    bundle = parse_bundle(text)
    if not isinstance(bundle, Bundle):
        raise ValueError(bundle.faults)
    return bundle


# -- tables


def _rows(cases: list[Case], workers: int) -> dict[Case, Figures]:
    with ProcessPoolExecutor(workers) as pool:
        return dict(zip(cases, pool.map(measure, cases), strict=True))


def _print_table(
    title: str,
    found: dict[Case, Figures],
    label: Callable[[Case], str],
) -> None:
    _line(f'\n### {title}\n')
    _line(
        '| case | decides | goodput | p50 s | p99 s | p999 s | refused '
        '| slots | caps | fairness |'
    )
    _line('|---|---|---|---|---|---|---|---|---|---|')
    groups: dict[tuple[str, str], list[Figures]] = {}
    for case, figures in found.items():
        groups.setdefault((label(case), case.policy), []).append(figures)
    for (name, policy), runs in groups.items():
        cells = [
            _cell([run.goodput for run in runs]),
            _cell([run.p50 for run in runs]),
            _cell([run.p99 for run in runs]),
            _cell([run.p999 for run in runs]),
            _cell([run.refused for run in runs]),
            f'{max(run.slots for run in runs):.2f}',
            f'{max(run.caps for run in runs):.2f}',
            _cell([run.fairness for run in runs]),
        ]
        _line(f'| {name} | {policy} | {" | ".join(cells)} |')


def _cell(figures: list[float]) -> str:
    middle = statistics.median(figures)
    spread = (max(figures) - min(figures)) / 2
    return f'{middle:.3f} ±{spread:.3f}'


def _line(text: str) -> None:
    sys.stdout.write(text + '\n')
    sys.stdout.flush()


def main(tables: str = '1,2,3', workers: int = 7, seeds: int = 3) -> None:
    """Run the tables that are named and print them."""
    begun = time.monotonic()
    wanted = str(tables).strip('()').replace(' ', '').split(',')
    chosen = _SEEDS[:seeds]
    _line(f'seeds {chosen}; {_SECONDS:.0f} s of load after {_WARM_UP:.0f} s')
    if '1' in wanted:
        _table_loads(chosen, workers)
    if '2' in wanted:
        _table_troubles(chosen, workers)
    if '3' in wanted:
        _table_skew(chosen, workers)
    _line(f'\n{time.monotonic() - begun:.0f} s in all')


def _table_loads(seeds: tuple[int, ...], workers: int) -> None:
    cases = [
        Case(deployment, policy, percent, seed)
        for deployment in _DEPLOYMENTS
        for percent in _LOADS
        for policy in _POLICIES
        for seed in seeds
    ]
    _print_table(
        'Load in percent of capacity',
        _rows(cases, workers),
        lambda case: f'{case.deployment} {case.percent}%',
    )


def _table_troubles(seeds: tuple[int, ...], workers: int) -> None:
    cases = [
        Case(deployment, policy, 80, seed, trouble)
        for deployment in _DEPLOYMENTS
        for trouble in ('region', 'stopped', 'lying', 'slow')
        for policy in _POLICIES
        for seed in seeds
    ]
    _print_table(
        'At 80%: a region lost, reports stopped, reports lying, slow upstreams',
        _rows(cases, workers),
        lambda case: f'{case.deployment} {case.trouble}',
    )


def _table_skew(seeds: tuple[int, ...], workers: int) -> None:
    cases = [
        Case(deployment, policy, 80, seed, 'skew')
        for deployment in _DEPLOYMENTS
        for policy in ('fixed', 'quota', 'today', 'shared')
        for seed in seeds
    ]
    _print_table(
        'At 80%: one entry of each region gets five times the callers',
        _rows(cases, workers),
        lambda case: f'{case.deployment} skew',
    )


if __name__ == '__main__':
    fire.Fire(main)
