"""Adds up the retries of all entries, from the lines that each logs a second.

The sum over all entries is compared with the operators' bounds in each window,
as they count it: a window allows the ratio of the requests in it, in the one
half a window earlier or in the one before it, whichever has most, and the extra
number.  Each line covers one second of one entry, so the begin of a window is
known to a second.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from worksrail.cli._logs import read_lines
from worksrail.cli._output import Output
from worksrail.cli._request_ends import Line, timestamp

_SERVICE_SENDS: Final = 'service-sends'
_COUNTED: Final = ('requests', 'first_sends', 'repeats', 'paid', 'denied')
_COLUMNS: Final = (
    'service',
    'from s',
    *_COUNTED,
    'allowed',
    'share',
    'most repeats',
)
# Fullest windows that are listed for each service, and entries named for each.
_MAX_WINDOWS: Final = 5
_MAX_ENTRIES: Final = 3

Second = int


@dataclass(frozen=True, slots=True)
class WindowBounds:
    """Number of retries that the operators allow over all entries."""

    ratio: float
    """Retries per request."""

    window: int
    """Length of the window in seconds."""

    extra: float
    """Additional retries in each window."""

    @classmethod
    def from_line(cls, line: Line) -> 'WindowBounds':
        """Read the bounds that an entry logs with its counts."""
        return cls(
            float(line['ratio']),
            max(1, round(float(line['window']))),
            float(line['extra']),
        )


@dataclass(frozen=True, slots=True)
class Window:
    """Sends of all entries to one service in one window."""

    begin: Second
    """First second, by the wall clock."""

    counts: Counter[str]
    """Counts by column."""

    allowed: float
    """Retries that the bounds allow."""

    senders: Counter[str]
    """Retries by entry."""

    @property
    def share(self) -> float:
        """Share of what is allowed that was sent."""
        sent = self.counts['repeats']
        return sent / self.allowed if self.allowed else float(sent > 0)


@dataclass(slots=True)
class ServiceTable:
    """Counts of one service by second.

    >>> line = {'ratio': 0.5, 'window': 10, 'extra': 1}
    >>> table = ServiceTable(WindowBounds.from_line(line))
    >>> table.add(0, 'one', {'requests': 4, 'repeats': 3})
    >>> [(window.begin, window.share) for window in table.windows()]
    [(0, 1.0)]
    """

    bounds: WindowBounds
    """The bounds that were logged last."""

    by_second: dict[Second, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    """Counts of all entries by column."""

    senders: dict[Second, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    """Retries by entry."""

    def add(self, second: Second, entry: str, counts: Line) -> None:
        """Add the counts of one entry in one second."""
        for column in _COUNTED:
            self.by_second[second][column] += int(counts.get(column, 0))
        self.senders[second][entry] += int(counts.get('repeats', 0))

    def windows(self) -> list[Window]:
        """Return the windows that begin in a second with retries."""
        begins = (
            second
            for second, counts in sorted(self.by_second.items())
            if counts['repeats']
        )
        return [self._window(begin) for begin in begins]

    def fullest(self) -> list[Window]:
        """Return the fullest windows, none of which overlap."""
        found: list[Window] = []
        for window in sorted(self.windows(), key=_share, reverse=True):
            if len(found) < _MAX_WINDOWS and not self._overlaps(window, found):
                found.append(window)
        return found

    def _window(self, begin: Second) -> Window:
        length = self.bounds.window
        requests = max(
            self._sum(begin - back)['requests']
            for back in (0, length // 2, length)
        )
        senders: Counter[str] = Counter()
        for second in range(begin, begin + length):
            senders.update(self.senders.get(second, {}))
        allowed = self.bounds.ratio * requests + self.bounds.extra
        return Window(begin, self._sum(begin), allowed, senders)

    def _sum(self, begin: Second) -> Counter[str]:
        total: Counter[str] = Counter()
        for second in range(begin, begin + self.bounds.window):
            total.update(self.by_second.get(second, {}))
        return total

    def _overlaps(self, window: Window, others: list[Window]) -> bool:
        return any(
            abs(window.begin - other.begin) < self.bounds.window
            for other in others
        )


def show_repeats(output: Output, files: Iterable[str]) -> None:
    """Print the fullest windows of each service's retry budget."""
    tables: dict[str, ServiceTable] = {}
    for line in read_lines(files):
        if line.get('message') == _SERVICE_SENDS:
            _add(tables, line)
    rows = list(_rows(tables))
    documents = [dict(zip(_COLUMNS, row, strict=True)) for row in rows]
    output.table('repeats of all entries', _COLUMNS, rows, documents)


def _add(tables: dict[str, ServiceTable], line: Line) -> None:
    bounds = WindowBounds.from_line(line)
    table = tables.setdefault(line['service'], ServiceTable(bounds))
    table.bounds = bounds
    table.add(int(timestamp(line)), line.get('instance', ''), line)


def _rows(tables: dict[str, ServiceTable]) -> Iterator[list[object]]:
    seconds = [min(table.by_second) for table in tables.values()]
    first = min(seconds, default=0)
    for service, table in sorted(tables.items()):
        for window in table.fullest():
            senders = window.senders.most_common(_MAX_ENTRIES)
            yield [
                service,
                window.begin - first,
                *(window.counts[column] for column in _COUNTED),
                round(window.allowed, 1),
                round(window.share, 3),
                ', '.join(f'{name} {count}' for name, count in senders),
            ]


def _share(window: Window) -> float:
    return window.share
