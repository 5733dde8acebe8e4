"""Detection of services that an entry cannot reach."""

from typing import Final

import msgspec
import pytest

from tests.steering.world import World, digest, of_type, route, upstream
from worksrail.core.steering import ServiceWeight
from worksrail.core.steering.effects import Decision, DecisionKind
from worksrail.core.steering.events import (
    AttemptOutcome,
    DigestReceived,
    PathProbed,
    UpstreamsListed,
)

_ORDERS: Final = [
    upstream(f'{zone}-{number}', zone=zone)
    for zone in ('a1', 'a2', 'b1')
    for number in range(2)
]
_STOCK: Final = [
    upstream(f's{number}', zone=zone, service='stock')
    for number, zone in enumerate(('a1', 'a2', 'b1'))
]
_PATHS: Final = (DecisionKind.PATHS_LOST, DecisionKind.PATHS_REGAINED)


def _world() -> World:
    routes = (
        route(timeout=9, affinity=False),
        route('fetch', parts=(ServiceWeight('stock', 1),), affinity=False),
    )
    return World(routes, [*_ORDERS, *_STOCK])


def _try(
    world: World,
    outcome: AttemptOutcome,
    route_name: str = 'read',
    attempts: int = 3,
) -> None:
    """Send requests whose attempts all end in one way."""
    for _ in range(attempts):
        number = world.ask(route_name, time_left=9)
        while number in world.state.requests:
            world.end(number, outcome, connect_time=0.01)


def _logged(world: World) -> list[tuple[DecisionKind, str]]:
    return [
        (one.kind, one.subject)
        for one in of_type(world.effects, Decision)
        if one.kind in _PATHS
    ]


@pytest.mark.parametrize(
    'outcome',
    [
        AttemptOutcome.NOT_CONNECTED,
        AttemptOutcome.BROKE_BEFORE_ANSWER,
        AttemptOutcome.TIMED_OUT,
    ],
    ids=lambda outcome: outcome.name,
)
def test_attempts_without_answer_in_two_zones_isolate_an_entry(
    outcome: AttemptOutcome,
) -> None:
    world = _world()
    _try(world, outcome, attempts=9)
    assert world.state.paths.is_isolated
    assert _logged(world) == [
        (DecisionKind.PATHS_LOST, 'orders'),
        (DecisionKind.PATHS_LOST, 'stock'),
    ]


@pytest.mark.parametrize(
    'outcome',
    [
        AttemptOutcome.ANSWERED,
        AttemptOutcome.NOT_EXECUTED,
        AttemptOutcome.OTHER_UPSTREAM,
        AttemptOutcome.BROKE_IN_ANSWER,
        AttemptOutcome.SPOILED,
    ],
    ids=lambda outcome: outcome.name,
)
def test_any_answer_ends_an_isolation(outcome: AttemptOutcome) -> None:
    world = _world()
    number = world.ask('fetch', time_left=9)
    _try(world, AttemptOutcome.NOT_CONNECTED, attempts=6)
    assert world.state.paths.is_isolated
    world.end(number, outcome, connect_time=0.01)
    assert not world.state.paths.is_isolated
    assert (DecisionKind.PATHS_REGAINED, 'stock') in _logged(world)


def test_answer_on_an_open_connection_proves_no_path_for_new_ones() -> None:
    world = _world()
    number = world.ask('fetch', time_left=9)
    _try(world, AttemptOutcome.NOT_CONNECTED, attempts=6)
    _try(world, AttemptOutcome.NOT_CONNECTED, 'fetch', attempts=3)
    world.end(number)
    assert world.state.paths.is_isolated


def test_crash_of_a_service_isolates_no_entry_that_reaches_another() -> None:
    world = _world()
    for _ in range(6):
        _try(world, AttemptOutcome.NOT_CONNECTED, attempts=1)
        world.end(world.ask('fetch', time_left=9))
    assert set(world.state.paths.lost_since) == {'orders'}
    assert not world.state.paths.is_isolated


def test_service_whose_upstreams_all_fail_is_lost_alone() -> None:
    world = _world()
    for _ in range(6):
        _try(world, AttemptOutcome.NOT_CONNECTED, attempts=1)
        _try(world, AttemptOutcome.ANSWERED, 'fetch', attempts=1)
    assert not world.state.paths.is_isolated
    assert set(world.state.paths.lost_since) == {'orders'}


def test_zone_without_power_loses_no_service() -> None:
    world = _world()
    for record in [*_ORDERS, *_STOCK]:
        if record.zone == 'b1':
            reached = world.state.catalog.upstreams[record.name]
            world.state.paths.record_miss(reached, connecting=True)
    world.wait(0.2)
    assert not world.state.paths.is_isolated
    assert not world.state.paths.lost_since


def test_overdue_answers_isolate_an_entry_that_gets_none() -> None:
    world = _world()
    _try(world, AttemptOutcome.ANSWERED)
    for _ in range(6):
        world.ask(time_left=9)
    world.wait(1.5)
    assert world.state.paths.is_isolated


def test_overdue_answers_do_not_isolate_an_entry_that_gets_others() -> None:
    world = _world()
    _try(world, AttemptOutcome.ANSWERED)
    for _ in range(6):
        world.ask(time_left=9)
    for _ in range(5):
        _try(world, AttemptOutcome.ANSWERED, 'fetch', attempts=1)
        world.wait(0.3)
    assert not world.state.paths.is_isolated


def test_caller_that_leaves_while_connecting_is_no_evidence() -> None:
    world = _world()
    for _ in range(6):
        number = world.ask(time_left=9)
        world.state.requests[number].caller_gone = True
        world.end(number, AttemptOutcome.NOT_CONNECTED)
    assert not world.state.paths.missed


def test_upstreams_that_are_gone_are_no_evidence() -> None:
    world = _world()
    _try(world, AttemptOutcome.NOT_CONNECTED, attempts=6)
    world.state.paths.keep_only({'s0'})
    assert not world.state.paths.missed


def test_upstreams_that_replace_missed_ones_show_no_path() -> None:
    world = World(upstreams=[upstream(f'u{number}') for number in range(3)])
    for _ in range(3):
        number = world.ask()
        while number in world.state.requests:
            world.end(number, AttemptOutcome.NOT_CONNECTED, status=0)
    assert 'orders' in world.state.paths.lost_since
    fresh = tuple(upstream(f'v{number}') for number in range(3))
    world.run(UpstreamsListed(world.now, fresh, 2))
    world.wait(0.2)
    assert 'orders' in world.state.paths.lost_since
    world.run(PathProbed(world.now, 'v0', True))
    world.wait(0.2)
    assert 'orders' not in world.state.paths.lost_since


def test_upstreams_that_leave_show_no_path() -> None:
    names = [f'u{number}' for number in range(3)]
    world = World(upstreams=[upstream(name) for name in names])
    for _ in range(3):
        number = world.ask()
        while number in world.state.requests:
            world.end(number, AttemptOutcome.NOT_CONNECTED, status=0)
    told = msgspec.structs.replace(digest('two'), leaving=tuple(names))
    world.run(DigestReceived(world.now, told))
    world.wait(0.2)
    assert 'orders' in world.state.paths.lost_since
    world.wait(12)
    assert 'orders' not in world.state.paths.lost_since
