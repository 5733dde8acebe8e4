"""Pool of keep-alive connections to upstreams and other instances."""

import socket
import ssl
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Final

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from worksrail.core.evidence import ConnectionUse

_MAX_IDLE_CONNECTIONS: Final = 32
_MAX_IDLE_TIME: Final = 30.0
# An idle connection is reused for this share of the keep-alive timeout that
# the remote side advertised.
_KEEP_ALIVE_SHARE: Final = 0.8
# A reused connection that fails within this many seconds of sending had been
# dropped silently by the remote side.  For a while after that, only
# connections idle for less than a share of its idle time are reused.
_STALE_FAILURE_TIME: Final = 0.15
_REUSABLE_IDLE_SHARE: Final = 0.5
_MIN_REUSABLE_IDLE: Final = 0.1
_STALE_WINDOW: Final = 10.0
# A remote side may begin to forget idle connections at any moment, so only one
# that has just carried an answer serves a request that cannot be repeated.
_TRUSTED_IDLE: Final = 0.1
# Requests that may be refused on a connection before it is closed.
_MAX_REFUSED: Final = 64
# A connection is dead when the remote host has acknowledged nothing for
# 2000 ms, neither sent bytes nor the keepalive probes that follow 1 s of
# silence.  Linux ignores the number of probes beside TCP_USER_TIMEOUT.
_KEEPALIVE_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2000),
)


@dataclass(slots=True)
class ConnectionHistory:
    """What a connection has been used for."""

    opened_at: float
    """When it was opened."""

    requests: int = 0
    """Number of requests sent on it."""

    refused: set[str] = field(default_factory=set)
    """Identifiers of the requests that were refused on it."""

    @property
    def is_used_up(self) -> bool:
        """Return whether it must not be used again."""
        return len(self.refused) >= _MAX_REFUSED

    def at(self, now: float) -> ConnectionUse:
        """Return its use until now."""
        return ConnectionUse(now - self.opened_at, self.requests)


@dataclass(slots=True)
class _Idle:
    stream: IOStream
    since: float
    until: float
    history: ConnectionHistory


@dataclass(frozen=True, slots=True)
class Acquired:
    """A connection for one request."""

    stream: IOStream
    """The connection."""

    idle_for: float
    """Seconds for which it was idle; zero if it is new."""

    connect_time: float
    """Seconds to establish a new connection; zero if it was reused."""

    history: ConnectionHistory
    """What it has been used for."""


