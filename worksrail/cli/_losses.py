"""Table of lost requests by cause and interval, from the logs of entries.

Entries log each failure and refusal up to a maximum per second, and samples of
the rest; each second they log the number of omitted lines.  Counts are scaled
up by that number, so they are estimates where lines were omitted.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from enum import Enum, unique
from typing import Any, Final

from worksrail.cli._logs import read_lines
from worksrail.cli._output import Output

_PASSED: Final = 'request-passed'
_TAKEN: Final = 'request-taken'
_SENT: Final = frozenset(('request-sent', 'request-repeated', _PASSED))
_ANSWERED: Final = 'request-answered'
_LINES_OMITTED: Final = 'lines-left-out'
# Categories by which entries count omitted lines, by message of the log line.
_LATE_CATEGORY: Final = 'LATE'
_SERVED_CATEGORY: Final = 'REQUEST_ANSWERED'
_LOSS_CATEGORIES: Final = {
    'request-refused': 'REQUEST_REFUSED',
    'request-failed': 'REQUEST_FAILED',
    'request-dropped': 'REQUEST_DROPPED',
}
# An execution is slow if it takes more than this multiple of the expected time.
_SLOW_FACTOR: Final = 1.5


@unique
class LateCause(Enum):
    """Why an answer was late; the first cause that applies is reported."""

    RETURNED = 'late: came back after a refusal'
    PASSED = 'late: passed to another entry'
    REPEATED = 'late: sent more than once'
    COLD = 'late: sent where its key was not expected to be warm'
    WAITED = 'late: expected to wait for a slot'
    SLOW = 'late: executed much longer than expected'
    OTHER = 'late: otherwise'


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """How one request ended."""

    at: float
    """Time of the end, in seconds of the wall clock."""

    instance: str
    """Entry that logged it."""

    name: str
    """Category by which the entry limits such log lines."""

    cause: str
    """Cause of the loss; empty if the request was served in time."""


def _counters_by_interval() -> defaultdict[int, Counter[Any]]:
    return defaultdict(Counter)


@dataclass(slots=True)
class LossTable:
    """Counts of request ends by cause and interval."""

    every: float
    """Length of an interval in seconds."""

    logged: defaultdict[int, Counter[tuple[str, str, str]]] = field(
        default_factory=_counters_by_interval
    )
    """Logged requests by interval, and by entry, category and cause."""

    omitted: defaultdict[int, Counter[tuple[str, str]]] = field(
        default_factory=_counters_by_interval
    )
    """Requests omitted from the logs, by interval, entry and category."""

    def add(self, end: RequestEnd) -> None:
        """Count the end of a request."""
        place = int(end.at // self.every)
        self.logged[place][end.instance, end.name, end.cause] += 1

    def add_omitted(self, line: dict[str, Any]) -> None:
        """Add the counts of omitted lines that an entry logged."""
        place = int(_timestamp(line) // self.every)
        for name, count in line.get('requests', {}).items():
            self.omitted[place][line.get('instance', ''), name] += count

    def rows(self) -> Iterator[tuple[float, str, int]]:
        """Yield start of interval in seconds, cause and estimated requests."""
        first = min(self.logged, default=0)
        for place in sorted(self.logged):
            estimate = self._estimate(place)
            causes = sorted(estimate, key=estimate.__getitem__, reverse=True)
            for cause in causes:
                count = round(estimate[cause])
                yield (place - first) * self.every, cause, count

    def _estimate(self, place: int) -> dict[str, float]:
        counts = self.logged[place]
        by_name: Counter[tuple[str, str]] = Counter()
        for (instance, name, _), count in counts.items():
            by_name[instance, name] += count
        estimate: dict[str, float] = defaultdict(float)
        for (instance, name, cause), count in counts.items():
            logged = by_name[instance, name]
            missing = self.omitted[place][instance, name]
            estimate[cause or 'served in time'] += count * (
                1 + missing / logged
            )
        return estimate


@dataclass(slots=True)
class _LineReader:
    """Finds the ends of requests among the lines of the logs."""

    table: LossTable
    last_sent: dict[tuple[str, str], dict[str, Any]] = field(
        default_factory=dict
    )
    taken: set[tuple[str, str]] = field(default_factory=set)

    def read(self, line: dict[str, Any]) -> None:
        """Handle one line."""
        who = (line.get('instance', ''), line.get('request', ''))
        message = line.get('message', '')
        if message in _SENT:
            self.last_sent[who] = line
        elif message == _TAKEN:
            self.taken.add(who)
        elif message == _LINES_OMITTED:
            self.table.add_omitted(line)
        elif message == _ANSWERED or message in _LOSS_CATEGORIES:
            self._end(who, line)

    def _end(self, who: tuple[str, str], line: dict[str, Any]) -> None:
        sent = self.last_sent.pop(who, {})
        # A request that was taken over counts at the entry that its caller
        # used; one that was refused to an entry has no other line here.
        if who not in self.taken and 'from' not in line:
            self.table.add(_request_end(line, sent))
        self.taken.discard(who)


def show_losses(output: Output, files: Iterable[str], every: float) -> None:
    """Print the causes of lost requests, by interval."""
    table = LossTable(every)
    reader = _LineReader(table)
    for line in read_lines(files):
        reader.read(line)
    rows = list(table.rows())
    columns = ('from s', 'cause', 'requests')
    output.table('losses', columns, rows, [list(row) for row in rows])


def _request_end(line: dict[str, Any], sent: dict[str, Any]) -> RequestEnd:
    at = _timestamp(line)
    instance = line.get('instance', '')
    message = line['message']
    if message != _ANSWERED:
        verb = message.removeprefix('request-')
        cause = f'{verb}: {line.get("subject", "")}'
        return RequestEnd(at, instance, _LOSS_CATEGORIES[message], cause)
    if not line.get('late'):
        return RequestEnd(at, instance, _SERVED_CATEGORY, '')
    return RequestEnd(
        at, instance, _LATE_CATEGORY, _late_cause(line, sent).value
    )


def _late_cause(line: dict[str, Any], sent: dict[str, Any]) -> LateCause:
    slow = line.get('execution', 0) > _SLOW_FACTOR * line.get('expected', 0)
    conditions = {
        LateCause.RETURNED: line.get('returned', 0),
        LateCause.PASSED: sent.get('message') == _PASSED,
        LateCause.REPEATED: line.get('sends', 1) > 1,
        LateCause.COLD: not sent.get('warm', 1),
        LateCause.WAITED: sent.get('wait', 0) > 0,
        LateCause.SLOW: slow,
    }
    causes = (cause for cause, applies in conditions.items() if applies)
    return next(causes, LateCause.OTHER)


def _timestamp(line: dict[str, Any]) -> float:
    text = line.get('at') or line.get('time', '')
    return datetime.fromisoformat(str(text)).timestamp()
