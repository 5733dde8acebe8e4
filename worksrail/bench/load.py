"""``make bench``: the real processes under open-loop load.

Naive is a generator that sends each request to a random upstream of the
caller's region; today's goes through nine entries.  Both run alternately, on
the same upstream processes, in one invocation.  Latency counts from the
intended start.
"""

import json
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import fire
import msgspec

from worksrail.bench._fleet import Fleet
from worksrail.bench._load import LoadPlan, Stream
from worksrail.bench._marks import cap_marks
from worksrail.bench._plan import FleetPlan

_SERVICE_TIMES: Final = {
    'pedidos': 0.9,
    'despachos': 1.0,
    'count-desk': 0.4,
    'sheet-vault': 0.5,
}
_SPREAD_MEAN: Final = 1.0317
_LOADS: Final = (50, 80, 95, 120, 200)
_WARM_UP: Final = 3.0
_BUSY: Final = 0.7


@dataclass(frozen=True, slots=True)
class Run:
    """What one run showed."""

    goodput: float
    """Whole answers over the best possible."""

    p50: float
    """Median latency in seconds, worst service."""

    p99: float
    """99th percentile in seconds, worst service."""

    refused: float
    """Share of requests without a whole answer."""

    slots: float
    """Highest in flight over slots so far."""

    caps: float
    """Highest use of a shift cap so far."""

    busiest: float
    """Share of a core of the busiest daemon."""

    generator: float
    """Share of a core of the generator."""


def main(
    deployments: str = 'mill,tally',
    seconds: float = 10,
    runs: int = 3,
    loads: str = '',
) -> None:
    """Measure and print the tables."""
    chosen = [int(part) for part in _parts(loads)] or _LOADS
    for deployment in _parts(deployments):
        with tempfile.TemporaryDirectory() as folder:
            plan = FleetPlan.from_example(
                deployment, Path(folder), _SERVICE_TIMES
            )
            with Fleet(plan) as fleet:
                fleet.roll(plan.text)
                fleet.wait_seats()
                _table(fleet, deployment, chosen, seconds, runs)


def _table(
    fleet: Fleet,
    deployment: str,
    loads: Any,
    seconds: float,
    runs: int,
) -> None:
    _line(f'\n### {deployment}, real processes, {runs} runs of {seconds} s\n')
    _line(
        '| load | decides | goodput | p50 s | p99 s | refused | slots | caps '
        '| busiest daemon | generator |'
    )
    _line('|---|---|---|---|---|---|---|---|---|---|')
    for percent in loads:
        found: dict[str, list[Run]] = {'naive': [], 'today': []}
        for seed in range(1, runs + 1):
            for who, kept in found.items():
                kept.append(_run(fleet, who, percent, seconds, seed))
        for who, kept in found.items():
            _line(f'| {percent}% | {who} | {_cells(kept)} |')


def _cells(kept: list[Run]) -> str:
    cells = [
        f'{statistics.median(column):.3f} '
        f'({min(column):.3f} to {max(column):.3f})'
        for column in (
            [run.goodput for run in kept],
            [run.p50 for run in kept],
            [run.p99 for run in kept],
            [run.refused for run in kept],
        )
    ]
    cells.extend(
        f'{max(column):.2f}'
        for column in (
            [run.slots for run in kept],
            [run.caps for run in kept],
            [run.busiest for run in kept],
            [run.generator for run in kept],
        )
    )
    if max(run.generator for run in kept) > _BUSY:
        cells[-1] += ' (busy)'
    return ' | '.join(cells)


def _run(
    fleet: Fleet,
    who: str,
    percent: int,
    seconds: float,
    seed: int,
) -> Run:
    streams = _streams(fleet, who, percent, seed)
    file = fleet.plan.folder / 'load.json'
    file.write_bytes(msgspec.json.encode(LoadPlan(streams, seconds)))
    entries = [entry.name for entry in fleet.plan.entries]
    before = {name: fleet.processes[name].cpu_seconds() for name in entries}
    started = time.monotonic()
    output = subprocess.run(
        [sys.executable, '-m', 'worksrail.bench._load', f'--plan={file}'],
        capture_output=True,
        check=True,
    ).stdout
    elapsed = time.monotonic() - started
    used = [
        fleet.processes[name].cpu_seconds() - before[name] for name in entries
    ]
    told = json.loads(output)
    return _judged(fleet, told, percent, seconds, max(used) / elapsed, elapsed)


def _judged(
    fleet: Fleet,
    told: Any,
    percent: int,
    seconds: float,
    busiest: float,
    elapsed: float,
) -> Run:
    codes: Counter[str] = Counter()
    for summary in told['services'].values():
        codes.update(summary['codes'])
    total = sum(codes.values())
    best = min(total, total * 100 / percent)
    marks = cap_marks(fleet)
    slots = max(
        one['highest'] / one['slots'] for one in fleet.upstream_counters()
    )
    fleet.reset_upstreams()
    return Run(
        codes['OK'] / best,
        max(one['p50'] for one in told['services'].values()),
        max(one['p99'] for one in told['services'].values()),
        1 - codes['OK'] / total,
        slots,
        max(marks.in_flight, marks.rate),
        busiest,
        told['cpu_seconds'] / elapsed,
    )


def _streams(fleet: Fleet, who: str, percent: int, seed: int) -> list[Stream]:
    bundle = fleet.plan.bundle
    regions = {zone.name: zone.region for zone in bundle.zones}
    entries = tuple(entry.caller for entry in fleet.plan.entries)
    streams = []
    for service in bundle.services:
        slots = sum(upstream.slots for upstream in service.upstreams)
        capacity = slots / (_SERVICE_TIMES[service.name] * _SPREAD_MEAN)
        for block in bundle.client_blocks:
            near = tuple(
                upstream.address
                for upstream in service.upstreams
                if regions[upstream.zone] == regions[block.zone]
            )
            streams.append(
                Stream(
                    service.name,
                    service.host,
                    block.block.partition('/')[0],
                    entries,
                    capacity * percent / 100 / len(bundle.client_blocks),
                    seed=seed,
                    direct=near if who == 'naive' else (),
                )
            )
    return streams


def _parts(words: object) -> list[str]:
    # The command line makes a tuple of words that are parted by commas.
    listed = words if isinstance(words, tuple) else str(words).split(',')
    return [str(word) for word in listed if word]


def _line(text: str) -> None:
    sys.stdout.write(text + '\n')
    sys.stdout.flush()


if __name__ == '__main__':
    fire.Fire(main)
