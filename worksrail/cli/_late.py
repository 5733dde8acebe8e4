"""Tables of late answers by cause, and of rejections by upstreams.

The time of each late answer is split into the parts that made it long, by
what its entry expected when it sent the request.  What took longer than
expected is attributed by its multiple of a warm execution: a cold key and a
slow machine have typical multiples, anything beyond is the work itself.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum, unique
from typing import Any, Final

from worksrail.cli._logs import read_lines
from worksrail.cli._output import Output
from worksrail.cli._request_ends import PASSED, EndReader, Line, RequestEnd

_REJECTED: Final = 'upstream-rejected'
# Lines are omitted evenly enough within a second to scale by its counts.
_SAMPLING_INTERVAL: Final = 2.0
# Multiple of the expected time up to which an execution is as expected.
_NORMAL_VARIATION: Final = 1.5
# Shares of the multiple of a cold execution between which an execution that
# was expected to be warm counts as cold.
_COLD_FROM: Final = 0.8
_COLD_TO: Final = 1.5
# Upstreams with the most rejections that are listed.
_MAX_UPSTREAMS: Final = 10

Row = tuple[object, ...]
# A value and the number of requests that it stands for.
Weighted = list[tuple[float, float]]


@unique
class Cause(Enum):
    """What an answer's time was spent on besides a warm execution."""

    RETURNED = 'came back after a refusal'
    PASSED = 'passed to another entry'
    REPEATED = 'earlier sends'
    QUEUED = 'queue at the upstream, expected'
    COLD = 'cold key, expected'
    EVICTED = 'cold key where a warm one was expected'
    SLOW = 'slow machine or unexpected queue'
    TAIL = 'long work'
    WAY = 'way to another zone or region'
    OTHER = 'none of these'


@dataclass(frozen=True, slots=True)
class LateAnswer:
    """A late answer and the parts of its time."""

    end: RequestEnd
    """End of the request."""

    weight: float
    """Number of late answers that it stands for."""

    seconds: dict[Cause, float]
    """Seconds spent by cause; only positive ones."""

    @classmethod
    def from_end(cls, end: RequestEnd, weight: float) -> 'LateAnswer':
        """Split the time of a late answer."""
        parts = dict(_parts(end))
        return cls(
            end,
            weight,
            {cause: spent for cause, spent in parts.items() if spent > 0},
        )

    @property
    def cause(self) -> Cause:
        """The cause that took the most seconds."""
        if not self.seconds:
            return Cause.OTHER
        return max(self.seconds, key=self.seconds.__getitem__)

    @property
    def group(self) -> Row:
        """Service, route, priority, and region of its upstream."""
        line = self.end.line
        names = ('service', 'route', 'priority')
        fields = (line.get(name, '') for name in names)
        return (*fields, self.end.sent.get('region', ''))


def show_late(output: Output, files: Iterable[str]) -> None:
    """Print late answers by cause, then by group, then rejections."""
    reader = EndReader.from_lines(
        read_lines(files), _SAMPLING_INTERVAL, (_REJECTED,)
    )
    answers = [
        LateAnswer.from_end(end, reader.weight(end))
        for end in reader.ends
        if end.is_late
    ]
    rejected = list(reader.weighted(_REJECTED))
    tables = {
        'late answers by cause': (
            ('cause', 'late', 'with it', 'median s', 'sum s'),
            _cause_rows(answers),
        ),
        'late answers by service, route, priority and region': (
            ('service', 'route', 'priority', 'region', 'cause', 'late'),
            _group_rows(answers),
        ),
        'rejections by the occupancy that the entry expected': (
            ('service', 'status', 'in flight per slot', *_REJECTION_COLUMNS),
            _rejection_rows(rejected, _by_occupancy),
        ),
        'upstreams with the most rejections': (
            ('upstream', *_REJECTION_COLUMNS),
            _rejection_rows(rejected, _by_upstream)[:_MAX_UPSTREAMS],
        ),
    }
    if output.as_json:
        output.document({title: rows for title, (_, rows) in tables.items()})
        return
    for title, (columns, rows) in tables.items():
        output.table(title, columns, rows, rows)


