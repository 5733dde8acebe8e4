"""What becomes of an attempt whose upstream or entry has fallen silent."""

from collections.abc import Callable
from typing import Any

import pytest

from tests.steering.test_passing import hear, lost_world, passes
from tests.steering.world import (
    World,
    digest,
    of_type,
    route,
    upstream,
)
from worksrail.core.availability import AvailabilityNotice
from worksrail.core.results import Certainty
from worksrail.core.steering import SteeringBounds
from worksrail.core.steering.effects import (
    AnswerResult,
    CancelAttempt,
    Decision,
    DecisionKind,
)
from worksrail.core.steering.events import (
    AttemptOutcome,
    CallerGone,
    DigestReceived,
    NoticeReceived,
    PassEnded,
    StopRequested,
    UpstreamsChanged,
)

_ROUTE = route('read', timeout=9, max_attempts=2)
_TIME_LEFT = 9.0
# Seconds after which an upstream without an answer counts as silent.
_SILENT_S = 2.2
_BOTH = ('1', '2')
_FAILURES = (
    AttemptOutcome.NOT_CONNECTED,
    AttemptOutcome.WITHDRAWN,
    AttemptOutcome.NOT_EXECUTED,
    AttemptOutcome.OTHER_UPSTREAM,
    AttemptOutcome.BROKE_BEFORE_ANSWER,
    AttemptOutcome.SPOILED,
    AttemptOutcome.TIMED_OUT,
)


def _world(*names: str, **options: Any) -> World:
    routes = options.pop('routes', (_ROUTE,))
    return World(routes, [upstream(name) for name in names], **options)


def _fill(world: World) -> None:
    """Let all slots and queues but those of the first upstream be in use."""
    full = {name: 90 for name in _BOTH if name != world.sent(1)[0]}
    world.run(DigestReceived(world.now, digest('other', 1, full)))


def _remove(world: World) -> None:
    first = world.sent(1)[0]
    gone = tuple(name for name in _BOTH if name != first)
    world.run(UpstreamsChanged(world.now, (), gone))


def _back_off(world: World) -> None:
    """Let the other upstream have asked for no requests."""
    first = world.sent(1)[0]
    (other,) = (name for name in _BOTH if name != first)
    world.state.rates.backoffs.note(other, 30, world.now, 1)


def _nothing(world: World) -> None:
    """Change nothing."""


# Why no other upstream can take a request: how the world begins and changes.
_NOBODY_ELSE: dict[str, tuple[dict[str, Any], Callable[[World], None]]] = {
    'one upstream': ({'names': ('1',)}, _nothing),
    'no budget': (
        {'bounds': SteeringBounds(repeat_ratio=0, repeat_extra=0)},
        _nothing,
    ),
    'no attempts left': (
        {'routes': (route('read', timeout=9, max_attempts=1),)},
        _nothing,
    ),
    'slots in use': ({}, _fill),
    'removed': ({}, _remove),
    'backing off': ({}, _back_off),
    'no time left': (
        {'routes': (route('read', timeout=2.6, max_attempts=2),)},
        _nothing,
    ),
}


def _answered(world: World, number: int) -> bool:
    return any(
        one.kind is DecisionKind.REQUEST_ANSWERED and one.request == number
        for one in of_type(world.effects, Decision)
    )


@pytest.mark.parametrize('stopping', [False, True], ids=['runs', 'stops'])
@pytest.mark.parametrize('reason', _NOBODY_ELSE)
def test_attempt_goes_on_where_nothing_else_can_take_its_request(
    reason: str, *, stopping: bool
) -> None:
    options, change = _NOBODY_ELSE[reason]
    world = _world(*options.get('names', _BOTH), **_without_names(options))
    number = world.ask(time_left=_TIME_LEFT)
    change(world)
    if stopping:
        world.run(StopRequested(world.now))
    world.wait(_SILENT_S)
    cancelled = of_type(world.effects, CancelAttempt)
    assert number not in {one.request for one in cancelled}
    world.end(number)
    assert _answered(world, number)


def _without_names(options: dict[str, Any]) -> dict[str, Any]:
    return {name: each for name, each in options.items() if name != 'names'}


