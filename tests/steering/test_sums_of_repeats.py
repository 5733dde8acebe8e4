"""Checks the retry budget of every window while load moves or falls."""

from dataclasses import dataclass, field
from math import inf

import pytest

from worksrail.core.budgets import BudgetBounds, BudgetUse, SharedBudgets
from worksrail.core.identity import Incarnation

_BOUNDS = BudgetBounds(ratio=0.2, window=10, extra=6)
_STEP = 0.01
# Steps between two digests.
_DIGEST_STEPS = 20
# Seconds at which callers move and at which the test ends, and intervals in
# which all requests need a retry.
_MOVE = 32.0
_END = 40.0
_WANTED = ((30.0, 32.0), (38.0, 40.0))


@dataclass(slots=True)
class _Pair:
    """Two instances of a zone that exchange digests."""

    pause_between: tuple[float, float]
    """Interval without requests."""

    both: tuple[SharedBudgets, ...]
    """Their budgets."""

    requests: list[float] = field(default_factory=list)
    """Times of arrival of the requests."""

    retries: list[float] = field(default_factory=list)
    """Times at which retries were sent."""

    unadvertised: float = 0
    """Maximum of a window's retries that no instance advertised as reserved."""

    def play(self) -> None:
        """Run the simulation."""
        for number in range(int(_END / _STEP)):
            now = number * _STEP
            if number % _DIGEST_STEPS == 0:
                self._exchange_digests(now)
            # 180 requests per second.
            if not self.pause_between[0] < now < self.pause_between[1]:
                for _ in range(2 if number % 5 else 1):
                    self._send_request(now)

    def _send_request(self, now: float) -> None:
        here = self.both[now >= _MOVE]
        here.record_request('s', now)
        self.requests.append(now)
        wanted = any(begin <= now < end for begin, end in _WANTED)
        if wanted and here.spend('s', now):
            self.retries.append(now)

    def _exchange_digests(self, now: float) -> None:
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
        sent = sum(now - _BOUNDS.window < at for at in self.retries)
        self.unadvertised = max(self.unadvertised, sent - reserved)

    def max_use(self) -> float:
        """Return the maximum use of any window."""
        return max(self.use_of(begin) for begin in (30.0, *self.retries))

    def use_of(self, begin: float) -> float:
        """Return the use of one window."""
        requests = max(
            _count(self.requests, begin - back) for back in (0, 5, 10)
        )
        allowed = _BOUNDS.ratio * requests + _BOUNDS.extra
        return _count(self.retries, begin) / allowed


def _count(times: list[float], begin: float) -> int:
    return sum(begin <= at <= begin + _BOUNDS.window for at in times)


# Seconds without requests after the callers have moved.
@pytest.mark.parametrize('pause', [0, 1, 3, 5])
def test_sent_retries_stay_in_the_sum(pause: float) -> None:
    both = tuple(SharedBudgets.begin(_BOUNDS, -inf, seed) for seed in (1, 2))
    for one in both:
        one.set_fleet_size(2, 2)
    pair = _Pair((_MOVE + 1, _MOVE + 1 + pause), both)
    pair.play()
    assert pair.unadvertised <= 0
    assert pair.max_use() <= 1


# Intervals with 100 requests per second; from 28 s on all of them need a retry.
@pytest.mark.parametrize(
    'spans',
    [
        pytest.param(((18.0, 30.0),), id='level'),
        pytest.param(((20.0, 23.0), (28.0, 30.0)), id='paused'),
        pytest.param(((20.0, 20.5), (28.0, 30.0)), id='back'),
    ],
)
def test_retries_stay_within_every_window(
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
                pair.retries.append(now)
    assert pair.retries
    assert max(pair.use_of(begin) for begin in pair.retries) <= 1
