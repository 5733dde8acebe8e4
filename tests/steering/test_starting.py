"""Behaviour of a new entry before it can have discovered the others."""

import pytest

from tests.steering.world import World, of_type, route, upstream
from worksrail.core.results import ResultCode
from worksrail.core.steering import EntryList, look_up
from worksrail.core.steering.effects import ExitProcess
from worksrail.core.steering.events import AttemptOutcome, StopRequested

# Seconds after which a new entry has discovered all others, with a margin.
_DISCOVERED = 0.6


def _new_entry(**options: object) -> World:
    """Build an entry that has just read the store."""
    world = World(
        (route(max_attempts=2),),
        (upstream('1'), upstream('2')),
        settle=0.05,
        **options,
    )
    assert world.state.ready
    return world


def test_new_entry_serves_as_soon_as_it_knows_the_store() -> None:
    # When a whole fleet restarts, callers wait for each tenth of a second.
    world = _new_entry()
    number = world.ask(key='k')
    assert len(world.sent(number)) == 1


@pytest.mark.parametrize(('waited', 'sends'), [(0, 1), (_DISCOVERED, 2)])
def test_new_entry_takes_no_share_of_the_budget(
    waited: float,
    sends: int,
) -> None:
    # New entries that each consider themselves the only one would each spend
    # the complete extra budget.
    world = _new_entry()
    world.wait(waited)
    number = world.ask()
    world.end(number, AttemptOutcome.BROKE_BEFORE_ANSWER)
    assert len(world.sent(number)) == sends


@pytest.mark.parametrize(
    ('waited', 'expected'),
    [(0, []), (_DISCOVERED, ['1'])],
)
def test_new_entry_avoids_cold_upstreams(
    waited: float,
    expected: list[str],
) -> None:
    cold = upstream('1', cold_time=30, slots=99)
    busy = upstream('2', slots=1)
    world = World(
        (route(affinity=False),), (cold, busy), cold_rate=14, settle=0.05
    )
    world.wait(waited)
    world.ask()
    second = world.ask()
    assert world.sent(second) == expected


@pytest.mark.parametrize('waited', [0, _DISCOVERED])
def test_new_entry_answers_no_look_ups(waited: float) -> None:
    # Callers keep their previous answer, which lists more entries.
    world = _new_entry()
    world.wait(waited)
    found = look_up(world.state, 'a', 'a1', world.now)
    if waited:
        assert isinstance(found, EntryList)
    else:
        assert found is ResultCode.NOT_READY


@pytest.mark.parametrize(('ready', 'ends'), [(False, True), (True, False)])
def test_only_an_entry_that_was_ready_waits_for_late_callers(
    ready: bool, ends: bool
) -> None:
    # Look-ups listed an entry that was ready, so callers may still come.
    world = _new_entry()
    world.state.ready = ready
    world.run(StopRequested(world.now))
    assert bool(of_type(world.wait(0.2), ExitProcess)) is ends
