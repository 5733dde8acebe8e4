"""Zones whose upstreams cannot be reached."""

import pytest

from tests.steering.world import World, route, upstream
from worksrail.core.steering.events import AttemptOutcome

_UNREACHABLE = [upstream(f'b{number}', zone='b1') for number in range(6)]
_REACHABLE = [upstream(f'a{number}') for number in range(2)]


def _send(world: World, *, unreachable: bool = True) -> int:
    """Send a request with a new key; return the attempts without answer."""
    number = world.ask(key=f'k{world.requests}', time_left=9)
    unanswered = 0
    while number in world.state.requests:
        outcome = AttemptOutcome.ANSWERED
        world.wait(0.5)
        if unreachable and world.sent(number)[-1].startswith('b'):
            unanswered += 1
            outcome = AttemptOutcome.NOT_CONNECTED
        world.end(number, outcome)
    return unanswered


def _send_until_excluded(world: World) -> int:
    """Send requests until the dark zone is excluded; return such attempts."""
    unanswered = 0
    for _ in range(100):
        if world.state.paths.zones.is_excluded('b1', world.now):
            return unanswered
        unanswered += _send(world)
    raise AssertionError('the zone is never excluded')


def _world() -> World:
    return World((route(timeout=9),), [*_UNREACHABLE, *_REACHABLE])


def test_zone_is_excluded_after_three_unreachable_upstreams() -> None:
    # Six upstreams; detecting each one separately would take three attempts.
    world = _world()
    assert 3 <= _send_until_excluded(world) <= 5
    assert _send(world) == 0


def test_exclusion_is_retried_with_backoff() -> None:
    world = _world()
    _send_until_excluded(world)
    world.wait(1.1)
    assert not world.state.paths.zones.is_excluded('b1', world.now)
    assert _send_until_excluded(world) == 1
    world.wait(1.1)
    assert world.state.paths.zones.is_excluded('b1', world.now)


def test_answer_ends_an_exclusion() -> None:
    world = _world()
    _send_until_excluded(world)
    world.wait(1.1)
    for _ in range(40):
        _send(world, unreachable=False)
    assert not world.state.paths.zones.zones


@pytest.mark.parametrize(
    ('outcome', 'delay'),
    [
        # Refused at once: the upstream is down, but its zone is not.
        (AttemptOutcome.NOT_CONNECTED, 0.05),
        (AttemptOutcome.NOT_EXECUTED, 0.5),
        (AttemptOutcome.BROKE_BEFORE_ANSWER, 0.5),
    ],
)
def test_failures_of_single_upstreams_exclude_no_zone(
    outcome: AttemptOutcome, delay: float
) -> None:
    world = _world()
    for key in range(60):
        number = world.ask(key=f'k{key}', time_left=9)
        if world.sent(number)[-1].startswith('b'):
            world.wait(delay)
            world.end(number, outcome)
        while number in world.state.requests:
            world.end(number)
    assert not world.state.paths.zones.is_excluded('b1', world.now)


def test_excluded_zone_is_used_as_a_last_resort() -> None:
    world = World((route(timeout=9),), _UNREACHABLE)
    _send_until_excluded(world)
    assert _send(world) > 0
