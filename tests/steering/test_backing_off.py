"""Upstreams that ask an entry for no requests for some time."""

from math import inf

import msgspec
import pytest

from tests.steering.availability_world import (
    HUNDREDS,
    NINE,
    SIXTY_SEVEN,
    THREE,
    AvailabilityWorld,
)
from tests.steering.world import World, digest, of_type, route, upstream
from worksrail.core.availability import (
    MAX_BACKOFF,
    AdvertisedBackoff,
    AvailabilityNotice,
    Statement,
)
from worksrail.core.results import ResultCode
from worksrail.core.steering import wants_requests
from worksrail.core.steering.effects import (
    AnswerResult,
    Decision,
    DecisionKind,
    ProbeUpstream,
    SendDigest,
)
from worksrail.core.steering.events import (
    AttemptOutcome,
    DigestReceived,
    NoticeReceived,
    PathProbed,
    UpstreamsListed,
)

_UPSTREAMS = [f'u{number}' for number in range(12)]
# Requests in the second after a backoff, as a multiple of the usual number.
_MAX_RETURN = 1.5
# Share of its usual requests that an upstream has again two seconds after it.
_MIN_SHARE_AFTER = 0.9


def _world(*names: str, **options: object) -> World:
    return World(upstreams=[upstream(name) for name in names], **options)


def _ask_for(world: World, seconds: float, *, status: int = 503) -> str:
    """Let the upstream of a new request reject it and ask for a backoff."""
    number = world.ask()
    (name,) = world.sent(number)
    notice = AvailabilityNotice(backoff=seconds)
    world.run(NoticeReceived(world.now, number, 1, notice))
    world.end(number, AttemptOutcome.NOT_EXECUTED, status=status)
    if number in world.state.requests:
        world.end(number)
    return name


def _answered_by(world: World, count: int = 30) -> set[str]:
    names = set()
    for _ in range(count):
        number = world.ask()
        names.update(world.sent(number))
        if number in world.state.requests:
            world.end(number)
    return names


@pytest.mark.parametrize('seconds', [0.1, 3, 60])
def test_upstream_gets_nothing_until_its_backoff_ends(seconds: float) -> None:
    world = _world('u1', 'u2')
    name = _ask_for(world, seconds)
    other = ({'u1', 'u2'} - {name}).pop()
    assert _answered_by(world) == {other}
    world.wait(seconds - 0.05)
    assert _answered_by(world) == {other}
    world.wait(2.2)
    number = world.ask()
    world.end(number, AttemptOutcome.NOT_EXECUTED, status=503)
    assert set(world.sent(number)) == {'u1', 'u2'}


def test_backoff_is_no_fault_and_no_lost_path() -> None:
    world = _world('u1', 'u2')
    for _ in range(2):
        _ask_for(world, 3)
    assert not any(load.failures for load in world.state.loads.loads.values())
    assert not any(
        load.rejection_rate for load in world.state.loads.loads.values()
    )
    assert not world.state.paths.missed
    assert not world.state.paths.zones.is_excluded('a1', world.now)


def test_upstream_that_rejects_whenever_it_returns_counts_as_overloaded() -> (
    None
):
    world = _world('u1')
    for _ in range(3):
        _ask_for(world, 0.001)
        world.wait(0.01)
    assert world.state.loads.of('u1').rejection_rate > 0.3


def test_callers_are_refused_at_once_with_the_first_end() -> None:
    world = _world('u1', 'u2')
    first, second = _ask_for(world, 5), _ask_for(world, 2)
    assert {first, second} == {'u1', 'u2'}
    world.wait(0.5)
    refusals = []
    for _ in range(40):
        world.effects.clear()
        world.ask()
        refusals += of_type(world.effects, AnswerResult)
    assert {one.code for one in refusals} == {ResultCode.UPSTREAMS_BACKING_OFF}
    delays = [one.retry_after for one in refusals]
    assert min(delays) >= 1.5 - 1e-6
    # The first end, and twice the time that the first to end is unavailable.
    assert max(delays) <= 1.5 + 4
    assert max(delays) - min(delays) > 2


def test_other_incarnation_does_not_inherit_a_backoff() -> None:
    world = _world('u1')
    _ask_for(world, 60)
    restarted = upstream('u1@5', identifier='u1', born=5)
    world.run(UpstreamsListed(world.now, (restarted,), 2))
    assert _answered_by(world) == {'u1'}
    assert not world.state.rates.backoffs.by_upstream


def test_nonsense_is_logged_once_and_changes_nothing() -> None:
    world = _world('u1')
    notice = AvailabilityNotice(unreadable=(Statement.BACKOFF,))
    for _ in range(3):
        number = world.ask()
        world.run(NoticeReceived(world.now, number, 1, notice))
        world.end(number)
    kinds = [one.kind for one in of_type(world.effects, Decision)]
    assert kinds.count(DecisionKind.UPSTREAM_NOTICE_UNREADABLE) == 1
    assert _answered_by(world) == {'u1'}


