"""Compares variants of the decisions on played loads: ``make policies``.

Each variant changes a few constants, or takes a mechanism out; each is played
on every load with the same seeds, so that a row differs from another by the
variant alone.  A row gives, for each load, the credit of the requests: one in
time counts 1, a late one 0.2, one that came back and was refused again -0.15.
"""

import statistics
import sys
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from typing import Any, Final

from tests.steering.playing import Playing, shares_of
from worksrail.core.steering import (
    _affinity,
    _choosing,
    _congestion,
    _load,
    _max_wait,
    _placing,
)

_SEEDS: Final = (1, 2, 3)
_LATE_CREDIT: Final = 0.2
_REFUSED_CREDIT: Final = -0.15
# Eight upstreams of four slots serve 290 warm requests a second, and 89 cold.
_LOADS: Final = {
    'calm 150/s': {'rate': 150},
    'busy 220/s': {'rate': 220},
    'full 290/s': {'rate': 290},
    'burst 2.2x': {'rate': 150, 'burst': (7, 10, 2.2)},
    'burst 3x for 8 s': {'rate': 120, 'burst': (7, 15, 3)},
    'few keys kept': {'rate': 180, 'memory': 14},
    'three reject 0.7': {'rate': 150, 'rejecting': (3, 0.7)},
    'start, cold': {'rate': 150, 'counted_from': 0, 'seconds': 3},
}

Change = tuple[Any, str, Any]


def _no_other_home(scale: object) -> None:
    return None


_VARIANTS: Final[dict[str, Sequence[Change]]] = {
    'as it is': (),
    'returned callers wait 0.2 of the target': (
        (_max_wait, '_RETURNED_WAIT', 0.2),
    ),
    'returned callers wait half of the target': (
        (_max_wait, '_RETURNED_WAIT', 0.5),
    ),
    'retry after 0.1 s': ((_placing, '_SHORTEST_RETRY', 0.1),),
    'retry after 0.4 s': ((_placing, '_SHORTEST_RETRY', 0.4),),
    'no other home': ((_choosing, '_other_home', _no_other_home),),
    'no spill': ((_affinity, 'SPILL', 1),),
    'spill to four': ((_affinity, 'SPILL', 4),),
    'no price on short slots': ((_congestion, '_SHORTAGE', 0.0),),
    'half the price on short slots': ((_congestion, '_SHORTAGE', 1.5),),
    'twice the price on short slots': ((_congestion, '_SHORTAGE', 6.0),),
    'no price on crowding': ((_congestion, '_CROWDING', 0.0),),
    'strangers cost as much as homes': ((_choosing, '_STRANGER_LOSS', 1.0),),
    'served homes cost as cold ones': ((_choosing, '_SERVED_LOSS', 1.0),),
    'in time is 0.75 of the target': ((_max_wait, '_ON_TIME', 0.75),),
    'in time is the whole target': ((_max_wait, '_ON_TIME', 1.0),),
    'no speed learned': ((_load, '_GAIN', 0.0),),
    'no rejection learned': ((_load, '_REJECTING_GAIN', 0.0),),
}


def credit_of(variant: str, load: str, seed: int) -> float:
    """Credit of one play of a variant."""
    kept = [
        (owner, name, getattr(owner, name))
        for owner, name, _ in _VARIANTS[variant]
    ]
    try:
        for owner, name, value in _VARIANTS[variant]:
            setattr(owner, name, value)
        playing = Playing(**{'keys': 96, 'seconds': 16.0, **_LOADS[load]})
        playing.seed = seed
        got = shares_of(playing)
    finally:
        for owner, name, value in kept:
            setattr(owner, name, value)
    late = _LATE_CREDIT * got['late']
    return got['in time'] + late + _REFUSED_CREDIT * got['refused']


def table(processes: int) -> Iterator[str]:
    """Lines of a Markdown table, a variant a row."""
    plays = list(product(_VARIANTS, _LOADS, _SEEDS))
    with ProcessPoolExecutor(processes) as pool:
        credits = list(pool.map(credit_of, *zip(*plays, strict=True)))
    found = dict(zip(plays, credits, strict=True))
    yield f'| variant | {" | ".join(_LOADS)} |'
    yield '|---' * (len(_LOADS) + 1) + '|'
    for variant in _VARIANTS:
        cells = []
        for load in _LOADS:
            seeds = [found[variant, load, seed] for seed in _SEEDS]
            spread = (max(seeds) - min(seeds)) / 2
            cells.append(f'{statistics.mean(seeds):.3f} ±{spread:.3f}')
        yield f'| {variant} | {" | ".join(cells)} |'


if __name__ == '__main__':
    for line in table(int(sys.argv[1]) if len(sys.argv) > 1 else 4):
        sys.stdout.write(line + '\n')
