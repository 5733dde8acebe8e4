"""Adds up what became of requests at entries that were asked to stop."""

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Final

from worksrail.cli._logs import read_lines
from worksrail.cli._output import Output
from worksrail.cli._request_ends import Line, timestamp

_STOPPED: Final = 'stopped'
_BEGUN: Final = ('under_way', 'arrived')
_ENDED: Final = ('answered', 'refused', 'failed', 'caller_gone')
# Those of them that the exit ended.
_AT_EXIT: Final = 'at_exit'
_COUNTED: Final = (*_BEGUN, *_ENDED, _AT_EXIT)
_REASONS: Final = ('reasons', 'cancelled')
_COLUMNS: Final = (
    'entry',
    'from s',
    'seconds',
    *_BEGUN,
    *_ENDED,
    _AT_EXIT,
    'unaccounted',
    *_REASONS,
)
_ALL: Final = 'all'


def show_stops(output: Output, files: Iterable[str]) -> None:
    """Print a row for each stop, in order of time, and one for all of them."""
    stops = sorted(_stops(files), key=timestamp)
    begins = [timestamp(line) - float(line['after']) for line in stops]
    first = min(begins, default=0)
    rows = [
        _row(line, begin - first)
        for line, begin in zip(stops, begins, strict=True)
    ]
    rows.append(_total(stops))
    documents = [dict(zip(_COLUMNS, row, strict=True)) for row in rows]
    output.table('stops of entries', _COLUMNS, rows, documents)


def _stops(files: Iterable[str]) -> Iterator[Line]:
    for line in read_lines(files):
        # The daemon's own line at the end of the process has no counts.
        if line.get('message') == _STOPPED and 'under_way' in line:
            yield line


def _row(line: Line, begin: float) -> list[object]:
    counts = Counter({name: int(line[name]) for name in _COUNTED})
    seconds = round(float(line['after']), 2)
    reasons = [line[name] for name in _REASONS]
    return [
        line.get('instance', ''),
        round(begin, 2),
        seconds,
        *_cells(counts),
        *reasons,
    ]


def _total(stops: Iterable[Line]) -> list[object]:
    counts: Counter[str] = Counter()
    reasons: dict[str, Counter[str]] = {name: Counter() for name in _REASONS}
    for line in stops:
        for name in _COUNTED:
            counts[name] += int(line[name])
        for column, total in reasons.items():
            total.update(_parse(line[column]))
    texts = [
        ' '.join(f'{name}:{count}' for name, count in total.most_common())
        for total in reasons.values()
    ]
    return [_ALL, '', '', *_cells(counts), *texts]


def _cells(counts: Counter[str]) -> list[int]:
    """Return the counts, and the requests that ended without a line."""
    begun = sum(counts[name] for name in _BEGUN)
    ended = sum(counts[name] for name in _ENDED)
    return [*(counts[name] for name in _COUNTED), begun - ended]


def _parse(text: str) -> Counter[str]:
    """Read counts by name, as the log line has them.

    >>> _parse('upstream silent:2 NO_SLOT:1')['upstream silent']
    2
    """
    counts: Counter[str] = Counter()
    name = ''
    for word in text.split():
        label, found, count = word.partition(':')
        name = f'{name} {label}'.strip()
        if found:
            counts[name] += int(count)
            name = ''
    return counts
