"""Structured logs: one JSON object per line on standard output.

Logging never blocks and its buffer is bounded: lines that exceed it because
the reader is too slow are dropped and counted.
"""

import contextlib
import os
import stat
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec
from logbook import Handler, LogRecord, lookup_level

# Maximum number of bytes buffered for a slow reader.
_MAX_BUFFER_BYTES: Final = 262_144


def _write_to_standard_output(payload: bytes) -> int:
    return os.write(sys.stdout.fileno(), payload)


@dataclass(slots=True)
class LineSink:
    """Writes lines without blocking."""

    write_some: Callable[[bytes], int] = _write_to_standard_output
    """Writes bytes; returns how many, or raises ``BlockingIOError``."""

    pending: deque[bytes] = field(default_factory=deque)
    """Buffered lines; the first may be the rest of a partly written one."""

    size: int = 0
    """Buffered bytes."""

    dropped: int = 0
    """Number of lines dropped so far."""

    def put(self, line: bytes) -> None:
        """Write a line, buffer it, or drop it if the buffer is full."""
        if self.size + len(line) > _MAX_BUFFER_BYTES:
            self.dropped += 1
            self.flush()
            return
        self.pending.append(line)
        self.size += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self.pending:
            line = self.pending.popleft()
            try:
                written = self.write_some(line)
            except BlockingIOError:
                self.pending.appendleft(line)
                return
            except OSError:
                # The reader is gone; requests are served without logs.
                self.dropped += 1
                written = len(line)
            self.size -= written
            if written < len(line):
                self.pending.appendleft(line[written:])


class JsonLines(Handler):
    """Writes each record as one line of JSON."""

    def __init__(self, instance: str, level: str, sink: LineSink) -> None:
        """Create a handler for one instance."""
        super().__init__(lookup_level(level.upper()))
        self.instance = instance
        self.sink = sink

    def emit(self, record: LogRecord) -> None:
        """Write one record."""
        line: dict[str, Any] = {
            'time': record.time.isoformat(timespec='microseconds'),
            'level': record.level_name,
            'instance': self.instance,
            'channel': record.channel,
            'message': record.message,
        }
        extra = dict(record.extra)
        line.update({key: extra[key] for key in extra if extra[key] != ''})
        if record.exc_info:
            line['exception'] = record.formatted_exception
        self.sink.put(msgspec.json.encode(line, enc_hook=str) + b'\n')


def install_logs(instance: str, level: str) -> LineSink:
    """Send all records to standard output as JSON lines."""
    sink = LineSink()
    with contextlib.suppress(OSError, ValueError):
        descriptor = sys.stdout.fileno()
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)
    JsonLines(instance, level, sink).push_application()
    return sink
