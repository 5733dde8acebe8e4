"""Writes decisions to the log, in bounds, and counts them."""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Any, Final

from logbook import Logger

from worksrail.core.steering.effects import Decision, DecisionKind
from worksrail.daemon.steered._metrics import SteeringMetrics

_LOG: Final = Logger('worksrail.decisions')

# Decisions that belong to a request; they are kept until it ends.
_OF_REQUESTS: Final = frozenset(
    (
        DecisionKind.REQUEST_SENT,
        DecisionKind.REQUEST_REPEATED,
        DecisionKind.REPEAT_DENIED,
        DecisionKind.TOKEN_AWAITED,
        DecisionKind.CALLER_GONE,
    )
)
_SUCCESS: Final = DecisionKind.REQUEST_ANSWERED
_ENDS: Final = frozenset(
    (
        DecisionKind.REQUEST_REFUSED,
        DecisionKind.REQUEST_FAILED,
        DecisionKind.REQUEST_DROPPED,
    )
)
# Requests a second whose decisions are all written, by how they ended: every
# failure up to a limit that a reader can follow, and a sample of successes.
_FAILURES_PER_S: Final = 50
_LATE_PER_S: Final = 5
_SUCCESSES_PER_S: Final = 1
# Decisions a second of each other kind.
_OTHERS_PER_S: Final = 100


@dataclass(slots=True)
class SecondLimit:
    """Allows a number of things in each second."""

    second: int = 0
    """The second that is counted."""

    counts: Counter[str] = field(default_factory=Counter)
    """What was allowed in it, by name."""

    left_out: Counter[str] = field(default_factory=Counter)
    """What was not allowed since the last summary, by name."""

    def allows(self, name: str, most: int, now: float) -> bool:
        """Whether one more is allowed."""
        if int(now) != self.second:
            self.second = int(now)
            self.counts.clear()
        if self.counts[name] >= most:
            self.left_out[name] += 1
            return False
        self.counts[name] += 1
        return True

    def take_left_out(self) -> dict[str, int]:
        """What was left out since the last time this was asked."""
        left_out = dict(self.left_out)
        self.left_out.clear()
        return left_out


@dataclass(slots=True)
class _Line:
    decision: Decision
    at: float


@dataclass(slots=True)
class DecisionLog:
    """Keeps the decisions of each request until it ends.

    All are written if it failed, was refused or was late, so that a failure
    can be followed from its id; of the successes a sample is enough.
    """

    trace_of: Callable[[int], str]
    """The caller's identifier of a request."""

    metrics: SteeringMetrics
    """Counts everything, written or not."""

    clock: Callable[[], float] = time.time
    """Wall-clock time in seconds."""

    trails: dict[int, list[_Line]] = field(default_factory=dict)
    """Decisions of requests under way."""

    limit: SecondLimit = field(default_factory=SecondLimit)
    """What may be written."""

    def write(self, decision: Decision) -> None:
        """Take in a decision."""
        self.metrics.count(decision)
        line = _Line(decision, self.clock())
        if decision.kind in _OF_REQUESTS:
            self.trails.setdefault(decision.request, []).append(line)
        elif decision.kind is _SUCCESS or decision.kind in _ENDS:
            self._end(line)
        elif self._allows(decision.kind.name, _OTHERS_PER_S, line.at):
            self._emit(line)

    def summarise(self) -> None:
        """Say what was left out since the last summary."""
        left_out = self.limit.take_left_out()
        if left_out:
            _LOG.warning('lines-left-out', extra={'requests': left_out})

    def _end(self, last: _Line) -> None:
        trail = self.trails.pop(last.decision.request, [])
        name, most = _budget(last.decision)
        if self._allows(name, most, last.at):
            for line in (*trail, last):
                self._emit(line)

    def _allows(self, name: str, most: int, now: float) -> bool:
        return self.limit.allows(name, most, now)

    def _emit(self, line: _Line) -> None:
        decision = line.decision
        extra: dict[str, Any] = dict(decision.inputs)
        extra['subject'] = decision.subject
        if decision.request:
            extra['request'] = self.trace_of(decision.request)
        extra['at'] = datetime.fromtimestamp(line.at, UTC).isoformat()
        _LOG.info(decision.kind.name.lower().replace('_', '-'), extra=extra)


def _budget(last: Decision) -> tuple[str, int]:
    if last.kind is not _SUCCESS:
        return last.kind.name, _FAILURES_PER_S
    if dict(last.inputs).get('late'):
        return 'LATE', _LATE_PER_S
    return last.kind.name, _SUCCESSES_PER_S
