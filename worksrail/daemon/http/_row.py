"""A connection of a caller: requests in a row, answered in order."""

import asyncio
import socket
from collections import deque
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Final, Protocol

from logbook import Logger
from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
)
from tornado.httputil import HTTPMessageDelegate
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from worksrail.daemon.http._held_bytes import HeldBytes
from worksrail.daemon.http._input import InputBuffer
from worksrail.daemon.http._turn import Turn

_LOG: Final = Logger('worksrail.http')
# Bytes received ahead of their reads from which the sender has to wait.
_MAX_AHEAD_BYTES: Final = 65_536
# The end of the connection stays hidden behind what its sender could not send,
# so a connection that nobody reads for some time is received further, into
# a share of the memory that the process has for its callers.
_STALL_SECONDS: Final = 0.1
_MAX_STALLED_BYTES: Final = 16_777_216
_MAX_STALLED_SHARE: Final = 0.5
# States of a TCP connection whose remote side has reset or closed it.
_ENDED_TCP_STATES: Final = frozenset((7, 8))
# Seconds for which a closed connection may still send what was written.
_MAX_LINGER: Final = 5.0


@dataclass(slots=True)
class UnreadInput:
    """Counts what was received on connections that ended, and never read."""

    connections: int = 0
    """Connections that ended with unread bytes."""

    size: int = 0
    """These bytes."""

    def add(self, size: int) -> None:
        """Count a connection that has ended."""
        self.connections += 1
        self.size += size

    def take(self) -> tuple[int, int]:
        """Return connections and bytes since the last call."""
        taken = (self.connections, self.size)
        self.connections = 0
        self.size = 0
        return taken


