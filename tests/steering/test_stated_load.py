"""What entries make of the load that upstreams state."""

from dataclasses import replace
from math import inf

import pytest

from tests.steering.stated_world import (
    NINETY,
    THIRTY,
    THREE,
    Noise,
    StatedWorld,
    Statement,
    truth,
    without_pace,
)
from tests.steering.world import World, route, upstream
from worksrail.core.availability import NO_NOTICE
from worksrail.core.steering._load import UpstreamLoad
from worksrail.core.steering._stated_load import (
    PaceLifetime,
    QueuePlaces,
    StatedLoad,
    unexplained_ratio,
    unseen_sends,
)
from worksrail.core.steering.events import (
    AttemptOutcome,
    NoticeReceived,
    PathProbed,
    ReportedLoad,
)

_NOW = 10.0


# -- the estimates


@pytest.mark.parametrize(
    ('own', 'advertised', 'stated', 'age', 'occupancy'),
    [
        # Just stated: what others advertise counts for nothing.
        (1, 9, 4, 0, 5),
        (0, 0, 6, 0, 6),
        # Both count alike after as long as entries take to tell each other.
        (1, 2, 4, 0.2, 4),
        (0, 8, 0, 0.2, 4),
        # More than could have come unseen is not believed.
        (0, 2, 999_999, 0, 14),
        # An old statement counts for nothing.
        (2, 3, 30, 2.5, 5),
        (2, 0, 30, 9, 2),
        # The own requests are known however old the statement is.
        (7, 0, 0, 0, 7),
    ],
)
def test_occupancy_is_what_was_learned_last(
    own: int, advertised: int, stated: float, age: float, occupancy: float
) -> None:
    stated_load = StatedLoad(stated, _NOW, slots=4)
    load = UpstreamLoad(own, advertised, stated=stated_load)
    assert load.occupancy(_NOW + age) == pytest.approx(occupancy)


def test_occupancy_without_reports_is_what_entries_advertise() -> None:
    assert UpstreamLoad(3, 4).occupancy(_NOW) == 7


@pytest.mark.parametrize(
    ('report', 'own', 'others'),
    [
        (ReportedLoad(3, 2, 4), 2, 3),
        (ReportedLoad(4, 8, 4), 0, 12),
        # Own requests that have not arrived there yet are not stated.
        (ReportedLoad(1, 0, 4), 3, 0),
        (ReportedLoad(0, 0, 4), 0, 0),
    ],
)
def test_own_requests_are_not_counted_twice(
    report: ReportedLoad, own: int, others: float
) -> None:
    assert StatedLoad.from_report(report, own, _NOW, None).others == others


@pytest.mark.parametrize(
    ('pace', 'age', 'lifetime', 'least', 'most'),
    [
        (None, 0, 0.5, 1, 1),
        (2.5, 0, 0.5, 2.5, 2.5),
        (2.5, 0.5, 0.5, 1.5, 1.6),
        (0.5, 0.5, 0.5, 0.8, 0.85),
        (2.5, 5, 0.5, 1, 1.001),
        # Clocks do not run backwards, but answers may be ahead of a tick.
        (2.5, -1, 0.5, 2.5, 2.5),
    ],
)
def test_pace_counts_as_long_as_it_can_be_true(
    pace: float | None, age: float, lifetime: float, least: float, most: float
) -> None:
    stated = StatedLoad(0, _NOW, pace=pace, pace_at=_NOW)
    assert least <= stated.pace_at_time(_NOW + age, lifetime) <= most


def test_report_without_pace_keeps_the_one_before() -> None:
    before = StatedLoad(0, _NOW, pace=2.0, pace_at=_NOW)
    report = ReportedLoad(1, 0, 4)
    after = StatedLoad.from_report(report, 0, _NOW + 0.1, before)
    assert (after.pace, after.pace_at) == (2.0, _NOW)