@dataclass(slots=True)
class ConnectionPool:
    """Idle connections by address; each serves one request at a time.

    Only a connection on which a complete answer was read may be released here.
    """

    clock: Callable[[], float]
    """Monotonic time in seconds."""

    context: ssl.SSLContext | None = None
    """TLS context; set for connections to other instances that use TLS."""

    client: TCPClient = field(default_factory=TCPClient)
    """Opens connections."""

    idle: dict[str, list[_Idle]] = field(
        default_factory=lambda: defaultdict(list)
    )
    """Idle connections, least recently used first."""

    max_reusable_idle: float = _MAX_IDLE_TIME
    """Idle seconds beyond which, after a stale one, none is reused."""

    stale_at: float = -inf
    """Time at which a reused connection last proved to be stale."""

    async def acquire(
        self,
        address: str,
        timeout: float,
        *,
        repeatable: bool = True,
        identifier: str = '',
    ) -> Acquired:
        """Return an idle connection or open a new one; raises ``OSError``.

        A request that cannot be repeated gets none that has rested.  None gets
        one on which a request of its identifier was refused: a late copy of
        that refusal would be taken for its own.
        """
        acquired = self._take_idle(address, identifier, repeatable=repeatable)
        if acquired:
            return acquired
        began = self.clock()
        stream = await self._connect(address, timeout)
        now = self.clock()
        return Acquired(stream, 0, now - began, ConnectionHistory(now))

    def record_failure(self, acquired: Acquired, sent_for: float) -> None:
        """Record a failure without an answer after ``sent_for`` seconds."""
        if not acquired.idle_for or sent_for > _STALE_FAILURE_TIME:
            return
        now = self.clock()
        reusable = max(
            _MIN_REUSABLE_IDLE, acquired.idle_for * _REUSABLE_IDLE_SHARE
        )
        if now - self.stale_at < _STALE_WINDOW:
            reusable = min(reusable, self.max_reusable_idle)
        self.max_reusable_idle = reusable
        self.stale_at = now

    def release(
        self,
        address: str,
        acquired: Acquired,
        keep_alive_timeout: float | None = None,
    ) -> None:
        """Return a connection to the pool for later requests.

        The keep-alive timeout is that advertised by the remote side, if any.
        """
        idle_connections = self.idle[address]
        stream = acquired.stream
        if stream.closed() or acquired.history.is_used_up:
            stream.close()
            return
        if len(idle_connections) >= _MAX_IDLE_CONNECTIONS:
            idle_connections.pop(0).stream.close()
        age = _MAX_IDLE_TIME
        if keep_alive_timeout is not None:
            age = min(age, keep_alive_timeout * _KEEP_ALIVE_SHARE)
        now = self.clock()
        idle_connections.append(_Idle(stream, now, now + age, acquired.history))
        # Only a stream with a close callback watches for the remote side
        # closing; without one a request could be sent on a dead connection.
        stream.set_close_callback(_ignore_close)

    def drop(self, address: str) -> None:
        """Close the idle connections to an address."""
        for idle in self.idle.pop(address, ()):
            idle.stream.close()

    def close(self) -> None:
        """Close all idle connections."""
        for idle_connections in self.idle.values():
            for idle in idle_connections:
                idle.stream.close()
            idle_connections.clear()

    def _take_idle(
        self,
        address: str,
        identifier: str,
        *,
        repeatable: bool,
    ) -> Acquired | None:
        idle_connections = self.idle[address]
        while idle_connections:
            idle = idle_connections.pop()
            idle_for = self.clock() - idle.since
            refused = identifier in idle.history.refused
            if refused or not self._is_usable(idle, idle_for):
                idle.stream.close()
                continue
            if not repeatable and not self._is_trusted(idle_for):
                # The new connection replaces the one that rested longest;
                # otherwise the number of connections would grow.
                idle_connections.append(idle)
                idle_connections.pop(0).stream.close()
                return None
            idle.stream.set_close_callback(None)
            return Acquired(idle.stream, idle_for, 0, idle.history)
        return None

    def _is_trusted(self, idle_for: float) -> bool:
        recently_stale = self.clock() - self.stale_at < _STALE_WINDOW
        return idle_for <= _TRUSTED_IDLE and not recently_stale

    def _is_usable(self, idle: _Idle, idle_for: float) -> bool:
        recently_stale = self.clock() - self.stale_at < _STALE_WINDOW
        if recently_stale and idle_for > self.max_reusable_idle:
            return False
        return self.clock() < idle.until and _has_no_input(idle.stream)

    async def _connect(self, address: str, timeout: float) -> IOStream:
        host, _, port = address.partition(':')
        try:
            stream = await self.client.connect(
                host, int(port), ssl_options=self.context, timeout=timeout
            )
        except (StreamClosedError, ValueError) as error:
            # ValueError: the text is no address, or its host is no name.
            raise OSError(f'no connection to {address}') from error
        if stream.closed():
            raise OSError(
                f'no connection to {address}: closed right after connecting'
            )
        stream.set_nodelay(True)
        _enable_keepalive(stream)
        return stream


def _has_no_input(stream: IOStream) -> bool:
    # Unsolicited bytes belong to no request, and an end of file means that the
    # remote side closed.  They may be in the stream's buffer, for which there
    # is no public accessor, or still in the kernel's.
    if stream.closed() or stream._read_buffer_size:
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _enable_keepalive(stream: IOStream) -> None:
    # A machine that lost power or network never answers; keepalive probes
    # detect that within a few seconds.
    for level, option, setting in _KEEPALIVE_OPTIONS:
        stream.socket.setsockopt(level, option, setting)


def _ignore_close() -> None:
    """Do nothing; :meth:`ConnectionPool.acquire` skips closed streams."""
