"""Why callers lost: a table of causes by time, from the logs of entries.

Entries write every failure and refusal up to a limit a second, and samples of
the rest; each second they tell how many they left out.  What was written is
scaled by that, so the counts are estimates where a log was short.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from enum import Enum, unique
from typing import Any, Final

from worksrail.cli._logs import read_lines
from worksrail.cli._output import Output

_SENT: Final = frozenset(('request-sent', 'request-repeated'))
_ANSWERED: Final = 'request-answered'
_LEFT_OUT: Final = 'lines-left-out'
# Names under which entries count what they leave out, by how a request ended.
_LATE_NAME: Final = 'LATE'
_SERVED_NAME: Final = 'REQUEST_ANSWERED'
_ENDS: Final = {
    'request-refused': 'REQUEST_REFUSED',
    'request-failed': 'REQUEST_FAILED',
    'request-dropped': 'REQUEST_DROPPED',
}
# An execution that took so many times what was expected was slow.
_SLOW: Final = 1.5


@unique
class LateCause(Enum):
    """Why an answer was late, the first that applies."""

    RETURNED = 'late: came back after a refusal'
    REPEATED = 'late: sent more than once'
    COLD = 'late: sent where its key was not expected to be warm'
    WAITED = 'late: expected to wait for a slot'
    SLOW = 'late: executed much longer than expected'
    OTHER = 'late: otherwise'


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """How one request ended."""

    at: float
    """When, in seconds of the wall clock."""

    instance: str
    """Entry that wrote it."""

    name: str
    """Name under which the entry limits such lines."""

    cause: str
    """Why it was lost; empty if it was served in time."""


def _counters() -> defaultdict[int, Counter[Any]]:
    return defaultdict(Counter)


@dataclass(slots=True)
class LossTable:
    """Counts of causes in intervals of time."""

    every: float
    """Seconds of an interval."""

    written: defaultdict[int, Counter[tuple[str, str, str]]] = field(
        default_factory=_counters
    )
    """Requests by interval, and by entry, name and cause."""

    left_out: defaultdict[int, Counter[tuple[str, str]]] = field(
        default_factory=_counters
    )
    """Requests that were not written, by interval, entry and name."""

    def add(self, end: RequestEnd) -> None:
        """Count the end of a request."""
        place = int(end.at // self.every)
        self.written[place][end.instance, end.name, end.cause] += 1

    def add_left_out(self, line: dict[str, Any]) -> None:
        """Take in an entry's word on what it left out."""
        place = int(_seconds(line) // self.every)
        for name, count in line.get('requests', {}).items():
            self.left_out[place][line.get('instance', ''), name] += count

    def rows(self) -> Iterator[tuple[float, str, int]]:
        """Start of an interval in seconds, cause, and estimated requests."""
        first = min(self.written, default=0)
        for place in sorted(self.written):
            estimate = self._estimate(place)
            causes = sorted(estimate, key=estimate.__getitem__, reverse=True)
            for cause in causes:
                count = round(estimate[cause])
                yield (place - first) * self.every, cause, count

    def _estimate(self, place: int) -> dict[str, float]:
        counts = self.written[place]
        by_name: Counter[tuple[str, str]] = Counter()
        for (instance, name, _), count in counts.items():
            by_name[instance, name] += count
        estimate: dict[str, float] = defaultdict(float)
        for (instance, name, cause), count in counts.items():
            known = by_name[instance, name]
            missing = self.left_out[place][instance, name]
            estimate[cause or 'served in time'] += count * (1 + missing / known)
        return estimate


def show_losses(output: Output, files: Iterable[str], every: float) -> None:
    """Show why requests were lost, by interval."""
    table = LossTable(every)
    trails: dict[tuple[str, str], dict[str, Any]] = {}
    for line in read_lines(files):
        who = (line.get('instance', ''), line.get('request', ''))
        message = line.get('message', '')
        if message in _SENT:
            trails[who] = line
        elif message == _LEFT_OUT:
            table.add_left_out(line)
        elif message == _ANSWERED or message in _ENDS:
            table.add(_end_of(line, trails.pop(who, {})))
    rows = list(table.rows())
    columns = ('from s', 'cause', 'requests')
    output.table('losses', columns, rows, [list(row) for row in rows])


def _end_of(line: dict[str, Any], sent: dict[str, Any]) -> RequestEnd:
    at = _seconds(line)
    instance = line.get('instance', '')
    message = line['message']
    if message != _ANSWERED:
        verb = message.removeprefix('request-')
        cause = f'{verb}: {line.get("subject", "")}'
        return RequestEnd(at, instance, _ENDS[message], cause)
    if not line.get('late'):
        return RequestEnd(at, instance, _SERVED_NAME, '')
    return RequestEnd(at, instance, _LATE_NAME, _late_cause(line, sent).value)


def _late_cause(line: dict[str, Any], sent: dict[str, Any]) -> LateCause:
    slow = line.get('execution', 0) > _SLOW * line.get('expected', 0)
    found = {
        LateCause.RETURNED: line.get('returned', 0),
        LateCause.REPEATED: line.get('sends', 1) > 1,
        LateCause.COLD: not sent.get('warm', 1),
        LateCause.WAITED: sent.get('wait', 0) > 0,
        LateCause.SLOW: slow,
    }
    causes = (cause for cause, applies in found.items() if applies)
    return next(causes, LateCause.OTHER)


def _seconds(line: dict[str, Any]) -> float:
    moment = line.get('at') or line.get('time', '')
    return datetime.fromisoformat(str(moment)).timestamp()
