"""``python -m tests.soak``: play seeds by hand."""

import asyncio
import tempfile
import time
from pathlib import Path

import fire

from tests.soak._soak import play_seed


def soak(
    seed: int = 0,
    seconds: float = 30.0,
    entries: int = 3,
    seeds: int = 1,
    logs: str = '',
    *,
    crashing: bool = True,
    limiting: bool = True,
    rejecting: float = 0,
    faulty: bool = True,
    cutting: bool = False,
    stating: bool = False,
    overloading: bool = False,
    stopping: bool = False,
    leaving: bool = False,
    refusing: bool = False,
    breaking: bool = False,
) -> None:
    """Play seeds, and end with 1 if a promise was broken.

    Seed zero takes the time of day.  With the window of a budget of repeats, in
    seconds, callers move and upstreams reject at times.  Logs of the entries stay in the folder
    that is named, below one folder for each seed.
    """
    first = seed or int(time.time())
    broken = 0
    for number in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(logs or temporary) / str(number)
            folder.mkdir(parents=True)
            result = asyncio.run(
                play_seed(
                    number,
                    seconds,
                    entries,
                    folder,
                    crashing=crashing,
                    limiting=limiting,
                    rejecting=rejecting,
                    faulty=faulty,
                    cutting=cutting,
                    stating=stating,
                    overloading=overloading,
                    stopping=stopping,
                    leaving=leaving,
                    refusing=refusing,
                    breaking=breaking,
                )
            )
        faults = ' '.join(step.fault.name for step in result.steps)
        print(
            f'seed {number}: {result.requests} requests, '
            f'{result.served} served, {result.statements} statements, '
            f'{result.in_stops} executed in stops, '
            f'{result.departed} for callers that left, '
            f'{len(result.violations)} broken; '
            f'{faults}',
            flush=True,
        )
        for share in result.cuts:
            print(f'  {share}', flush=True)
        for promise, passed in result.order.items():
            if passed.asked:
                print(f'  {promise.name}: {passed}', flush=True)
        for one in result.repeats:
            print(f'  {one.service}: {one}, {one.used:.2f}', flush=True)
        for violation in result.violations[:20]:
            print(f'  {violation}', flush=True)
        broken += len(result.violations)
    raise SystemExit(1 if broken else 0)


if __name__ == '__main__':
    fire.Fire(soak)
