"""Requests that entries pass to others: rules on the way, and failures."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any, Final
from unittest import mock

import msgspec
import pytest

from tests.steering.cut_world import Ask, Cut, CutWorld
from tests.steering.world import (
    World,
    contact,
    customer,
    digest,
    of_type,
    route,
)
from tests.steering.world import upstream as upstream_record
from worksrail.core.budgets import SharedBudgets
from worksrail.core.customers import Quota
from worksrail.core.identity import Incarnation
from worksrail.core.limits import SharedLimits
from worksrail.core.results import Certainty, ResultCode
from worksrail.core.steering import Contact, PassingTerms, RouteKind
from worksrail.core.steering.effects import (
    AnswerResult,
    CancelAttempt,
    PassRequest,
    ProbeUpstream,
    SendUpstream,
)
from worksrail.core.steering.events import (
    AttemptOutcome,
    CallerGone,
    DigestReceived,
    EvacuationsRead,
    PassedRequestArrived,
    PassEnded,
    PassRefusal,
    PathProbed,
    SteeredHead,
    Ticked,
)

_UPSTREAMS: Final = [
    upstream_record(f'{zone}-{number}', zone=zone)
    for zone in ('a1', 'a2', 'b1')
    for number in range(2)
]
_TERMS: Final = PassingTerms(
    'two', 'orders', 'read', 'IDEMPOTENT', 0.4, 1, 2, True, (), '', 0, 1
)


def lost_world(**options: Any) -> World:
    """An entry that has lost all links, and hears two others."""
    world = World(
        options.pop('routes', (route(timeout=9),)), _UPSTREAMS, **options
    )
    for record in _UPSTREAMS:
        missed = world.state.catalog.upstreams[record.name]
        world.state.paths.record_miss(missed, connecting=True)
    hear(world, 'near')
    hear(world, 'far', zone='b1', region='b')
    return world


def hear(world: World, name: str, number: int = 1, **changes: Any) -> None:
    heard = digest(name, number, **changes)
    world.run(DigestReceived(world.now, heard), Ticked(world.now + 0.2))
    world.now += 0.2


def passes(world: World) -> list[PassRequest]:
    return of_type(world.effects, PassRequest)


def end_pass(
    world: World,
    number: int,
    outcome: AttemptOutcome = AttemptOutcome.ANSWERED,
    refusal: PassRefusal | None = None,
) -> None:
    attempt = world.state.requests[number].attempts
    ended = PassEnded(world.now, number, attempt, outcome, 200, refusal=refusal)
    world.run(ended)


def take(world: World, terms: PassingTerms = _TERMS, **head: Any) -> int:
    """Let a request of another entry arrive."""
    world.requests += 1
    fields: dict[str, Any] = {
        'trace': 't',
        'host': 'orders.example',
        'method': 'GET',
        'target': '/read/x',
        'time_left': 2.0,
        'key': '',
    }
    arrived = SteeredHead(**(fields | head))
    world.run(PassedRequestArrived(world.now, world.requests, arrived, terms))
    return world.requests


def test_request_goes_to_an_entry_of_the_own_region() -> None:
    world = lost_world()
    for _ in range(20):
        world.ask(time_left=9)
    assert {one.peer for one in passes(world)} == {'10.9.0.2:near'}
    assert not of_type(world.effects, SendUpstream)


@pytest.mark.parametrize(
    'changes',
    [
        {'unreachable': ('orders',)},
        {'leaving': True},
        {'ready': False},
        {'takes_requests': False},
    ],
    ids=lambda changes: next(iter(changes)),
)
def test_entry_that_cannot_send_gets_no_request(
    changes: dict[str, Any],
) -> None:
    world = lost_world()
    hear(world, 'near', 2, **changes)
    world.ask(time_left=9)
    assert [one.peer for one in passes(world)] == ['10.9.0.2:far']


def test_request_goes_only_to_regions_that_may_serve_it() -> None:
    world = lost_world(routes=(route(timeout=9, regions=frozenset('b')),))
    world.ask(time_left=9)
    (passed,) = passes(world)
    assert passed.peer == '10.9.0.2:far'
    assert passed.terms.regions == ('b',)


def test_entry_that_cannot_be_reached_is_replaced() -> None:
    world = lost_world()
    number = world.ask(time_left=9)
    end_pass(world, number, AttemptOutcome.NOT_CONNECTED)
    assert [one.peer for one in passes(world)] == [
        '10.9.0.2:near',
        '10.9.0.2:far',
    ]


@pytest.mark.parametrize(
    'code',
    [
        ResultCode.ENTRY_FULL,
        ResultCode.ENTRY_LEAVING,
        ResultCode.UPSTREAM_UNREACHABLE,
    ],
    ids=lambda code: code.name,
)
def test_request_that_no_entry_takes_is_refused_at_once(
    code: ResultCode,
) -> None:
    world = lost_world()
    number = world.ask(time_left=9)
    for _ in range(2):
        refusal = PassRefusal(code, 0.2, 0)
        end_pass(world, number, AttemptOutcome.NOT_EXECUTED, refusal)
    (answer,) = of_type(world.effects, AnswerResult)
    assert answer.code.certainty is Certainty.NOT_RUN
    assert answer.retry_after > 0
    assert not world.state.requests


def test_request_that_an_upstream_had_is_not_tried_at_a_further_entry() -> None:
    world = lost_world()
    number = world.ask(time_left=9)
    refusal = PassRefusal(ResultCode.UPSTREAM_UNREACHABLE, 0.2, 1)
    end_pass(world, number, AttemptOutcome.NOT_EXECUTED, refusal)
    assert len(passes(world)) == 1
    (answer,) = of_type(world.effects, AnswerResult)
    assert answer.code is ResultCode.UPSTREAM_UNREACHABLE


def test_refusal_for_want_of_slots_is_final_and_keeps_its_delay() -> None:
    world = lost_world()
    number = world.ask(time_left=9)
    refusal = PassRefusal(ResultCode.QUEUE_FULL, 0.7, 0)
    end_pass(world, number, AttemptOutcome.NOT_EXECUTED, refusal)
    (answer,) = of_type(world.effects, AnswerResult)
    assert (answer.code, answer.retry_after) == (ResultCode.QUEUE_FULL, 0.7)


@pytest.mark.parametrize(
    ('kind', 'repeated'),
    [(RouteKind.IDEMPOTENT, True), (RouteKind.AT_MOST_ONCE, False)],
    ids=['idempotent', 'at most once'],
)
def test_request_whose_answer_is_lost_is_repeated_only_if_it_may_be(
    kind: RouteKind,
    *,
    repeated: bool,
) -> None:
    world = lost_world(routes=(route(timeout=9, kind=kind),))
    number = world.ask(time_left=9)
    end_pass(world, number, AttemptOutcome.BROKE_BEFORE_ANSWER)
    assert len(passes(world)) == 1 + repeated
    if not repeated:
        (answer,) = of_type(world.effects, AnswerResult)
        assert answer.code.certainty is Certainty.UNKNOWN


def test_repeat_after_a_lost_answer_tells_what_was_sent() -> None:
    world = lost_world()
    number = world.ask(time_left=9)
    end_pass(world, number, AttemptOutcome.BROKE_BEFORE_ANSWER)
    assert [one.terms.sends for one in passes(world)] == [0, 1]


def test_caller_that_leaves_cancels_at_the_other_entry() -> None:
    world = lost_world()
    number = world.ask(time_left=9)
    world.run(CallerGone(world.now, number))
    assert [one.request for one in of_type(world.effects, CancelAttempt)] == [
        number
    ]
    end_pass(world, number, AttemptOutcome.CANCELLED)
    assert not world.state.requests


def test_idempotent_request_is_passed_on_beside_a_silent_entry() -> None:
    world = lost_world()
    number = world.ask(time_left=9)
    hear(world, 'far', 2, zone='b1', region='b')
    world.wait(1.2)
    assert [one.request for one in passes(world)] == [number, number]
    assert not of_type(world.effects, CancelAttempt)


def test_request_may_leave_one_silent_entry_after_another() -> None:
    world = lost_world()
    number = world.ask(time_left=9)
    hear(world, 'far', 2, zone='b1', region='b')
    world.wait(1.2)
    end_pass(world, number, AttemptOutcome.NOT_CONNECTED)
    world.wait(2)
    assert len({one.peer for one in passes(world)}) == 2
    assert not of_type(world.effects, AnswerResult)


@pytest.mark.parametrize(
    ('kind', 'repeated'),
    [(RouteKind.IDEMPOTENT, True), (RouteKind.AT_MOST_ONCE, False)],
    ids=lambda one: getattr(one, 'name', str(one)),
)
def test_request_of_an_entry_that_had_to_exit_is_passed_on_again(
    kind: RouteKind, *, repeated: bool
) -> None:
    world = lost_world(routes=(route(timeout=9, kind=kind),))
    number = world.ask(time_left=9)
    stopped = PassRefusal(ResultCode.ENTRY_STOPPED, 0, 1)
    end_pass(world, number, AttemptOutcome.BROKE_BEFORE_ANSWER, refusal=stopped)
    assert len(passes(world)) == 1 + repeated


def test_second_attempt_that_an_upstream_rejected_stays_paid() -> None:
    world = lost_world()
    number = world.ask(time_left=9)
    hear(world, 'far', 2, zone='b1', region='b')
    world.wait(1.2)
    assert len(passes(world)) == 2
    shed = PassRefusal(ResultCode.UPSTREAM_SHED, 0, 2)
    end_pass(world, number, AttemptOutcome.NOT_EXECUTED, refusal=shed)
    assert world.state.budgets.totals.retries['orders'] == 1


def test_quota_counts_a_passed_request_once() -> None:
    buyer = customer('buyer', 'key', quota=Quota(5, 5))
    sender = lost_world(customers=[buyer])
    helper = World((route(timeout=9),), _UPSTREAMS, customers=[buyer])
    key = buyer.keys[0]
    sender.ask(time_left=9, key_digest=key)
    (passed,) = passes(sender)
    assert passed.terms.customer == 'buyer'
    with mock.patch.object(SharedLimits, 'admit') as admit:
        number = take(helper, passed.terms)
    admit.assert_not_called()
    (sent,) = of_type(helper.effects, SendUpstream)
    assert (sent.request, sent.customer) == (number, 'buyer')


def test_budget_counts_a_passed_request_once() -> None:
    sender = lost_world()
    helper = World((route(timeout=9),), _UPSTREAMS)
    with mock.patch.object(SharedBudgets, 'record_request') as count:
        sender.ask(time_left=9)
        assert count.call_count == 1
        take(helper, passes(sender)[0].terms)
        assert count.call_count == 1


def test_request_of_another_entry_is_never_passed_on() -> None:
    world = lost_world()
    world.state.paths.lost_since.clear()
    take(world)
    for _ in range(4):
        for number in tuple(world.state.requests):
            world.end(number, AttemptOutcome.NOT_CONNECTED)
    assert not passes(world)
    (answer,) = of_type(world.effects, AnswerResult)
    assert answer.code is ResultCode.UPSTREAM_UNREACHABLE


def test_sender_resolves_the_request_whatever_the_other_configuration() -> None:
    world = World((route('other', timeout=9),), _UPSTREAMS)
    take(world)
    (sent,) = of_type(world.effects, SendUpstream)
    assert sent.upstream in {record.name for record in _UPSTREAMS}


def test_attempts_of_both_entries_stay_within_the_maximum() -> None:
    world = World((route(timeout=9),), _UPSTREAMS)
    terms = PassingTerms(
        'two', 'orders', 'read', 'IDEMPOTENT', 0.4, 1, 2, True, (), '', 1, 1
    )
    number = take(world, terms)
    world.end(number, AttemptOutcome.NOT_EXECUTED)
    assert len(world.sent(number)) == 1
    (answer,) = of_type(world.effects, AnswerResult)
    assert (answer.code, answer.sends) == (ResultCode.UPSTREAM_SHED, 2)


def test_full_entry_takes_no_request_of_others_but_serves_its_own() -> None:
    world = World((route(timeout=9),), _UPSTREAMS)
    for _ in range(3 * int(world.state.settings.capacity)):
        world.state.arrivals.note(world.now)
    take(world)
    (answer,) = of_type(world.effects, AnswerResult)
    assert answer.code is ResultCode.ENTRY_FULL
    assert world.sent(world.ask(time_left=9))


def test_answer_to_a_health_check_ends_the_passing() -> None:
    world = lost_world()
    world.ask(time_left=9)
    world.wait(0.6)
    probes = of_type(world.effects, ProbeUpstream)
    assert probes
    for probe in probes:
        world.run(PathProbed(world.now, probe.upstream, answered=True))
    assert world.sent(world.ask(time_left=9))


def test_evacuated_zones_get_no_health_checks() -> None:
    world = lost_world()
    world.run(EvacuationsRead(world.now, frozenset(('a2', 'b1')), 2))
    world.effects.clear()
    world.wait(1.2)
    probed = {one.upstream for one in of_type(world.effects, ProbeUpstream)}
    assert probed
    assert {name[:2] for name in probed} == {'a1'}


def test_failed_health_check_changes_nothing() -> None:
    world = lost_world()
    world.wait(0.6)
    for probe in of_type(world.effects, ProbeUpstream):
        world.run(PathProbed(world.now, probe.upstream, answered=False))
    assert world.state.paths.is_isolated


# -- whole fleets

_NINE: Final = {'a1': 2, 'a2': 1, 'b1': 2, 'b2': 1, 'c1': 2, 'c2': 1}


def _kill(world: CutWorld) -> None:
    if 'a1-1' in world.states:
        world.stop('a1-1')


def _freeze(world: CutWorld) -> None:
    world.frozen.add('a1-1')


def _restart(world: CutWorld) -> None:
    world.stop('a1-1')
    world.start('a1-1')


def _cut_too(world: CutWorld) -> None:
    world.cut(['a1-1'], Cut.RESET)


def _nothing(_: CutWorld) -> None:
    """Leave the other entries alone."""


@pytest.mark.parametrize('form', Cut, ids=[form.name for form in Cut])
@pytest.mark.parametrize(
    'fault', [_nothing, _kill, _freeze, _restart, _cut_too]
)
def test_passed_requests_run_once_and_are_refused_truly(
    fault: Callable[[CutWorld], None],
    form: Cut,
) -> None:
    world = CutWorld(_NINE, 20, upstreams=24)
    world.wait(2)
    world.cut(['a1-0'], form)
    for _ in range(3):
        world.wait(2)
        fault(world)
        world.wait(1)
        world.frozen.clear()
    world.mend()
    world.wait(4)
    outcomes = world.outcomes
    for one in outcomes.asked:
        runs = outcomes.executed[one.trace]
        assert not one.unsafe or runs <= 1
        result = outcomes.codes.get(one.trace)
        if one.unsafe and result:
            refused = result.code.certainty is Certainty.NOT_RUN
            assert not (refused and runs)


def test_own_callers_of_helping_entries_are_served_as_before() -> None:
    world = CutWorld(_NINE, 20, upstreams=24)
    world.wait(2)
    names = sorted(world.states)[1:]
    begin = world.now
    world.cut(names, Cut.HANG)
    world.wait(8)

    def own(one: Ask) -> bool:
        return one.entry not in names

    assert world.outcomes.share(begin, world.now - 2, own) > 0.99


def test_direct_sending_is_back_within_two_seconds() -> None:
    world = CutWorld(_NINE, 20, upstreams=24)
    world.wait(2)
    world.cut(['a1-0'], Cut.HANG)
    world.wait(8)
    world.mend()
    world.wait(2)
    before = sum(world.passed.values())
    world.wait(2)
    assert sum(world.passed.values()) == before


def test_return_of_links_brings_no_burst_on_cold_upstreams() -> None:
    world = CutWorld(_NINE, 20, upstreams=24)
    world.cold_rate = 4
    world.wait(2)
    world.cut(['a1-0', 'a2-0', 'b1-0', 'c1-0'], Cut.RESET)
    world.wait(3)
    world.listed_records = tuple(
        replace(one, sequence=2, cold_time=30 * (number < 8))
        for number, one in enumerate(world.listed_records)
    )
    world.set_store_revision(3)
    for name in world.states:
        world.deliver_store(name, 3, world.listed_records)
    begin = world.now
    world.wait(2)
    world.mend()
    world.wait(4)
    bounds = world.bounds
    allowed = world.cold_rate * bounds.cold_factor + bounds.cold_extra
    for record in world.listed_records[:8]:
        arrived = world.outcomes.arrivals[record.name]
        times = [at for at, _ in arrived if at >= begin]
        assert all(
            sum(at <= other < at + 1 for other in times) <= allowed
            for at in times
        )


class _OldContact(msgspec.Struct, frozen=True, array_like=True):
    """The state that an entry advertised before requests were passed on."""

    who: Incarnation
    zone: str
    region: str
    peer: str
    caller: str
    ready: bool
    leaving: bool
    capacity: float
    rate: float
    revisions: tuple[int, ...]
    store_lost: bool = False


def test_entries_of_earlier_releases_are_understood_and_left_alone() -> None:
    new = contact('near', unreachable=('orders',), isolated=True)
    as_old = msgspec.convert(msgspec.to_builtins(new), _OldContact)
    assert as_old.who.name == 'near'
    as_new = msgspec.convert(msgspec.to_builtins(as_old), Contact)
    assert as_new.name == 'near'
    assert not (as_new.takes_requests or as_new.unreachable)
