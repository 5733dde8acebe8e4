"""Structured logs: one JSON object a line on standard output."""

import json
import sys
from typing import Any, TextIO

from logbook import Handler, LogRecord, lookup_level


class JsonLines(Handler):
    """Writes each record as one line of JSON."""

    def __init__(self, instance: str, level: str, stream: TextIO) -> None:
        """Prepare a handler for one instance."""
        super().__init__(lookup_level(level.upper()))
        self.instance = instance
        self.stream = stream

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
        line.update({key: extra[key] for key in extra if extra[key]})
        if record.exc_info:
            line['exception'] = record.formatted_exception
        self.stream.write(json.dumps(line, default=str) + '\n')
        self.stream.flush()


def install_logs(instance: str, level: str) -> None:
    """Send all records to standard output as JSON lines."""
    JsonLines(instance, level, sys.stdout).push_application()
