"""Entries that receive no digests while the store answers all the time.

A third of twelve entries was suspended for 2 s and others were cut off, among
them the relay of a zone and all watchers whose digests reached one of its
entries. That entry learned of no answers of the store for more than 1.5 s, took
this for an outage, and therefore kept using an upstream that had left for
another 2.1 s: requests reached it up to 2.8 s after the store had confirmed
that it left; 2.5 s are allowed.

The cause was that an outage was defined as a gap between known answers. An
entry that receives no digests of watchers learns of no answers, whatever the
store does. Within 0.7 s the entry logged ``entry-lost`` for ten of eleven others, and never ``store-lost``; ``news-fetched`` with the removal came 0.8 s after
that and ``upstream-gone`` only 1.7 s later. Four of eight replays of that day
broke the bound; on this virtual clock, 46 of 120 runs had an entry that was
late.
"""

import random

import pytest

from tests.steering.fleet_world import FleetWorld
from tests.steering.world import World, upstream
from worksrail.core.steering.events import (
    StoreChecked,
    Ticked,
    UpstreamsChanged,
)

_ZONES = {'a1': 2, 'a2': 2, 'b1': 3, 'b2': 1, 'c1': 3, 'c2': 1}
_REGIONS = {zone: zone[0] for zone in _ZONES}
# Seconds within which an entry that is neither frozen nor cut off must stop
# using a leaving upstream; the smallest bound that operators set is 2.
_MAX_DELAY = 2.0
# Seconds after the first entries freeze at which others are cut off, an
# upstream leaves, and the frozen entries resume.
_CUT_OFF_AFTER, _LEAVES_AFTER, _RESUME_AFTER = 0.3, 0.55, 2.0


def _late_entries(seed: int, loss: float) -> list[str]:
    """Return connected entries that use an upstream too long after it left.

    A third of the entries freezes, and another third is cut off.
    """
    world = FleetWorld(_ZONES, _REGIONS, loss)
    world.rng = random.Random(seed)
    world.set_upstreams('1', '2')
    world.wait(4)
    faulty = random.Random(seed).sample(sorted(world.states), 8)
    world.frozen = set(faulty[:4])
    world.wait(_CUT_OFF_AFTER)
    world.cut_off = set(faulty[4:])
    world.wait(_LEAVES_AFTER - _CUT_OFF_AFTER)
    world.set_upstreams('1')
    world.wait(_RESUME_AFTER - _LEAVES_AFTER)
    world.frozen = set()
    world.wait(_MAX_DELAY - _RESUME_AFTER + _LEAVES_AFTER)
    return [
        name
        for name in sorted(world.states)
        if name not in faulty and '2' in world.states[name].catalog.upstreams
    ]


@pytest.mark.parametrize('loss', [0, 0.1])
def test_entry_without_digests_assumes_no_outage(
    loss: float,
) -> None:
    late = {seed: _late_entries(seed, loss) for seed in range(60)}
    assert not {seed: names for seed, names in late.items() if names}


def _reader_with_pending_check() -> World:
    """Build a reader with a pending health check of the store."""
    world = World((), (upstream('1'), upstream('2')), settle=1.2)
    world.check_failure = None
    world.wait(0.6)
    assert world.state.catalog.store_health.checking
    return world


def _keeps_removed(world: World) -> bool:
    """Return whether an upstream that is removed now is kept for a while."""
    world.run(
        StoreChecked(world.now), UpstreamsChanged(world.now, (), ('1',), 5)
    )
    return '1' in world.state.catalog.upstreams


def test_reader_with_unanswered_check_detects_an_outage() -> None:
    world = _reader_with_pending_check()
    world.wait(3)
    assert _keeps_removed(world)


def test_suspended_reader_detects_no_outage() -> None:
    # No answer could arrive during the suspension.
    world = _reader_with_pending_check()
    world.now += 3
    world.run(Ticked(world.now))
    assert not _keeps_removed(world)


def test_entry_that_stopped_reading_detects_no_outage() -> None:
    world = _reader_with_pending_check()
    world.state.watching = False
    world.state.leaving_at = world.now
    world.wait(3)
    world.state.watching = True
    assert not _keeps_removed(world)
