"""Unexpected errors in the handlers of events."""

import asyncio
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.platform.test_upstream_faults import Entry
from tests.platform.upstream import RawUpstream, Reply, answer
from tests.steering.world import (
    World,
    configuration,
    digest,
    of_type,
    route,
    settings,
    upstream,
)
from worksrail.core.availability import NO_NOTICE
from worksrail.core.results import Certainty, ResultCode
from worksrail.core.steering import RouteKind
from worksrail.core.steering import _on_time as on_time
from worksrail.core.steering import _reducer as reducer
from worksrail.core.steering.effects import (
    AnswerResult,
    CancelAttempt,
    Decision,
    DecisionKind,
    SendDigest,
    SendUpstream,
)
from worksrail.core.steering.events import (
    AttemptEnded,
    AttemptOutcome,
    CallerGone,
    ConfigurationRead,
    DigestReceived,
    EvacuationsRead,
    NoticeReceived,
    PathProbed,
    RequestArrived,
    SettingsReloaded,
    SteeredHead,
    StopRequested,
    StoreAnswered,
    StoreChecked,
    StoreLost,
    StoreUpdateFailed,
    Ticked,
    UpstreamsChanged,
    UpstreamsListed,
)
from worksrail.core.steering.kinds import StoreKind

_NOW = 200.0
_HEAD = SteeredHead('t9', 'orders.example', 'GET', '/read/x', 2.0, '')
_KIND = StoreKind.UPSTREAMS


def _world(kind: RouteKind = RouteKind.IDEMPOTENT) -> World:
    return World(
        (route(kind=kind, max_attempts=1),), (upstream('1'), upstream('2'))
    )


def _events(number: int) -> list[Any]:
    """Return one event of each type, for a request in progress or none."""
    return [
        Ticked(_NOW),
        ConfigurationRead(_NOW, configuration(2, (route(),)), 2),
        UpstreamsListed(_NOW, (upstream('1'),), 2),
        UpstreamsChanged(_NOW, (), (), 2),
        EvacuationsRead(_NOW, frozenset(), 2),
        StoreLost(_NOW, _KIND, 'gone'),
        StoreAnswered(_NOW, _KIND),
        StoreChecked(_NOW),
        StoreUpdateFailed(_NOW, _KIND, 'peer'),
        DigestReceived(_NOW, digest('two')),
        RequestArrived(_NOW, 9, _HEAD),
        CallerGone(_NOW, number),
        AttemptEnded(_NOW, number, 1, AttemptOutcome.TIMED_OUT),
        AttemptEnded(_NOW, number, 1, AttemptOutcome.ANSWERED, 200),
        NoticeReceived(_NOW, number, 1, NO_NOTICE, begins=True),
        PathProbed(_NOW, '1', False),
        SettingsReloaded(_NOW, settings()),
        StopRequested(_NOW),
    ]


def _raise_in(
    monkeypatch: pytest.MonkeyPatch, event: Any, *, late: bool
) -> None:
    """Let the handler of an event fail, before or behind all its work."""
    kind = type(event)
    whole = reducer._HANDLERS[kind]

    def handler(state: Any, given: Any) -> Iterator[Any]:
        if late:
            yield from whole(state, given)
        raise OverflowError('int too large to convert to float')

    monkeypatch.setitem(reducer._HANDLERS, kind, handler)


_COUNT = len(_events(0))


