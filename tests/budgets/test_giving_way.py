"""Tests of budgets that are overcommitted because requests became fewer."""

from typing import Final

from worksrail.core.budgets import (
    BudgetBounds,
    BudgetUse,
    PeerView,
    SharedBudget,
)

_WINDOW: Final = 10
_ALONE: Final = PeerView(BudgetUse())


def test_sent_retries_stay_reserved_when_requests_fall() -> None:
    bounds = BudgetBounds(ratio=0.2, window=_WINDOW, extra=0)
    budget = SharedBudget.from_bounds(bounds, seed=1)
    for tenth in range(10 * _WINDOW):
        budget.record_request(tenth / 10)
    sent = sum(budget.spend(_WINDOW, _ALONE) for _ in range(10 * _WINDOW))
    assert sent
    # Most requests have left the window by now, but not the retries.
    later = 1.8 * _WINDOW
    budget.maintain(later, _ALONE)
    assert budget.use(later).reserved >= sent


def test_no_retry_is_sent_while_overcommitted() -> None:
    bounds = BudgetBounds(ratio=0.2, window=_WINDOW, extra=0)
    budget = SharedBudget.from_bounds(bounds, seed=1)
    for tenth in range(10 * _WINDOW):
        budget.record_request(tenth / 10)
    budget.maintain(_WINDOW, _ALONE)
    assert budget.spend(_WINDOW, _ALONE)
    budget.give_back(_WINDOW)
    peers = PeerView(BudgetUse(reserved=100), instances=2)
    budget.maintain(_WINDOW + 0.1, peers)
    assert budget.available(_WINDOW + 0.1)
    assert not budget.spend(_WINDOW + 0.1, peers)
