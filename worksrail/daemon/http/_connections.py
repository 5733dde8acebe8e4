"""Kept-alive connections to upstreams and other instances."""

import socket
import ssl
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

_IDLE_LIMIT: Final = 32
_IDLE_AGE: Final = 30.0
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
    until: float


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

    opened: int = 0
    """Connections opened so far."""

    async def acquire(self, address: str, timeout: float) -> IOStream:
        """An idle connection, or a new one; raises ``OSError``."""
        waiting = self.idle[address]
        while waiting:
            idle = waiting.pop()
            if self.clock() >= idle.until or not _is_silent(idle.stream):
                idle.stream.close()
                continue
            idle.stream.set_close_callback(None)
            return idle.stream
        host, _, port = address.partition(':')
        self.opened += 1
        try:
            stream = await self.client.connect(
                host, int(port), ssl_options=self.context, timeout=timeout
            )
        except StreamClosedError as error:
            raise OSError(f'no connection to {address}') from error
        stream.set_nodelay(True)
        _notice_silence(stream)
        return stream

    def release(
        self,
        address: str,
        stream: IOStream,
        idle_time: float = _IDLE_AGE,
    ) -> None:
        """Keep a connection for the next request, for some seconds."""
        waiting = self.idle[address]
        if stream.closed():
            return
        if len(waiting) >= _IDLE_LIMIT:
            waiting.pop(0).stream.close()
        waiting.append(_Idle(stream, self.clock() + idle_time))
        # With a callback the stream notices that the other side closed it;
        # without one a request would be lost on a dead connection.
        stream.set_close_callback(_noticed)

    def close(self) -> None:
        """Close all idle connections."""
        for waiting in self.idle.values():
            for idle in waiting:
                idle.stream.close()
            waiting.clear()


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
