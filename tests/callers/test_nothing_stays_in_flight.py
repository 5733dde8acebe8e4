"""What an entry still holds after callers have left, over real sockets."""

import asyncio
from collections.abc import Iterator

import pytest

from tests.callers.leaving import WAYS, LeavingCaller, until
from tests.callers.test_leaving_upstreams import request
from tests.platform.test_upstream_faults import Entry
from tests.platform.upstream import RawUpstream, Reply, answer
from worksrail.core.steering.effects import DecisionKind

_BODY = bytes(20_000)
# Turns of the event loop between the request and its caller's departure; the
# answer has come by the last of them.
_TURNS = range(40)

_REQUESTS = {
    'safe': request('a'),
    'unsafe': request('a', 'write', b'abc'),
    'unsafe with a body': request('a', 'write', _BODY),
    'half a body': request('a', 'write', _BODY)[:-10_000],
    'five at once': b''.join(request(f'a-{n}') for n in range(5)),
    'safe before unsafe': request('a') + request('b', 'write', b'abc'),
}


def _held(entry: Entry) -> Iterator[tuple[str, float]]:
    """Yield what is held for requests, by name."""
    state = entry.engine.state
    yield 'requests', len(state.requests)
    yield 'exchanges', len(entry.requests.exchanges)
    yield 'waiting', len(state.rates.waiting)
    yield 'bytes', entry.server.held.held
    yield 'receiving', len(entry.server.open.receiving)
    yield 'connections', len(entry.server.open.connections)
    for name, load in state.loads.loads.items():
        yield f'slots of {name}', load.own


def _is_idle(entry: Entry) -> bool:
    return not any(count for _, count in _held(entry))


async def _leave_after(
    entry: Entry, port: int, payload: bytes, way: str, turns: int
) -> None:
    caller = LeavingCaller(port)
    try:
        caller.sock.send(payload)
        for _ in range(turns):
            await asyncio.sleep(0)
        WAYS[way](caller)
        await until(lambda: _is_idle(entry))
    finally:
        caller.sock.close()


# An attempt that was cancelled before its task began never reported its end.
@pytest.mark.parametrize('way', WAYS)
@pytest.mark.parametrize('kind', _REQUESTS)
def test_nothing_stays_in_flight_whenever_its_caller_leaves(
    kind: str, way: str
) -> None:
    async def run() -> None:
        raw = RawUpstream(lambda _, trace: Reply(answer(trace)))
        entry = Entry(await raw.open())
        port = entry.open()
        for turns in _TURNS:
            await _leave_after(entry, port, _REQUESTS[kind], way, turns)
            held = {name: count for name, count in _held(entry) if count}
            assert not held, f'after {turns} turns'
        entry.server.stop()

    asyncio.run(run())


# An attempt that was cancelled before it had a connection counted as a failure
# of its upstream.
@pytest.mark.parametrize('kind', ['safe', 'five at once'])
def test_upstream_has_no_failure_whenever_callers_leave(kind: str) -> None:
    async def run() -> None:
        raw = RawUpstream(lambda _, trace: Reply(answer(trace)))
        entry = Entry(await raw.open())
        port = entry.open()
        for turns in _TURNS:
            await _leave_after(entry, port, _REQUESTS[kind], 'close', turns)
        entry.server.stop()
        assert not entry.engine.state.loads.of('i-0').failures
        ejected = [
            note
            for note in entry.notes
            if note.kind is DecisionKind.UPSTREAM_EJECTED
        ]
        assert not ejected

    asyncio.run(run())
