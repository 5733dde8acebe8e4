"""Reuse of idle connections."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import pytest
from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer
from tornado.testing import bind_unused_port

from worksrail.core.effects import SendUpstream
from worksrail.core.requests import TicketSigner
from worksrail.daemon.http._body import REPLAY_LIMIT
from worksrail.daemon.http._connections import Acquired, ConnectionPool
from worksrail.daemon.http._exchange import Exchange
from worksrail.daemon.http._requests import HttpRequests


class Accepting(TCPServer):
    """Accepts connections and keeps them open."""

    streams: list[IOStream]

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Store the stream."""
        self.streams.append(stream)


class Pool:
    """A connection pool with its clock and the server."""

    def __init__(self, address: str, server: Accepting) -> None:
        """Create an empty pool."""
        self.now = 100.0
        self.address = address
        self.server = server
        self.pool = ConnectionPool(lambda: self.now)

    async def acquire_one(self, *, repeatable: bool = True) -> Acquired:
        """Acquire a connection."""
        return await self.pool.acquire(self.address, 5, repeatable=repeatable)

    def release(
        self, acquired: Acquired, keep_alive_timeout: float | None = None
    ) -> None:
        """Release a connection after a complete answer."""
        self.pool.release(self.address, acquired, keep_alive_timeout)


def _run_with_pool(use: Callable[[Pool], Awaitable[Any]]) -> Any:
    async def run() -> Any:
        server = Accepting()
        server.streams = []
        listening, port = bind_unused_port(address='127.0.0.1')
        server.add_socket(listening)
        pool = Pool(f'127.0.0.1:{port}', server)
        try:
            async with asyncio.timeout(30):
                return await use(pool)
        finally:
            pool.pool.close()
            server.stop()

    return asyncio.run(run())


@pytest.mark.parametrize(
    ('keep_alive_timeout', 'idle', 'reused'),
    [
        (None, 29, True),
        (None, 31, False),
        (10, 7.9, True),
        (10, 8.1, False),
        (0, 0.1, False),
        (100, 31, False),
    ],
)
def test_idle_connection_is_reused_within_the_keep_alive_timeout(
    keep_alive_timeout: float | None, idle: float, reused: bool
) -> None:
    async def use(pool: Pool) -> bool:
        first = await pool.acquire_one()
        pool.release(first, keep_alive_timeout)
        pool.now += idle
        return (await pool.acquire_one()).stream is first.stream

    assert _run_with_pool(use) is reused


@pytest.mark.parametrize(
    ('failed_after', 'idle', 'later', 'reused'),
    [
        # The server dropped a connection within 2 s of idleness: for 10 s
        # only those idle for at most half of that are reused.
        (0.05, 1.2, 0, False),
        (0.05, 0.8, 0, True),
        (0.05, 1.2, 10, True),
        # A later failure is one of the upstream, not a stale connection.
        (0.4, 1.2, 0, True),
    ],
)
def test_silently_dropped_connections_are_not_reused(
    failed_after: float, idle: float, later: float, reused: bool
) -> None:
    async def use(pool: Pool) -> bool:
        dropped, other = await pool.acquire_one(), await pool.acquire_one()
        pool.release(dropped)
        pool.now += 2
        dropped = await pool.acquire_one()
        assert dropped.idle_for == 2
        pool.pool.record_failure(dropped, failed_after)
        pool.now += later
        pool.release(other)
        pool.now += idle
        return (await pool.acquire_one()).stream is other.stream

    assert _run_with_pool(use) is reused


def test_failure_of_a_new_connection_does_not_affect_idle_ones() -> None:
    async def use(pool: Pool) -> bool:
        first, second = await pool.acquire_one(), await pool.acquire_one()
        pool.pool.record_failure(first, 0.01)
        pool.release(second)
        pool.now += 20
        return (await pool.acquire_one()).stream is second.stream

    assert _run_with_pool(use)


@pytest.mark.parametrize(
    ('idle', 'reused'),
    [
        # Nobody has seen a stale connection yet, and somebody must be first.
        (0.05, True),
        (0.15, False),
        (2, False),
    ],
)
def test_first_stale_connection_is_not_met_by_a_request_that_must_run_once(
    idle: float, reused: bool
) -> None:
    async def use(pool: Pool) -> bool:
        first = await pool.acquire_one()
        pool.release(first)
        pool.now += idle
        found = await pool.acquire_one(repeatable=False)
        return found.stream is first.stream

    assert _run_with_pool(use) is reused


@pytest.mark.parametrize(
    ('stale_idle', 'later', 'idle', 'repeatable', 'reused'),
    [
        # Half of the idle time of the stale connection may still be too long,
        # and so may any other: upstreams differ.
        (2, 0, 0.05, False, False),
        (2, 9.8, 0.05, False, False),
        (2, 10, 0.05, False, True),
        (0.02, 0, 0.01, False, False),
        (2, 0, 0.05, True, True),
        (2, 0, 0.9, True, True),
    ],
)
def test_after_a_stale_connection_requests_that_must_run_once_get_new_ones(
    stale_idle: float,
    later: float,
    idle: float,
    repeatable: bool,
    reused: bool,
) -> None:
    async def use(pool: Pool) -> bool:
        stale, other = await pool.acquire_one(), await pool.acquire_one()
        pool.release(stale)
        pool.now += stale_idle
        pool.pool.record_failure(await pool.acquire_one(), 0.01)
        pool.now += later
        pool.release(other)
        pool.now += idle
        found = await pool.acquire_one(repeatable=repeatable)
        return found.stream is other.stream

    assert _run_with_pool(use) is reused


