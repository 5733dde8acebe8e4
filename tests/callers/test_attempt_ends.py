"""Every attempt reports its end exactly once, whatever ends its task."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from logbook import TestHandler
from tornado.http1connection import HTTP1Connection

from tests.callers.attempts import (
    Attempts,
    OwnAttempts,
    SteeredAttempts,
    turns,
)
from tests.platform.upstream import RawUpstream, Reply, answer
from worksrail.daemon.http._attempt import HttpAttempt
from worksrail.daemon.http._connections import ConnectionPool
from worksrail.daemon.http._exchange import Exchange
from worksrail.daemon.steered._requests import SteeredRequests
from worksrail.daemon.steered._sink import SteeredSink

_MODES: dict[str, Callable[[Any], Attempts]] = {
    'own': OwnAttempts,
    'platform': SteeredAttempts,
}
_WAYS = ('send', 'pass_on')
# Turns after which an attempt is cancelled; the answer has come by the last.
_CANCELLED_AFTER = range(30)


async def _until_ended(attempts: Attempts) -> list[Any]:
    """Return the events that end attempts."""
    async with asyncio.timeout(30):
        while not _ends(attempts):
            await asyncio.sleep(0.001)
    # A second report would follow at once.
    await turns(5)
    return _ends(attempts)


def _ends(attempts: Attempts) -> list[Any]:
    return [
        event
        for event in attempts.ended
        if type(event).__name__ in {'AttemptEnded', 'PassEnded'}
    ]


# An attempt that was cancelled before its task began never reported its end.
@pytest.mark.parametrize('way', _WAYS)
@pytest.mark.parametrize('mode', _MODES)
def test_attempt_that_is_cancelled_at_any_moment_reports_its_end(
    mode: str, way: str
) -> None:
    async def run() -> None:
        raw = RawUpstream(lambda _, trace: Reply(answer(trace)))
        await raw.open()
        for count in _CANCELLED_AFTER:
            pool = ConnectionPool(lambda: 0.0)
            attempts = _MODES[mode](pool)
            getattr(attempts, way)(raw.address)
            await turns(count)
            attempts.cancel()
            ends = await _until_ended(attempts)
            assert len(ends) == 1, f'cancelled after {count} turns'
            pool.close()

    asyncio.run(run())


def _fail(error: Exception) -> Callable[..., Any]:
    def raise_error(*_: object, **__: object) -> Any:
        raise error

    return raise_error


_ERRORS = {
    'value': ValueError('odd'),
    'overflow': OverflowError('odd'),
    'encoding': UnicodeEncodeError('utf-8', '\udcff', 0, 1, 'odd'),
    'key': KeyError('odd'),
    'attribute': AttributeError('odd'),
    'recursion': RecursionError('odd'),
    'memory': MemoryError('odd'),
}
# Where an error is raised, and the outcomes that say truly whether the request
# may have been run, in each mode.
_PLACES = {
    (SteeredRequests, '_build_request'): {'NOT_CONNECTED'},
    (ConnectionPool, 'acquire'): {'NOT_CONNECTED', 'NOT_SENT'},
    (HTTP1Connection, 'write_headers'): {'NOT_CONNECTED', 'NOT_SENT'},
    (HttpAttempt, '_write_body'): {'BROKE_BEFORE_ANSWER'},
    (SteeredSink, 'judge'): {'BROKE_BEFORE_ANSWER'},
    (Exchange, 'judge'): {'BROKE_BEFORE_ANSWER'},
    (Exchange, 'start_answer'): {'BROKE_IN_ANSWER'},
    (Exchange, 'write'): {'BROKE_IN_ANSWER'},
    (Exchange, 'end'): {'BROKE_IN_ANSWER'},
}
_OF_ONE_MODE = {
    (SteeredRequests, '_build_request'): 'platform',
    (SteeredSink, 'judge'): 'platform',
    (Exchange, 'judge'): 'own',
}


# An error of a type that nobody had foreseen ended the task of an attempt, and
# its request never got an answer.
@pytest.mark.parametrize('error', _ERRORS)
@pytest.mark.parametrize('place', _PLACES, ids=lambda place: place[1])
@pytest.mark.parametrize('mode', _MODES)
def test_attempt_with_an_unforeseen_error_reports_its_end(
    mode: str,
    place: tuple[type, str],
    error: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> list[Any]:
        raw = RawUpstream(lambda _, trace: Reply(answer(trace)))
        await raw.open()
        pool = ConnectionPool(lambda: 0.0)
        attempts = _MODES[mode](pool)
        for name in ('start_answer', 'write'):
            monkeypatch.setattr(Exchange, name, _take)
        monkeypatch.setattr(Exchange, 'end', lambda _: None)
        monkeypatch.setattr(Exchange, 'break_off', lambda _: None)
        monkeypatch.setattr(place[0], place[1], _fail(_ERRORS[error]))
        attempts.send(raw.address)
        ends = await _until_ended(attempts)
        pool.close()
        return ends

    if _OF_ONE_MODE.get(place, mode) != mode:
        return
    with TestHandler() as logs:
        (end,) = asyncio.run(run())
    assert end.outcome.name in _PLACES[place]
    (line,) = [
        record
        for record in logs.records
        if record.msg == 'attempt failed unexpectedly'
    ]
    assert line.extra['request'] == 'trace-1'


async def _take(*_: object) -> None:
    """Take a part of an answer."""
