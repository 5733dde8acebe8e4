"""Compares ways to know a request that crashes upstreams: ``make policies``.

Each way is played on the same loads with the same seeds, over nine entries in
six zones that lose a tenth of their datagrams.  A cell gives, over all seeds:
upstreams that crashed under the faulty request, sends of it from 4 s after the
third crash (worst seed), sound requests that were refused as held, and those
that got no success.
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
    """What happens in a play."""

    faulty: bool = True
    """A request that crashes upstreams comes again and again."""

    paths: int = 0
    """Number of popular paths; zero if all requests differ."""

    lost: float = 0
    """Share of answers whose connection breaks instead."""

    zone_crash: bool = False
    """Five upstreams crash at one moment."""


_LOADS: Final = {
    'crashing request': Load(),
    'beside 5 popular paths': Load(paths=5),
    'beside 10 in 100 answers lost': Load(lost=0.1),
    'none; 10 in 100 answers lost': Load(faulty=False, lost=0.1),
    'none; five upstreams crash, 1 path': Load(
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
    return _note_crash(quarantine, request, counted, now)


_note_crash: Final = Quarantine.record_crash

Change = tuple[Any, str, Any]
_WAYS: Final[dict[str, tuple[Change, ...]]] = {
    'nothing is held': ((Quarantine, 'hold_time', _never),),
    'own sightings only': ((Quarantine, 'advertise', _nothing),),
    'own and told, each crash counts': (
        (Quarantine, 'record_crash', _each_crash_counts),
    ),
    'own and told, one after the other': (),
    'the same, held for 30 s at first': (
        (_quarantine, '_HOLDS', (30.0, 120.0, 600.0, 3600.0)),
    ),
    'the same, only if the upstream is gone': (),
}
_ORACLE: Final = 'the same, only if the upstream is gone'


class _TellingWorld(CrashingWorld):
    """Says at each break whether the upstream's other connections are gone."""

    def record_crash(
        self,
        quarantine: Quarantine,
        request: int,
        crash: Crash,
        now: float,
    ) -> int:
        """Pass over a break at an upstream that is still there."""
        if self.servers[crash.upstream].down_until <= self.now:
            return 0
        return _note_crash(quarantine, request, crash, now)


def play(way: str, load_name: str, seed: int) -> Counter[str]:
    """What came of one play."""
    load = _LOADS[load_name]
    with ExitStack() as changes:
        for owner, name, value in _WAYS[way]:
            changes.enter_context(mock.patch.object(owner, name, value))
        world = _TellingWorld(
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

            def note(*arguments: Any) -> int:
                return world.record_crash(*arguments)

            changes.enter_context(
                mock.patch.object(Quarantine, 'record_crash', note)
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
    """Lines of a Markdown table, a way a row."""
    plays = list(product(_WAYS, _LOADS, _SEEDS))
    with ProcessPoolExecutor(processes) as pool:
        results = list(pool.map(play, *zip(*plays, strict=True)))
    found = dict(zip(plays, results, strict=True))
    yield f'| way | {" | ".join(_LOADS)} |'
    yield '|---' * (len(_LOADS) + 1) + '|'
    for way in _WAYS:
        cells = [
            _cell([found[way, load, seed] for seed in _SEEDS])
            for load in _LOADS
        ]
        yield f'| {way} | {" | ".join(cells)} |'


def _cell(plays: list[Counter[str]]) -> str:
    total: Counter[str] = sum(plays, Counter())
    after = max(one['after'] for one in plays)
    return (
        f'{total["crashes"]} crashed, {after} after; of {total["ended"]} '
        f'{total["held"]} held, {total["lost"]} without success'
    )


def _main(processes: int) -> None:
    for line in table(processes):
        sys.stdout.write(line + '\n')


if __name__ == '__main__':
    _main(int(sys.argv[1]) if len(sys.argv) > 1 else 4)
