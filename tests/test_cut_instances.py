"""Instances that cannot connect to upstreams which others of their region reach."""

from typing import Final

import pytest

from worksrail.bench.world import Traffic, World, WorldPlan
from worksrail.core.bundle import Bundle, parse_bundle
from worksrail.core.settings import CoreSettings

_BUNDLE: Final = """
format: worksrail/1
name: cut
answer_age: 1
regions:
  - {name: north, seats: 3, headroom: 0.1}
zones:
  - {name: north-a, region: north}
services:
  - name: orders
    host: orders.example
    deadline: 3
    upstreams:
"""
_UPSTREAM: Final = (
    '      - {{name: orders-{0}, zone: north-a, slots: 4, '
    'address: "127.30.1.{0}:9300"}}\n'
)
_SETTLING_S: Final = 8.0
_STABLE_S: Final = 4.0
_CUT_S: Final = 12.0
_RATE: Final = 10
# Share of the others' success that a cut instance has.
_AIM: Final = 0.95


def _world(seed: int) -> World:
    text = _BUNDLE + ''.join(_UPSTREAM.format(one) for one in range(1, 13))
    bundle = parse_bundle(text)
    assert isinstance(bundle, Bundle), bundle
    plan = WorldPlan(
        bundle,
        CoreSettings(),
        {'orders': 0.05},
        entries_per_region=3,
        seed=seed,
    )
    world = World.from_plan(plan)
    world.run_until(_SETTLING_S)
    return world


def _share(world: World, begin: float, name: str) -> float:
    """Send requests to one instance for a while; return the share served."""
    before = set(world.log.outcomes)
    end = begin + _CUT_S
    world.load(Traffic('orders', 'north', _RATE, end, entry=name))
    world.run_until(end + 3)
    counted = [
        outcome
        for trace, outcome in world.log.outcomes.items()
        if trace not in before and outcome.started_at >= begin + _STABLE_S
    ]
    assert counted
    return sum(one.is_ok for one in counted) / len(counted)


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('failing', [0.01, 0.5], ids=['refused', 'hanging'])
def test_callers_of_an_instance_cut_off_from_upstreams_are_served(
    failing: float,
    seed: int,
) -> None:
    cut, whole = _world(seed), _world(seed)
    name = cut.live()[0].name
    cut.network.without_upstreams[name] = failing
    share = _share(cut, cut.clock.now, name)
    others = _share(whole, whole.clock.now, name)
    print(f'served {share:.3f} where cut off, {others:.3f} otherwise')
    assert share >= _AIM * others


def test_direct_sending_is_back_soon_after_the_cut() -> None:
    world = _world(1)
    name = world.live()[0].name
    world.network.without_upstreams[name] = 0.01
    _share(world, world.clock.now, name)
    instance = world.processes[name].instance
    assert instance.has_lost('orders')
    assert {one.slots for one in instance.spares()} == {0}
    world.network.without_upstreams.clear()
    begin = world.clock.now
    world.load(Traffic('orders', 'north', _RATE, begin + 2, entry=name))
    world.run_until(begin + 2)
    assert not instance.has_lost('orders')
    assert not world.watch.violations