@pytest.mark.parametrize('stopping', [False, True], ids=['runs', 'stops'])
@pytest.mark.parametrize('outcome', _FAILURES, ids=lambda one: one.name)
def test_first_answer_counts_where_the_second_attempt_fails(
    outcome: AttemptOutcome, *, stopping: bool
) -> None:
    world = _world(*_BOTH)
    number = world.ask(time_left=_TIME_LEFT)
    if stopping:
        world.run(StopRequested(world.now))
    world.wait(_SILENT_S)
    assert len(set(world.sent(number))) == 2
    world.end(number, outcome, attempt=2, status=0)
    assert not of_type(world.effects, AnswerResult)
    world.wait(0.5)
    world.end(number, attempt=1)
    assert _answered(world, number)
    assert not world.state.requests
    assert not any(world.state.loads.own_in_flight().values())


@pytest.mark.parametrize('winner', [1, 2])
def test_answer_of_either_attempt_ends_the_other(winner: int) -> None:
    world = _world(*_BOTH)
    number = world.ask(time_left=_TIME_LEFT)
    world.wait(_SILENT_S)
    world.end(number, attempt=winner)
    assert _answered(world, number)
    (cancelled,) = of_type(world.effects, CancelAttempt)
    assert cancelled.attempt == 3 - winner
    assert not world.state.requests
    assert not any(world.state.loads.own_in_flight().values())


def test_both_attempts_fail_before_the_request_does() -> None:
    world = _world(*_BOTH)
    number = world.ask(time_left=_TIME_LEFT)
    world.wait(_SILENT_S)
    world.end(number, AttemptOutcome.BROKE_BEFORE_ANSWER, attempt=1)
    assert not of_type(world.effects, AnswerResult)
    world.end(number, AttemptOutcome.NOT_EXECUTED, attempt=2)
    (answer,) = of_type(world.effects, AnswerResult)
    assert answer.code.certainty is Certainty.UNKNOWN


def test_caller_that_leaves_ends_both_attempts() -> None:
    world = _world(*_BOTH)
    number = world.ask(time_left=_TIME_LEFT)
    world.wait(_SILENT_S)
    world.run(CallerGone(world.now, number))
    cancelled = of_type(world.effects, CancelAttempt)
    assert sorted(one.attempt for one in cancelled) == [1, 2]
    for attempt in (2, 1):
        world.end(number, AttemptOutcome.CANCELLED, attempt=attempt)
    assert not world.state.requests
    assert not any(world.state.loads.own_in_flight().values())


def test_answer_that_has_begun_is_not_given_up() -> None:
    world = _world(*_BOTH)
    number = world.ask(time_left=_TIME_LEFT)
    head = NoticeReceived(
        world.now,
        number,
        1,
        AvailabilityNotice(),
        begins=True,
    )
    world.run(head)
    world.wait(_SILENT_S * 2)
    assert not of_type(world.effects, CancelAttempt)
    assert len(world.sent(number)) == 1


def test_request_at_a_silent_entry_is_not_taken_back() -> None:
    world = lost_world(routes=(_ROUTE,))
    number = world.ask(time_left=_TIME_LEFT)
    # No other entry is known, and this one reaches no upstream.
    world.wait(2.5)
    assert len(passes(world)) <= 2
    assert not of_type(world.effects, CancelAttempt)
    world.run(PassEnded(world.now, number, 1, AttemptOutcome.ANSWERED, 200))
    assert _answered(world, number)


def test_second_attempt_beside_a_silent_entry() -> None:
    world = lost_world(routes=(_ROUTE,))
    number = world.ask(time_left=_TIME_LEFT)
    hear(world, 'far', 2, zone='b1', region='b')
    world.wait(1.2)
    assert [one.peer for one in passes(world)] == [
        '10.9.0.2:near',
        '10.9.0.2:far',
    ]
    assert not of_type(world.effects, CancelAttempt)
    world.run(PassEnded(world.now, number, 1, AttemptOutcome.ANSWERED, 200))
    assert _answered(world, number)
    (cancelled,) = of_type(world.effects, CancelAttempt)
    assert cancelled.attempt == 2
