"""Upstreams that advertise rate limits, with the upstreams of a bundle."""

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
_SETTLING_S = 8.0
_GRACE_S = 4.0
_WINDOW_S = 4.0
_MIN_USED_SHARE = 0.8


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
    world.run_until(_SETTLING_S)
    world.network.loss = loss
    return world


def _set_limit(world: World, rate: float | None, *names: str) -> None:
    for name in names or tuple(world.upstreams):
        world.upstreams[name].limit = rate


def _run_load(world: World, seconds: float, rate: float = 100) -> None:
    end = world.clock.now + seconds
    for region in _ZONES.values():
        world.load(Traffic('orders', region, rate, end))
    world.run_until(end)


def _max_allowed(limit: float) -> float:
    return 1.5 * limit * _WINDOW_S + 5


def _max_in_window(world: World, name: str, since: float) -> int:
    times = [at for at in world.upstreams[name].taken_at if at >= since]
    return max(
        (
            sum(start <= at <= start + _WINDOW_S for at in times)
            for start in times
        ),
        default=0,
    )


@pytest.mark.parametrize('limit', [0.5, 5])
@pytest.mark.parametrize('entries', [1, 3])
@pytest.mark.parametrize('loss', [0, 0.1])
def test_upstream_gets_no_more_than_its_limit(
    limit: float,
    entries: int,
    loss: float,
) -> None:
    world = _world(entries, loss=loss)
    limited = ('orders-0', 'orders-3')
    _set_limit(world, limit, *limited)
    start = world.clock.now
    _run_load(world, _GRACE_S + 8)
    for name in limited:
        assert _max_in_window(world, name, start + _GRACE_S) <= _max_allowed(
            limit
        )
    codes = {one.code for one in world.log.outcomes.values()}
    assert codes <= {ResultCode.OK, None}


def test_limits_of_all_upstreams_are_used() -> None:
    world = _world(3)
    _set_limit(world, 5)
    _run_load(world, _GRACE_S)
    start = world.clock.now
    _run_load(world, 10)
    used = sum(
        at >= start for one in world.upstreams.values() for at in one.taken_at
    )
    assert used >= _MIN_USED_SHARE * 5 * len(world.upstreams) * 10
    codes = {one.code for one in world.log.outcomes.values()}
    assert ResultCode.UPSTREAMS_LIMITED in codes


def test_upstream_is_used_again_after_its_limit_ends() -> None:
    world = _world(3)
    _run_load(world, 4)
    usual = len(world.upstreams['orders-0'].taken_at) / 4
    _set_limit(world, 1, 'orders-0')
    _run_load(world, 8)
    _set_limit(world, None, 'orders-0')
    _run_load(world, 4)
    start = world.clock.now
    _run_load(world, 3)
    times = world.upstreams['orders-0'].taken_at
    assert sum(at >= start for at in times) / 3 >= usual / 2


def test_instances_without_answers_receive_limits() -> None:
    world = _world(3)
    _set_limit(world, 5, 'orders-0')
    end = world.clock.now + 4
    world.load(Traffic('orders', 'north', 100, end))
    world.run_until(end)
    known_rates = {
        process.instance.pacer.rate_of(key)
        for process in world.processes.values()
        for key, (_, record) in _upstreams(process).items()
        if record.name == 'orders-0'
    }
    assert known_rates == {5}


def test_paused_instance_drops_its_tokens() -> None:
    world = _world(3)
    _set_limit(world, 5)
    _run_load(world, 4)
    instances = [one.instance for one in world.processes.values()]
    instance = next(one for one in instances if one.pacer.issuer.owned)
    pause = instance.settings.pause_limit + 1
    reduce(instance, Ticked(world.clock.now + pause, world.clock.now + pause))
    assert not any(one.tokens for one in instance.pacer.stocks.values())
    assert not instance.pacer.issuer.owned


def _upstreams(process: FakeProcess) -> dict[PoolKey, tuple[str, Upstream]]:
    topology = process.instance.configuration.topology
    return topology.upstreams if topology else {}