def _parts(end: RequestEnd) -> Iterator[tuple[Cause, float]]:
    line = end.line
    sent = end.sent
    after = float(line.get('after', 0))
    execution = float(line.get('execution', 0))
    excess = after - float(line.get('target', after))
    if line.get('returned'):
        yield Cause.RETURNED, excess
        return
    if sent.get('message') == PASSED:
        yield Cause.PASSED, excess
        return
    if line.get('sends', 1) > 1:
        yield Cause.REPEATED, after - execution
    warm = float(sent.get('warm_time', 0))
    yield Cause.QUEUED, float(sent.get('wait', 0))
    yield Cause.WAY, float(sent.get('rtt', 0))
    if not sent.get('warm', 1):
        yield Cause.COLD, float(sent.get('cold_time', warm)) - warm
    unexpected = execution - float(line.get('expected', execution))
    yield _unexpected_cause(execution, line, sent), unexpected


def _unexpected_cause(execution: float, line: Line, sent: Line) -> Cause:
    """Attribute what took longer than expected."""
    expected = float(line.get('expected', 0))
    if execution <= expected * _NORMAL_VARIATION:
        return Cause.OTHER
    warm = float(sent.get('warm_time', 0)) or expected
    cold = max(warm, float(sent.get('cold_time', 0)))
    work = execution - float(sent.get('wait', 0)) - float(sent.get('rtt', 0))
    if work > cold * _COLD_TO:
        return Cause.TAIL
    if sent.get('warm', 1) and work >= cold * _COLD_FROM:
        return Cause.EVICTED
    return Cause.SLOW


def _cause_rows(answers: Sequence[LateAnswer]) -> list[Row]:
    rows: list[tuple[Cause, float, float, float, float]] = []
    for cause in Cause:
        spent = [
            (answer.seconds[cause], answer.weight)
            for answer in answers
            if cause in answer.seconds
        ]
        late = sum(one.weight for one in answers if one.cause is cause)
        if late or spent:
            total = sum(seconds * weight for seconds, weight in spent)
            count = sum(weight for _, weight in spent)
            rows.append((cause, late, count, _median(spent), total))
    rows.sort(key=lambda row: -row[1])
    return [
        (cause.value, round(late), round(count), round(middle, 3), round(total))
        for cause, late, count, middle, total in rows
    ]


def _group_rows(answers: Sequence[LateAnswer]) -> list[Row]:
    counts: dict[Row, float] = defaultdict(float)
    for answer in answers:
        counts[*answer.group, answer.cause.value] += answer.weight
    ordered = sorted(counts, key=counts.__getitem__, reverse=True)
    return [(*group, round(counts[group])) for group in ordered]


_REJECTION_COLUMNS: Final = (
    'rejected',
    'own',
    'others',
    'slots',
    'executing',
    'waiting',
)


def _rejection_rows(
    rejected: Sequence[tuple[Line, float]],
    group_of: Callable[[Line], Row],
) -> list[Row]:
    """Count rejections by group, with medians of what the lines tell."""
    groups: dict[Row, list[tuple[Line, float]]] = defaultdict(list)
    for line, weight in rejected:
        groups[group_of(line)].append((line, weight))
    counts: Counter[Row] = Counter()
    for group, members in groups.items():
        counts[group] = round(sum(weight for _, weight in members))
    return [
        (
            *group,
            count,
            *(
                _median_of(name, groups[group])
                for name in _REJECTION_COLUMNS[1:]
            ),
        )
        for group, count in counts.most_common()
    ]


def _by_occupancy(line: Line) -> Row:
    slots = line.get('slots') or 1
    occupancy = (line.get('own', 0) + line.get('others', 0)) / slots
    return (
        line.get('service', ''),
        line.get('status', 0),
        f'{int(occupancy)} to {int(occupancy) + 1}',
    )


def _by_upstream(line: Line) -> Row:
    return (line.get('subject', ''),)


def _median_of(name: str, lines: Iterable[tuple[Line, float]]) -> Any:
    known: Weighted = [
        (float(line[name]), weight) for line, weight in lines if name in line
    ]
    return _median(known) if known else ''


def _median(samples: Weighted) -> float:
    """Return the weighted median; zero if there are no samples."""
    half = sum(weight for _, weight in samples) / 2
    for sample, weight in sorted(samples):
        half -= weight
        if half <= 0:
            return sample
    return 0
