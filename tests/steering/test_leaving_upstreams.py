"""Upstreams that say in their answers that they leave, at one entry."""

from collections.abc import Sequence

import msgspec
import pytest

from tests.steering.availability_world import (
    NINE,
    SIXTY_SEVEN,
    THREE,
    AvailabilityWorld,
)
from tests.steering.world import World, digest, of_type, upstream
from worksrail.core.availability import AvailabilityNotice
from worksrail.core.results import ResultCode
from worksrail.core.steering import EntryDigest, UpstreamRecord, wants_requests
from worksrail.core.steering.effects import (
    AnswerResult,
    Decision,
    DecisionKind,
    DropConnections,
    Effect,
    SendDigest,
)
from worksrail.core.steering.events import (
    AttemptOutcome,
    CallerGone,
    DigestReceived,
    NoticeReceived,
    PathProbed,
    UpstreamsListed,
)

_LEAVING = AvailabilityNotice(leaving=True)


def _world(*names: str) -> World:
    return World(upstreams=[upstream(name) for name in names])


def _state(
    world: World, number: int, notice: AvailabilityNotice
) -> list[Effect]:
    """Let the head of the answer to a request state something."""
    attempt = world.state.requests[number].attempts
    return world.run(NoticeReceived(world.now, number, attempt, notice))


def _leave(world: World, name: str) -> list[Effect]:
    """Ask until an upstream gets a request, and let it say that it leaves."""
    while True:
        number = world.ask()
        if world.sent(number) == [name]:
            return _state(world, number, _LEAVING)


def _sent_to(world: World, count: int = 40) -> set[str]:
    """Return the upstreams of some requests, each answered before the next."""
    names = set()
    for _ in range(count):
        number = world.ask()
        names.update(world.sent(number))
        if number in world.state.requests:
            world.end(number)
    return names


def test_upstream_gets_nothing_after_the_head_of_its_answer() -> None:
    world = _world('u1', 'u2')
    effects = _leave(world, 'u1')
    assert of_type(effects, DropConnections) == [DropConnections('10.0.0.1:u1')]
    assert _sent_to(world) == {'u2'}
    assert world.state.catalog.slots_of('orders') == 3


# Records that discovery delivers after the upstream u1 has said that it
# leaves, and the upstreams that are used then.
@pytest.mark.parametrize(
    ('records', 'used'),
    [
        ([upstream('u1', sequence=9), upstream('u2')], {'u2'}),
        ([upstream('u1', sequence=9, address='10.0.0.9:1')], set()),
        ([upstream('u1', sequence=9, draining=True), upstream('u2')], {'u2'}),
        (
            [upstream('u1@7', identifier='u1', born=7, sequence=1)],
            {'u1'},
        ),
        ([upstream('u3', address='10.0.0.1:u1')], {'u3'}),
    ],
    ids=['ready', 'moved', 'draining', 'restarted', 'replaced'],
)
def test_statement_holds_for_the_same_incarnation_only(
    records: Sequence[UpstreamRecord], used: set[str]
) -> None:
    world = _world('u1')
    _leave(world, 'u1')
    world.run(UpstreamsListed(world.now, tuple(records), 2))
    assert _sent_to(world) == used


def test_record_that_lapses_and_returns_does_not_bring_it_back() -> None:
    world = _world('u1', 'u2')
    _leave(world, 'u1')
    world.run(UpstreamsListed(world.now, (upstream('u2'),), 2))
    assert 'u1' not in world.state.catalog.upstreams
    world.wait(1)
    both = (upstream('u1', sequence=5), upstream('u2'))
    world.run(UpstreamsListed(world.now, both, 3))
    assert _sent_to(world) == {'u2'}


def test_homes_of_keys_change_once() -> None:
    world = _world('u1', 'u2', 'u3')
    before = world.state.catalog.generation
    _leave(world, 'u1')
    after = world.state.catalog.generation
    draining = upstream('u1', draining=True, sequence=2)
    world.run(
        UpstreamsListed(
            world.now, (draining, upstream('u2'), upstream('u3')), 2
        )
    )
    assert after == before + 1
    assert world.state.catalog.generation == after


def test_requests_are_refused_at_once_if_all_leave() -> None:
    world = _world('u1')
    _leave(world, 'u1')
    world.effects.clear()
    world.ask()
    (refusal,) = of_type(world.effects, AnswerResult)
    assert refusal.code is ResultCode.UPSTREAMS_LEAVING
    assert refusal.retry_after > 0


def test_caller_that_left_before_the_end_does_not_hide_the_statement() -> None:
    world = _world('u1', 'u2')
    _leave(world, 'u1')
    number = max(world.state.requests)
    world.run(CallerGone(world.now, number))
    world.end(number, AttemptOutcome.CANCELLED)
    assert _sent_to(world) == {'u2'}


