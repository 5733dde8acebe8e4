"""What instances know of lives before a restart."""

import pytest

from worksrail.core.budgets import (
    AdvertisedBudgets,
    BudgetBounds,
    BudgetUse,
    SharedBudgets,
)
from worksrail.core.identity import Incarnation

_BOUNDS = BudgetBounds(ratio=0.2, window=10, extra=100)
_SENT = AdvertisedBudgets(10, {'orders': BudgetUse(reserved=7)})
_NOTHING = AdvertisedBudgets(0)


@pytest.mark.parametrize('zone', ['', 'b1'])
def test_life_before_a_restart_stays_in_the_sum_and_is_told(zone: str) -> None:
    budgets = SharedBudgets.begin(_BOUNDS, known_since=-10)
    budgets.receive(Incarnation('one', 1), _SENT, 0, zone=zone)
    budgets.receive(Incarnation('one', 2), _NOTHING, 0.5, zone=zone)
    assert budgets.peer_view('orders', 0.6).use.reserved == 7
    assert budgets.advertise(0.6).departed['orders'].reserved == 7


def test_zone_whose_speaker_knows_less_keeps_its_sum() -> None:
    budgets = SharedBudgets.begin(_BOUNDS, known_since=-10)
    budgets.receive(Incarnation('one', 1), _SENT, 0, zone='b1')
    budgets.receive(Incarnation('two', 1), _NOTHING, 0.5, zone='b1')
    assert budgets.peer_view('orders', 0.6).use.reserved == 7


@pytest.mark.parametrize(('now', 'reserves'), [(1.0, False), (1.5, True)])
def test_fresh_instance_reserves_nothing_for_a_round(
    now: float, reserves: bool
) -> None:
    budgets = SharedBudgets.begin(_BOUNDS, known_since=0)
    budgets.set_fleet_size(2, 2)
    budgets.receive(Incarnation('two', 1), AdvertisedBudgets(10), now)
    assert budgets.spend('orders', now) is reserves


def test_instance_that_hears_only_fresh_ones_reserves_nothing() -> None:
    budgets = SharedBudgets.begin(_BOUNDS, known_since=0)
    budgets.set_fleet_size(2, 2)
    budgets.receive(Incarnation('two', 1), AdvertisedBudgets(3), 3)
    assert not budgets.spend('orders', 3)


def test_what_silent_instances_may_use_is_told_to_those_that_began_later() -> (
    None
):
    old = SharedBudgets.begin(_BOUNDS, known_since=-10)
    old.receive(Incarnation('gone', 1), _SENT, 0)
    fresh = SharedBudgets.begin(_BOUNDS, known_since=2)
    fresh.receive(Incarnation('old', 1), old.advertise(3), 3)
    assert fresh.peer_view('orders', 3).use.reserved == 7
    assert fresh.peer_view('orders', 14).use.reserved == 0