@pytest.mark.parametrize(
    ('pairs', 'least', 'most'),
    [
        # Before anything was seen, and with pairs that show nothing.
        ([], 0.3, 0.3),
        ([(1.0, 2.5, 0.1)] * 50, 0.3, 0.3),
        ([(2.5, 1.0, 30.0)] * 50, 0.3, 0.3),
        ([(2.5, 1.0, -1.0)] * 50, 0.3, 0.3),
        # Paces that outlast many statements, and such that never do.
        ([(2.5, 2.5, 0.5)] * 50, 1.0, 1.0),
        ([(2.5, 1.0, 0.05)] * 50, 0.05, 0.06),
        # One in six tenths of a second ends.
        ([(2.5, 2.4, 0.1)] * 6 + [(2.5, 1.0, 0.1)], 0.3, 0.6),
        (([(2.5, 2.5, 0.1)] * 6 + [(2.5, 1.0, 0.1)]) * 50, 0.6, 0.7),
    ],
)
def test_lifetime_of_paces(
    pairs: list[tuple[float, float, float]], least: float, most: float
) -> None:
    lifetime = PaceLifetime()
    for before, after, gap in pairs:
        lifetime.record(before, after, gap)
    assert least <= lifetime.seconds <= most


@pytest.mark.parametrize(
    ('seen', 'unseen', 'age', 'most'),
    [
        # Nothing was rejected, so nothing is known.
        ([], 0, 0, inf),
        ([('waiting', 5)], 0, 0, inf),
        ([('rejected', 8)], 0, 0, 12),
        ([('rejected', 8)], 3, 0, 9),
        # Some places are used however much others may send.
        ([('rejected', 8)], 50, 0, 6),
        ([('rejected', 0)], 3, 0, 4),
        # The least that was rejected, unless more were seen waiting.
        ([('rejected', 8), ('rejected', 6)], 0, 0, 10),
        ([('rejected', 6), ('rejected', 8)], 0, 0, 10),
        ([('rejected', 6), ('waiting', 8)], 0, 0, 12),
        # Forgotten after a minute.
        ([('rejected', 8)], 0, 61, inf),
    ],
)
def test_places_of_a_queue(
    seen: list[tuple[str, int]], unseen: float, age: float, most: float
) -> None:
    places = QueuePlaces()
    for kind, waiting in seen:
        if kind == 'rejected':
            places.record_rejection(waiting, _NOW)
        else:
            places.record_waiting(waiting)
    assert places.max_occupancy(4, unseen, _NOW + age) == most


@pytest.mark.parametrize(
    ('others', 'occupancy', 'age', 'sends'),
    [
        (0, 8, 1, 0),
        (0, 0, 1, 0),
        (4, 8, 0, 0),
        (4, 8, 0.2, 6),
        # Beyond that the figures say nothing more.
        (4, 8, 60, 8 + 8**0.5),
    ],
)
def test_sends_that_were_not_seen_yet(
    others: float, occupancy: float, age: float, sends: float
) -> None:
    assert unseen_sends(others, occupancy, 4, 0.1, age) == pytest.approx(sends)


@pytest.mark.parametrize(
    ('ratio', 'assumed', 'stated', 'left'),
    [
        (1, 1, 1, 1),
        (2.5, 1, 2.5, 1),
        (2.5, 2.5, 2.5, 2.5),
        # It may have become slow or fast at any time in between.
        (1.7, 1, 2.5, 1),
        (0.4, 2.5, 1, 1),
        (0.7, 2.5, 1, 1),
        (0.2, 2.5, 1, 0.5),
        (5, 1, 2.5, 2),
    ],
)
def test_paces_do_not_count_as_learned_slowness(
    ratio: float, assumed: float, stated: float, left: float
) -> None:
    assert unexplained_ratio(ratio, assumed, stated) == pytest.approx(left)


# -- what one entry learns


def _world(count: int = 2, slots: int = 4) -> World:
    records = [upstream(f'u{one}', slots=slots) for one in range(count)]
    return World([route(affinity=False)], records)


def _answer_head(world: World, number: int, load: ReportedLoad) -> None:
    attempt = world.state.requests[number].attempts
    world.run(NoticeReceived(world.now, number, attempt, NO_NOTICE, load=load))


def test_load_is_learned_from_the_head_and_not_once_more_at_the_end() -> None:
    world = _world(count=1)
    number = world.ask()
    head = ReportedLoad(4, 3, 4, 2.5)
    _answer_head(world, number, head)
    load = world.state.loads.of('u0')
    assert load.occupancy(world.now) == 8
    world.wait(1)
    second = world.ask()
    _answer_head(world, second, ReportedLoad(1, 0, 4, 1.0))
    # The first answer, a long one, ends after the head of the second.
    world.end(number, load=head)
    assert load.stated == StatedLoad(0, world.now, 4, 1.0, world.now)
    assert load.occupancy(world.now) == 1