def test_longest_backoff_ends_by_itself() -> None:
    world = _world('u1')
    _ask_for(world, MAX_BACKOFF)
    world.now += MAX_BACKOFF + 2.1
    world.wait(0.3)
    assert wants_requests(world.state, 'u1', world.now)
    assert _answered_by(world) == {'u1'}


def test_begin_and_end_are_logged_with_the_request() -> None:
    world = _world('u1')
    name = _ask_for(world, 1)
    world.wait(1.2)
    lines = [
        (one.kind, one.subject, one.request, one.inputs)
        for one in of_type(world.effects, Decision)
        if one.kind
        in {DecisionKind.UPSTREAM_BACKOFF, DecisionKind.UPSTREAM_RESUMED}
    ]
    assert lines == [
        (DecisionKind.UPSTREAM_BACKOFF, name, 1, (('seconds', 1),)),
        (DecisionKind.UPSTREAM_RESUMED, name, 0, ()),
    ]


def test_upstream_in_a_backoff_is_not_probed() -> None:
    world = _world('u1', 'u2', 'u3', 'u4')
    name = _ask_for(world, 60)
    others = {'u1', 'u2', 'u3', 'u4'} - {name}
    for _ in range(8):
        number = world.ask()
        while number in world.state.requests:
            world.end(number, AttemptOutcome.NOT_CONNECTED, status=0)
    world.state.probing_until = inf
    for other in others:
        world.state.paths.record_miss(
            world.state.catalog.upstreams[other], connecting=True
        )
    world.effects.clear()
    world.wait(10)
    probed = {one.upstream for one in of_type(world.effects, ProbeUpstream)}
    assert probed and probed <= others


def test_health_check_may_ask_for_a_backoff() -> None:
    world = _world('u1', 'u2')
    notice = AvailabilityNotice(backoff=2)
    world.run(PathProbed(world.now, 'u1', True, notice))
    assert _answered_by(world) == {'u2'}


def test_slots_of_upstreams_in_a_backoff_are_not_counted() -> None:
    world = _world('u1', 'u2')
    world.wait(0.1)
    number = world.ask()
    (busy,) = world.sent(number)
    other = ({'u1', 'u2'} - {busy}).pop()
    world.run(PathProbed(world.now, other, True, AvailabilityNotice(backoff=9)))
    world.wait(0.1)
    world.ask()
    assert world.state.slot_usage['orders'].used == pytest.approx(1 / 3)


_FLEETS = (
    pytest.param(THREE, 120, id='3'),
    pytest.param(NINE, 300, id='9'),
    pytest.param(SIXTY_SEVEN, 600, id='67'),
    pytest.param(HUNDREDS, 600, id='300'),
)


def _play_backoff(
    zones: dict[str, int], rate: float, count: int, patient: bool
) -> tuple[AvailabilityWorld, list[str], float, float]:
    """Return the world, the upstreams, their usual rate and their first end."""
    names = _UPSTREAMS[:count]
    world = AvailabilityWorld(zones, rate, patient=patient)
    world.wait(4)
    usual = world.count_sends(names, world.now - 3, world.now) / 3
    world.reject(0.3, 3, *names)
    end = world.now + 3
    world.wait(7)
    return world, names, usual, end


# Upstreams that ask for a backoff of three seconds, and whether callers obey
# Retry-After whole.
@pytest.mark.parametrize(('zones', 'rate'), _FLEETS)
@pytest.mark.parametrize('count', [1, 12], ids=['one', 'all'])
@pytest.mark.parametrize('patient', [False, True], ids=['short', 'patient'])
def test_upstreams_are_not_flooded_after_their_backoffs(
    zones: dict[str, int], rate: float, count: int, *, patient: bool
) -> None:
    world, names, usual, end = _play_backoff(zones, rate, count, patient)
    worst = max(
        world.count_sends(names, at, at + 1)
        for at in (end, end + 0.25, end + 0.5, end + 0.75, end + 1)
    )
    assert worst <= _MAX_RETURN * usual


@pytest.mark.parametrize(('zones', 'rate'), _FLEETS)
@pytest.mark.parametrize('count', [1, 12], ids=['one', 'all'])
@pytest.mark.parametrize('patient', [False, True], ids=['short', 'patient'])
def test_upstreams_have_their_share_back_soon_after_their_backoffs(
    zones: dict[str, int], rate: float, count: int, *, patient: bool
) -> None:
    world, names, usual, end = _play_backoff(zones, rate, count, patient)
    later = world.count_sends(names, end + 2, end + 4) / 2
    assert later >= _MIN_SHARE_AFTER * usual


