"""One request in a row on a connection, and its place among the answers."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final, Protocol

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPMessageDelegate
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError

from worksrail.daemon.http._input import InputBuffer

_EMPTY_BAD_REQUEST: Final = b'HTTP/1.1 400 Bad Request\r\n\r\n'
# Bytes of an answer that are kept for its turn; its upstream waits beyond.
_MAX_KEPT_BYTES: Final = 65_536
# Seconds for which an answer whose turn has come waits for its end.
_MAX_KEPT_SECONDS: Final = 0.25


class Row(Protocol):
    """The connection on which requests are answered in order."""

    input: InputBuffer
    """Bytes that were received and not read."""

    malformed_answer: bytes
    """Answer to a malformed message."""

    def is_first(self, turn: 'Turn') -> bool:
        """Return whether an answer is the next one to be sent."""

    def is_last(self, turn: 'Turn') -> bool:
        """Return whether no request behind this one was begun."""

    def send(self, chunk: bytes) -> asyncio.Future[None]:
        """Send bytes; done when the kernel has taken them."""

    def keep(self, size: int) -> None:
        """Count bytes that are kept, or no longer kept if negative."""

    def advance(self) -> None:
        """Send the answers whose turn has come, and begin requests."""

    def regulate(self) -> None:
        """Let the sender wait while too much is received ahead."""

    def abort(self) -> None:
        """Close the connection at once."""


@dataclass(slots=True, eq=False)
class Turn:
    """The stream on which one request is read and answered.

    It has those methods of an ``IOStream`` that an ``HTTP1Connection`` of a
    server uses.  Bytes of an answer are kept until the answers before it have
    been sent.  While requests wait behind it, an answer that has not begun to
    leave is kept whole if it is small: if its upstream breaks off, another
    answer can take its place, and those behind it do not lose theirs.
    """

    row: Row
    """The connection."""

    io_loop: IOLoop
    """The event loop, as an ``IOStream`` names it."""

    safe: bool
    """Whether the request changes nothing, so that others may run beside it."""

    http: HTTP1Connection | None = None
    """Parses the request and writes the answer."""

    reader: HTTPMessageDelegate | None = None
    """Handles the request."""

    kept: list[bytes] = field(default_factory=list)
    """Parts of the answer that were not sent yet."""

    kept_bytes: int = 0
    """Total size of these parts."""

    blocked: list[asyncio.Future[None]] = field(default_factory=list)
    """Writes that wait for the turn."""

    sent: bool = False
    """Whether a part of the answer was sent."""

    patient: bool = True
    """Whether an answer whose turn has come still waits for its end."""

    message_read: bool = False
    """Whether the request was read whole."""

    dispatched: bool = False
    """Whether the request was handed on, so that it may run."""

    finished: bool = False
    """Whether the answer is complete."""

    closing: bool = False
    """Whether the connection is closed behind this answer."""

    final: bool = False
    """Whether the answer says that the connection is closed behind it."""

    lost: bool = False
    """Whether the connection has ended."""

    on_close: Callable[[], None] | None = None
    """Is called when the connection ends."""

    def end_message(self) -> None:
        """Let the next request be read."""
        self.message_read = True
        self.row.advance()

    # -- what the connection asks

    @property
    def admits_another(self) -> bool:
        """Whether the next request on the connection may be read."""
        if not self.message_read or self.final or self.closing:
            return False
        # Tornado decides by the request's headers whether to close, and has no
        # public attribute for this.
        return not (self.http and self.http._disconnect_on_finish)

    def send_kept(self) -> None:
        """Send what was kept, unless it may yet be replaced."""
        if not self.kept or self._keeps_answer():
            return
        chunk = b''.join(self.kept)
        self._drop_kept()
        self.sent = True
        blocked = self.blocked
        self.blocked = []
        sending = self.row.send(chunk)
        sending.add_done_callback(lambda _: _finish_all(blocked))

    def lose(self) -> None:
        """Handle the end of the connection."""
        if self.lost:
            return
        self.lost = True
        self._drop_kept()
        # The handler of the request learns it first, so that it does not take
        # a failed write for the only consequence.
        if self.reader:
            self.reader.on_connection_close()
        on_close = self.on_close
        self.on_close = None
        if on_close:
            on_close()
        blocked = self.blocked
        self.blocked = []
        for write in blocked:
            if not write.done():
                write.set_exception(StreamClosedError())
                write.exception()

    # -- what the exchange asks

    @property
    def has_followers(self) -> bool:
        """Whether requests behind this one wait for their answers."""
        return not self.row.is_last(self)

    def retract(self) -> bool:
        """Drop an answer of which nothing was sent; false if it is too late."""
        if self.sent or self.lost or self.closing:
            return False
        self._drop_kept()
        _finish_all(self.blocked)
        return True

    def abort(self) -> None:
        """Break off the answer, and the connection with it."""
        if self.row.is_first(self):
            self.row.abort()
        else:
            self.close()

    # -- what an HTTP1Connection uses of a stream

    def read_until_regex(
        self, regex: bytes, max_bytes: int
    ) -> asyncio.Future[bytes]:
        """Read up to the end of the first match."""
        found = self.row.input.read_until_regex(regex, max_bytes)
        self.row.regulate()
        return found

    def read_until(
        self, delimiter: bytes, max_bytes: int
    ) -> asyncio.Future[bytes]:
        """Read up to the end of a delimiter."""
        found = self.row.input.read_until(delimiter, max_bytes)
        self.row.regulate()
        return found

    def read_bytes(
        self, num_bytes: int, partial: bool = False
    ) -> asyncio.Future[bytes]:
        """Read a number of bytes, or what there is of them."""
        least = 1 if partial else num_bytes
        found = self.row.input.read_bytes(num_bytes, least)
        self.row.regulate()
        return found

    def write(self, chunk: bytes) -> asyncio.Future[None]:
        """Send a part of the answer, or keep it until its turn."""
        written: asyncio.Future[None] = asyncio.Future()
        if self.lost:
            written.set_exception(StreamClosedError())
            written.exception()
            return written
        if chunk == _EMPTY_BAD_REQUEST:
            # Tornado has no hook for its answer to a malformed message.
            # A request that was handed on may run, and its answer have begun.
            chunk = b'' if self.dispatched else self.row.malformed_answer
        if not self.kept and not self._must_keep():
            self.sent = True
            return self.row.send(chunk)
        self.kept.append(chunk)
        self.kept_bytes += len(chunk)
        self.row.keep(len(chunk))
        if self.kept_bytes <= _MAX_KEPT_BYTES:
            written.set_result(None)
        else:
            self.blocked.append(written)
        if self.row.is_first(self):
            self.send_kept()
        if len(self.kept) == 1:
            loop = asyncio.get_running_loop()
            loop.call_later(_MAX_KEPT_SECONDS, self._stop_waiting)
        return written

    def set_close_callback(self, callback: Callable[[], None] | None) -> None:
        """Set what is called when the connection ends."""
        self.on_close = callback

    def set_nodelay(self, _: bool) -> None:
        """Do nothing: nothing is ever delayed."""

    def closed(self) -> bool:
        """Return whether the connection has ended."""
        return self.lost

    def close(self, exc_info: Any = None) -> None:
        """Close the connection behind the answers up to this one."""
        self.closing = True
        self.finished = True
        self.row.advance()

    def _must_keep(self) -> bool:
        if not self.row.is_first(self):
            return True
        return not self.sent and self._keeps_answer()

    def _keeps_answer(self) -> bool:
        if self.sent or self.finished or self.row.is_last(self):
            return False
        return self.patient and self.kept_bytes <= _MAX_KEPT_BYTES

    def _stop_waiting(self) -> None:
        self.patient = False
        if not self.lost and self.row.is_first(self):
            self.send_kept()

    def _drop_kept(self) -> None:
        self.row.keep(-self.kept_bytes)
        self.kept.clear()
        self.kept_bytes = 0


def _finish_all(writes: list[asyncio.Future[None]]) -> None:
    for write in writes:
        if not write.done():
            write.set_result(None)
    writes.clear()
