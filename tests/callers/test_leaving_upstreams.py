"""What upstreams still do for callers that have left, over real sockets."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from tests.callers.leaving import WAYS, LeavingCaller, until
from tests.callers.watching import WatchingUpstream
from tests.platform.test_upstream_faults import Entry
from tests.platform.upstream import RawUpstream, Reply, answer
from tests.steering.world import configuration, route
from tests.steering.world import upstream as upstream_record
from worksrail.core.steering import RouteKind
from worksrail.core.steering.events import ConfigurationRead, UpstreamsListed
from worksrail.daemon.http._server import HttpLimits

_BODY = 40_000
_SLOTS = 64
# Longer than any test: only the caller ends a request.
_TIMEOUT_S = 60.0
_ROUTES = (
    route('read', timeout=_TIMEOUT_S, max_attempts=1),
    route(
        'write', timeout=_TIMEOUT_S, max_attempts=1, kind=RouteKind.AT_MOST_ONCE
    ),
)
_HEAD = (
    '{method} /{route}/x HTTP/1.1\r\nHost: orders.example\r\n'
    'Request-Id: {trace}\r\nDeadline-Ms: 60000\r\n{length}\r\n'
)


def request(trace: str, route: str = 'read', body: bytes = b'') -> bytes:
    """Return the bytes of a request."""
    method = 'POST' if body else 'GET'
    length = f'Content-Length: {len(body)}\r\n' if body else ''
    text = _HEAD.format(method=method, route=route, trace=trace, length=length)
    return text.encode() + body


def long_entry(
    upstream: WatchingUpstream | RawUpstream, turns: int = 8
) -> Entry:
    """Return an entry whose routes never end a request by themselves."""
    entry = Entry(upstream)  # type: ignore[arg-type]
    entry.server.limits = HttpLimits(turns=turns)
    now = entry.engine.now()
    entry.engine.dispatch(ConfigurationRead(now, configuration(2, _ROUTES)))
    record = upstream_record(
        'i-0', address=upstream.address, slots=_SLOTS, sequence=2
    )
    entry.engine.dispatch(UpstreamsListed(now, (record,)))
    return entry


Play = Callable[[LeavingCaller, WatchingUpstream, Entry], Awaitable[None]]


def _play(play: Play) -> None:
    async def run() -> None:
        upstream = await WatchingUpstream().open()
        entry = long_entry(upstream)
        caller = LeavingCaller(entry.open())
        try:
            await play(caller, upstream, entry)
        finally:
            caller.sock.close()
            entry.server.stop()
            await entry.server.close_connections()

    asyncio.run(run())


_BEHIND = {
    'nothing': b'',
    'half a head': request('next')[:20],
    'an empty line': b'\r\n',
    'one request': request('next-1'),
    'a write': request('next-1', 'write', b'abc'),
    'eight requests': b''.join(request(f'next-{n}') for n in range(8)),
    'more than is kept': request('next-1') * 50_000,
}


@pytest.mark.parametrize('way', WAYS)
@pytest.mark.parametrize('behind', _BEHIND)
def test_upstream_stops_working_for_a_caller_that_has_left(
    behind: str, way: str
) -> None:
    async def play(
        caller: LeavingCaller, upstream: WatchingUpstream, entry: Entry
    ) -> None:
        await caller.send(request('first') + _BEHIND[behind])
        assert await until(lambda: upstream.find('first'))
        WAYS[way](caller)
        assert await until(lambda: not tuple(upstream.open_works()))
        begun = len(upstream.works)
        assert await until(lambda: not entry.engine.state.requests)
        await asyncio.sleep(0.1)
        assert len(upstream.works) == begun

    _play(play)


@pytest.mark.parametrize('way', WAYS)
@pytest.mark.parametrize('behind', ['nothing', 'one request', 'a write'])
def test_write_goes_on_though_its_caller_has_left(
    behind: str, way: str
) -> None:
    async def play(
        caller: LeavingCaller, upstream: WatchingUpstream, entry: Entry
    ) -> None:
        await caller.send(request('first', 'write', b'abc') + _BEHIND[behind])
        assert await until(lambda: upstream.find('first'))
        WAYS[way](caller)
        gone = entry.engine.state.requests
        assert await until(
            lambda: all(one.caller_gone for one in gone.values())
        )
        await asyncio.sleep(0.1)
        work = upstream.find('first')
        assert work
        assert work.at_work
        work.release.set()
        assert await until(lambda: not entry.engine.state.requests)
        assert work.done
        await asyncio.sleep(0.1)
        assert len(upstream.works) == 1

    _play(play)


@pytest.mark.parametrize('route_name', ['read', 'write'])
@pytest.mark.parametrize('way', WAYS)
def test_body_is_given_back_with_the_request_of_a_caller_that_left(
    way: str, route_name: str
) -> None:
    async def play(
        caller: LeavingCaller, upstream: WatchingUpstream, entry: Entry
    ) -> None:
        held = entry.server.held
        await caller.send(request('first', route_name, bytes(_BODY)))
        assert await until(lambda: upstream.find('first'))
        assert held.held == _BODY
        WAYS[way](caller)
        if route_name == 'write':
            work = upstream.find('first')
            assert work
            work.release.set()
        assert await until(lambda: not entry.engine.state.requests)
        assert await until(lambda: not held.held)
        assert not entry.requests.exchanges

    _play(play)


# Whether the caller reads the answer before it leaves; if not, its entry and the
# upstream wait for it.
@pytest.mark.parametrize('reads', [True, False], ids=['reads', 'reads nothing'])
@pytest.mark.parametrize('behind', ['nothing', 'one request'])
@pytest.mark.parametrize('way', WAYS)
def test_answer_in_progress_ends_with_its_caller(
    way: str, behind: str, *, reads: bool
) -> None:
    async def run() -> None:
        def reply(_: int, trace: str) -> Reply:
            part = answer(trace, body='x' * 200)[:200]
            head = part.replace(b'Length: 200', b'Length: 1000000000')
            return Reply(head, endless=b'x' * 65_536)

        upstream = await RawUpstream(reply).open()
        entry = long_entry(upstream)
        caller = LeavingCaller(entry.open())
        await caller.send(request('first') + _BEHIND[behind])
        assert await until(lambda: upstream.endless_taken > 300_000)
        if reads:
            await caller.read(1_000_000)
        WAYS[way](caller)
        assert await until(lambda: not entry.engine.state.requests)
        assert await until(lambda: not entry.server.held.held)
        assert upstream.endless_taken < upstream.most_endless
        caller.sock.close()
        entry.server.stop()
        await entry.server.close_connections()

    asyncio.run(run())
