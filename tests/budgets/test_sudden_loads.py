"""Tests the budget of one instance whose load jumps every few seconds."""

import random
from bisect import bisect_left, bisect_right

import pytest

from worksrail.core.budgets import BudgetBounds, SharedBudgets

_WINDOW = 10.0
_STEP = 0.05
_SECONDS = 60.0
# Durations of a load level in seconds, and requests per second.
_DURATIONS = (0.3, 1, 2, 3, 5, 8)
_RATES = (0, 0, 5, 20, 60, 150)
_RETRY_SHARE = 0.9


def _within(times: list[float], begin: float, end: float) -> int:
    return bisect_right(times, end + 1e-9) - bisect_left(times, begin - 1e-9)


def _max_use(
    bounds: BudgetBounds, requests: list[float], retries: list[float]
) -> float:
    """Return the maximum use of any window."""
    max_use = 0.0
    for begin in {*retries, *(at - _WINDOW for at in retries)}:
        asked = max(
            _within(requests, begin - before, begin - before + _WINDOW)
            for before in (0, _WINDOW / 2, _WINDOW)
        )
        sent = _within(retries, begin, begin + _WINDOW)
        allowed = bounds.ratio * asked + bounds.extra
        max_use = max(max_use, sent / allowed if allowed else sent)
    return max_use


def _play(seed: int) -> float:
    rng = random.Random(seed)
    ratio = rng.choice([0.2, 0.5, 1.0])
    bounds = BudgetBounds(ratio, _WINDOW, rng.choice([0, 0, 6, 20]))
    budgets = SharedBudgets.begin(bounds, -_WINDOW, seed)
    requests: list[float] = []
    retries: list[float] = []
    now = changes_at = 0.0
    rate, constrained = 0, False
    while now < _SECONDS:
        if now >= changes_at:
            changes_at = now + rng.choice(_DURATIONS)
            rate = rng.choice(_RATES)
            constrained = rng.random() < 0.5
        expected = rate * _STEP
        for _ in range(int(expected) + (rng.random() < expected % 1)):
            requests.append(now)
            budgets.record_request('orders', now)
            if constrained and rng.random() < _RETRY_SHARE:
                if budgets.spend('orders', now):
                    retries.append(now)
        if not int(now / _STEP) % 2:
            budgets.maintain(now)
        now = round(now + _STEP, 4)
    return _max_use(bounds, requests, retries)


@pytest.mark.parametrize('seed', [1, 2, 3, 4, 11, 51, 59, 199, 348])
def test_sum_holds_while_the_load_changes_at_once(seed: int) -> None:
    assert _play(seed) <= 1
