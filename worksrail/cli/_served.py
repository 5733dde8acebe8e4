"""Who was served, late or refused, by interval, from the logs of entries."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import astuple, dataclass, field, replace
from pathlib import Path
from statistics import median
from typing import Final, Self

from worksrail.cli._logs import read_lines
from worksrail.cli._output import Output
from worksrail.cli._request_ends import (
    EndReader,
    Line,
    RequestEnd,
    timestamp,
)

# Categories of lines about the ends of requests.
_IN_TIME: Final = 'REQUEST_ANSWERED'
_LATE: Final = 'LATE'
_REFUSED: Final = 'REQUEST_REFUSED'
# Name under which customers beyond the largest ones are summed.
_OTHERS: Final = 'others'
# Shown where a line does not tell, and where nobody was refused.
_UNKNOWN: Final = '-'
_COLUMNS: Final = (
    'from s',
    'service',
    'priority',
    'customer',
    'in time',
    'late',
    'refused',
    'failed',
    'Retry-After s: least, middle, most',
)
# Shares of requests served in time, in eighths, from none to all.
_BARS: Final = ' ▁▂▃▄▅▆▇█'
_NO_REQUESTS: Final = '·'


@dataclass(frozen=True, slots=True, order=True)
class Callers:
    """Requests that are counted together."""

    service: str
    """Service of their route."""

    priority: str
    """Rank under overload; 0 comes first."""

    customer: str
    """Customer that sent them; empty if keys are not required."""

    @classmethod
    def from_end(cls, end: RequestEnd) -> Self:
        """Return the group of a request; lines of older builds tell less."""
        known = end.sent | end.line
        return cls(
            str(known.get('service', _UNKNOWN)),
            str(known.get('priority', _UNKNOWN)),
            str(known.get('customer', '')),
        )

    def __str__(self) -> str:
        """Return a label for a plot."""
        customer = f' {self.customer}' if self.customer else ''
        return f'{self.service} priority {self.priority}{customer}'


@dataclass(slots=True)
class Served:
    """Estimated numbers of requests of one group in one interval."""

    in_time: float = 0
    """Answered within the target latency of their route."""

    late: float = 0
    """Answered later."""

    refused: float = 0
    """Refused without having been executed."""

    failed: float = 0
    """Ended otherwise."""

    delays: list[float] = field(default_factory=list)
    """Seconds after which refused callers were asked to come back."""

    @property
    def total(self) -> float:
        """Return the number of requests."""
        return self.in_time + self.late + self.refused + self.failed

    def join(self, other: 'Served') -> None:
        """Add the numbers of another group."""
        self.in_time += other.in_time
        self.late += other.late
        self.refused += other.refused
        self.failed += other.failed
        self.delays += other.delays

    def add(self, category: str, count: float) -> None:
        """Count requests by the category of the line about their end."""
        if category == _IN_TIME:
            self.in_time += count
        elif category == _LATE:
            self.late += count
        elif category == _REFUSED:
            self.refused += count
        else:
            self.failed += count


@dataclass(slots=True)
class ServedTable:
    """What groups of callers got in each interval."""

    every: float
    """Length of an interval in seconds."""

    groups: defaultdict[tuple[int, Callers], Served] = field(
        default_factory=lambda: defaultdict(Served)
    )
    """Numbers by number of the interval and group."""

    @classmethod
    def from_lines(cls, lines: list[Line], every: float) -> Self:
        """Count the ends of requests.

        Entries name the callers of the requests whose lines they omit.  Lines
        of older builds that don't are scaled by the number of omitted ones.
        """
        table = cls(every)
        summaries = [line for line in lines if 'callers' in line]
        exact = {line.get('instance', '') for line in summaries}
        reader = EndReader.from_lines(lines, every)
        for end in reader.ends:
            weight = 1 if end.instance in exact else reader.weight(end)
            table.add_end(end, weight)
        for line in summaries:
            table.add_summary(line)
        return table

    def interval_of(self, line: Line) -> int:
        """Return the number of the interval of a line."""
        return int(timestamp(line) // self.every)

    def add_end(self, end: RequestEnd, weight: float) -> None:
        """Count a logged end that stands for ``weight`` requests."""
        place = self.interval_of(end.line), Callers.from_end(end)
        served = self.groups[place]
        served.add(end.category, weight)
        if end.category == _REFUSED:
            served.delays.append(end.line.get('retry_after', 0))

    def add_summary(self, line: Line) -> None:
        """Add the requests that an entry omitted from its log."""
        interval = self.interval_of(line)
        for category, *callers, count in line['callers']:
            self.groups[interval, Callers(*callers)].add(category, count)

    def sum_small_customers(self, largest: int) -> Self:
        """Return a table in which only the largest customers are named.

        They are those with the most requests in all intervals.
        """
        requests: Counter[str] = Counter()
        for (_, callers), served in self.groups.items():
            requests[callers.customer] += round(served.total)
        requests.pop(_OTHERS, None)
        # Requests without a customer stay a group of their own.
        requests.pop('', None)
        named = {name for name, _ in requests.most_common(largest)} | {''}
        table = type(self)(self.every)
        for (interval, callers), served in self.groups.items():
            group = callers
            if callers.customer not in named:
                group = replace(callers, customer=_OTHERS)
            table.groups[interval, group].join(served)
        return table

    @property
    def first_interval(self) -> int:
        """Return the number of the first interval."""
        return min((interval for interval, _ in self.groups), default=0)

    def rows(self) -> Iterator[list[object]]:
        """Yield the cells of each interval and group."""
        first = self.first_interval
        for interval, callers in sorted(self.groups):
            one = self.groups[interval, callers]
            counts = (one.in_time, one.late, one.refused, one.failed)
            yield [
                (interval - first) * self.every,
                *astuple(callers),
                *(round(count) for count in counts),
                _delay_range(one.delays),
            ]

    def plot(self) -> str:
        """Return a text plot of the shares that were served in time.

        There is a line for each group and a column for each interval: a full
        bar if all requests were served in time, a blank if none was, and a dot
        if there was none.
        """
        last = max((interval for interval, _ in self.groups), default=0)
        places = range(self.first_interval, last + 1)
        names = sorted({callers for _, callers in self.groups})
        width = max((len(str(callers)) for callers in names), default=0)
        lines = [
            f'{callers!s:{width}} |{self._bars(callers, places)}|'
            for callers in names
        ]
        title = f'served in time, one column for each {self.every:g} s'
        return '\n'.join((title, *lines, ''))

    def _bars(self, callers: Callers, places: range) -> str:
        found = (self.groups.get((place, callers)) for place in places)
        return ''.join(
            _BARS[int(one.in_time / one.total * (len(_BARS) - 1))]
            if one
            else _NO_REQUESTS
            for one in found
        )


def show_served(
    output: Output,
    files: Iterable[str],
    every: float,
    customers: int,
    plot: str,
) -> None:
    """Print what callers got, by interval, and write a plot if one is named."""
    lines = list(read_lines(files))
    table = ServedTable.from_lines(lines, every).sum_small_customers(customers)
    if plot:
        Path(plot).write_text(table.plot())
    rows = list(table.rows())
    documents = [dict(zip(_COLUMNS, row, strict=True)) for row in rows]
    output.table('served', _COLUMNS, rows, documents)


def _delay_range(delays: list[float]) -> str:
    if not delays:
        return _UNKNOWN
    figures = min(delays), median(delays), max(delays)
    return ', '.join(f'{seconds:.2f}' for seconds in figures)
