"""Zones none of whose upstreams can be reached."""

import pytest

from tests.steering.world import World, route, upstream
from worksrail.core.steering.events import AttemptOutcome

_DARK = [upstream(f'b{number}', zone='b1') for number in range(6)]
_LIT = [upstream(f'a{number}') for number in range(2)]


def _ask(world: World, *, dark: bool = True) -> int:
    """Ask with a fresh key until answered; gives the silent attempts."""
    number = world.ask(key=f'k{world.requests}', time_left=9)
    silent = 0
    while number in world.state.requests:
        outcome = AttemptOutcome.ANSWERED
        world.wait(0.5)
        if dark and world.sent(number)[-1].startswith('b'):
            silent += 1
            outcome = AttemptOutcome.NOT_CONNECTED
        world.end(number, outcome)
    return silent


def _until_out(world: World) -> int:
    """Ask until the dark zone is left alone; gives the silent attempts."""
    silent = 0
    for _ in range(100):
        if world.state.reachability.is_excluded('b1', world.now):
            return silent
        silent += _ask(world)
    raise AssertionError('the zone is never left alone')


def _world() -> World:
    return World((route(timeout=9),), [*_DARK, *_LIT])


def test_zone_is_left_alone_after_three_upstreams_are_silent() -> None:
    # Six upstreams, each of which would take three attempts by itself.
    world = _world()
    assert 3 <= _until_out(world) <= 5
    assert _ask(world) == 0


def test_zone_is_tried_again_after_a_pause_that_grows() -> None:
    world = _world()
    _until_out(world)
    world.wait(1.1)
    assert not world.state.reachability.is_excluded('b1', world.now)
    assert _until_out(world) == 1
    world.wait(1.1)
    assert world.state.reachability.is_excluded('b1', world.now)


def test_answer_brings_a_zone_back() -> None:
    world = _world()
    _until_out(world)
    world.wait(1.1)
    for _ in range(40):
        _ask(world, dark=False)
    assert not world.state.reachability.zones


@pytest.mark.parametrize(
    ('outcome', 'hangs'),
    [
        # Refused at once: the upstream is down, its zone is not.
        (AttemptOutcome.NOT_CONNECTED, 0.05),
        (AttemptOutcome.NOT_EXECUTED, 0.5),
        (AttemptOutcome.BROKE_BEFORE_ANSWER, 0.5),
    ],
)
def test_what_speaks_against_one_upstream_only(
    outcome: AttemptOutcome, hangs: float
) -> None:
    world = _world()
    for key in range(60):
        number = world.ask(key=f'k{key}', time_left=9)
        if world.sent(number)[-1].startswith('b'):
            world.wait(hangs)
            world.end(number, outcome)
        while number in world.state.requests:
            world.end(number)
    assert not world.state.reachability.is_excluded('b1', world.now)


def test_zone_out_of_reach_is_better_than_nothing() -> None:
    world = World((route(timeout=9),), _DARK)
    _until_out(world)
    assert _ask(world) > 0
