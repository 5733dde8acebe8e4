"""What an entry that was asked to stop owes to the requests that it has."""

from typing import Any
from unittest import mock

import pytest

from tests.steering.test_passing import end_pass, lost_world, passes, take
from tests.steering.world import World, customer, of_type, route, upstream
from worksrail.core.customers import Quota
from worksrail.core.limits import Admission, SharedLimits, Verdict
from worksrail.core.results import Certainty, ResultCode
from worksrail.core.steering import RouteKind, SteeringBounds
from worksrail.core.steering.effects import (
    AnswerResult,
    CancelAttempt,
    ExitProcess,
    SendUpstream,
)
from worksrail.core.steering.events import AttemptOutcome, StopRequested

_GRACE_S = 6.0
_BOUNDS = SteeringBounds(grace_period=_GRACE_S, repeat_extra=100)
_TIME_LEFT = 20.0
_ROUTES = (
    route('read', timeout=20),
    route('write', timeout=20, kind=RouteKind.AT_MOST_ONCE),
    route('load', timeout=20, kind=RouteKind.DOWNLOAD),
)


def _world(*names: str, **options: Any) -> World:
    records = [upstream(name) for name in names or ('1', '2')]
    return World(_ROUTES, records, bounds=_BOUNDS, **options)


def _at_work(world: World) -> int:
    return world.ask('write', time_left=_TIME_LEFT)


def _stopped(world: World) -> list[Any]:
    """Ask an entry to stop and wait for its end; return the last effects."""
    world.run(StopRequested(world.now))
    return world.wait(_GRACE_S)


@pytest.mark.parametrize('name', ['read', 'write', 'load'])
def test_request_at_work_is_answered_before_the_exit(name: str) -> None:
    world = _world('1')
    number = world.ask(name, time_left=_TIME_LEFT)
    effects = _stopped(world)
    (answer,) = of_type(effects, AnswerResult)
    assert answer.request == number
    assert answer.code.certainty is Certainty.UNKNOWN
    (exits,) = of_type(effects, ExitProcess)
    assert effects.index(answer) < effects.index(exits)
    assert not world.state.requests


def test_request_passed_to_an_entry_is_answered_before_the_exit() -> None:
    world = lost_world(routes=_ROUTES, bounds=_BOUNDS)
    world.ask('write', time_left=_TIME_LEFT)
    effects = _stopped(world)
    (answer,) = of_type(effects, AnswerResult)
    assert answer.code.certainty is Certainty.UNKNOWN
    assert of_type(effects, CancelAttempt)
    assert of_type(effects, ExitProcess)


def test_request_of_another_entry_is_answered_before_the_exit() -> None:
    world = _world('1')
    number = take(world, time_left=_TIME_LEFT)
    effects = _stopped(world)
    (answer,) = of_type(effects, AnswerResult)
    assert (answer.request, answer.sends) == (number, 1)


def test_request_that_waits_for_a_quota_is_refused_before_the_exit() -> None:
    buyer = customer('buyer', 'key', quota=Quota(5, 5))
    world = _world('1', customers=[buyer])
    waiting = Verdict(Admission.WAITING)
    with mock.patch.object(SharedLimits, 'admit', return_value=waiting):
        number = world.ask(
            'write', time_left=_TIME_LEFT, key_digest=buyer.keys[0]
        )
    assert not of_type(world.effects, SendUpstream)
    effects = _stopped(world)
    (answer,) = of_type(effects, AnswerResult)
    assert answer.request == number
    assert answer.code is ResultCode.ENTRY_LEAVING


# Seconds after the stop was requested.
@pytest.mark.parametrize('since', [3.05, 3.2, 3.4, 3.47, 4.0, 5.6])
def test_request_that_may_not_end_in_time_is_refused_unsent(
    since: float,
) -> None:
    world = _world()
    # An open request keeps the entry running.
    _at_work(world)
    world.run(StopRequested(world.now))
    world.wait(since)
    number = world.ask('write', time_left=_TIME_LEFT)
    (answer,) = of_type(world.effects, AnswerResult)
    assert (answer.request, answer.code) == (number, ResultCode.ENTRY_LEAVING)
    assert not world.sent(number)


@pytest.mark.parametrize('since', [0.1, 1.5, 2.8])
def test_request_in_the_first_half_of_the_grace_period_is_served(
    since: float,
) -> None:
    world = _world()
    world.run(StopRequested(world.now))
    world.wait(since)
    number = world.ask('write', time_left=_TIME_LEFT)
    assert world.sent(number)


def test_rejected_request_is_not_sent_again_right_before_the_exit() -> None:
    world = _world()
    for _ in range(6):
        number = world.ask('write', time_left=_TIME_LEFT)
        world.wait(0.5)
        world.end(number)
    number = _at_work(world)
    world.run(StopRequested(world.now))
    world.wait(5.5)
    world.end(number, AttemptOutcome.NOT_EXECUTED, status=503)
    assert len(world.sent(number)) == 1
    (answer,) = of_type(world.effects, AnswerResult)
    assert answer.code is ResultCode.ENTRY_LEAVING


def test_request_is_not_passed_on_right_before_the_exit() -> None:
    world = lost_world(routes=_ROUTES, bounds=_BOUNDS)
    number = world.ask('write', time_left=_TIME_LEFT)
    world.run(StopRequested(world.now))
    world.wait(5.4)
    end_pass(world, number, AttemptOutcome.NOT_CONNECTED)
    assert len(passes(world)) == 1
    (answer,) = of_type(world.effects, AnswerResult)
    assert answer.code is ResultCode.ENTRY_LEAVING


def test_attempt_is_cancelled_before_its_request_is_answered_at_the_exit() -> (
    None
):
    world = _world('1')
    _at_work(world)
    effects = _stopped(world)
    (cancelled,) = of_type(effects, CancelAttempt)
    (answer,) = of_type(effects, AnswerResult)
    assert effects.index(cancelled) < effects.index(answer)


@pytest.mark.parametrize('again_at', [0.0, 1.0, 4.0])
def test_second_request_to_stop_changes_nothing(again_at: float) -> None:
    world = _world('1')
    number = _at_work(world)
    world.run(StopRequested(world.now))
    world.wait(again_at)
    world.run(StopRequested(world.now))
    world.wait(5.2 - again_at)
    world.end(number)
    assert not of_type(world.effects, AnswerResult)
    world.wait(0.2)
    assert len(of_type(world.effects, ExitProcess)) == 1
