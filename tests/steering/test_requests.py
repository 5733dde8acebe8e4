"""The life cycle of requests for each outcome of their attempts."""

import pytest

from tests.steering.world import World, configuration, of_type, route, upstream
from worksrail.core.results import Certainty, ResultCode
from worksrail.core.steering import RouteKind, SteeringBounds
from worksrail.core.steering.effects import (
    AnswerResult,
    CancelAttempt,
    SendUpstream,
)
from worksrail.core.steering.events import (
    AttemptOutcome,
    CallerGone,
    ConfigurationRead,
    StopRequested,
)

_READ = route('read')
_WRITE = route('write', kind=RouteKind.AT_MOST_ONCE)
_LOAD = route('load', kind=RouteKind.DOWNLOAD)
_UPSTREAMS = tuple(upstream(name) for name in ('1', '2', '3'))

# Route, outcome of the first attempt, whether a second one is made, and the
# result code if not.
_OUTCOMES = (
    ('read', AttemptOutcome.NOT_CONNECTED, True, None),
    ('read', AttemptOutcome.NOT_EXECUTED, True, None),
    ('read', AttemptOutcome.OTHER_UPSTREAM, True, None),
    ('read', AttemptOutcome.BROKE_BEFORE_ANSWER, True, None),
    ('read', AttemptOutcome.SPOILED, True, None),
    ('read', AttemptOutcome.BROKE_IN_ANSWER, False, ResultCode.UPSTREAM_BROKE),
    ('read', AttemptOutcome.TIMED_OUT, False, ResultCode.UPSTREAM_TIMEOUT),
    ('load', AttemptOutcome.BROKE_BEFORE_ANSWER, True, None),
    ('write', AttemptOutcome.NOT_CONNECTED, True, None),
    ('write', AttemptOutcome.NOT_EXECUTED, True, None),
    ('write', AttemptOutcome.OTHER_UPSTREAM, True, None),
    (
        'write',
        AttemptOutcome.BROKE_BEFORE_ANSWER,
        False,
        ResultCode.UPSTREAM_BROKE,
    ),
    ('write', AttemptOutcome.SPOILED, False, ResultCode.SPOILED_ANSWER),
    ('write', AttemptOutcome.BROKE_IN_ANSWER, False, ResultCode.UPSTREAM_BROKE),
    ('write', AttemptOutcome.TIMED_OUT, False, ResultCode.UPSTREAM_TIMEOUT),
)


def _world(**options: object) -> World:
    return World((_READ, _WRITE, _LOAD), _UPSTREAMS, **options)


def _codes(world: World) -> list[ResultCode]:
    return [answer.code for answer in of_type(world.effects, AnswerResult)]


@pytest.mark.parametrize(('name', 'outcome', 'retried', 'code'), _OUTCOMES)
def test_retry_after_first_attempt(
    name: str,
    outcome: AttemptOutcome,
    retried: bool,
    code: ResultCode | None,
) -> None:
    world = _world()
    number = world.ask(name)
    world.end(number, outcome)
    sent = world.sent(number)
    assert len(sent) == (2 if retried else 1)
    assert len(set(sent)) == len(sent)
    assert _codes(world) == ([code] if code else [])


@pytest.mark.parametrize('name', ['read', 'write'])
def test_refused_only_if_never_executed(name: str) -> None:
    world = _world()
    number = world.ask(name)
    world.end(number, AttemptOutcome.NOT_EXECUTED)
    world.end(number, AttemptOutcome.NOT_EXECUTED)
    (code,) = _codes(world)
    assert code is ResultCode.UPSTREAM_SHED
    assert code.certainty is Certainty.NOT_RUN


def test_possibly_executed_request_is_not_reported_as_refused() -> None:
    world = _world()
    number = world.ask('read')
    world.end(number, AttemptOutcome.BROKE_BEFORE_ANSWER)
    world.end(number, AttemptOutcome.NOT_EXECUTED)
    (code,) = _codes(world)
    assert code.certainty is Certainty.UNKNOWN


def test_max_attempts_of_the_route_limits_sends() -> None:
    world = World((route('read', max_attempts=3),), _UPSTREAMS)
    number = world.ask()
    for _ in range(3):
        world.end(number, AttemptOutcome.BROKE_BEFORE_ANSWER)
    assert len(world.sent(number)) == 3
    assert _codes(world) == [ResultCode.UPSTREAM_BROKE]


def test_failed_connections_are_limited() -> None:
    many = tuple(upstream(str(name)) for name in range(9))
    world = World((_READ,), many)
    number = world.ask()
    while number in world.state.requests:
        world.end(number, AttemptOutcome.NOT_CONNECTED)
    assert len(world.sent(number)) == 4
    assert _codes(world) == [ResultCode.UPSTREAM_UNREACHABLE]


@pytest.mark.parametrize('name', ['read', 'write'])
def test_misdirected_request_is_retried_at_other_upstreams(
    name: str,
) -> None:
    # On a day on which addresses were reassigned, callers were refused after
    # two absent upstreams, with 12 s of their time left.
    many = tuple(upstream(str(name)) for name in range(9))
    world = World((_READ, _WRITE), many)
    number = world.ask(name)
    for _ in range(2):
        world.end(number, AttemptOutcome.OTHER_UPSTREAM)
    assert len(set(world.sent(number))) == 3
    world.end(number)
    assert not _codes(world)


def test_misdirected_attempts_are_limited() -> None:
    many = tuple(upstream(str(name)) for name in range(9))
    world = World((_READ,), many)
    number = world.ask()
    while number in world.state.requests:
        world.end(number, AttemptOutcome.OTHER_UPSTREAM)
    assert len(world.sent(number)) == 4
    assert _codes(world) == [ResultCode.UPSTREAM_UNREACHABLE]


