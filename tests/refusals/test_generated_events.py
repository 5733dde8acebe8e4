"""Nothing that must not repeat is sent while an earlier send may have run."""

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.steering.test_passing import lost_world
from tests.steering.world import World, of_type, route, upstream
from worksrail.core.availability import AvailabilityNotice
from worksrail.core.results import Certainty, ResultCode
from worksrail.core.steering import RouteKind
from worksrail.core.steering.effects import (
    AnswerResult,
    PassRequest,
    SendUpstream,
)
from worksrail.core.steering.events import (
    AttemptEnded,
    AttemptOutcome,
    CallerGone,
    NoticeReceived,
    PassEnded,
    PassRefusal,
    Ticked,
)

_WRITE = route('write', kind=RouteKind.AT_MOST_ONCE, max_attempts=4, timeout=9)
_UPSTREAMS = [upstream(f'i-{number}') for number in range(6)]
# Outcomes that prove that nothing was executed.
_PROVEN = frozenset(
    (
        AttemptOutcome.NOT_CONNECTED,
        AttemptOutcome.WITHDRAWN,
        AttemptOutcome.CANCELLED_UNSENT,
        AttemptOutcome.NOT_EXECUTED,
        AttemptOutcome.OTHER_UPSTREAM,
    )
)
_CODES = [
    code
    for code in ResultCode
    if code.certainty in {Certainty.NOT_RUN, Certainty.UNKNOWN}
]
_BESIDE = ('tick', 'caller gone', 'head')
_AT_UPSTREAMS = (*AttemptOutcome, *_BESIDE)
# An entry answers in its own name or passes on how an attempt ended.
_AT_ENTRIES = (*_AT_UPSTREAMS, *_CODES)


def _may_have_run(event: Any) -> bool:
    """Return whether an attempt that ended so may have been executed."""
    if isinstance(event, ResultCode):
        return event.certainty is not Certainty.NOT_RUN
    return event not in _PROVEN


def _end(world: World, number: int, event: Any) -> bool:
    """Give an event to the current attempt; return whether it ended it."""
    request = world.state.requests[number]
    attempt = request.attempts
    if event == 'tick':
        world.wait(0.3)
        return False
    if event == 'caller gone':
        world.run(CallerGone(world.now, number))
        return False
    if event == 'head':
        world.run(
            NoticeReceived(world.now, number, attempt, AvailabilityNotice())
        )
        return False
    if not request.current.helper:
        if isinstance(event, ResultCode):
            return False
        world.run(AttemptEnded(world.now, number, attempt, event, 503))
        return True
    refusal = None
    outcome = event
    if isinstance(event, ResultCode):
        refusal = PassRefusal(event, 0, 1)
        proven = event.certainty is Certainty.NOT_RUN
        outcome = AttemptOutcome.BROKE_BEFORE_ANSWER
        if proven:
            outcome = AttemptOutcome.NOT_EXECUTED
    world.run(
        PassEnded(world.now, number, attempt, outcome, 503, refusal=refusal)
    )
    return True


def _sends(world: World) -> int:
    passes = of_type(world.effects, PassRequest)
    return len(of_type(world.effects, SendUpstream)) + len(passes)


def _play(world: World, events: list[Any]) -> None:
    number = world.ask('write', time_left=9)
    tainted = False
    for event in events:
        if number not in world.state.requests:
            break
        if not world.state.requests[number].under_way:
            world.run(Ticked(world.now))
            break
        before = _sends(world)
        tainted |= _end(world, number, event) and _may_have_run(event)
        if tainted:
            assert _sends(world) == before
    if tainted:
        for answer in of_type(world.effects, AnswerResult):
            assert answer.code.certainty is not Certainty.NOT_RUN


@pytest.mark.parametrize('first', _AT_UPSTREAMS)
def test_requests_at_upstreams(first: Any) -> None:
    for second in _AT_UPSTREAMS:
        _play(World((_WRITE,), _UPSTREAMS), [first, second, second])


@pytest.mark.parametrize('first', _AT_ENTRIES)
def test_requests_at_other_entries(first: Any) -> None:
    for second in _AT_UPSTREAMS:
        _play(lost_world(routes=(_WRITE,)), [first, second, second])


@given(events=st.lists(st.sampled_from(_AT_UPSTREAMS), max_size=8))
def test_sequences_at_upstreams(events: list[Any]) -> None:
    _play(World((_WRITE,), _UPSTREAMS), events)


@given(events=st.lists(st.sampled_from(_AT_ENTRIES), max_size=8))
def test_sequences_at_other_entries(events: list[Any]) -> None:
    _play(lost_world(routes=(_WRITE,)), events)
