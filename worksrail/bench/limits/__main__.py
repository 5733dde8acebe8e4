"""``python -m worksrail.bench.limits`` prints ways to keep quotas compared."""

from collections.abc import Iterator
from dataclasses import replace
from statistics import mean
from typing import Final

import fire
from rich.progress import track

from worksrail.bench.limits import (
    WAYS,
    Fault,
    FaultKind,
    Outcome,
    Plan,
    mixed_customers,
    play,
)

# Requests a second and entry, as on a fleet of 67 entries with 1,000 a second.
_RATE_PER_ENTRY: Final = 15.0
_CUSTOMERS: Final = 76
_HOT: Final = (6.0, 14.0, 7.5)
_MILLISECONDS: Final = 1000


_HEAD: Final = (
    '| entries | case | way | owed and refused | worst window over its bound'
    ' | messages a second and entry | their bytes | ms added |\n'
    '|---|---|---|---|---|---|---|---|'
)


def _plans(entries: int) -> Iterator[tuple[str, Plan]]:
    rate = entries * _RATE_PER_ENTRY
    calm = Plan(entries, mixed_customers(_CUSTOMERS, rate))
    hot = replace(calm, customers=mixed_customers(_CUSTOMERS, rate, hot=_HOT))
    yield 'calm', calm
    yield 'hot', hot
    yield (
        'hot, 60 in 100 killed',
        replace(hot, faults=(Fault(9, FaultKind.KILL, 0.6),)),
    )
    yield 'hot, all killed', replace(hot, faults=(Fault(9, FaultKind.KILL, 1),))
    yield (
        'hot, 35 in 100 cut off',
        replace(hot, faults=(Fault(4, FaultKind.CUT, 0.35, 8),)),
    )
    yield (
        'lowered to a fifth',
        replace(calm, faults=(Fault(5, FaultKind.LOWER, 0.2),)),
    )


def _listed(option: object) -> list[str]:
    # The command line may have made a tuple or a number of it.
    text = str(option).strip('()').replace("'", '')
    return [part.strip() for part in text.split(',') if part.strip()]


def _row(case: str, entries: int, way: str, outcomes: list[Outcome]) -> str:
    fields = (
        str(entries),
        case,
        way,
        f'{mean(one.inside for one in outcomes):.4f}',
        f'{max(one.worst for one in outcomes):.2f}',
        f'{mean(one.messages for one in outcomes):.1f}',
        f'{mean(one.sent for one in outcomes):.0f}',
        f'{mean(one.mean_delay for one in outcomes) * _MILLISECONDS:.2f}',
    )
    return f'| {" | ".join(fields)} |'


def compare(
    sizes: str = '9,67,300',
    seeds: int = 3,
    ways: str = 'equal shares,shares by demand,owned',
) -> None:
    """Play some ways at some sizes, each with several seeds.

    Shares by demand take minutes at 300 entries: everybody tells everybody.
    """
    numbers = [int(size) for size in _listed(sizes)]
    chosen = {way: WAYS[way] for way in _listed(ways)}
    rows: list[str] = []
    cases = [(entries, *one) for entries in numbers for one in _plans(entries)]
    for entries, case, plan in track(cases, 'playing'):
        for way, make in chosen.items():
            outcomes = [
                play(replace(plan, seed=seed), make)
                for seed in range(1, seeds + 1)
            ]
            rows.append(_row(case, entries, way, outcomes))
    print(_HEAD)
    print('\n'.join(rows))


if __name__ == '__main__':
    fire.Fire(compare)
