"""Compares ways to learn what upstreams state of themselves, on virtual fleets.

``python -m tests.steering.availability_policies`` prints one row for each way,
fleet and share of the upstreams that state something.
"""

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from enum import Enum, unique
from statistics import median
from unittest import mock

import fire

from tests.steering.availability_world import (
    HUNDREDS,
    NINE,
    SIXTY_SEVEN,
    AvailabilityWorld,
)
from tests.steering.fleet_world import STEP
from worksrail.core.steering import _on_digests

_FLEETS = {'9': NINE, '67': SIXTY_SEVEN, '300': HUNDREDS}
_RATE = 600
_UPSTREAMS = 12
_REJECTS_S = 6.0
_BACKOFF_S = 3.0
# Seconds after which other entries have heard a digest.
_TOLD_AFTER_S = 0.4


@unique
class Way(Enum):
    """Who learns what an upstream states."""

    ITSELF = 'each entry by itself'
    AVOIDED = 'the others are told, and avoid the upstream'
    BINDING = 'the others are told, and send it nothing'


@dataclass(frozen=True, slots=True)
class Row:
    """What callers and upstreams saw."""

    served: float
    """Share of the first tries that were served in the end."""

    urgent: float
    """The same of the most urgent ones."""

    refused_after: float
    """Median of the seconds after which requests were refused."""

    stated: int
    """Answers that stated something."""

    too_late: int
    """Requests sent although their entry had read the statement."""

    herd: float
    """Requests to these upstreams in the second after the first end of their
    backoffs, as a multiple of the usual rate."""


class ToldWorld(AvailabilityWorld):
    """A fleet whose entries pass backoffs on to each other."""

    def __init__(self, *arguments: object, **options: object) -> None:
        """Start the entries."""
        self.known: set[tuple[str, float]] = set()
        super().__init__(*arguments, **options)  # type: ignore[arg-type]

    def wait(self, seconds: float) -> None:
        """Advance the time, and pass on what was heard some time ago."""
        for _ in range(round(seconds / STEP)):
            super().wait(STEP)
            for _entry, name, begin, end in self.seen.asked_for:
                heard = self.now - begin
                if heard >= _TOLD_AFTER_S and (name, end) not in self.known:
                    self.known.add((name, end))
                    for state in self.states.values():
                        backoffs = state.rates.backoffs
                        backoffs.note(name, max(0, end - self.now), self.now)


def _measure(world: AvailabilityWorld, names: list[str], *, leave: bool) -> Row:
    world.wait(4)
    begin = world.now
    usual = world.count_sends(names, begin - 3, begin) / 3
    if leave:
        world.leave(*names)
    else:
        world.reject(_REJECTS_S, _BACKOFF_S, *names)
    world.wait(12)
    ends = [end for *_, end in world.seen.asked_for if end > begin + _REJECTS_S]
    last = min(ends, default=begin + _REJECTS_S)
    herd = world.count_sends(names, last, last + 1) / max(1, usual)
    refusals = [delay for delay, _ in world.seen.refusals] or [0]
    return Row(
        world.share_served(begin, begin + 10),
        world.share_served(begin, begin + 10, 'urgent'),
        median(refusals),
        len(world.seen.asked_for) or len(world.seen.told_leaving),
        world.sends_after_leave() + world.sends_in_backoffs(),
        herd,
    )


@contextmanager
def _as(way: Way) -> Iterator[None]:
    """Let entries ignore what others were told, unless they are to avoid it."""
    with ExitStack() as patches:
        if way is not Way.AVOIDED:
            for name in ('receive_backoffs', 'receive_leaving'):
                ignored = mock.patch.object(
                    _on_digests, name, lambda *unused: ()
                )
                patches.enter_context(ignored)
        yield


def _rows(fleet: str, seed: int) -> Iterator[tuple[str, Row]]:
    kinds: dict[Way, Callable[..., AvailabilityWorld]] = {
        Way.ITSELF: AvailabilityWorld,
        Way.AVOIDED: AvailabilityWorld,
        Way.BINDING: ToldWorld,
    }
    for count in (1, _UPSTREAMS // 2, _UPSTREAMS):
        names = [f'u{number}' for number in range(count)]
        for leave in (True, False):
            for way, kind in kinds.items():
                if leave and way is Way.BINDING:
                    continue
                with _as(way):
                    world = kind(_FLEETS[fleet], _RATE, urgent=0.2, seed=seed)
                    row = _measure(world, names, leave=leave)
                said = f'leave, {way.name}' if leave else f'backoff, {way.name}'
                yield f'{fleet}, {count} of {_UPSTREAMS}: {said}', row


def compare(fleets: str = '9,67,300', seed: int = 1) -> None:
    """Print the rows of some fleets."""
    for fleet in str(fleets).split(','):
        for name, row in _rows(fleet, seed):
            print(f'{name}: {row}', flush=True)


if __name__ == '__main__':
    fire.Fire(compare)
