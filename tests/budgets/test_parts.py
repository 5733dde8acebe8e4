"""Tests of the fair share that an instance reserves in advance."""

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
# Retries that half of all requests allow, and the minimum share kept reserved.
_HALF: Final = 0.2 * _RATE * _WINDOW
_KEPT: Final = 0.8
# A peer with the same number of requests.
_PARTS: Final = (round(_RATE * _WINDOW / 8),) * 12
_QUIET_USE: Final = BudgetUse(_PARTS, load=_RATE)
_QUIET_PEER: Final = PeerView(_QUIET_USE, instances=2)
_CONSTRAINED_PEER: Final = PeerView(
    BudgetUse(_PARTS, load=_RATE, constrained_load=_RATE), 2
)


def _maintain(
    budget: SharedBudget,
    begin: float,
    end: float,
    peers: PeerView = _QUIET_PEER,
    rate: int = _RATE,
) -> float:
    """Generate requests at a steady rate; return the end."""
    for tick in range(round(begin / _TICK), round(end / _TICK)):
        for _ in range(round(rate * _TICK)):
            budget.record_request(tick * _TICK)
        budget.maintain(tick * _TICK, peers)
    return end


def _settled() -> tuple[SharedBudget, float]:
    budget = SharedBudget.from_bounds(_BOUNDS, seed=1)
    return budget, _maintain(budget, 0, 2 * _WINDOW)


def test_share_is_reserved_before_retries_are_needed() -> None:
    budget, now = _settled()
    assert _KEPT * _HALF <= budget.reserved <= _HALF
    assert budget.use(now).reserved == budget.reserved
    assert not budget.use(now).constrained_load


def test_nothing_is_reserved_while_users_are_unknown() -> None:
    budget = SharedBudget.from_bounds(_BOUNDS, seed=1)
    unknown = PeerView(_QUIET_USE, instances=2, complete=False)
    _maintain(budget, 0, 2 * _WINDOW, unknown)
    assert not budget.reserved


def test_share_is_released_when_load_moves_away() -> None:
    budget, now = _settled()
    _maintain(budget, now, now + _WINDOW, rate=0)
    assert not budget.reserved


def test_share_is_lent_to_constrained_peers_and_reclaimed() -> None:
    budget, now = _settled()
    now = _maintain(budget, now, now + 1, _CONSTRAINED_PEER)
    assert not budget.reserved
    now = _maintain(budget, now, now + 6)
    assert budget.reserved >= _KEPT * _HALF


def test_share_is_not_lent_while_needed() -> None:
    budget, now = _settled()
    assert budget.spend(now, _CONSTRAINED_PEER)
    _maintain(budget, now, now + 0.9, _CONSTRAINED_PEER)
    assert budget.reserved >= _KEPT * _HALF


def test_shares_of_two_stay_within_budget() -> None:
    peers = PeerView(
        BudgetUse(_PARTS, reserved=1.5 * _HALF, load=_RATE), instances=2
    )
    budget = SharedBudget.from_bounds(_BOUNDS, seed=1)
    _maintain(budget, 0, 2 * _WINDOW, peers)
    assert budget.reserved <= _HALF / 2


def test_ended_incarnation_keeps_its_reservation_in_the_sum() -> None:
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


def test_known_shortage_gets_a_larger_share() -> None:
    free = PeerView(_QUIET_USE, instances=2)
    budget, now = _settled()
    budget.reserved = 0
    shares = []
    for elapsed in (0.5, 1.5):
        budget.constrained_at = now
        budget.constrained_since = now - elapsed
        budget.reserved_in_round.parts.clear()
        budget.reserved_in_round.sum = 0
        budget.reserved = 0
        while budget.spend(now, free):
            pass
        shares.append(budget.reserved)
        for _ in range(budget.reserved):
            budget.give_back(now)
    assert shares[1] > 1.5 * shares[0]


def test_requests_that_move_are_not_counted_twice() -> None:
    budget, now = _settled()
    moved = PeerView(BudgetUse(_PARTS, load=0), instances=2)
    late = 0.2 * _RATE * 0.45
    change = budget.unreserved(now, _QUIET_PEER) - budget.unreserved(now, moved)
    assert change == pytest.approx(late, rel=0.1)


# Requests and sent retries by part of the window, the latest first, unsent
# reservations, and the requests that remain for further retries.
_OPEN_WINDOWS: Final = (
    pytest.param((10,) * 12, (), 0, 70, id='level'),
    pytest.param((10,) * 6, (), 0, 50, id='load-began'),
    pytest.param((50, 0, 0, 0, 0, 0, 0, 50), (), 0, 50, id='both-ends'),
    pytest.param((), (), 7, -7, id='nothing'),
    pytest.param((10,) * 12, (5, 5), 7, 53, id='sent-and-reserved'),
)


@pytest.mark.parametrize(('arrived', 'sent', 'unsent', 'left'), _OPEN_WINDOWS)
def test_no_open_window_exceeds_what_is_allowed(
    arrived: tuple[int, ...], sent: tuple[int, ...], unsent: int, left: int
) -> None:
    use = BudgetUse(arrived, unsent + sum(sent), sent=sent)
    windows = [requests - retries for requests, retries in use.open_windows()]
    assert min(windows) == left
