"""Whether the store answers, as all entries together know it."""

import pytest

from tests.steering.fleet_world import FleetWorld
from tests.steering.world import World, of_type
from worksrail.core.steering._store_health import StoreHealth
from worksrail.core.steering.effects import CheckStore, RestartStoreCalls
from worksrail.core.steering.kinds import StoreKind


def _pulse(*answers: float) -> StoreHealth:
    """The pulse of a reader: half a second after an answer it asks again."""
    store_health = StoreHealth(lapse_time=1.5)
    for at in answers:
        store_health.record_own_answer(at)
        store_health.record_call(at + 0.5)
    return store_health


@pytest.mark.parametrize(
    ('answers', 'now', 'kept'),
    [
        ((), 10, False),
        ((10,), 10.1, False),
        ((10,), 11.4, False),
        # Nothing was heard for so long that entries may lapse.
        ((10,), 11.6, True),
        ((10, 11.4), 11.5, False),
        # Entries that lapsed have 2.1 s to return.
        ((10, 12), 12.1, True),
        ((10, 12, 13, 14), 14.0, True),
        ((10, 12, 13, 14), 14.2, False),
        # Late word of an earlier answer is no return.
        ((10, 12, 13, 14, 9), 14.2, False),
    ],
)
def test_what_is_missing_is_kept_around_an_outage_only(
    answers: tuple[float, ...], now: float, kept: bool
) -> None:
    assert _pulse(*answers).keeps_missing(now) is kept


@pytest.mark.parametrize('way', [0.001, 0.02, 0.09])
def test_what_goes_round_grows_old(way: float) -> None:
    # Told without rounding up, 8 s of silence looked like 1 s after 50 rounds.
    one, two = _pulse(10), StoreHealth(lapse_time=1.5)
    now = 10.0
    while now < 18:
        for teller, hearer in ((one, two), (two, one)):
            told = teller.advertised_age(now)
            now += way
            hearer.hear_age(told, now)
        now += 0.2
    for store_health in (one, two):
        assert store_health.answered_at <= 10
        store_health.record_own_answer(18.5)
        assert store_health.gap_ended_at == 18.5
    assert one.returned_at == 18.5


def _checks(world: World, seconds: float, failure: str | None = '') -> int:
    """Checks in some seconds, answered, failed at once, or never ended."""
    world.check_failure = failure
    return len(of_type(world.wait(seconds), CheckStore))


def test_reader_checks_the_store_twice_a_second() -> None:
    world = World(settle=1.2)
    assert world.state.watching
    assert _checks(world, 10) in range(17, 22)


def test_entry_that_does_not_read_checks_nothing() -> None:
    world = World(settle=0.6)
    assert not world.state.watching
    assert not _checks(world, 0.3)


def test_one_check_at_a_time() -> None:
    world = World(settle=1.2)
    assert _checks(world, 5, None) == 1


def test_failed_check_is_told_at_once() -> None:
    world = World(settle=1.2)
    assert not world.state.failing_kinds
    assert _checks(world, 0.6, 'no answer') in {1, 2}
    assert world.state.failing_kinds == set(StoreKind)


def test_calls_that_wait_are_made_again_after_a_silence() -> None:
    world = World(settle=1.2)
    _checks(world, 3, 'no answer')
    assert not of_type(world.effects, RestartStoreCalls)
    _checks(world, 3)
    assert len(of_type(world.effects, RestartStoreCalls)) == 1


_REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
_FLEETS = [
    {'a1': 1},
    {'a1': 3, 'a2': 2, 'b1': 4},
    {'a1': 30, 'a2': 30, 'b1': 30},
]


def _fleet(zones: dict[str, int], loss: float = 0) -> FleetWorld:
    world = FleetWorld(zones, _REGIONS, loss)
    world.list_upstreams('1', '2')
    world.wait(4)
    assert _known(world) == {frozenset(('1', '2'))}
    return world


def _known(world: FleetWorld) -> set[frozenset[str]]:
    return {
        frozenset(state.catalog.upstreams) for state in world.states.values()
    }


@pytest.mark.parametrize('zones', _FLEETS)
@pytest.mark.parametrize('loss', [0, 0.1])
def test_fleet_keeps_what_lapsed_while_nobody_was_answered(
    zones: dict[str, int], loss: float
) -> None:
    world = _fleet(zones, loss)
    world.silent = True
    world.wait(2)
    world.list_upstreams('1')
    world.wait(3)
    world.silent = False
    back = world.now
    while world.now < back + 1.9:
        world.wait(0.1)
        assert _known(world) == {frozenset(('1', '2'))}
    world.wait(2)
    assert _known(world) == {frozenset('1')}


@pytest.mark.parametrize('zones', _FLEETS[1:])
@pytest.mark.parametrize('loss', [0, 0.1])
@pytest.mark.parametrize('returned_for', [0.05, 0.5, 1])
def test_store_that_turned_one_entry_away_has_not_been_away(
    zones: dict[str, int], loss: float, returned_for: float
) -> None:
    # What that entry made of its own failed calls was taken over by all that
    # it told of a removal: they kept the upstream for 2.1 s.
    world = _fleet(zones, loss)
    world.turned_away = {min(world.watchers())}
    world.wait(6)
    world.turned_away.clear()
    world.wait(returned_for)
    world.list_upstreams('1')
    world.wait(1.2)
    assert _known(world) == {frozenset('1')}


@pytest.mark.parametrize('zones', _FLEETS)
def test_quiet_store_is_never_taken_for_absent(zones: dict[str, int]) -> None:
    world = _fleet(zones, loss=0.1)
    for _ in range(200):
        world.wait(0.1)
        for state in world.states.values():
            assert not state.catalog.store_health.keeps_missing(world.now)


def test_checks_grow_with_the_regions_not_with_the_entries() -> None:
    # Two readers in each of two regions, twice a second.
    world = _fleet(_FLEETS[-1])
    before = world.calls['check']
    world.wait(10)
    assert world.calls['check'] - before <= 90
