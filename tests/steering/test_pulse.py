"""Health of the store as the whole fleet observes it."""

import pytest

from tests.steering.fleet_world import FleetWorld
from tests.steering.world import World, of_type
from worksrail.core.steering._store_health import StoreHealth
from worksrail.core.steering.effects import CheckStore, RestartStoreCalls
from worksrail.core.steering.kinds import StoreKind


def _health(*answers: float) -> StoreHealth:
    """Health at a reader that calls again half a second after each answer."""
    store_health = StoreHealth(expiry_time=1.5)
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
        # No answer for so long that records may have expired.
        ((10,), 11.6, True),
        ((10, 11.4), 11.5, False),
        # Expired records have 2.1 s to reappear.
        ((10, 12), 12.1, True),
        ((10, 12, 13, 14), 14.0, True),
        ((10, 12, 13, 14), 14.2, False),
        # A delayed report of an earlier answer is no recovery.
        ((10, 12, 13, 14, 9), 14.2, False),
    ],
)
def test_missing_upstreams_are_kept_only_around_an_outage(
    answers: tuple[float, ...], now: float, kept: bool
) -> None:
    assert _health(*answers).missing_may_reappear(now) is kept


@pytest.mark.parametrize('latency', [0.001, 0.02, 0.09])
def test_age_grows_while_it_circulates(latency: float) -> None:
    # Without rounding up, an age of 8 s became 1 s after 50 exchanges.
    one, two = _health(10), StoreHealth(expiry_time=1.5)
    now = 10.0
    while now < 18:
        for sender, receiver in ((one, two), (two, one)):
            age = sender.advertised_age(now)
            now += latency
            receiver.merge_age(age, now)
        now += 0.2
    for store_health in (one, two):
        assert store_health.answered_at <= 10
        store_health.record_own_answer(18.5)
        assert store_health.gap_ended_at == 18.5
    assert one.recovered_at == 18.5


def _checks(world: World, seconds: float, failure: str | None = '') -> int:
    """Count the checks in some seconds: answered, failed, or never ended."""
    world.check_failure = failure
    return len(of_type(world.wait(seconds), CheckStore))


def test_reader_checks_the_store_twice_a_second() -> None:
    world = World(settle=1.2)
    assert world.state.watching
    assert _checks(world, 10) in range(17, 22)


def test_entry_that_does_not_read_makes_no_checks() -> None:
    world = World(settle=0.6)
    assert not world.state.watching
    assert not _checks(world, 0.3)


def test_one_check_at_a_time() -> None:
    world = World(settle=1.2)
    assert _checks(world, 5, None) == 1


def test_failed_check_is_reported_at_once() -> None:
    world = World(settle=1.2)
    assert not world.state.failing_kinds
    assert _checks(world, 0.6, 'no answer') in {1, 2}
    assert world.state.failing_kinds == set(StoreKind)


def test_pending_calls_are_repeated_after_an_outage() -> None:
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
    world.set_upstreams('1', '2')
    world.wait(4)
    assert _known(world) == {frozenset(('1', '2'))}
    return world


def _known(world: FleetWorld) -> set[frozenset[str]]:
    return {
        frozenset(state.catalog.upstreams) for state in world.states.values()
    }


@pytest.mark.parametrize('zones', _FLEETS)
@pytest.mark.parametrize('loss', [0, 0.1])
def test_fleet_keeps_records_that_expired_in_an_outage(
    zones: dict[str, int], loss: float
) -> None:
    world = _fleet(zones, loss)
    world.store_unresponsive = True
    world.wait(2)
    world.set_upstreams('1')
    world.wait(3)
    world.store_unresponsive = False
    back = world.now
    while world.now < back + 1.9:
        world.wait(0.1)
        assert _known(world) == {frozenset(('1', '2'))}
    world.wait(2)
    assert _known(world) == {frozenset('1')}


@pytest.mark.parametrize('zones', _FLEETS[1:])
@pytest.mark.parametrize('loss', [0, 0.1])
@pytest.mark.parametrize('recovered_for', [0.05, 0.5, 1])
def test_rejecting_one_entry_is_no_outage(
    zones: dict[str, int], loss: float, recovered_for: float
) -> None:
    # An entry's conclusion from its own failed calls once spread to all entries
    # that received a removal from it: they kept the upstream for 2.1 s.
    world = _fleet(zones, loss)
    world.rejected = {min(world.watchers())}
    world.wait(6)
    world.rejected.clear()
    world.wait(recovered_for)
    world.set_upstreams('1')
    world.wait(1.2)
    assert _known(world) == {frozenset('1')}


@pytest.mark.parametrize('zones', _FLEETS)
def test_store_without_changes_is_never_in_outage(
    zones: dict[str, int],
) -> None:
    world = _fleet(zones, loss=0.1)
    for _ in range(200):
        world.wait(0.1)
        for state in world.states.values():
            assert not state.catalog.store_health.missing_may_reappear(
                world.now
            )


def test_number_of_checks_grows_with_the_regions() -> None:
    # Two readers in each of two regions, twice a second.
    world = _fleet(_FLEETS[-1])
    before = world.calls['check']
    world.wait(10)
    assert world.calls['check'] - before <= 90
