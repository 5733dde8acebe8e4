"""Upstreams of a bundle that say that they leave or ask for a backoff."""

from collections.abc import Iterable
from typing import Final

import pytest

from worksrail.bench.world import Traffic, World, WorldPlan
from worksrail.core.bundle import Bundle, parse_bundle
from worksrail.core.results import ResultCode
from worksrail.core.settings import CoreSettings

_BUNDLE: Final = """
format: worksrail/1
name: stated
answer_age: 1
regions:
  - {name: north, seats: 3, headroom: 0.1}
zones:
  - {name: north-a, region: north}
services:
  - name: orders
    host: orders.example
    deadline: 3
    slow_start: 2
    upstreams:
"""
_UPSTREAM: Final = (
    '      - {{name: orders-{0}, zone: north-a, slots: 8, '
    'address: "127.30.1.{0}:9300"}}\n'
)
_COUNT: Final = 6
_RATE: Final = 100
_SETTLING_S: Final = 8.0
# Seconds after which callers are served as the statements demand.
_HEARD_S: Final = 4.0
# Slots of an upstream: the requests on the way to it when it first states
# something to an instance.  Instances do not tell each other.
_ON_THE_WAY: Final = 8
_CHOSEN = (
    pytest.param([1], id='one'),
    pytest.param([1, 2, 3], id='half'),
    pytest.param(range(1, _COUNT + 1), id='all'),
)


def _world(entries: int, **settings: float) -> World:
    text = _BUNDLE + ''.join(
        _UPSTREAM.format(one) for one in range(1, _COUNT + 1)
    )
    bundle = parse_bundle(text)
    assert isinstance(bundle, Bundle), bundle
    plan = WorldPlan(
        bundle,
        CoreSettings(**settings),  # type: ignore[arg-type]
        {'orders': 0.05},
        entries_per_region=entries,
        seed=5,
    )
    world = World.from_plan(plan)
    world.run_until(_SETTLING_S)
    _run(world, 2)
    return world


def _run(world: World, seconds: float) -> tuple[float, float]:
    """Send requests for a while; return its begin and end."""
    begin = world.clock.now
    end = begin + seconds
    world.load(Traffic('orders', 'north', _RATE, end))
    world.run_until(end)
    return begin, end


def _taken(
    world: World, numbers: Iterable[int], begin: float, end: float
) -> int:
    return sum(
        begin <= at < end
        for number in numbers
        for at in world.upstreams[f'orders-{number}'].taken_at
    )


def _codes(world: World, since: float) -> set[ResultCode | None]:
    return {
        one.code
        for one in world.log.outcomes.values()
        if one.started_at >= since and one.ended_at
    }


@pytest.mark.parametrize('entries', [1, 3])
@pytest.mark.parametrize('numbers', _CHOSEN)
def test_upstream_that_leaves_gets_no_more_requests(
    entries: int, numbers: Iterable[int]
) -> None:
    world = _world(entries)
    for number in numbers:
        world.upstreams[f'orders-{number}'].leaving = True
    begin, end = _run(world, 10)
    taken = [_taken(world, [number], begin, end) for number in numbers]
    assert sum(taken)
    assert max(taken) <= _ON_THE_WAY * entries
    codes = _codes(world, begin + _HEARD_S)
    all_leave = len(list(numbers)) == _COUNT
    wanted = ResultCode.UPSTREAMS_LEAVING if all_leave else ResultCode.OK
    assert codes == {wanted}


@pytest.mark.parametrize('entries', [1, 3])
@pytest.mark.parametrize('numbers', _CHOSEN)
def test_upstream_that_asks_for_a_backoff_gets_few_requests(
    entries: int, numbers: Iterable[int]
) -> None:
    world = _world(entries)
    for number in numbers:
        upstream = world.upstreams[f'orders-{number}']
        upstream.shed, upstream.backoff = True, 20
    begin, end = _run(world, 10)
    taken = [_taken(world, [number], begin, end) for number in numbers]
    assert sum(taken)
    assert max(taken) <= _ON_THE_WAY * entries
    codes = _codes(world, begin + _HEARD_S)
    all_back_off = len(list(numbers)) == _COUNT
    wanted = ResultCode.OK
    if all_back_off:
        wanted = ResultCode.UPSTREAMS_BACKING_OFF
    assert codes == {wanted}


def test_upstreams_are_used_again_after_their_backoffs() -> None:
    world = _world(3)
    for upstream in world.upstreams.values():
        upstream.shed, upstream.backoff = True, 3
    _run(world, 1)
    for upstream in world.upstreams.values():
        upstream.shed = False
    _run(world, 5)
    begin, end = _run(world, 4)
    taken = [_taken(world, [one], begin, end) for one in range(1, _COUNT + 1)]
    assert min(taken) >= sum(taken) / _COUNT / 2
    assert _codes(world, begin) == {ResultCode.OK}
    assert not any(
        process.instance.upstream_health(key).ejections
        for process in world.processes.values()
        for key in process.instance.health
    )


def test_upstream_is_tried_again_a_while_after_it_left() -> None:
    world = _world(1, leave_time=4)
    upstream = world.upstreams['orders-1']
    upstream.leaving = True
    _run(world, 3)
    upstream.leaving = False
    begin, _ = _run(world, 3)
    _, end = _run(world, 4)
    assert not _taken(world, [1], begin, begin + 0.5)
    assert _taken(world, [1], end - 2, end)
