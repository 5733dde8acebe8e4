"""Search of the log files of entries by request or subject."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final

import msgspec

from worksrail.cli._output import Output

_COLUMNS: Final = ('at', 'entry', 'event', 'request', 'subject', 'inputs')
_COLUMN_FIELDS: Final = (
    'at',
    'time',
    'instance',
    'message',
    'request',
    'subject',
)
_NON_INPUT_FIELDS: Final = frozenset(('level', 'channel', *_COLUMN_FIELDS))


def show_logs(
    output: Output,
    files: Iterable[str],
    request: str,
    subject: str,
) -> None:
    """Print the lines about a request or a subject, sorted by time."""
    lines = [
        line
        for line in read_lines(files)
        if (not request or line.get('request') == request)
        and (not subject or line.get('subject') == subject)
    ]
    lines.sort(key=_timestamp)
    rows = [
        (
            _timestamp(line),
            line.get('instance', ''),
            line.get('message', ''),
            line.get('request', ''),
            line.get('subject', ''),
            _format_inputs(line),
        )
        for line in lines
    ]
    output.table(request or subject or 'all', _COLUMNS, rows, lines)


def read_lines(files: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the JSON objects of the log files; lines without one are skipped.

    Text before the object, such as a log collector's prefix, is ignored.
    """
    for name in files:
        for text in Path(name).read_text(errors='replace').splitlines():
            line = _parse_line(text)
            if line:
                yield line


def _parse_line(text: str) -> dict[str, Any]:
    start = text.find('{')
    if start < 0:
        return {}
    try:
        line = msgspec.json.decode(text[start:])
    except msgspec.DecodeError:
        return {}
    return line if isinstance(line, dict) else {}


def _timestamp(line: dict[str, Any]) -> str:
    return str(line.get('at') or line.get('time', ''))


def _format_inputs(line: dict[str, Any]) -> str:
    return ' '.join(
        f'{name}={line[name]}' for name in line if name not in _NON_INPUT_FIELDS
    )
