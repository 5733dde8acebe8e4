"""Table of lost requests by cause and interval, from the logs of entries."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from enum import Enum, unique
from typing import Final

from worksrail.cli._logs import read_lines
from worksrail.cli._output import Output
from worksrail.cli._request_ends import PASSED, EndReader, RequestEnd

_SERVED: Final = 'served in time'
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


def show_losses(output: Output, files: Iterable[str], every: float) -> None:
    """Print the causes of lost requests, by interval."""
    rows = list(_rows(EndReader.from_lines(read_lines(files), every)))
    columns = ('from s', 'cause', 'requests')
    output.table('losses', columns, rows, [list(row) for row in rows])


def _rows(reader: EndReader) -> Iterator[tuple[float, str, int]]:
    """Yield start of interval in seconds, cause and estimated requests."""
    estimates: dict[int, dict[str, float]] = {}
    for end in reader.ends:
        interval = reader.sampling.interval_of(end.at)
        causes = estimates.setdefault(interval, defaultdict(float))
        causes[_cause_of(end)] += reader.weight(end)
    first = min(estimates, default=0)
    for interval in sorted(estimates):
        estimate = estimates[interval]
        start = (interval - first) * reader.sampling.every
        for cause in sorted(estimate, key=estimate.__getitem__, reverse=True):
            yield start, cause, round(estimate[cause])


def _cause_of(end: RequestEnd) -> str:
    if end.is_lost:
        verb = end.line['message'].removeprefix('request-')
        return f'{verb}: {end.line.get("subject", "")}'
    return _late_cause(end).value if end.is_late else _SERVED


def _late_cause(end: RequestEnd) -> LateCause:
    line = end.line
    sent = end.sent
    slow = line.get('execution', 0) > _SLOW_FACTOR * line.get('expected', 0)
    conditions = {
        LateCause.RETURNED: line.get('returned', 0),
        LateCause.PASSED: sent.get('message') == PASSED,
        LateCause.REPEATED: line.get('sends', 1) > 1,
        LateCause.COLD: not sent.get('warm', 1),
        LateCause.WAITED: sent.get('wait', 0) > 0,
        LateCause.SLOW: slow,
    }
    causes = (cause for cause, applies in conditions.items() if applies)
    return next(causes, LateCause.OTHER)
