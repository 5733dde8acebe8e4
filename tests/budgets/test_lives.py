"""Tests that use by earlier incarnations and silent instances is kept."""

import pytest

from worksrail.core.budgets import (
    AdvertisedBudgets,
    BudgetBounds,
    BudgetUse,
    SharedBudgets,
)
from worksrail.core.identity import Incarnation

_BOUNDS = BudgetBounds(ratio=0.2, window=10, extra=100)
_SEVEN_RESERVED = AdvertisedBudgets(10, {'orders': BudgetUse(reserved=7)})
_NO_COVERAGE = AdvertisedBudgets(0)


@pytest.mark.parametrize('zone', ['', 'b1'])
def test_earlier_incarnation_stays_in_the_sum_and_is_advertised(
    zone: str,
) -> None:
    budgets = SharedBudgets.begin(_BOUNDS, known_since=-10)
    budgets.receive(Incarnation('one', 1), _SEVEN_RESERVED, 0, zone=zone)
    budgets.receive(Incarnation('one', 2), _NO_COVERAGE, 0.5, zone=zone)
    assert budgets.peer_view('orders', 0.6).use.reserved == 7
    assert budgets.advertise(0.6).departed['orders'].reserved == 7


def test_zone_whose_new_relay_knows_less_keeps_its_sum() -> None:
    budgets = SharedBudgets.begin(_BOUNDS, known_since=-10)
    budgets.receive(Incarnation('one', 1), _SEVEN_RESERVED, 0, zone='b1')
    budgets.receive(Incarnation('two', 1), _NO_COVERAGE, 0.5, zone='b1')
    assert budgets.peer_view('orders', 0.6).use.reserved == 7


@pytest.mark.parametrize(('now', 'reserves'), [(1.0, False), (1.5, True)])
def test_started_instance_reserves_nothing_for_a_round(
    now: float, reserves: bool
) -> None:
    budgets = SharedBudgets.begin(_BOUNDS, known_since=0)
    budgets.set_fleet_size(2, 2)
    budgets.receive(Incarnation('two', 1), AdvertisedBudgets(10), now)
    assert budgets.spend('orders', now) is reserves


def test_instance_with_only_new_peers_reserves_nothing() -> None:
    budgets = SharedBudgets.begin(_BOUNDS, known_since=0)
    budgets.set_fleet_size(2, 2)
    budgets.receive(Incarnation('two', 1), AdvertisedBudgets(3), 3)
    assert not budgets.spend('orders', 3)


def test_use_of_silent_instances_is_advertised_to_new_ones() -> None:
    old = SharedBudgets.begin(_BOUNDS, known_since=-10)
    old.receive(Incarnation('gone', 1), _SEVEN_RESERVED, 0)
    fresh = SharedBudgets.begin(_BOUNDS, known_since=2)
    fresh.receive(Incarnation('old', 1), old.advertise(3), 3)
    assert fresh.peer_view('orders', 3).use.reserved == 7
    assert fresh.peer_view('orders', 14).use.reserved == 0
