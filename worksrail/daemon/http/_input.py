"""Bytes that have arrived on a connection, read as messages need them."""

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from tornado.iostream import StreamClosedError

# Length of the longest delimiter less one: its beginning may have arrived.
_MAX_PARTIAL_DELIMITER: Final = 3
_HEAD_END: Final = b'\r\n\r\n'
_SAFE_METHODS: Final = (b'GET ', b'HEAD ', b'OPTIONS ')

Search = Callable[[bytearray, int], int]
"""Returns how many bytes a read takes, given from where to search; 0 if what
it reads has not arrived."""


@dataclass(slots=True)
class _PendingRead:
    search: Search
    maximum: int
    searched: int = 0
    found: asyncio.Future[bytes] = field(default_factory=asyncio.Future)


@dataclass(slots=True)
class InputBuffer:
    """Bytes of a connection that were received and not read.

    Receiving does not depend on reads, so that the end of the connection is
    noticed whatever has arrived before it.  What was not read by then is
    dropped.
    """

    received: bytearray = field(default_factory=bytearray)
    """Bytes that were not read yet."""

    ended: bool = False
    """Whether the connection has ended."""

    pending: _PendingRead | None = None
    """The read that waits for bytes."""

    def __len__(self) -> int:
        """Return the number of bytes that were not read yet."""
        return len(self.received)

    @property
    def begins_safe_request(self) -> bool:
        """Whether a request follows that changes nothing."""
        return self.received.startswith(_SAFE_METHODS)

    @property
    def has_head(self) -> bool:
        """Whether the head of a message has arrived."""
        return _HEAD_END in self.received

    def feed(self, chunk: bytes) -> None:
        """Add bytes, and finish the read that waits for them."""
        if not self.ended:
            self.received += chunk
            self._finish_read()

    def end(self) -> None:
        """Drop what was not read; the read that waits for more fails."""
        self.ended = True
        self.received.clear()
        pending = self.pending
        self.pending = None
        if pending and not pending.found.done():
            pending.found.set_exception(StreamClosedError())

    def skip_empty_lines(self) -> None:
        """Drop the empty lines that some callers send between requests."""
        while self.received.startswith((b'\r', b'\n')):
            self.received[:1] = b''

    def read_until_regex(
        self, regex: bytes, max_bytes: int
    ) -> asyncio.Future[bytes]:
        """Read up to the end of the first match."""
        return self._read(partial(_end_of_match, re.compile(regex)), max_bytes)

    def read_until(
        self, delimiter: bytes, max_bytes: int
    ) -> asyncio.Future[bytes]:
        """Read up to the end of a delimiter."""
        return self.read_until_regex(re.escape(delimiter), max_bytes)

    def read_bytes(self, count: int, least: int) -> asyncio.Future[bytes]:
        """Read a number of bytes, or what there is of them from a least."""
        return self._read(partial(_take, count, least), count)

    def _read(self, search: Search, maximum: int) -> asyncio.Future[bytes]:
        self.pending = _PendingRead(search, maximum)
        found = self.pending.found
        if self.ended:
            self.end()
        else:
            self._finish_read()
        return found

    def _finish_read(self) -> None:
        pending = self.pending
        if pending is None:
            return
        size = pending.search(self.received, pending.searched)
        if size:
            chunk = bytes(self.received[:size])
            self.received[:size] = b''
            self.pending = None
            if not pending.found.done():
                pending.found.set_result(chunk)
        elif len(self.received) > pending.maximum:
            self.end()
        else:
            pending.searched = max(
                0, len(self.received) - _MAX_PARTIAL_DELIMITER
            )


def _end_of_match(
    pattern: re.Pattern[bytes], received: bytearray, start: int
) -> int:
    found = pattern.search(received, start)
    return found.end() if found else 0


def _take(count: int, least: int, received: bytearray, _: int) -> int:
    size = len(received)
    return min(size, count) if size >= least else 0
