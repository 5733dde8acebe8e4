"""Entries that have lost, or never had, an address of the others."""

import pytest

from tests.steering.membership_world import ALLOWED, MembershipWorld
from worksrail.core.steering._fleet import Fleet

_REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
_STALE = ('a1-77:peer', 'a2-78:peer', 'b1-79:peer')
# Requests a second that the customer sends to each part of the fleet; its quota
# allows 40 over all.
_RATE = 60


def _world(zones: dict[str, int] | None = None) -> MembershipWorld:
    world = MembershipWorld(zones or {'a1': 2, 'a2': 1}, _REGIONS)
    world.wait(3)
    assert world.is_one_fleet()
    return world


@pytest.mark.parametrize(
    'seeds',
    [
        ('a1-0:peer',),
        ('a1-0:peer', 'a1-1:peer', 'a2-0:peer'),
        # The entry itself, as the settings of a seed name it.
        ('a2-9:peer', 'a1-1:peer'),
    ],
)
def test_entry_that_began_with_stale_seeds_follows_corrected_ones(
    seeds: tuple[str, ...],
) -> None:
    # Seeds were read at the start only: the entry stayed alone, and owned all
    # quotas beside the fleet.
    world = _world()
    world.store_answers = False
    world.start_with_seeds('a2-9', _STALE)
    world.wait(5)
    assert not world.is_one_fleet()
    world.reload('a2-9', seeds)
    assert world.seconds_until_one_fleet(3) <= 1
    world.wait(2)
    since = world.now
    world.ask(('a1-0', 'a2-9'), _RATE, 12)
    assert world.most_in_window(since) <= ALLOWED


def test_seeds_that_name_the_entry_itself_change_nothing() -> None:
    world = _world()
    world.reload('a2-0', ('a2-0:peer',))
    world.wait(3)
    assert world.is_one_fleet()


@pytest.mark.parametrize(
    'cut',
    [
        ('a2-0',),
        ('a1-0', 'a1-1'),
        # All entries that the settings of the others name.
        ('a1-0',),
    ],
)
@pytest.mark.parametrize('seconds', [60, 130, 1200])
def test_parts_of_a_fleet_find_each_other_after_a_long_cut(
    cut: tuple[str, ...], seconds: float
) -> None:
    # Addresses were forgotten 120 s after their last message: each part went
    # on as the whole fleet for good.
    world = _world()
    for name in world.states:
        world.reload(name, _STALE)
    world.part(cut)
    world.wait(seconds)
    assert not world.is_one_fleet()
    world.part()
    assert world.seconds_until_one_fleet(30) <= 15


def test_quota_holds_over_parts_that_lost_each_other_long_ago() -> None:
    # Each part forgot the other one after 120 s, and allowed all of the quota.
    world = _world({'a1': 4, 'a2': 4})
    world.part(('a1-0', 'a1-1', 'a1-2', 'a1-3'))
    world.wait(1200)
    since = world.now
    world.ask(('a1-0', 'a2-0'), _RATE, 12)
    assert world.most_in_window(since) <= ALLOWED


def test_addresses_of_long_silent_entries_are_bounded() -> None:
    fleet = Fleet('one', 'a1', '10.9.0.1:4')
    fleet.follow_seeds(('10.9.0.2:4',), 0)
    for number in range(1000):
        fleet.add_address(f'10.9.1.1:{number}', number / 1000)
    fleet.expire(1e6)
    assert len(fleet.addresses) == 65
    assert {'10.9.0.2:4', '10.9.1.1:999'} <= fleet.addresses.keys()


def test_entry_whose_seeds_are_all_stale_finds_the_others_in_the_store() -> (
    None
):
    # Seeds were the only way to the others: with stale ones an entry stayed
    # alone for good, and owned all quotas beside the fleet.
    world = _world()
    world.start_with_seeds('b1-9', _STALE)
    since = world.now
    world.ask(('a1-0', 'b1-9'), _RATE, 12)
    assert world.is_one_fleet()
    assert world.most_in_window(since) <= ALLOWED


def test_fleet_replaced_one_by_one_stays_one() -> None:
    # Those that start last have no seed that is left.
    world = _world()
    for number, name in enumerate(sorted(world.states)):
        world.start_with_seeds(f'a1-9{number}', world.seeds)
        world.wait(2)
        world.stop(name)
        world.wait(2)
    assert world.seconds_until_one_fleet(3) <= 1


@pytest.mark.parametrize('zone', ['a1', 'b1'])
def test_fleets_that_never_knew_each_other_become_one(zone: str) -> None:
    world = _world()
    world.store_answers = False
    own = (f'{zone}-8:peer', f'{zone}-9:peer')
    world.start_with_seeds(f'{zone}-8', own)
    world.start_with_seeds(f'{zone}-9', own)
    world.wait(10)
    assert not world.is_one_fleet()
    world.store_answers = True
    # Both read the store once in a minute, as they know other entries.
    assert world.seconds_until_one_fleet(90) <= 75


def test_store_that_is_away_at_the_start_is_asked_again() -> None:
    world = _world()
    world.store_answers = False
    world.start_with_seeds('a2-9', _STALE)
    world.wait(20)
    world.store_answers = True
    assert world.seconds_until_one_fleet(60) <= 30


def test_calls_for_addresses_are_few() -> None:
    world = _world({'a1': 3, 'a2': 3, 'b1': 3})
    world.wait(300)
    # One entry of each zone reads, and writes once.
    assert world.record_calls['read'] <= 3 * 8
    assert world.record_calls['write'] <= 3 * 2


def test_entries_without_a_configuration_are_recorded_too() -> None:
    # The record of a zone was written up to a minute after the start, if its
    # relay was not ready when it read the records.
    world = MembershipWorld({'a1': 2}, _REGIONS)
    for state in world.states.values():
        state.ready = False
        state.kinds_read.clear()
    world.wait(2)
    assert len(world.records['a1']) == 2
