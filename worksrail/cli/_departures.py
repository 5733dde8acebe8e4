"""Adds up what became of requests whose callers had left."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from statistics import median
from typing import Final

from worksrail.cli._logs import read_lines
from worksrail.cli._output import Output
from worksrail.cli._request_ends import Line

_LEFT: Final = 'caller-gone'
_UNREAD: Final = 'callers-left'
_COLUMNS: Final = (
    'route',
    'fate',
    'requests',
    'left after s (median)',
    'work until then s',
)


@dataclass(slots=True)
class _Group:
    waits: list[float] = field(default_factory=list)
    work: float = 0

    def add(self, line: Line) -> None:
        self.waits.append(float(line['after']))
        if line['open']:
            self.work += float(line['sent'])


def show_departures(output: Output, files: Iterable[str]) -> None:
    """Print what became of open requests, and of what was never read."""
    groups: dict[tuple[str, str], _Group] = {}
    connections = 0
    size = 0
    for line in read_lines(files):
        if line.get('message') == _LEFT and 'fate' in line:
            place = (str(line['route']), str(line['fate']))
            groups.setdefault(place, _Group()).add(line)
        elif line.get('message') == _UNREAD:
            connections += int(line['connections'])
            size += int(line['bytes'])
    rows = list(_rows(groups))
    rows.append(('', 'never read, connections', connections, '', ''))
    rows.append(('', 'never read, bytes', size, '', ''))
    documents = [dict(zip(_COLUMNS, row, strict=True)) for row in rows]
    output.table('requests of callers that left', _COLUMNS, rows, documents)


def _rows(
    groups: dict[tuple[str, str], _Group],
) -> Iterator[tuple[object, ...]]:
    for route, fate in sorted(groups):
        group = groups[route, fate]
        wait = round(median(group.waits), 3)
        work = round(group.work, 2)
        yield route, fate, len(group.waits), wait, work
