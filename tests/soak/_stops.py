"""Whether callers get the answers that upstreams make while an entry stops."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.soak._promises import Ended, Sent

# Shares of the grace period: until which a stopping entry takes requests, and
# until which it must let an answer end whatever else it does.
LAST_ARRIVAL_SHARE = 0.48
_SURE_SHARE = 5 / 6
# Seconds by which times that were seen by different sides may differ.
_TOLERANCE = 0.3
_OK = 200
_FAILURE = 500


@dataclass(frozen=True, slots=True)
class Stop:
    """A time in which an entry had been asked to stop and had not exited."""

    host: str
    """Host of the entry."""

    begin: float
    """When it got its first SIGTERM."""

    end: float
    """When it had exited."""

    grace: float
    """Its grace period in seconds."""

    @property
    def sure_until(self) -> float:
        """Until when an answer that ends must reach its caller."""
        return self.begin + self.grace * _SURE_SHARE

    def takes(self, at: float) -> bool:
        """Whether the entry takes a request that is sent at a time."""
        return at <= self.begin + self.grace * LAST_ARRIVAL_SHARE

    def overlaps(self, begin: float, end: float) -> bool:
        """Whether some of a time lies in the stop."""
        return begin < self.end and end > self.begin


@dataclass(slots=True)
class Work:
    """An execution of a request, from its begin to its end."""

    trace: str
    """Identifier of the request."""

    entry: str
    """Host of the entry that the request came from."""

    begin: float
    """When it began."""

    end: float = inf
    """When it ended; infinite while it lasts."""

    is_whole: bool = False
    """Whether the upstream wrote its answer whole and kept the connection."""


@dataclass(slots=True)
class StopsSeen:
    """What upstreams and operators saw of stops."""

    stops: list[Stop] = field(default_factory=list)
    """Stops that are over."""

    works: list[Work] = field(default_factory=list)
    """Executions in the order of their begins."""

    def broken(
        self,
        sent: 'dict[str, Sent]',
        ended: 'dict[str, Ended]',
        was_calm: Callable[[float, float], bool],
    ) -> Iterator[tuple[str, str]]:
        """Yield requests whose callers lost an answer to a stop, and how."""
        for trace, works, stops in self.concerned(sent):
            end = ended.get(trace)
            if end is None or not was_calm(sent[trace].at, end.at):
                continue
            for stop in stops:
                lost = _lost(stop, sent[trace], end, works)
                if lost:
                    yield trace, f'{stop.host} at {stop.begin:.2f}: {lost}'
                    break

    def concerned(
        self, sent: 'dict[str, Sent]'
    ) -> 'Iterator[tuple[str, list[Work], list[Stop]]]':
        """Yield requests that were executed in a stop of one of their entries."""
        of_traces: defaultdict[str, list[Work]] = defaultdict(list)
        for work in self.works:
            of_traces[work.trace].append(work)
        for trace, works in of_traces.items():
            if trace not in sent:
                continue
            stops = [
                stop
                for stop in self.stops
                if _concerns(stop, sent[trace], works)
            ]
            if stops:
                yield trace, works, stops


def _concerns(stop: Stop, sent: 'Sent', works: Iterable[Work]) -> bool:
    host = sent.entry.partition(':')[0]
    return stop.takes(sent.at) and any(
        stop.host in (host, work.entry) and stop.overlaps(work.begin, work.end)
        for work in works
    )


def _lost(stop: Stop, sent: 'Sent', end: 'Ended', works: Iterable[Work]) -> str:
    """Return what a caller lost; empty if nothing."""
    deadline = sent.at + sent.time_left - _TOLERANCE
    if end.status == _OK or end.at < stop.begin:
        return ''
    for work in works:
        if work.is_whole and work.end < min(stop.sure_until, deadline):
            return f'{_named(end)}, the answer came at {work.end:.2f}'
    at_work = any(
        work.is_whole or work.begin <= end.at < work.end for work in works
    )
    if not at_work or end.at >= deadline:
        return ''
    if not end.status:
        return _named(end)
    # An answer without a number that is no success is the upstream's.
    if end.status >= _FAILURE and end.result and end.at < stop.sure_until:
        return f'{_named(end)} while the upstream is at work'
    return ''


def _named(end: 'Ended') -> str:
    if not end.status:
        return f'no answer at {end.at:.2f}'
    return f'{end.status} with result {end.result} at {end.at:.2f}'
