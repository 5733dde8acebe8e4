"""Upstreams that name rate limits, with upstreams named in a bundle."""

import pytest

from worksrail.bench.world import Traffic, World, WorldPlan
from worksrail.bench.world._process import FakeProcess
from worksrail.core.bundle import Bundle, Upstream, parse_bundle
from worksrail.core.events import Ticked
from worksrail.core.permits import PoolKey
from worksrail.core.reducer import reduce
from worksrail.core.results import ResultCode
from worksrail.core.settings import CoreSettings

_ZONES = {'north-a': 'north', 'south-a': 'south'}
_SETTLED = 8.0
_STABLE = 4.0
_WINDOW = 4.0
_USED_SHARE = 0.8


def _bundle(upstreams: int) -> Bundle:
    lines = [
        'format: worksrail/1',
        'name: limits',
        'answer_age: 1',
        'regions:',
        *(
            f'  - {{name: {region}, seats: 3, headroom: 0.1}}'
            for region in _ZONES.values()
        ),
        'zones:',
        *(
            f'  - {{name: {zone}, region: {region}}}'
            for zone, region in _ZONES.items()
        ),
        'services:',
        '  - name: orders',
        '    host: orders.example',
        '    deadline: 3',
        '    upstreams:',
    ]
    for number in range(upstreams):
        zone = sorted(_ZONES)[number % len(_ZONES)]
        lines.append(
            f'      - {{name: orders-{number}, zone: {zone}, slots: 8, '
            f'address: "127.30.1.{number + 1}:9300"}}'
        )
    bundle = parse_bundle('\n'.join(lines))
    assert isinstance(bundle, Bundle), bundle
    return bundle


def _world(entries: int, upstreams: int = 8, loss: float = 0) -> World:
    plan = WorldPlan(
        _bundle(upstreams),
        CoreSettings(),
        {'orders': 0.05},
        entries_per_region=entries,
        seed=3,
    )
    world = World.from_plan(plan)
    world.run_until(_SETTLED)
    world.network.loss = loss
    return world


def _limit(world: World, rate: float | None, *names: str) -> None:
    for name in names or tuple(world.upstreams):
        world.upstreams[name].limit = rate


def _play(world: World, seconds: float, rate: float = 100) -> None:
    end = world.clock.now + seconds
    for region in _ZONES.values():
        world.load(Traffic('orders', region, rate, end))
    world.run_until(end)


def _allowed(limit: float) -> float:
    return 1.5 * limit * _WINDOW + 5


def _worst(world: World, name: str, since: float) -> int:
    times = [at for at in world.upstreams[name].taken_at if at >= since]
    return max(
        (
            sum(begin <= at <= begin + _WINDOW for at in times)
            for begin in times
        ),
        default=0,
    )


@pytest.mark.parametrize('limit', [0.5, 5])
@pytest.mark.parametrize('entries', [1, 3])
@pytest.mark.parametrize('loss', [0, 0.1])
def test_upstream_gets_no_more_than_its_named_limit_allows(
    limit: float,
    entries: int,
    loss: float,
) -> None:
    world = _world(entries, loss=loss)
    limited = ('orders-0', 'orders-3')
    _limit(world, limit, *limited)
    begin = world.clock.now
    _play(world, _STABLE + 8)
    for name in limited:
        assert _worst(world, name, begin + _STABLE) <= _allowed(limit)
    codes = {one.code for one in world.log.outcomes.values()}
    assert codes <= {ResultCode.OK, None}


def test_named_limits_of_all_upstreams_are_used() -> None:
    world = _world(3)
    _limit(world, 5)
    _play(world, _STABLE)
    begin = world.clock.now
    _play(world, 10)
    used = sum(
        at >= begin for one in world.upstreams.values() for at in one.taken_at
    )
    assert used >= _USED_SHARE * 5 * len(world.upstreams) * 10
    codes = {one.code for one in world.log.outcomes.values()}
    assert ResultCode.UPSTREAMS_LIMITED in codes


def test_upstream_is_used_again_when_its_limit_ends() -> None:
    world = _world(3)
    _play(world, 4)
    usual = len(world.upstreams['orders-0'].taken_at) / 4
    _limit(world, 1, 'orders-0')
    _play(world, 8)
    _limit(world, None, 'orders-0')
    _play(world, 4)
    begin = world.clock.now
    _play(world, 3)
    times = world.upstreams['orders-0'].taken_at
    assert sum(at >= begin for at in times) / 3 >= usual / 2


def test_instances_without_answers_hear_of_limits() -> None:
    world = _world(3)
    _limit(world, 5, 'orders-0')
    end = world.clock.now + 4
    world.load(Traffic('orders', 'north', 100, end))
    world.run_until(end)
    believed = {
        process.instance.pacer.rate_of(key)
        for process in world.processes.values()
        for key, (_, found) in _upstreams(process).items()
        if found.name == 'orders-0'
    }
    assert believed == {5}


def test_instance_that_stood_still_uses_none_of_its_tokens() -> None:
    world = _world(3)
    _limit(world, 5)
    _play(world, 4)
    instances = [one.instance for one in world.processes.values()]
    instance = next(one for one in instances if one.pacer.issuer.owned)
    pause = instance.settings.pause_limit + 1
    reduce(instance, Ticked(world.clock.now + pause, world.clock.now + pause))
    assert not any(one.tokens for one in instance.pacer.stocks.values())
    assert not instance.pacer.issuer.owned


def _upstreams(process: FakeProcess) -> dict[PoolKey, tuple[str, Upstream]]:
    topology = process.instance.configuration.topology
    return topology.upstreams if topology else {}