def test_head_of_an_earlier_attempt_states_nothing() -> None:
    world = _world('u1', 'u2')
    number = world.ask()
    world.end(number, AttemptOutcome.NOT_EXECUTED, status=503)
    world.run(NoticeReceived(world.now, number, 1, _LEAVING))
    assert not world.state.catalog.leaving.statements


def test_another_entry_is_told_and_believed() -> None:
    world = _world('u1', 'u2')
    _leave(world, 'u1')
    sent = of_type(world.wait(0.1), SendDigest)
    assert sent[0].digest.leaving == ('u1',)
    other = _world('u1', 'u2')
    told = msgspec.structs.replace(digest('two'), leaving=('u1', 'unknown'))
    effects = other.run(DigestReceived(other.now, told))
    assert _sent_to(other) == {'u2'}
    kinds = [one.kind for one in of_type(effects, Decision)]
    assert kinds.count(DecisionKind.UPSTREAM_LEAVING) == 1
    assert 'unknown' not in other.state.catalog.leaving


def test_digest_of_an_earlier_release_names_no_leaving_upstream() -> None:
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(digest('two')))
    older = msgspec.msgpack.encode(fields[:-2])
    decoded = msgspec.msgpack.decode(older, type=EntryDigest)
    assert decoded.leaving == ()


def test_request_withdrawn_before_it_was_sent_is_no_repeat_or_fault() -> None:
    world = _world('u1', 'u2')
    number = world.ask()
    (first,) = world.sent(number)
    spent = world.state.budgets.fleet_use('orders', world.now).own
    world.end(number, AttemptOutcome.WITHDRAWN, status=0, connect_time=0.001)
    assert len(set(world.sent(number))) == 2
    assert world.state.requests[number].sends == 1
    assert not world.state.loads.of(first).failures
    assert not world.state.paths.missed
    assert world.state.budgets.fleet_use('orders', world.now).own == spent


def test_waiting_request_is_withdrawn_once_the_upstream_leaves() -> None:
    world = _world('u1', 'u2')
    assert wants_requests(world.state, 'u1', world.now)
    _leave(world, 'u1')
    assert not wants_requests(world.state, 'u1', world.now)


@pytest.mark.parametrize('leaving', [True, False])
def test_health_check_is_heard(*, leaving: bool) -> None:
    world = _world('u1', 'u2')
    notice = AvailabilityNotice(leaving)
    world.run(PathProbed(world.now, 'u1', False, notice))
    assert ('u1' in world.state.catalog.leaving) is leaving
    assert ('u1' in _sent_to(world)) is not leaving


def _check_fleet(world: AvailabilityWorld) -> None:
    assert world.seen.told_leaving
    assert world.sends_after_leave() == 0


@pytest.mark.parametrize(
    ('zones', 'options'),
    [
        (NINE, {'stream_s': 3}),
        (NINE, {'gone': 0.7}),
        (NINE, {'loss': 0.1}),
        (SIXTY_SEVEN, {'loss': 0.1, 'stream_s': 1}),
    ],
    ids=['streams', 'callers-gone', 'loss', '67-loss'],
)
def test_fleet_hears_the_heads_of_streams_and_of_callers_that_left(
    zones: dict[str, int], options: dict[str, float]
) -> None:
    world = AvailabilityWorld(zones, 300, **options)
    world.wait(2)
    world.leave('u0', 'u5')
    world.wait(5)
    _check_fleet(world)


def test_fleet_whose_entries_start_stop_and_freeze_leaves_them_alone() -> None:
    world = AvailabilityWorld(NINE, 300)
    world.wait(1)
    world.leave('u0', 'u5', 'u7')
    for name in ('a1-0', 'b1-1', 'c2-0'):
        world.wait(1)
        world.stop(name)
        world.frozen = {'a2-0'}
        world.wait(1)
        world.frozen = set()
        world.start(name)
    world.wait(2)
    _check_fleet(world)


def test_fleet_that_lost_each_other_hears_for_itself() -> None:
    world = AvailabilityWorld(THREE, 120)
    world.wait(1)
    world.cut_off = {'a1-0', 'b1-0'}
    world.leave('u0')
    world.wait(4)
    _check_fleet(world)


def test_all_entries_know_a_leave_that_one_has_heard() -> None:
    world = AvailabilityWorld(SIXTY_SEVEN, 20)
    world.leave('u0')
    while not world.seen.told_leaving:
        world.wait(0.05)
    world.wait(1)
    leaving = [state.catalog.leaving for state in world.states.values()]
    assert all('u0' in one for one in leaving)
