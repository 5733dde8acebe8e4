"""Repeats stay within every window's budget, though load moves or ebbs."""

from dataclasses import dataclass, field
from math import inf

import pytest

from worksrail.core.budgets import BudgetBounds, BudgetUse, SharedBudgets
from worksrail.core.identity import Incarnation

_BOUNDS = BudgetBounds(ratio=0.2, window=10, extra=6)
_STEP = 0.01
# Steps between two digests.
_NEWS = 20
# Seconds from the start at which callers move and at which it ends, and spans in
# which all requests want a repeat.
_MOVE = 32.0
_END = 40.0
_WANTED = ((30.0, 32.0), (38.0, 40.0))


@dataclass(slots=True)
class _Pair:
    """Two instances of a zone that hear each other's digests."""

    quiet: tuple[float, float]
    """When no request comes."""

    both: tuple[SharedBudgets, ...]
    """Their budgets."""

    requests: list[float] = field(default_factory=list)
    """When requests came."""

    repeats: list[float] = field(default_factory=list)
    """When repeats were sent."""

    unknown: float = 0
    """Most repeats of a window that were in nobody's sum."""

    def play(self) -> None:
        """Play all of it."""
        for number in range(int(_END / _STEP)):
            now = number * _STEP
            if number % _NEWS == 0:
                self._tell(now)
            # 180 requests a second.
            if not self.quiet[0] < now < self.quiet[1]:
                for _ in range(2 if number % 5 else 1):
                    self._ask(now)

    def _ask(self, now: float) -> None:
        here = self.both[now >= _MOVE]
        here.record_request('s', now)
        self.requests.append(now)
        wanted = any(begin <= now < end for begin, end in _WANTED)
        if wanted and here.spend('s', now):
            self.repeats.append(now)

    def _tell(self, now: float) -> None:
        first, second = self.both
        told = first.advertise(now)
        first.receive(Incarnation('second', 1), second.advertise(now), now)
        second.receive(Incarnation('first', 1), told, now)
        for one in self.both:
            one.maintain(now)
        uses = [
            one.advertise(now).used.get('s', BudgetUse()) for one in self.both
        ]
        reserved = sum(use.reserved for use in uses)
        sent = sum(now - _BOUNDS.window < at for at in self.repeats)
        self.unknown = max(self.unknown, sent - reserved)

    def worst(self) -> float:
        """Most that is used of what a window allows, as the rule counts."""
        return max(self.used(begin) for begin in (30.0, *self.repeats))

    def used(self, begin: float) -> float:
        """How much is used of what one window allows, as the rule counts."""
        requests = max(
            _count(self.requests, begin - back) for back in (0, 5, 10)
        )
        allowed = _BOUNDS.ratio * requests + _BOUNDS.extra
        return _count(self.repeats, begin) / allowed


def _count(times: list[float], begin: float) -> int:
    return sum(begin <= at <= begin + _BOUNDS.window for at in times)


# Seconds for which no request comes after the callers have moved.
@pytest.mark.parametrize('pause', [0, 1, 3, 5])
def test_what_was_sent_stays_in_the_sum(pause: float) -> None:
    both = tuple(SharedBudgets.begin(_BOUNDS, -inf, seed) for seed in (1, 2))
    for one in both:
        one.set_fleet_size(2, 2)
    pair = _Pair((_MOVE + 1, _MOVE + 1 + pause), both)
    pair.play()
    assert pair.unknown <= 0
    assert pair.worst() <= 1


# Spans of seconds in which 100 requests a second come; from 28 s on all of them
# want a repeat.
@pytest.mark.parametrize(
    'spans',
    [
        pytest.param(((18.0, 30.0),), id='level'),
        pytest.param(((20.0, 23.0), (28.0, 30.0)), id='paused'),
        pytest.param(((20.0, 20.5), (28.0, 30.0)), id='back'),
    ],
)
def test_every_window_allows_what_it_has(
    spans: tuple[tuple[float, float], ...],
) -> None:
    alone = SharedBudgets.begin(_BOUNDS, -inf, 1)
    pair = _Pair((0, 0), (alone, alone))
    for number in range(int(_END / _STEP)):
        now = number * _STEP
        if any(begin <= now < end for begin, end in spans):
            alone.record_request('s', now)
            pair.requests.append(now)
            if now >= 28.0 and alone.spend('s', now):
                pair.repeats.append(now)
    assert pair.repeats
    assert max(pair.used(begin) for begin in pair.repeats) <= 1
