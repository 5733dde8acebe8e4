"""Reads the log files of entries: what happened to one request."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final

import msgspec

from worksrail.cli._output import Output

_COLUMNS: Final = ('at', 'entry', 'event', 'request', 'subject', 'inputs')
_FIRST: Final = ('at', 'time', 'instance', 'message', 'request', 'subject')
_SILENT: Final = frozenset(('level', 'channel', *_FIRST))


def show_logs(
    output: Output,
    files: Iterable[str],
    request: str,
    subject: str,
) -> None:
    """Show the lines about a request or a subject, in order of time."""
    lines = [
        line
        for line in read_lines(files)
        if (not request or line.get('request') == request)
        and (not subject or line.get('subject') == subject)
    ]
    lines.sort(key=_moment)
    rows = [
        (
            _moment(line),
            line.get('instance', ''),
            line.get('message', ''),
            line.get('request', ''),
            line.get('subject', ''),
            _inputs(line),
        )
        for line in lines
    ]
    output.table(request or subject or 'all', _COLUMNS, rows, lines)


def read_lines(files: Iterable[str]) -> Iterator[dict[str, Any]]:
    """All JSON objects of some log files; other text is passed over.

    A line may have text before its object, as a collector puts there.
    """
    for name in files:
        for text in Path(name).read_text(errors='replace').splitlines():
            line = _decoded(text)
            if line:
                yield line


def _decoded(text: str) -> dict[str, Any]:
    start = text.find('{')
    if start < 0:
        return {}
    try:
        line = msgspec.json.decode(text[start:])
    except msgspec.DecodeError:
        return {}
    return line if isinstance(line, dict) else {}


def _moment(line: dict[str, Any]) -> str:
    return str(line.get('at') or line.get('time', ''))


def _inputs(line: dict[str, Any]) -> str:
    return ' '.join(
        f'{name}={line[name]}' for name in line if name not in _SILENT
    )
