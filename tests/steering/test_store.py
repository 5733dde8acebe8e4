"""How the entry applies what it reads from the store."""

import pytest

from tests.steering.world import (
    World,
    configuration,
    of_type,
    route,
    upstream,
)
from worksrail.core.steering import RoutingConfiguration, UpstreamRecord
from worksrail.core.steering.effects import Decision, DecisionKind
from worksrail.core.steering.events import (
    ConfigurationRead,
    StoreAnswered,
    UpstreamsChanged,
    UpstreamsListed,
)
from worksrail.core.steering.kinds import StoreKind

_ALL = tuple(upstream(name) for name in ('1', '2', '3'))


def _usable(world: World) -> set[str]:
    return {found.name for found in world.state.catalog.usable('orders')}


def _answer(world: World) -> None:
    world.run(StoreAnswered(world.now, StoreKind.UPSTREAMS))


@pytest.mark.parametrize(
    ('versions', 'in_force'),
    [((2,), 2), ((3, 2), 3), ((2, 2), 2), ((10, 9, 11), 11)],
)
def test_highest_version_stays_in_force(
    versions: tuple[int, ...], in_force: int
) -> None:
    world = World()
    for version in versions:
        world.run(
            ConfigurationRead(
                world.now, configuration(version, (route(f'v{version}'),))
            )
        )
    current = world.state.configuration
    assert isinstance(current, RoutingConfiguration)
    assert current.version == in_force
    assert set(current.routes['orders.example']) == {f'/v{in_force}/'}


def test_removed_upstream_is_dropped_at_once() -> None:
    world = World((), _ALL)
    world.run(UpstreamsChanged(world.now, (), ('1',)))
    assert _usable(world) == {'2', '3'}


def test_expired_records_are_kept_until_the_store_has_recovered() -> None:
    world = World((), _ALL)
    _answer(world)
    world.check_failure = 'no answer'
    world.wait(5)
    world.check_failure = ''
    _answer(world)
    world.run(UpstreamsListed(world.now, (_ALL[0],)))
    assert _usable(world) == {'1', '2', '3'}
    world.wait(1)
    world.run(UpstreamsChanged(world.now, (_ALL[1],), ()))
    world.wait(1.5)
    assert _usable(world) == {'1', '2'}


@pytest.mark.parametrize(
    ('outage', 'kept'),
    [
        # An interrupted watch that was restarted at once kept upstreams that
        # had left in that moment for two seconds more.
        (0.2, False),
        (1.4, False),
        (1.6, True),
        (3.1, True),
    ],
)
def test_interrupted_watch_is_no_outage(outage: float, kept: bool) -> None:
    world = World((), _ALL)
    _answer(world)
    world.check_failure = 'no answer'
    world.wait(outage)
    _answer(world)
    world.run(UpstreamsListed(world.now, _ALL[1:]))
    assert ('1' in _usable(world)) is kept


def test_draining_applies_right_after_an_outage() -> None:
    world = World((), _ALL)
    _answer(world)
    world.check_failure = 'no answer'
    world.wait(5)
    _answer(world)
    drained = upstream('1', draining=True, sequence=2)
    world.run(UpstreamsListed(world.now, (drained, *_ALL[1:])))
    assert _usable(world) == {'2', '3'}


def test_drained_upstream_is_not_restored_by_an_old_report() -> None:
    world = World((), _ALL)
    drained = upstream('1', draining=True, sequence=5)
    world.run(UpstreamsChanged(world.now, (drained, _ALL[0]), ()))
    assert '1' not in _usable(world)


@pytest.mark.parametrize(
    ('record', 'cold'),
    [
        (upstream('1', sequence=2, cold_time=3), True),
        (upstream('1', sequence=2), False),
    ],
)
def test_upstream_may_become_cold_again(
    record: UpstreamRecord, cold: bool
) -> None:
    world = World((), _ALL)
    world.run(UpstreamsChanged(world.now, (record,), ()))
    known = world.state.catalog.upstreams['1']
    assert (known.cold_until > world.now) is cold


@pytest.mark.parametrize(
    ('count', 'kind', 'lines'),
    [
        (20, DecisionKind.UPSTREAM_KNOWN, 20),
        (21, DecisionKind.UPSTREAMS_KNOWN, 1),
        (451, DecisionKind.UPSTREAMS_KNOWN, 1),
    ],
)
def test_many_upstreams_at_once_are_logged_as_a_count(
    count: int, kind: DecisionKind, lines: int
) -> None:
    # The log allows 100 lines of a kind a second and drops the others.
    world = World()
    records = tuple(upstream(str(name), cold_time=3) for name in range(count))
    written = of_type(world.run(UpstreamsListed(world.now, records)), Decision)
    found = [one for one in written if one.kind is kind]
    assert len(found) == lines
    assert len(written) <= 40
    if lines == 1:
        assert found[0].inputs == (('count', count),)


def test_log_line_of_a_request_has_the_upstream_address() -> None:
    world = World((), _ALL)
    number = world.ask()
    (sent,) = world.sent(number)
    (line,) = [
        one
        for one in of_type(world.effects, Decision)
        if one.kind is DecisionKind.REQUEST_SENT
    ]
    assert dict(line.inputs)['address'] == upstream(sent).address
