"""Fleets whose upstreams state in their answers that they leave or back off."""

import pytest

from tests.steering.availability_world import (
    HUNDREDS,
    NINE,
    SIXTY_SEVEN,
    THREE,
    AvailabilityWorld,
)

# Seconds after an entry passed on that an upstream leaves, from which no
# request of a caller may reach it.
_DRAIN_BOUND_S = 2.5
_UPSTREAMS = [f'u{number}' for number in range(12)]

_FLEETS = (
    pytest.param(THREE, 120, id='3'),
    pytest.param(NINE, 300, id='9'),
    pytest.param(SIXTY_SEVEN, 600, id='67'),
    pytest.param(HUNDREDS, 600, id='300'),
)
_NAMES = (
    pytest.param(_UPSTREAMS[:1], id='one'),
    pytest.param(_UPSTREAMS[:6], id='half'),
    pytest.param(_UPSTREAMS, id='all'),
)


@pytest.mark.parametrize(('zones', 'rate'), _FLEETS)
@pytest.mark.parametrize('names', _NAMES)
def test_upstream_that_says_it_leaves_gets_no_more_requests(
    zones: dict[str, int],
    rate: float,
    names: list[str],
) -> None:
    world = AvailabilityWorld(zones, rate)
    world.wait(2)
    world.leave(*names)
    world.wait(5)
    assert world.seen.told_leaving
    assert world.sends_after_leave(_DRAIN_BOUND_S) == 0
    assert world.sends_after_leave() == 0


@pytest.mark.parametrize(('zones', 'rate'), _FLEETS)
@pytest.mark.parametrize('names', _NAMES)
def test_upstream_that_asks_for_a_backoff_gets_no_requests_in_it(
    zones: dict[str, int],
    rate: float,
    names: list[str],
) -> None:
    world = AvailabilityWorld(zones, rate)
    world.wait(2)
    world.reject(5, 3, *names)
    world.wait(6)
    assert world.seen.asked_for
    assert world.broken_backoffs() == 0
    assert world.sends_in_backoffs() == 0
