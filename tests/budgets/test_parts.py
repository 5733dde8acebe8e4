"""The part of a budget that an instance keeps before anybody wants it."""

from typing import Final

import pytest

from worksrail.core.budgets import (
    AdvertisedBudgets,
    BudgetBounds,
    BudgetUse,
    PeerView,
    SharedBudget,
    SharedBudgets,
)
from worksrail.core.identity import Incarnation

_WINDOW: Final = 10
_TICK: Final = 0.1
_RATE: Final = 50
_BOUNDS: Final = BudgetBounds(ratio=0.2, window=_WINDOW, extra=0)
# What the own half of all requests allows, and how much of it is kept.
_HALF: Final = 0.2 * _RATE * _WINDOW
_KEPT: Final = 0.8
# Another instance with as many requests.
_PARTS: Final = (round(_RATE * _WINDOW / 8),) * 12
_QUIET: Final = BudgetUse(_PARTS, load=_RATE)
_TWO: Final = PeerView(_QUIET, instances=2)
_WANTING: Final = PeerView(
    BudgetUse(_PARTS, load=_RATE, constrained_load=_RATE), 2
)


def _tend(
    budget: SharedBudget,
    begin: float,
    end: float,
    others: PeerView = _TWO,
    rate: int = _RATE,
) -> float:
    """Let requests come at an even rate; tells the time."""
    for tick in range(round(begin / _TICK), round(end / _TICK)):
        for _ in range(round(rate * _TICK)):
            budget.record_request(tick * _TICK)
        budget.maintain(tick * _TICK, others)
    return end


def _settled() -> tuple[SharedBudget, float]:
    budget = SharedBudget.from_bounds(_BOUNDS, seed=1)
    return budget, _tend(budget, 0, 2 * _WINDOW)


def test_part_is_reserved_before_anybody_wants_it() -> None:
    budget, now = _settled()
    assert _KEPT * _HALF <= budget.reserved <= _HALF
    assert budget.use(now).reserved == budget.reserved
    assert not budget.use(now).constrained_load


def test_nothing_is_reserved_while_it_is_unknown_who_uses_the_budget() -> None:
    budget = SharedBudget.from_bounds(_BOUNDS, seed=1)
    unknown = PeerView(_QUIET, instances=2, complete=False)
    _tend(budget, 0, 2 * _WINDOW, unknown)
    assert not budget.reserved


def test_part_goes_back_as_load_moves_away() -> None:
    budget, now = _settled()
    _tend(budget, now, now + _WINDOW, rate=0)
    assert not budget.reserved


def test_part_is_lent_while_others_want_it_and_called_back() -> None:
    budget, now = _settled()
    now = _tend(budget, now, now + 1, _WANTING)
    assert not budget.reserved
    now = _tend(budget, now, now + 6)
    assert budget.reserved >= _KEPT * _HALF


def test_part_is_not_lent_while_it_is_wanted_here() -> None:
    budget, now = _settled()
    assert budget.spend(now, _WANTING)
    _tend(budget, now, now + 0.9, _WANTING)
    assert budget.reserved >= _KEPT * _HALF


def test_parts_of_two_are_within_what_is_allowed() -> None:
    others = PeerView(
        BudgetUse(_PARTS, reserved=1.5 * _HALF, load=_RATE), instances=2
    )
    budget = SharedBudget.from_bounds(_BOUNDS, seed=1)
    _tend(budget, 0, 2 * _WINDOW, others)
    assert budget.reserved <= _HALF / 2


def test_life_that_ends_keeps_its_part_in_the_sum() -> None:
    one = SharedBudgets.begin(_BOUNDS, known_since=-_WINDOW)
    other = SharedBudgets.begin(_BOUNDS, known_since=-_WINDOW)
    for budgets in (one, other):
        budgets.set_fleet_size(2, 2)
    for tick in range(round(2 * _WINDOW / _TICK)):
        now = tick * _TICK
        for budgets in (one, other):
            for _ in range(round(_RATE * _TICK)):
                budgets.record_request('orders', now)
            budgets.maintain(now)
        one.receive(Incarnation('other', 1), other.advertise(now), now)
        other.receive(Incarnation('one', 1), one.advertise(now), now)
    part = one.advertise(now).used['orders'].reserved
    assert part >= _KEPT * _HALF
    other.receive(Incarnation('one', 2), AdvertisedBudgets(), now + 1)
    assert other.peer_view('orders', now + 1).use.reserved >= part
    after = now + _WINDOW + 1
    other.maintain(after)
    assert not other.peer_view('orders', after).use.reserved


def test_more_goes_to_one_whose_wish_all_others_know() -> None:
    free = PeerView(_QUIET, instances=2)
    budget, now = _settled()
    budget.reserved = 0
    shares = []
    for wished in (0.5, 1.5):
        budget.constrained_at = now
        budget.constrained_since = now - wished
        budget.reserved_in_round.parts.clear()
        budget.reserved_in_round.sum = 0
        budget.reserved = 0
        while budget.spend(now, free):
            pass
        shares.append(budget.reserved)
        for _ in range(budget.reserved):
            budget.give_back(now)
    assert shares[1] > 1.5 * shares[0]


def test_requests_that_move_here_are_not_counted_twice() -> None:
    budget, now = _settled()
    moved = PeerView(BudgetUse(_PARTS, load=0), instances=2)
    late = 0.2 * _RATE * 0.45
    change = budget.unreserved(now, _TWO) - budget.unreserved(now, moved)
    assert change == pytest.approx(late, rel=0.1)


# Requests by part of the window, the latest first, repeats that were sent in
# these, repeats that are reserved beside them, and the requests that allow them.
_SPANS: Final = (
    pytest.param((10,) * 12, (), 0, 70, id='level'),
    pytest.param((10,) * 6, (), 0, 50, id='load-began'),
    pytest.param((50, 0, 0, 0, 0, 0, 0, 50), (), 0, 50, id='both-ends'),
    pytest.param((), (), 7, -7, id='nothing'),
    pytest.param((10,) * 12, (5, 5), 7, 53, id='sent-and-reserved'),
)


@pytest.mark.parametrize(('came', 'sent', 'unsent', 'left'), _SPANS)
def test_no_window_that_goes_on_can_have_more_than_is_allowed(
    came: tuple[int, ...], sent: tuple[int, ...], unsent: int, left: int
) -> None:
    use = BudgetUse(came, unsent + sum(sent), sent=sent)
    spans = [requests - repeats for requests, repeats in use.open_windows()]
    assert min(spans) == left
