"""Structured logs: one JSON object a line on standard output.

Logging never blocks and its volume is bounded: what a reader does not take
is dropped and counted.
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

# Bytes that wait for a slow reader before lines are dropped.
_BUFFER_BYTES: Final = 262_144


def _write_to_standard_output(payload: bytes) -> int:
    return os.write(sys.stdout.fileno(), payload)


@dataclass(slots=True)
class LineSink:
    """Writes lines without ever waiting for their reader."""

    write_some: Callable[[bytes], int] = _write_to_standard_output
    """Writes a part and gives its size, or raises ``BlockingIOError``."""

    waiting: deque[bytes] = field(default_factory=deque)
    """Lines, and the rest of a line, that the reader has not taken."""

    size: int = 0
    """Bytes that wait."""

    dropped: int = 0
    """Lines that were dropped so far."""

    def put(self, line: bytes) -> None:
        """Write a line, or keep it while the reader is slow."""
        if self.size + len(line) > _BUFFER_BYTES:
            self.dropped += 1
            self.flush()
            return
        self.waiting.append(line)
        self.size += len(line)
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        while self.waiting:
            line = self.waiting.popleft()
            try:
                taken = self.write_some(line)
            except BlockingIOError:
                self.waiting.appendleft(line)
                return
            except OSError:
                # Nobody reads any more; requests are served all the same.
                self.dropped += 1
                taken = len(line)
            self.size -= taken
            if taken < len(line):
                self.waiting.appendleft(line[taken:])


class JsonLines(Handler):
    """Writes each record as one line of JSON."""

    def __init__(self, instance: str, level: str, sink: LineSink) -> None:
        """Prepare a handler for one instance."""
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