@pytest.mark.parametrize('stated', [0, 7])
def test_load_without_a_head_is_learned_at_the_end(stated: int) -> None:
    world = _world(count=1)
    world.end(world.ask(), load=ReportedLoad(stated, 0, 4, 2.0))
    load = world.state.loads.of('u0')
    assert load.occupancy(world.now) == stated
    assert load.current_pace(world.now, 0.3) == 2


def test_load_is_learned_from_health_checks() -> None:
    world = _world(count=1)
    world.ask()
    report = ReportedLoad(4, 3, 4, 2.0)
    world.run(PathProbed(world.now, 'u0', answered=True, load=report))
    assert world.state.loads.of('u0').occupancy(world.now) == 7


def test_health_check_of_an_unknown_upstream_is_ignored() -> None:
    world = _world(count=1)
    report = ReportedLoad(4, 3, 4, 2.0)
    world.run(PathProbed(world.now, 'gone', answered=True, load=report))
    assert 'gone' not in world.state.loads.loads


def test_answer_of_another_upstream_at_the_address_is_not_learned() -> None:
    world = _world()
    number = world.ask()
    name = world.state.requests[number].current.upstream
    world.end(
        number,
        AttemptOutcome.OTHER_UPSTREAM,
        status=421,
        load=ReportedLoad(9, 9, 4, 9.0),
    )
    assert world.state.loads.of(name).stated is None


def test_upstream_that_states_a_slow_pace_is_avoided_as_long_as_it_may_last() -> (
    None
):
    world = _world()
    first = world.ask()
    slow = world.sent(first)[0]
    world.end(first, load=ReportedLoad(0, 0, 4, 2.5))
    assert world.sent(world.ask())[0] != slow
    world.wait(0.1)
    assert world.sent(world.ask())[0] != slow
    world.wait(3)
    world.state.loads.of(slow).others = -1
    assert world.sent(world.ask())[0] == slow


def test_new_life_at_the_same_address_has_no_stated_load() -> None:
    world = _world(count=1)
    world.end(world.ask(), load=ReportedLoad(4, 9, 4, 5.0))
    assert world.state.loads.of('u0+1').stated is None
    assert world.state.loads.of('u0+1').occupancy(world.now) == 0


@pytest.mark.parametrize(
    ('report', 'status', 'time_left', 'learned'),
    [
        (ReportedLoad(4, 8, 4), 503, 2.0, 8),
        (ReportedLoad(4, 0, 4), 503, 2.0, 0),
        # Rejected though it had a free slot: for another reason.
        (ReportedLoad(3, 8, 4), 503, 2.0, None),
        (ReportedLoad(0, 0, 4), 503, 2.0, None),
        # Perhaps its deadline passed in the queue.
        (ReportedLoad(4, 2, 4), 503, 0.2, None),
        (None, 503, 2.0, None),
    ],
)
def test_places_are_learned_from_rejections(
    report: ReportedLoad | None,
    status: int,
    time_left: float,
    learned: int | None,
) -> None:
    world = _world()
    number = world.ask(time_left=time_left)
    world.end(number, AttemptOutcome.NOT_EXECUTED, status=status, load=report)
    services = world.state.loads.services
    known = services['orders'].places.known(world.now) if services else None
    assert known == learned


def test_request_that_finds_all_queues_full_is_refused_and_not_sent() -> None:
    world = _world()
    for _ in range(2):
        number = world.ask()
        world.end(
            number,
            AttemptOutcome.NOT_EXECUTED,
            status=503,
            load=ReportedLoad(4, 1, 4),
            replayable=False,
        )
    assert world.state.loads.services['orders'].places.known(world.now) == 1
    for name in ('u0', 'u1'):
        world.state.loads.of(name).stated = StatedLoad(5, world.now, slots=4)
    assert not world.sent(world.ask())


# -- loads


def _overload(
    zones: dict[str, int],
    seed: int,
    times: int = 1,
    **options: object,
) -> StatedWorld:
    # Twice what four upstreams of four slots execute, for each ``times``.
    return StatedWorld(
        zones, 320 * times, upstreams=4 * times, seed=seed, **options
    )


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_few_requests_are_rejected_at_twice_the_capacity(seed: int) -> None:
    # Without the figures 1,080 to 1,750 of the sends of 14 s are rejected.
    world = _overload(THREE, seed)
    results = world.play(14)
    assert results.rejected < 50
    # All slots work all the time, and what was sent is answered in time.
    assert results.busy > 0.98 * 14 * 16
    assert results.quantile(0.99) < world.target


