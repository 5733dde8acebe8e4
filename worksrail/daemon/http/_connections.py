"""Kept-alive connections to upstreams and other instances."""

import socket
import ssl
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Final

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

_IDLE_LIMIT: Final = 32
_IDLE_AGE: Final = 30.0
# Share of the time that the other side keeps an idle connection, by its own
# word, for which it is used again.
_IDLE_SHARE: Final = 0.8
# A kept connection that breaks this soon after a request was sent on it, in
# seconds, had been dropped by the other side without notice.  Then only
# connections idle for less than a share of that time are used, for a while.
_BROKE_AT_ONCE: Final = 0.15
_TRUSTED_SHARE: Final = 0.5
_LEAST_TRUSTED: Final = 0.1
_DISTRUST_TIME: Final = 10.0
# Seconds of idleness before the first probe, seconds between probes, probes
# without an answer after which a connection is dead; milliseconds after
# which unacknowledged bytes make it dead.
_SILENCE_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2000),
)


@dataclass(slots=True)
class _Idle:
    stream: IOStream
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Acquired:
    """A connection for one request."""

    stream: IOStream
    """The connection."""

    idle_for: float
    """Seconds for which it was idle; zero if it is new."""

    connect_time: float
    """Seconds that a new one took; zero if it was kept."""


@dataclass(slots=True)
class ConnectionPool:
    """Idle connections by address; one request at a time on each.

    Only a connection on which a whole answer was read comes back here.
    """

    clock: Callable[[], float]
    """Monotonic time in seconds."""

    context: ssl.SSLContext | None = None
    """Set for connections to other instances."""

    client: TCPClient = field(default_factory=TCPClient)
    """Opens connections."""

    idle: dict[str, list[_Idle]] = field(
        default_factory=lambda: defaultdict(list)
    )
    """Idle connections, longest unused first."""

    trusted_idle: float = _IDLE_AGE
    """Seconds of idleness after which a connection is not used."""

    distrusted_at: float = -inf
    """When a kept connection broke at once the last time."""

    async def acquire(self, address: str, timeout: float) -> Acquired:
        """An idle connection, or a new one; raises ``OSError``."""
        waiting = self.idle[address]
        while waiting:
            idle = waiting.pop()
            idle_for = self.clock() - idle.since
            if not self._is_usable(idle, idle_for):
                idle.stream.close()
                continue
            idle.stream.set_close_callback(None)
            return Acquired(idle.stream, idle_for, 0)
        began = self.clock()
        stream = await self._connect(address, timeout)
        return Acquired(stream, 0, self.clock() - began)

    def note_broken(self, acquired: Acquired, sent_for: float) -> None:
        """A connection broke without an answer, some seconds after sending."""
        if not acquired.idle_for or sent_for > _BROKE_AT_ONCE:
            return
        now = self.clock()
        trusted = max(_LEAST_TRUSTED, acquired.idle_for * _TRUSTED_SHARE)
        if now - self.distrusted_at < _DISTRUST_TIME:
            trusted = min(trusted, self.trusted_idle)
        self.trusted_idle = trusted
        self.distrusted_at = now

    def release(
        self,
        address: str,
        stream: IOStream,
        kept_for: float | None = None,
    ) -> None:
        """Keep a connection for the next request.

        The other side may have said for how many seconds it keeps it.
        """
        waiting = self.idle[address]
        if stream.closed():
            return
        if len(waiting) >= _IDLE_LIMIT:
            waiting.pop(0).stream.close()
        age = _IDLE_AGE
        if kept_for is not None:
            age = min(age, kept_for * _IDLE_SHARE)
        now = self.clock()
        waiting.append(_Idle(stream, now, now + age))
        # With a callback the stream notices that the other side closed it;
        # without one a request would be lost on a dead connection.
        stream.set_close_callback(_noticed)

    def drop(self, address: str) -> None:
        """Close the idle connections to an address."""
        for idle in self.idle.pop(address, ()):
            idle.stream.close()

    def close(self) -> None:
        """Close all idle connections."""
        for waiting in self.idle.values():
            for idle in waiting:
                idle.stream.close()
            waiting.clear()

    def _is_usable(self, idle: _Idle, idle_for: float) -> bool:
        distrusted = self.clock() - self.distrusted_at < _DISTRUST_TIME
        if distrusted and idle_for > self.trusted_idle:
            return False
        return self.clock() < idle.until and _is_silent(idle.stream)

    async def _connect(self, address: str, timeout: float) -> IOStream:
        host, _, port = address.partition(':')
        try:
            stream = await self.client.connect(
                host, int(port), ssl_options=self.context, timeout=timeout
            )
        except StreamClosedError as error:
            raise OSError(f'no connection to {address}') from error
        if stream.closed():
            raise OSError(f'no connection to {address}: reset at once')
        stream.set_nodelay(True)
        _notice_silence(stream)
        return stream


def _is_silent(stream: IOStream) -> bool:
    # Bytes that nobody asked for belong to no request, and an end means that
    # the other side closes.  They may be in the stream's buffer, for which
    # there is no public name, or still with the kernel.
    if stream.closed() or stream._read_buffer_size:
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _notice_silence(stream: IOStream) -> None:
    # A machine that lost its power or its network never answers: the kernel
    # shall find out, within a few seconds.
    for level, option, setting in _SILENCE_OPTIONS:
        stream.socket.setsockopt(level, option, setting)


def _noticed() -> None:
    """Nothing is left to do: a closed stream is passed over."""
