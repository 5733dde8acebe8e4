"""Ownership of a caller's idempotency keys across all entries."""

import pytest

from worksrail.bench.world import Traffic, World, WorldPlan
from worksrail.core.bundle import parse_bundle
from worksrail.core.identity import Incarnation
from worksrail.core.lookups import LookUpAnswer, look_up
from worksrail.core.settings import CoreSettings

_BUNDLE = """
format: worksrail/1
name: owners
answer_age: 1
regions:
  - {name: north, seats: 3, headroom: 0.1}
zones:
  - {name: north-a, region: north}
client_blocks:
  - {block: 10.0.0.0/8, zone: north-a}
services:
  - name: orders
    host: orders.example
    deadline: 3
    upstreams:
      - {name: orders-1, address: "10.9.1.1:9300", zone: north-a, slots: 4}
      - {name: orders-2, address: "10.9.1.2:9300", zone: north-a, slots: 4}
"""
_STEADY_AT = 6.0
_END = 12.0
_STEP = 0.05

# Requests per second: below, at and above the capacity of the slots.
_RATES = {'calm': 20.0, 'full': 160.0, 'over': 400.0}


def _world(rate: float) -> World:
    bundle = parse_bundle(_BUNDLE)
    plan = WorldPlan(bundle, CoreSettings(), {'orders': 0.05})
    world = World.from_plan(plan)
    world.run_until(_STEADY_AT)
    world.load(Traffic('orders', 'north', rate, _END))
    return world


def _owners(world: World, client: str) -> set[Incarnation]:
    answers = [
        look_up(process.instance, client, 'orders', world.clock.now)
        for process in world.live()
    ]
    return {
        answer.ticket.owner
        for answer in answers
        if isinstance(answer, LookUpAnswer)
    }


@pytest.mark.parametrize('load', _RATES)
def test_all_entries_return_the_same_owner(load: str) -> None:
    # If two look-ups name different owners, one key may run once at each.
    world = _world(_RATES[load])
    clients = [f'10.0.0.{number}' for number in range(1, 9)]
    now = _STEADY_AT
    while now < _END:
        now += _STEP
        world.run_until(now)
        for client in clients:
            assert len(_owners(world, client)) == 1, (client, now)


def test_callers_are_spread_over_owners() -> None:
    world = _world(_RATES['calm'])
    owners = {
        owner
        for number in range(1, 60)
        for owner in _owners(world, f'10.0.0.{number}')
    }
    assert len(owners) == len(world.live())
