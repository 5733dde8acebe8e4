"""How requests ended, as read from the logs of entries.

Entries log each failure and refusal up to a maximum per second, and samples of
the rest; each second they log the number of omitted lines.  Counts are scaled
up by that number, so they are estimates where lines were omitted.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any, Final

Line = dict[str, Any]

PASSED: Final = 'request-passed'
ANSWERED: Final = 'request-answered'
_TAKEN: Final = 'request-taken'
_SENT: Final = frozenset(('request-sent', 'request-repeated', PASSED))
_LINES_OMITTED: Final = 'lines-left-out'
# Categories by which entries count omitted lines, by message of the log line.
_LATE_CATEGORY: Final = 'LATE'
_SERVED_CATEGORY: Final = 'REQUEST_ANSWERED'
_LOSS_CATEGORIES: Final = {
    'request-refused': 'REQUEST_REFUSED',
    'request-failed': 'REQUEST_FAILED',
    'request-dropped': 'REQUEST_DROPPED',
}


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """How one request ended, by the lines that its entry logged."""

    at: float
    """Time of the end, in seconds of the wall clock."""

    instance: str
    """Entry that logged it."""

    category: str
    """Category by which the entry limits such log lines."""

    line: Line
    """Line about the end."""

    sent: Line
    """Line about the last send; empty if it was not sent."""

    @property
    def is_late(self) -> bool:
        """Whether an upstream answered it after its target latency."""
        return self.category == _LATE_CATEGORY

    @property
    def is_lost(self) -> bool:
        """Whether it ended without an answer of an upstream."""
        return bool(self.line['message'] != ANSWERED)


@dataclass(slots=True)
class Sampling:
    """Logged and omitted lines by interval, entry and category."""

    every: float
    """Length of an interval in seconds."""

    logged: Counter[tuple[int, str, str]] = field(default_factory=Counter)
    """Number of logged lines."""

    omitted: Counter[tuple[int, str, str]] = field(default_factory=Counter)
    """Number of omitted lines."""

    def interval_of(self, at: float) -> int:
        """Return the number of the interval of a time."""
        return int(at // self.every)

    def add(self, at: float, instance: str, category: str) -> None:
        """Count a logged line."""
        self.logged[self.interval_of(at), instance, category] += 1

    def add_omitted(self, line: Line) -> None:
        """Add the counts of omitted lines that an entry logged."""
        interval = self.interval_of(timestamp(line))
        for category, count in line.get('requests', {}).items():
            key = (interval, line.get('instance', ''), category)
            self.omitted[key] += count

    def weight(self, at: float, instance: str, category: str) -> float:
        """Return the number of lines that a logged one stands for."""
        key = (self.interval_of(at), instance, category)
        return 1 + self.omitted[key] / self.logged[key]


@dataclass(slots=True)
class EndReader:
    """Finds the ends of requests among the lines of the logs."""

    sampling: Sampling
    """Counts the lines, to scale what is derived from them."""

    ends: list[RequestEnd] = field(default_factory=list)
    """Ends of requests at the entries that their callers used."""

    others: dict[str, list[Line]] = field(default_factory=dict)
    """Further lines by message, of the messages that were asked for."""

    last_sent: dict[tuple[str, str], Line] = field(default_factory=dict)
    taken: set[tuple[str, str]] = field(default_factory=set)

    @classmethod
    def from_lines(
        cls,
        lines: Iterable[Line],
        every: float,
        also: Iterable[str] = (),
    ) -> 'EndReader':
        """Read all lines; keep those whose message is in ``also``."""
        reader = cls(Sampling(every), others={name: [] for name in also})
        for line in lines:
            reader.read(line)
        return reader

    def read(self, line: Line) -> None:
        """Handle one line."""
        message = line.get('message', '')
        if message in self.others:
            self._keep(message, line)
        elif message == _LINES_OMITTED:
            self.sampling.add_omitted(line)
        else:
            self._read_request(message, line)

    def weight(self, end: RequestEnd) -> float:
        """Return the number of requests that a logged end stands for."""
        return self.sampling.weight(end.at, end.instance, end.category)

    def weighted(self, message: str) -> Iterator[tuple[Line, float]]:
        """Yield the kept lines of a message, and what each stands for."""
        for line in self.others[message]:
            weight = self.sampling.weight(
                timestamp(line), line.get('instance', ''), category_of(message)
            )
            yield line, weight

    def _read_request(self, message: str, line: Line) -> None:
        who = (line.get('instance', ''), line.get('request', ''))
        if message in _SENT:
            self.last_sent[who] = line
        elif message == _TAKEN:
            self.taken.add(who)
        elif message == ANSWERED or message in _LOSS_CATEGORIES:
            self._end(who, line)

    def _keep(self, message: str, line: Line) -> None:
        self.others[message].append(line)
        self.sampling.add(
            timestamp(line), line.get('instance', ''), category_of(message)
        )

    def _end(self, who: tuple[str, str], line: Line) -> None:
        sent = self.last_sent.pop(who, {})
        # A request that was taken over counts at the entry that its caller
        # used; one that was refused to an entry has no other line here.
        if who not in self.taken and 'from' not in line:
            end = RequestEnd(
                timestamp(line), who[0], _end_category(line), line, sent
            )
            self.sampling.add(end.at, end.instance, end.category)
            self.ends.append(end)
        self.taken.discard(who)


def timestamp(line: Line) -> float:
    """Return the time of a line in seconds."""
    text = line.get('at') or line.get('time', '')
    return datetime.fromisoformat(str(text)).timestamp()


def category_of(message: str) -> str:
    """Return the category by which entries limit lines of a message."""
    return message.upper().replace('-', '_')


def _end_category(line: Line) -> str:
    if line['message'] == ANSWERED:
        return _LATE_CATEGORY if line.get('late') else _SERVED_CATEGORY
    return _LOSS_CATEGORIES[line['message']]