def test_few_requests_of_thirty_entries_are_rejected() -> None:
    # Each entry sees each upstream hardly more than once a second.  Without the
    # figures 0.46 of the sends are rejected, and 0.10 of the slots are empty.
    results = _overload(THIRTY, 1, times=4).play(4)
    assert results.rejected < 0.1 * results.sends
    assert results.busy > 0.98 * 4 * 64


def test_slots_stay_busy_though_a_queue_has_a_single_place() -> None:
    results = _overload(THREE, 1, places=1).play(6)
    assert results.busy > 0.9 * 6 * 16


def test_longer_queues_are_noticed_after_a_restart_with_more_places() -> None:
    world = _overload(THREE, 1, places=1)
    world.play(3)
    for machine in world.machines.values():
        machine.places = 8
    results = world.play(5)
    assert results.busy > 0.97 * 5 * 16


def _zero(report: ReportedLoad) -> ReportedLoad:
    return ReportedLoad(0, 0, report.slots, 1.0)


def _long_queue(report: ReportedLoad) -> ReportedLoad:
    return replace(report, executing=report.slots, waiting=999_999)


def _wrong_pace(report: ReportedLoad) -> ReportedLoad:
    return replace(report, pace=0.1)


def _huge_pace(report: ReportedLoad) -> ReportedLoad:
    return replace(report, pace=30)


def _none(report: ReportedLoad) -> ReportedLoad | None:
    return None


@pytest.mark.parametrize(
    ('lying', 'rate', 'least'),
    [
        (_none, 100, 0.99),
        (_none, 320, 0.96),
        (_zero, 100, 0.99),
        (_zero, 320, 0.96),
        (_wrong_pace, 100, 0.99),
        (_wrong_pace, 320, 0.96),
        # Who says that it is slow or full is left alone for a time, no others
        # are.
        (_long_queue, 100, 0.99),
        (_long_queue, 320, 0.94),
        (_huge_pace, 100, 0.99),
        (_huge_pace, 320, 0.94),
    ],
)
def test_wrong_figures_of_one_upstream_do_no_harm(
    lying: Statement, rate: float, least: float
) -> None:
    world = StatedWorld(THREE, rate)
    world.machines['u0'].statement = lying
    results = world.play(8)
    asked = min(rate, 160) * 8
    assert sum(one <= world.target for one in results.latencies) > least * asked


def test_figures_of_before_an_entry_froze_are_not_believed() -> None:
    world = StatedWorld(THREE, 140)
    world.play(2)
    world.frozen.add('a1-0')
    # All upstreams turn slow and full, and become usual again, unseen by it.
    world.wait(3)
    world.frozen.clear()
    results = world.play(3, warm_up=1)
    assert results.share_in_time(world.target) > 0.97


# -- paces


def _noisy(
    zones: dict[str, int],
    statement: Statement,
    seed: int = 1,
) -> StatedWorld:
    return StatedWorld(
        zones,
        450,
        upstreams=20,
        noise=Noise(),
        statement=statement,
        seed=seed,
    )


@pytest.mark.parametrize('seed', [1, 2])
def test_requests_avoid_upstreams_that_say_that_they_are_slow(
    seed: int,
) -> None:
    # 15 in 100 upstreams work 2.5 times as long, others every 0.6 s, at 0.56 of
    # the capacity.
    stated = _noisy(THREE, truth, seed).play(4, warm_up=2)
    learned = _noisy(THREE, without_pace, seed).play(4, warm_up=2)
    assert stated.share_in_time(0.2) > learned.share_in_time(0.2) + 0.01
    assert stated.quantile(0.99) < learned.quantile(0.99)


@pytest.mark.parametrize('zones', [THIRTY, NINETY])
def test_paces_that_are_seldom_heard_do_no_harm(zones: dict[str, int]) -> None:
    stated = _noisy(zones, truth).play(2, warm_up=1)
    learned = _noisy(zones, without_pace).play(2, warm_up=1)
    assert stated.share_in_time(0.4) > learned.share_in_time(0.4) - 0.02