class RowServer(Protocol):
    """Handles the requests of connections."""

    held: HeldBytes
    """Bytes that the process holds for its callers."""

    def start_request(
        self, server_conn: object, request_conn: Any
    ) -> HTTPMessageDelegate:
        """Return a reader for the next request of a connection."""

    def on_open(self, row: 'ConnectionRow') -> bool:
        """Add a connection; false if there are too many."""

    def admits_beside(self) -> bool:
        """Return whether requests of a connection may run beside each other."""

    def on_unread(self, size: int) -> None:
        """Count bytes that were never read of a connection that ended."""

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection."""


@dataclass(frozen=True, slots=True)
class RowLimits:
    """Limits of a connection."""

    parser: HTTP1ConnectionParameters
    """Limits of the parser."""

    arrived: HTTP1ConnectionParameters
    """The same without a timeout for the head of a message."""

    idle_seconds: float
    """Seconds for which the connection may be idle."""

    turns: int
    """Maximum number of requests that run beside each other."""


@dataclass(slots=True, eq=False)
class ConnectionRow(asyncio.Protocol):
    """Reads the requests of a connection and sends their answers in order.

    Requests with safe methods run beside each other, as RFC 9112, 9.3.2,
    allows, if the server admits it; any other waits until all before it are
    answered, and those behind it wait for its answer.  A caller that closes its
    sending direction counts as one that has left: the two cannot be told apart.
    """

    server: RowServer
    """Handles the requests."""

    limits: RowLimits
    """Limits of the connection."""

    malformed_answer: bytes
    """Answer to a malformed message."""

    io_loop: IOLoop
    """The event loop, as streams name it."""

    input: InputBuffer = field(default_factory=InputBuffer)
    """Bytes that were received and not read."""

    turns: deque[Turn] = field(default_factory=deque)
    """Requests that were begun, in the order of their answers."""

    transport: asyncio.Transport = field(default_factory=asyncio.Transport)
    """The socket, once there is a connection."""

    context: str = ''
    """IP address of the caller."""

    ended: bool = False
    """Whether either side has closed the connection."""

    blocked: list[asyncio.Future[None]] = field(default_factory=list)
    """Writes that the kernel has not taken yet."""

    congested: bool = False
    """Whether the kernel takes no more at the moment."""

    receiving: bool = True
    """Whether bytes are received."""

    max_ahead: int = _MAX_AHEAD_BYTES
    """Bytes received ahead of their reads from which the sender waits."""

    held_ahead: int = 0
    """Bytes received ahead that count as held by the process."""

    idle_since: float = 0
    """When the last request was answered."""

    timer: asyncio.TimerHandle | None = None
    """Ends the connection when it is idle for too long."""

    @property
    def has_unsent(self) -> bool:
        """Whether bytes of answers wait to be sent."""
        if any(turn.kept for turn in self.turns):
            return True
        return bool(self.transport.get_write_buffer_size())

    # -- events of the socket

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve the connection, or close it if there are too many."""
        if not isinstance(transport, asyncio.Transport):
            raise TypeError('expected a transport for reading and writing')
        self.transport = transport
        if not self.server.on_open(self):
            self.ended = True
            transport.abort()
            return
        # Congested as long as the kernel has not taken all bytes.
        transport.set_write_buffer_limits(0)
        peer = transport.get_extra_info('peername')
        self.context = peer[0] if peer else ''
        self.idle_since = self._now()
        self._watch_idle()

    def data_received(self, data: bytes) -> None:
        """Receive bytes."""
        if not self.ended:
            self.input.feed(data)
            self.advance()

    def eof_received(self) -> bool:
        """Give up the requests; what was sent of their answers still leaves."""
        self._limit_linger()
        self._leave()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up the requests."""
        self._leave()
        self._finish_writes(StreamClosedError(exc))
        if self.timer:
            self.timer.cancel()
        self.server.on_close(self)

    def pause_writing(self) -> None:
        """Remember that the kernel takes no more."""
        self.congested = True

    def resume_writing(self) -> None:
        """Go on with the writes that waited for the kernel."""
        self.congested = False
        self._finish_writes(None)
        self.advance()

    # -- what turns ask

    def is_first(self, turn: Turn) -> bool:
        """Return whether an answer is the next one to be sent."""
        return bool(self.turns) and self.turns[0] is turn

    def is_last(self, turn: Turn) -> bool:
        """Return whether no request behind this one was begun."""
        return not self.turns or self.turns[-1] is turn

    def send(self, chunk: bytes) -> asyncio.Future[None]:
        """Send bytes; done when the kernel has taken them."""
        written: asyncio.Future[None] = asyncio.Future()
        self.transport.write(chunk)
        if self.congested:
            self.blocked.append(written)
        else:
            written.set_result(None)
        return written

    def keep(self, size: int) -> None:
        """Count bytes that are kept, or no longer kept if negative."""
        self.server.held.hold(size)

    def advance(self) -> None:
        """Send the answers whose turn has come, and begin requests."""
        while self.turns and not self.ended:
            first = self.turns[0]
            first.send_kept()
            if self.congested or not first.finished:
                break
            self.turns.popleft()
            self.idle_since = self._now()
            if first.closing:
                first.lose()
                self.end()
        while self._may_begin():
            self._begin_turn()
        self.regulate()

    def end(self) -> None:
        """Close the connection once what was sent has left."""
        self.transport.close()
        self._limit_linger()
        self._leave()

    def abort(self) -> None:
        """Close the connection at once."""
        self.transport.abort()
        self._leave()

    def regulate(self) -> None:
        """Let the sender wait while too much is received ahead."""
        size = len(self.input)
        if size < _MAX_AHEAD_BYTES and self.receiving and not self.held_ahead:
            return
        held = max(0, size - _MAX_AHEAD_BYTES)
        if held != self.held_ahead:
            self.server.held.hold(held - self.held_ahead)
            self.held_ahead = held
        if size < _MAX_AHEAD_BYTES:
            self.max_ahead = _MAX_AHEAD_BYTES
        if self.ended:
            return
        if size < self.max_ahead or self.input.pending:
            if not self.receiving:
                self.receiving = True
                self.transport.resume_reading()
        elif self.receiving:
            self.receiving = False
            self.transport.pause_reading()
            self._await_reads()

    # -- requests

    def _may_begin(self) -> bool:
        last = self.turns[-1] if self.turns else None
        if self.ended or (last and not last.admits_another):
            return False
        self.input.skip_empty_lines()
        if last is None:
            return bool(self.input)
        if len(self.turns) >= self.limits.turns or not last.safe:
            return False
        return self.input.begins_safe_request and self.server.admits_beside()

    def _begin_turn(self) -> None:
        limits = self.limits
        turn = Turn(self, self.io_loop, self.input.begins_safe_request)
        # A turn has what an HTTP1Connection uses of a stream.
        http = HTTP1Connection(
            turn,  # type: ignore[arg-type]
            is_client=False,
            # A timeout for what has arrived would only cost time.
            params=limits.arrived if self.input.has_head else limits.parser,
            context=self.context,
        )
        turn.http = http
        self.turns.append(turn)
        turn.reader = self.server.start_request(self, http)
        reading = asyncio.ensure_future(http.read_response(turn.reader))
        reading.add_done_callback(partial(self._finish_turn, turn))

    def _finish_turn(self, turn: Turn, reading: asyncio.Future[bool]) -> None:
        turn.finished = True
        if not _is_open_after(reading):
            turn.closing = True
        self.advance()

    def _limit_linger(self) -> None:
        if self.transport.get_write_buffer_size():
            loop = asyncio.get_running_loop()
            loop.call_later(_MAX_LINGER, self.transport.abort)

    def _leave(self) -> None:
        if self.ended:
            return
        self.ended = True
        if self.input:
            self.server.on_unread(len(self.input))
        self.input.end()
        # Those behind are given up first: nothing is begun for them with what
        # the others give back.
        while self.turns:
            self.turns.pop().lose()
        self.regulate()

    # -- reception

    def _await_reads(self) -> None:
        asyncio.get_running_loop().call_later(
            _STALL_SECONDS, self._check_stalled
        )

    def _check_stalled(self) -> None:
        if self.ended or self.receiving:
            return
        if self._is_ended_remotely():
            self.abort()
            return
        held = self.server.held
        if held.held <= held.maximum * _MAX_STALLED_SHARE:
            self.max_ahead = _MAX_STALLED_BYTES
            self.regulate()
        if not self.receiving:
            self._await_reads()

    def _is_ended_remotely(self) -> bool:
        opened = self.transport.get_extra_info('socket')
        state = opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return state[0] in _ENDED_TCP_STATES

    # -- time

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _watch_idle(self) -> None:
        now = self._now()
        if self.turns:
            self.idle_since = now
        left = self.idle_since + self.limits.idle_seconds - now
        if left <= 0:
            self.end()
        else:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(left, self._watch_idle)

    def _finish_writes(self, error: StreamClosedError | None) -> None:
        blocked = self.blocked
        self.blocked = []
        for write in blocked:
            if write.done():
                continue
            if error:
                write.set_exception(error)
                write.exception()
            else:
                write.set_result(None)


def _is_open_after(reading: asyncio.Future[bool]) -> bool:
    """Return whether a connection may be used after its last message."""
    try:
        return reading.result()
    except (
        StreamClosedError,
        UnsatisfiableReadError,
        asyncio.CancelledError,
    ):
        return False
    except Exception:
        _LOG.exception('reading a request failed')
        return False