def test_requests_that_must_run_once_do_not_accumulate_connections() -> None:
    async def use(pool: Pool) -> tuple[int, int]:
        for _ in range(2):
            # Two connections rest; each replaced one is the eldest.
            first, second = await pool.acquire_one(), await pool.acquire_one()
            pool.release(first)
            pool.release(second)
        for _ in range(20):
            pool.now += 1
            pool.release(await pool.acquire_one(repeatable=False))
        idle = pool.pool.idle[pool.address]
        return len(idle), len({id(one.stream) for one in idle})

    assert _run_with_pool(use) == (2, 2)


def test_rested_connection_is_kept_for_requests_that_may_be_repeated() -> None:
    async def use(pool: Pool) -> bool:
        eldest, rested = await pool.acquire_one(), await pool.acquire_one()
        pool.release(eldest)
        pool.release(rested)
        pool.now += 1
        await pool.acquire_one(repeatable=False)
        assert eldest.stream.closed()
        return (await pool.acquire_one()).stream is rested.stream

    assert _run_with_pool(use)


class ClosedStreamClient:
    """Returns connections that were reset right after connecting."""

    async def connect(self, *_: Any, **options: Any) -> IOStream:
        """Return a closed stream."""
        stream = IOStream(socket.socket())
        stream.close()
        return stream


def test_connection_closed_right_after_connecting_raises_os_error() -> None:
    # Soak test, seed 20261202: such a connection raised an error that ended
    # the task that watches the store, and with it the process.
    async def use(pool: Pool) -> None:
        pool.pool.client = ClosedStreamClient()  # type: ignore[assignment]
        with pytest.raises(OSError, match='no connection'):
            await pool.acquire_one()

    _run_with_pool(use)


def test_connection_closed_by_the_server_is_not_reused() -> None:
    async def use(pool: Pool) -> bool:
        first = await pool.acquire_one()
        pool.release(first)
        while not pool.server.streams:
            await asyncio.sleep(0)
        pool.server.streams[0].close()
        while not first.stream.closed():
            await asyncio.sleep(0)
        return (await pool.acquire_one()).stream is first.stream

    assert not _run_with_pool(use)


class RecordingPool:
    """Has no connections and records for what they were asked."""

    def __init__(self) -> None:
        """Begin with no requests."""
        self.repeatable: list[bool] = []

    async def acquire(
        self, *_: Any, repeatable: bool, identifier: str
    ) -> Acquired:
        """Record whether the request may be repeated."""
        assert identifier == 't'
        self.repeatable.append(repeatable)
        raise OSError('no connection')


@pytest.mark.parametrize(
    ('idempotent', 'size', 'repeatable'),
    [
        (True, 0, True),
        (True, REPLAY_LIMIT + 1, False),
        (False, 0, False),
    ],
)
def test_own_mode_tells_the_pool_which_requests_may_be_repeated(
    idempotent: bool, size: int, repeatable: bool
) -> None:
    async def send() -> None:
        exchange = Exchange(
            connection,
            RequestStartLine('GET', '/', 'HTTP/1.1'),
            HTTPHeaders({'Host': 'orders.example'}),
            '10.0.0.1',
            't',
            1,
        )
        exchange.body.size = size
        requests.exchanges[1] = exchange
        requests.send_upstream(
            SendUpstream(1, 'u', '127.0.0.1:1', 9.0, 9.0, idempotent)
        )
        async with asyncio.timeout(30):
            while not ended:
                await asyncio.sleep(0)

    ended: list[Any] = []
    connection: Any = None
    pool: Any = RecordingPool()
    active = SimpleNamespace(home='a', customer='')
    engine: Any = SimpleNamespace(
        now=lambda: 0.0,
        dispatch=ended.append,
        instance=SimpleNamespace(
            requests={1: active}, place=SimpleNamespace(region='a')
        ),
    )
    requests = HttpRequests(engine, pool, pool, lambda: TicketSigner((b's',)))
    asyncio.run(send())
    assert pool.repeatable == [repeatable]


# A late copy of an earlier refusal was taken for that of the same request.
def test_connection_that_refused_a_request_does_not_carry_it_again() -> None:
    async def use(pool: Pool) -> tuple[bool, bool]:
        first = await pool.acquire_one()
        first.history.refused.add('t1')
        pool.release(first)
        other = await pool.pool.acquire(pool.address, 5, identifier='t2')
        pool.release(other)
        again = await pool.pool.acquire(pool.address, 5, identifier='t1')
        return other.stream is first.stream, again.stream is first.stream

    assert _run_with_pool(use) == (True, False)


def test_connection_with_many_refusals_is_not_kept() -> None:
    async def use(pool: Pool) -> list[bool]:
        kept = []
        for count in (63, 64):
            first = await pool.acquire_one()
            first.history.refused.update(map(str, range(count)))
            pool.release(first)
            kept.append(not first.stream.closed())
        return kept

    assert _run_with_pool(use) == [True, False]
