"""Which idle connections are used again."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer
from tornado.testing import bind_unused_port

from worksrail.daemon.http._connections import Acquired, ConnectionPool


class Accepting(TCPServer):
    """Accepts connections and keeps them open."""

    streams: list[IOStream]

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Keep it."""
        self.streams.append(stream)


class Pool:
    """A pool, its clock and the other side."""

    def __init__(self, address: str, server: Accepting) -> None:
        """Begin without connections."""
        self.now = 100.0
        self.address = address
        self.server = server
        self.pool = ConnectionPool(lambda: self.now)

    async def take(self) -> Acquired:
        """A connection for a request."""
        return await self.pool.acquire(self.address, 5)

    def give(self, acquired: Acquired, kept_for: float | None = None) -> None:
        """Its answer was whole."""
        self.pool.release(self.address, acquired.stream, kept_for)


def _play(use: Callable[[Pool], Awaitable[Any]]) -> Any:
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
    ('kept_for', 'idle', 'used'),
    [
        (None, 29, True),
        (None, 31, False),
        (10, 7.9, True),
        (10, 8.1, False),
        (0, 0.1, False),
        (100, 31, False),
    ],
)
def test_idle_connection_is_used_while_the_other_side_keeps_it(
    kept_for: float | None, idle: float, used: bool
) -> None:
    async def use(pool: Pool) -> bool:
        first = await pool.take()
        pool.give(first, kept_for)
        pool.now += idle
        return (await pool.take()).stream is first.stream

    assert _play(use) is used


@pytest.mark.parametrize(
    ('broke_after', 'idle', 'later', 'used'),
    [
        # It was dropped after 2 s or less: only what is idle for half of
        # that is used, and after a while all again.
        (0.05, 1.2, 0, False),
        (0.05, 0.8, 0, True),
        (0.05, 1.2, 10, True),
        # One that breaks later had reached an upstream that then broke.
        (0.4, 1.2, 0, True),
    ],
)
def test_connections_dropped_without_notice_are_not_met_again(
    broke_after: float, idle: float, later: float, used: bool
) -> None:
    async def use(pool: Pool) -> bool:
        dropped, other = await pool.take(), await pool.take()
        pool.give(dropped)
        pool.now += 2
        dropped = await pool.take()
        assert dropped.idle_for == 2
        pool.pool.note_broken(dropped, broke_after)
        pool.now += later
        pool.give(other)
        pool.now += idle
        return (await pool.take()).stream is other.stream

    assert _play(use) is used


def test_new_connection_that_breaks_says_nothing_of_idle_ones() -> None:
    async def use(pool: Pool) -> bool:
        first, second = await pool.take(), await pool.take()
        pool.pool.note_broken(first, 0.01)
        pool.give(second)
        pool.now += 20
        return (await pool.take()).stream is second.stream

    assert _play(use)


class Resetting:
    """Makes connections that were reset before they could be used."""

    async def connect(self, *_: Any, **options: Any) -> IOStream:
        """A closed connection."""
        stream = IOStream(socket.socket())
        stream.close()
        return stream


def test_connection_reset_at_once_is_no_connection() -> None:
    # Found by the soak, seed 20261202: the follower of the store ended with
    # an error, and the process with it.
    async def use(pool: Pool) -> None:
        pool.pool.client = Resetting()  # type: ignore[assignment]
        with pytest.raises(OSError, match='no connection'):
            await pool.take()

    _play(use)


def test_connection_that_the_other_side_closed_is_passed_over() -> None:
    async def use(pool: Pool) -> bool:
        first = await pool.take()
        pool.give(first)
        while not pool.server.streams:
            await asyncio.sleep(0)
        pool.server.streams[0].close()
        while not first.stream.closed():
            await asyncio.sleep(0)
        return (await pool.take()).stream is first.stream

    assert not _play(use)
