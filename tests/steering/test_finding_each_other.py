"""Entries that have lost, or never had, an address of the others."""

import pytest

from tests.steering.membership_world import ALLOWED, MembershipWorld

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
