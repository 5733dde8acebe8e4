"""Compares ways to detect requests that crash upstreams: ``make policies``.

Each way runs on the same loads with the same seeds, over nine entries in six
zones that lose a tenth of their datagrams.  A cell gives, over all seeds: the
upstreams crashed by the faulty request, its sends from 4 s after the third
crash (worst seed), the sound requests refused as held, and those without
success.
"""

import sys
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack
from dataclasses import dataclass, replace
from itertools import product
from math import inf
from typing import Any, Final
from unittest import mock

from tests.steering.crashing_world import CrashingWorld, Faults
from worksrail.core.quarantine import Crash, Quarantine, _quarantine
from worksrail.core.results import ResultCode

_FAULTY: Final = '/read/faulty'
_ZONES: Final = {'a1': 2, 'a2': 1, 'b1': 2, 'b2': 1, 'c1': 2, 'c2': 1}
_REGIONS: Final = {zone: zone[0] for zone in _ZONES}
_SEEDS: Final = tuple(range(1, 9))
_WINDOW: Final = 4.0
_SECONDS: Final = 20


@dataclass(frozen=True, slots=True)
class Load:
    """Parameters of one simulation."""

    faulty: bool = True
    """Whether a request that crashes upstreams is repeated by its caller."""

    paths: int = 0
    """Number of popular paths; zero if the paths of all requests differ."""

    lost: float = 0
    """Share of answers that are lost since their connection breaks."""

    zone_crash: bool = False
    """Whether five upstreams crash at the same moment."""


_LOADS: Final = {
    'faulty request': Load(),
    'faulty request, 5 popular paths': Load(paths=5),
    'faulty request, 10 in 100 answers lost': Load(lost=0.1),
    'no faulty request, 10 in 100 answers lost': Load(faulty=False, lost=0.1),
    'no faulty request, five upstreams crash, 1 path': Load(
        faulty=False, paths=1, zone_crash=True
    ),
}


def _never(*_: object) -> float:
    return 0


def _nothing(*_: object) -> tuple[()]:
    return ()


def _each_crash_counts(
    quarantine: Quarantine,
    request: int,
    crash: Crash,
    now: float,
) -> int:
    record = quarantine.records.get(request)
    number = record.count + 1 if record else 1
    counted = replace(crash, number=number, last_success_at=inf)
    return _record_crash(quarantine, request, counted, now)


_record_crash: Final = Quarantine.record_crash

Change = tuple[Any, str, Any]
_WAYS: Final[dict[str, tuple[Change, ...]]] = {
    'nothing is held': ((Quarantine, 'hold_time', _never),),
    'own crashes only': ((Quarantine, 'advertise', _nothing),),
    'own and advertised, each crash counts': (
        (Quarantine, 'record_crash', _each_crash_counts),
    ),
    'own and advertised, consecutive crashes count': (),
    'the same, held for 30 s at first': (
        (_quarantine, '_HOLDS', (30.0, 120.0, 600.0, 3600.0)),
    ),
    'the same, only if the upstream is down': (),
}
_ORACLE: Final = 'the same, only if the upstream is down'


class _OracleWorld(CrashingWorld):
    """Ignores broken connections of upstreams that have not crashed."""

    def record_crash(
        self,
        quarantine: Quarantine,
        request: int,
        crash: Crash,
        now: float,
    ) -> int:
        """Record a crash unless its upstream is still up."""
        if self.servers[crash.upstream].down_until <= self.now:
            return 0
        return _record_crash(quarantine, request, crash, now)


def simulate(way: str, load_name: str, seed: int) -> Counter[str]:
    """Run one simulation and return its counts."""
    load = _LOADS[load_name]
    with ExitStack() as changes:
        for owner, name, value in _WAYS[way]:
            changes.enter_context(mock.patch.object(owner, name, value))
        world = _OracleWorld(
            _ZONES,
            _REGIONS,
            0.1,
            upstreams=32,
            faults=Faults(frozenset((_FAULTY,)), load.lost),
            rate=60,
            paths=load.paths,
            seed=seed,
        )
        if way == _ORACLE:

            def record(*arguments: Any) -> int:
                return world.record_crash(*arguments)

            changes.enter_context(
                mock.patch.object(Quarantine, 'record_crash', record)
            )
        _run(world, load)
    return _result(world, load)


def _run(world: CrashingWorld, load: Load) -> None:
    world.wait(2)
    if load.faulty:
        world.ask(_FAULTY, faulty=True)
    if load.zone_crash:
        for name in sorted(world.servers)[:5]:
            world.crash(name)
    world.wait(_SECONDS)


def _result(world: CrashingWorld, load: Load) -> Counter[str]:
    held = world.codes[ResultCode.REQUEST_HELD.name]
    ended = sum(world.codes.values())
    found = Counter(
        crashes=len(world.crashes),
        held=held,
        lost=ended - world.codes[ResultCode.OK.name],
        ended=ended,
    )
    if load.faulty:
        third = world.crashes[2][0]
        found['after'] = len(world.reached(_FAULTY, third + _WINDOW))
    return found


def table(processes: int) -> Iterator[str]:
    """Yield the lines of a Markdown table with a row for each way."""
    runs = list(product(_WAYS, _LOADS, _SEEDS))
    with ProcessPoolExecutor(processes) as pool:
        results = list(pool.map(simulate, *zip(*runs, strict=True)))
    found = dict(zip(runs, results, strict=True))
    yield f'| way | {" | ".join(_LOADS)} |'
    yield '|---' * (len(_LOADS) + 1) + '|'
    for way in _WAYS:
        cells = [
            _cell([found[way, load, seed] for seed in _SEEDS])
            for load in _LOADS
        ]
        yield f'| {way} | {" | ".join(cells)} |'


def _cell(counts: list[Counter[str]]) -> str:
    total: Counter[str] = sum(counts, Counter())
    after = max(one['after'] for one in counts)
    return (
        f'{total["crashes"]} crashed, {after} after; of {total["ended"]} '
        f'{total["held"]} held, {total["lost"]} without success'
    )


def _main(processes: int) -> None:
    for line in table(processes):
        sys.stdout.write(line + '\n')


if __name__ == '__main__':
    _main(int(sys.argv[1]) if len(sys.argv) > 1 else 4)
