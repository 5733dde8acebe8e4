"""What a fresh entry does before it can have heard of the others."""

import pytest

from tests.steering.world import World, of_type, route, upstream
from worksrail.core.results import ResultCode
from worksrail.core.steering import EntryList, look_up
from worksrail.core.steering.effects import ExitProcess
from worksrail.core.steering.events import AttemptOutcome, StopRequested

# Seconds until a fresh entry may have heard of all others, and some more.
_SETTLED = 0.6


def _fresh(**options: object) -> World:
    """An entry that has just read the store."""
    world = World(
        (route(max_attempts=2),),
        (upstream('1'), upstream('2')),
        settle=0.05,
        **options,
    )
    assert world.state.ready
    return world


def test_fresh_entry_serves_as_soon_as_it_knows_the_store() -> None:
    # Each tenth of a second costs the callers of a whole fleet that restarts.
    world = _fresh()
    number = world.ask(key='k')
    assert len(world.sent(number)) == 1


@pytest.mark.parametrize(('waited', 'sends'), [(0, 1), (_SETTLED, 2)])
def test_fresh_entry_takes_no_part_of_the_shared_budget(
    waited: float,
    sends: int,
) -> None:
    # Fresh entries that each take themselves for the only one would all
    # spend the whole extra number.
    world = _fresh()
    world.wait(waited)
    number = world.ask()
    world.end(number, AttemptOutcome.BROKE_BEFORE_ANSWER)
    assert len(world.sent(number)) == sends


@pytest.mark.parametrize(
    ('waited', 'expected'),
    [(0, []), (_SETTLED, ['1'])],
)
def test_fresh_entry_leaves_cold_upstreams_alone(
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


@pytest.mark.parametrize('waited', [0, _SETTLED])
def test_fresh_entry_names_nobody_to_callers(waited: float) -> None:
    # Callers keep the answer that they have, which names more entries.
    world = _fresh()
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
    # Others were named an entry that was ready, and callers may still come.
    world = _fresh()
    world.state.ready = ready
    world.run(StopRequested(world.now))
    assert bool(of_type(world.wait(0.2), ExitProcess)) is ends
