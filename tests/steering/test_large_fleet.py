"""A fleet of more than a hundred entries under faults, on the virtual clock."""

from collections.abc import Callable

import pytest

from tests.steering.fleet_world import FleetWorld
from worksrail.core.steering import RoutingConfiguration

_ZONES = {'a1': 36, 'a2': 36, 'b1': 36}
_REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
# Entries of each region that read the store: two, and one more for each of them
# that the store does not answer.
_MAX_READERS = 4
# Seconds within which operators require a change to be in force everywhere.
_CONVERGENCE_TIME = 4


def _power_off(world: FleetWorld) -> None:
    names = sorted(world.states)
    for name in world.rng.sample(names, int(len(names) * 0.55)):
        world.stop(name)


def _roll_entries(world: FleetWorld) -> None:
    names = sorted(world.states)
    leaving = world.rng.sample(names, int(len(names) * 0.45))
    world.with_initial_state = False
    for first in range(0, len(leaving), 10):
        for name in leaving[first : first + 10]:
            world.stop(name)
            world.start(name)
        world.wait(0.3)


def _add_many(world: FleetWorld) -> None:
    world.with_initial_state = False
    for zone, count in _ZONES.items():
        for number in range(count * 3 // 4):
            world.start(f'{zone}-added{number}')


def _lose_zone(world: FleetWorld) -> None:
    for name in sorted(world.states):
        if name.startswith('a2'):
            world.stop(name)


def _reject_a_third(world: FleetWorld) -> None:
    names = sorted(world.states)
    world.rejected = set(world.rng.sample(names, len(names) // 3))


def _lose_readers(world: FleetWorld) -> None:
    for name in sorted(world.watchers()):
        world.stop(name)


_FAULTS: dict[str, Callable[[FleetWorld], None]] = {
    'more than half lose power at once': _power_off,
    'nearly half are replaced in batches': _roll_entries,
    'three quarters are added': _add_many,
    'a zone is lost': _lose_zone,
    'the store rejects a third': _reject_a_third,
    'all readers die': _lose_readers,
}


def _readers_by_region(world: FleetWorld) -> dict[str, int]:
    counts = dict.fromkeys(_REGIONS.values(), 0)
    for name in world.watchers():
        counts[_REGIONS[name.partition('-')[0]]] += 1
    return counts


@pytest.mark.parametrize('loss', [0, 0.03])
@pytest.mark.parametrize('fault', _FAULTS)
def test_fleet_converges_after_fault(fault: str, loss: float) -> None:
    world = FleetWorld(_ZONES, _REGIONS, loss)
    world.set_store_revision(2)
    world.wait(3)
    _FAULTS[fault](world)
    world.set_store_revision(9)
    world.wait(_CONVERGENCE_TIME)
    versions = set()
    for state in world.states.values():
        assert isinstance(state.configuration, RoutingConfiguration)
        versions.add(state.configuration.version)
    assert versions == {9}
    readers = _readers_by_region(world)
    assert min(readers.values()) >= 1
    assert max(readers.values()) <= _MAX_READERS
    names = set(world.states)
    for name in names:
        assert world.alive_entries(name) == names - {name}