def test_urgent_requests_go_first_after_a_backoff() -> None:
    world = AvailabilityWorld(NINE, 300, urgent=0.3, patient=True)
    world.wait(3)
    world.reject(0.3, 3, *_UPSTREAMS)
    begin = world.now
    world.wait(8)
    shares = {
        kind: world.share_served(begin + 2, begin + 5, kind)
        for kind in ('urgent', 'read')
    }
    assert shares['urgent'] >= shares['read']


@pytest.mark.parametrize('loss', [0, 0.1])
def test_backoffs_are_kept_while_entries_start_stop_and_freeze(
    loss: float,
) -> None:
    world = AvailabilityWorld(NINE, 300, loss=loss)
    world.wait(1)
    world.reject(8, 3, *_UPSTREAMS[:6])
    for name in ('a1-0', 'b1-1', 'c2-0'):
        world.wait(1)
        world.stop(name)
        world.frozen = {'a2-0'}
        world.wait(0.5)
        world.frozen = set()
        world.start(name)
    world.wait(3)
    assert world.seen.asked_for
    assert world.sends_in_backoffs() == 0


@pytest.mark.parametrize('backoff', [0.1, 0.7, 60])
def test_fleet_keeps_short_and_long_backoffs(backoff: float) -> None:
    world = AvailabilityWorld(NINE, 300)
    world.wait(1)
    world.reject(4, backoff, *_UPSTREAMS[:7])
    world.wait(5)
    assert world.seen.asked_for
    assert world.sends_in_backoffs() == 0


def test_route_kept_in_one_region_is_refused_if_that_region_backs_off() -> None:
    world = World(
        [route(regions=frozenset('b'))],
        [upstream('u1'), upstream('u2', zone='b1')],
    )
    assert _ask_for(world, 3) == 'u2'
    world.effects.clear()
    world.ask()
    (refusal,) = of_type(world.effects, AnswerResult)
    assert refusal.code is ResultCode.UPSTREAMS_BACKING_OFF
    assert refusal.retry_after >= 3


def test_usual_rate_is_remembered_through_a_time_without_upstreams() -> None:
    world = AvailabilityWorld(THREE, 120, seed=4)
    world.wait(20)
    world.leave(*_UPSTREAMS)
    world.wait(7)
    state = world.states['a1-0']
    usual = state.rates.sends['orders'].usual(world.now)
    # Each of three entries gets 40 requests a second.
    assert usual >= 0.25 * 40


# Each entry that asks for itself costs an upstream in need one more rejection.
@pytest.mark.parametrize('count', [1, 6], ids=['one', 'half'])
def test_others_avoid_an_upstream_that_asked_one_entry(count: int) -> None:
    names = _UPSTREAMS[:count]
    world = AvailabilityWorld(SIXTY_SEVEN, 600)
    world.wait(3)
    world.reject(2.9, 3, *names)
    world.wait(3)
    rejections = len(world.seen.asked_for)
    assert rejections <= len(names) * len(world.states) / 2


def test_upstream_that_asked_another_entry_is_used_if_there_is_no_other() -> (
    None
):
    told = AdvertisedBackoff('u1', 30)
    world = _world('u1', 'u2')
    advertised = msgspec.structs.replace(digest('two'), backoffs=(told,))
    world.run(DigestReceived(world.now, advertised))
    assert _answered_by(world) == {'u2'}
    alone = _world('u1')
    alone.run(DigestReceived(alone.now, advertised))
    assert _answered_by(alone) == {'u1'}


def test_own_backoff_binds_though_another_entry_told_of_one_before() -> None:
    told = AdvertisedBackoff('u1', 5)
    world = _world('u1')
    advertised = msgspec.structs.replace(digest('two'), backoffs=(told,))
    world.run(DigestReceived(world.now, advertised))
    _ask_for(world, 3)
    assert not _answered_by(world)
    world.run(DigestReceived(world.now, advertised))
    world.wait(2.9)
    assert not _answered_by(world)


def test_backoff_is_advertised_while_it_is_new() -> None:
    world = _world('u1', 'u2')
    name = _ask_for(world, 3)
    sent = of_type(world.wait(0.1), SendDigest)
    (told,) = sent[0].digest.backoffs
    assert told.upstream == name
    assert 28 <= told.left <= 30
    later = of_type(world.wait(2), SendDigest)[-1]
    assert not later.digest.backoffs


def test_usual_rate_of_a_fresh_entry_is_not_underestimated() -> None:
    world = AvailabilityWorld(THREE, 120, seed=4)
    world.stop('a1-0')
    world.start('a1-0')
    world.wait(6)
    usual = world.states['a1-0'].rates.sends['orders'].usual(world.now)
    assert 25 <= usual <= 60