def test_request_without_buffered_body_is_not_retried() -> None:
    world = _world()
    number = world.ask()
    world.end(number, AttemptOutcome.NOT_EXECUTED, replayable=False)
    assert len(world.sent(number)) == 1


def test_upstream_gets_the_remaining_time() -> None:
    world = _world()
    number = world.ask(time_left=1.5)
    world.now += 0.6
    world.end(number, AttemptOutcome.BROKE_BEFORE_ANSWER)
    sends = of_type(world.effects, SendUpstream)
    assert [round(send.deadline - world.now, 6) for send in sends] == [0.9, 0.9]


def test_route_timeout_limits_the_time_of_the_caller() -> None:
    world = _world()
    world.ask(time_left=30.0)
    (send,) = of_type(world.effects, SendUpstream)
    assert round(send.deadline - world.now, 6) == _READ.timeout
    assert send.give_up_at - send.deadline < 0.25


@pytest.mark.parametrize(('name', 'cancelled'), [('read', 1), ('write', 0)])
def test_attempt_after_the_caller_has_left(name: str, cancelled: int) -> None:
    world = _world()
    number = world.ask(name)
    world.run(CallerGone(world.now, number))
    assert len(of_type(world.effects, CancelAttempt)) == cancelled
    world.end(number, AttemptOutcome.BROKE_BEFORE_ANSWER)
    assert len(world.sent(number)) == 1
    assert not _codes(world)
    assert not world.state.requests


def test_late_end_of_an_earlier_attempt_is_ignored() -> None:
    world = _world()
    number = world.ask()
    world.end(number, AttemptOutcome.NOT_EXECUTED)
    request = world.state.requests[number]
    request.attempts += 1
    world.end(number)
    request.attempts -= 1
    assert number in world.state.requests or world.sent(number)


@pytest.mark.parametrize(
    ('host', 'target', 'code'),
    [
        ('orders.example', '/nowhere/', ResultCode.UNKNOWN_ROUTE),
        ('other.example', '/read/', ResultCode.UNKNOWN_ROUTE),
    ],
)
def test_unknown_route(host: str, target: str, code: ResultCode) -> None:
    world = _world()
    world.ask(host=host, target=target)
    assert _codes(world) == [code]


def test_missing_configuration_is_not_an_unknown_route() -> None:
    world = _world()
    fresh = World.__new__(World)
    fresh.__dict__.update(world.__dict__)
    fresh.state = type(world.state).from_settings(
        world.state.settings, world.state.who, world.now, 1
    )
    fresh.effects = []
    fresh.ask()
    assert _codes(fresh) == [ResultCode.NOT_READY]


def test_removed_route_is_unknown_from_its_version_on() -> None:
    world = _world()
    world.run(ConfigurationRead(world.now, configuration(2, (_WRITE,))))
    world.ask('read')
    assert _codes(world) == [ResultCode.UNKNOWN_ROUTE]


def test_refusal_has_a_retry_time() -> None:
    world = World((_READ,), ())
    world.ask()
    (answer,) = of_type(world.effects, AnswerResult)
    assert answer.code is ResultCode.NO_SLOT
    assert 0 < answer.retry_after <= 1


def test_request_with_expired_deadline_is_not_sent() -> None:
    world = _world()
    number = world.ask(time_left=0.0)
    assert not world.sent(number)
    assert _codes(world) == [ResultCode.DEADLINE_EXPIRED]


def test_request_is_refused_if_the_queue_exceeds_the_target() -> None:
    world = World((_READ,), (upstream('1'),))
    while not _codes(world):
        world.ask()
        assert world.requests < 50
    assert _codes(world) == [ResultCode.QUEUE_FULL]
    assert 3 < world.requests < 20


def test_retrying_caller_may_wait_longer() -> None:
    world = World((_READ,), (upstream('1'),))
    while not _codes(world):
        world.ask()
    number = world.ask(time_left=1.7)
    assert world.sent(number)


def test_leaving_entry_first_serves_then_refuses() -> None:
    world = _world(bounds=SteeringBounds(grace_period=6))
    world.run(StopRequested(world.now))
    assert world.sent(world.ask())
    world.wait(3.6)
    world.ask()
    assert _codes(world) == [ResultCode.ENTRY_LEAVING]


@pytest.mark.parametrize(
    ('name', 'rerouted'), [('read', True), ('write', False), ('load', False)]
)
def test_retriable_requests_leave_an_unresponsive_upstream(
    name: str, rerouted: bool
) -> None:
    # An upstream that never answered once had no failures counted against it
    # (incident inc-4fbf).
    world = _world()
    number = world.ask(name)
    (unresponsive,) = world.sent(number)
    world.wait(1.4)
    assert len(set(world.sent(number))) == 1 + rerouted
    # The attempt goes on until the other one has an answer.
    assert not of_type(world.effects, CancelAttempt)
    others = {world.sent(world.ask(name))[0] for _ in range(6)}
    assert unresponsive not in others


def test_responsive_upstream_keeps_its_slow_request() -> None:
    world = World((_READ,), (upstream('1'), upstream('2')))
    world.ask(key='k')
    for _ in range(10):
        quick = world.ask(key='k')
        world.wait(0.15)
        world.end(quick)
    assert not of_type(world.effects, CancelAttempt)


def test_caller_timeouts_count_against_the_upstream() -> None:
    world = World((route('read', max_attempts=1),), _UPSTREAMS)
    (unresponsive,) = world.sent(world.ask(key='k'))
    for _ in range(3):
        number = world.ask(key='k')
        world.state.requests[number].current.sent_at -= 1.9
        world.run(CallerGone(world.now, number))
        world.end(number, AttemptOutcome.CANCELLED, status=0)
    assert unresponsive not in world.sent(world.ask(key='k'))