# An error in the middle of an event took all its effects with it: requests were
# left without an answer, and the process ended.
@pytest.mark.parametrize('late', [False, True], ids=['early', 'late'])
@pytest.mark.parametrize('index', range(_COUNT))
def test_error_in_a_handler_costs_only_the_request_of_its_event(
    index: int, late: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = _world()
    mine, other = world.ask(), world.ask()
    event = _events(mine)[index]
    world.now = _NOW
    with monkeypatch.context() as patch:
        _raise_in(patch, event, late=late)
        effects = world.run(event)
    (failure,) = [
        one
        for one in of_type(effects, Decision)
        if one.kind is DecisionKind.HANDLER_FAILED
    ]
    assert failure.subject == type(event).__name__
    assert 'OverflowError' in str(dict(failure.inputs)['error'])
    own = getattr(event, 'request', 0)
    answers = of_type(effects, AnswerResult)
    assert {one.request for one in answers} == ({own} if own else set())
    for one in answers:
        sent = {
            effect.request for effect in of_type(world.effects, SendUpstream)
        }
        is_unsent = one.code.certainty is Certainty.NOT_RUN
        assert is_unsent is (one.request not in sent)
    # The other request, and those that come next, are served.
    assert other in world.state.requests
    world.end(other)
    for number in tuple(world.state.requests):
        world.end(number)
    assert not world.state.requests
    in_flight = world.state.loads.own_in_flight()
    assert not in_flight


@pytest.mark.parametrize('index', range(len(on_time._UPKEEP)))
def test_error_in_a_step_leaves_all_other_steps(
    index: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = _world()

    def failing(state: Any, now: float) -> Iterator[Any]:
        raise ZeroDivisionError

    steps = list(on_time._UPKEEP)
    steps[index] = failing
    monkeypatch.setattr(on_time, '_UPKEEP', tuple(steps))
    effects = world.wait(1)
    assert of_type(effects, SendDigest) or not world.state.fleet.addresses
    failures = [
        one.subject
        for one in of_type(effects, Decision)
        if one.kind is DecisionKind.HANDLER_FAILED
    ]
    assert set(failures) == {'failing'}
    number = world.ask()
    world.end(number)
    assert not world.state.requests


_ATTEMPT_ENDS = [
    AttemptOutcome.ANSWERED,
    AttemptOutcome.BROKE_BEFORE_ANSWER,
    AttemptOutcome.NOT_EXECUTED,
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.NOT_CONNECTED,
]
_plays = st.lists(
    st.tuples(
        st.sampled_from(['ask', 'end', 'leave', 'wait', 'overdue']),
        st.integers(0, 9),
        st.sampled_from(_ATTEMPT_ENDS),
        st.booleans(),
    ),
    max_size=60,
)


@given(plays=_plays)
def test_each_request_ends_once_whatever_fails(plays: list[Any]) -> None:
    """Let events come in any order, and some of their handlers fail."""
    with pytest.MonkeyPatch.context() as patch:
        world = World((route(max_attempts=2),), (upstream('1'), upstream('2')))
        failing = False
        ended: list[int] = []
        real = dict(reducer._HANDLERS)

        def wrap(kind: type) -> Any:
            def handler(state: Any, event: Any) -> Iterator[Any]:
                for effect in real[kind](state, event):
                    yield effect
                    if failing:
                        raise RuntimeError
                if failing:
                    raise RuntimeError

            return handler

        for kind in real:
            patch.setitem(reducer._HANDLERS, kind, wrap(kind))
        for what, pick, outcome, fails in plays:
            failing = fails
            begun = sorted(world.state.requests)
            if what == 'ask':
                world.ask()
            elif what == 'wait':
                world.wait(0.1)
            elif begun:
                number = begun[pick % len(begun)]
                if what == 'leave':
                    world.run(CallerGone(world.now, number))
                elif world.state.requests[number].under_way:
                    world.end(number, outcome)
            failing = False
        for number in tuple(world.state.requests):
            while number in world.state.requests:
                world.end(number, AttemptOutcome.TIMED_OUT, status=0)
        ended = [one.request for one in of_type(world.effects, AnswerResult)]
        assert len(ended) == len(set(ended))
        assert not world.state.loads.own_in_flight()
        assert not world.state.requests


async def _ask_without_attempts() -> tuple[float, bytes]:
    raw = await RawUpstream(lambda _, trace: Reply(answer(trace))).open()
    entry = Entry(raw)
    entry.engine.runners[SendUpstream] = lambda _: None
    port = entry.open()
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    began = loop.time()
    writer.write(
        b'GET /read/x HTTP/1.1\r\nHost: orders.example\r\n'
        b'Request-Id: t1\r\nDeadline-Ms: 300\r\n\r\n'
    )
    reading = asyncio.ensure_future(reader.readuntil(b'\r\n\r\n'))
    while not reading.done() and loop.time() - began < 5:
        await asyncio.sleep(0.05)
        entry.requests.end_overdue()
    took = loop.time() - began
    writer.close()
    return took, await reading if reading.done() else b''


def test_request_that_nothing_ends_is_answered_after_its_deadline() -> None:
    # Nothing watched over requests whose attempts never end.
    _, head = asyncio.run(_ask_without_attempts())
    assert head.startswith(b'HTTP/1.1 504 ')


def test_effect_that_cannot_be_started_leaves_the_others() -> None:
    async def run() -> list[Decision]:
        raw = await RawUpstream(lambda _, trace: Reply(answer(trace))).open()
        entry = Entry(raw)

        def fail(effect: object) -> None:
            raise KeyError(1)

        entry.engine.runners[SendUpstream] = fail
        entry.engine.dispatch(
            RequestArrived(entry.engine.now(), 1, replace(_HEAD, trace='t1'))
        )
        return entry.notes

    kinds = [one.kind for one in asyncio.run(run())]
    assert DecisionKind.HANDLER_FAILED in kinds
    assert kinds.index(DecisionKind.REQUEST_SENT) > kinds.index(
        DecisionKind.HANDLER_FAILED
    )


def test_overdue_request_is_cancelled_and_answered() -> None:
    world = _world(RouteKind.AT_MOST_ONCE)
    number = world.ask()
    world.now += 9
    effects = world.run(reducer._failing.RequestOverdue(world.now, number))
    assert of_type(effects, CancelAttempt)
    (answered,) = of_type(effects, AnswerResult)
    assert answered.code is ResultCode.UPSTREAM_TIMEOUT
    assert not world.state.loads.own_in_flight()
