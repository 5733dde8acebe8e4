"""Rate-limited log of decisions, which also counts them in the metrics."""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Any, Final

from logbook import Logger

from worksrail.core.steering import SteeringState
from worksrail.core.steering.effects import Decision, DecisionKind
from worksrail.daemon.steered._metrics import SteeringMetrics
from worksrail.daemon.steered._omitted import OmittedRequests
from worksrail.daemon.steered._service_sends import ServiceSends

_LOG: Final = Logger('worksrail.decisions')

# Kinds of decisions about a request, which are kept until the request ends.
_REQUEST_KINDS: Final = frozenset(
    (
        DecisionKind.REQUEST_SENT,
        DecisionKind.REQUEST_REPEATED,
        DecisionKind.REQUEST_PASSED,
        DecisionKind.REQUEST_TAKEN,
        DecisionKind.REPEAT_DENIED,
        DecisionKind.TOKEN_AWAITED,
        DecisionKind.CALLER_GONE,
        DecisionKind.ATTEMPT_CANCELLED,
        DecisionKind.ATTEMPT_KEPT,
        DecisionKind.NOT_EXECUTED,
        DecisionKind.STRAY_ANSWER,
    )
)
_SUCCESS: Final = DecisionKind.REQUEST_ANSWERED
_UNSUCCESSFUL_ENDS: Final = frozenset(
    (
        DecisionKind.REQUEST_REFUSED,
        DecisionKind.REQUEST_FAILED,
        DecisionKind.REQUEST_DROPPED,
    )
)
# Maximum number of requests per second whose decisions are all logged, by the
# way they ended: every failure up to a rate that a reader can follow, and a
# sample of the successes.
_MAX_FAILURES_PER_S: Final = 50
_MAX_LATE_PER_S: Final = 5
_MAX_SUCCESSES_PER_S: Final = 1
# Maximum number of decisions per second of each other kind.
_MAX_OTHERS_PER_S: Final = 100


@dataclass(slots=True)
class SecondLimit:
    """Limits the number of log entries per second, by name."""

    second: int = 0
    """The current second."""

    counts: Counter[str] = field(default_factory=Counter)
    """Number allowed in the current second, by name."""

    left_out: Counter[str] = field(default_factory=Counter)
    """Number denied since the last summary, by name."""

    def allows(self, name: str, maximum: int, now: float) -> bool:
        """Return whether one more is allowed, and count it."""
        if int(now) != self.second:
            self.second = int(now)
            self.counts.clear()
        if self.counts[name] >= maximum:
            self.left_out[name] += 1
            return False
        self.counts[name] += 1
        return True

    def take_left_out(self) -> dict[str, int]:
        """Return the numbers denied since the last call, and reset them."""
        left_out = dict(self.left_out)
        self.left_out.clear()
        return left_out


@dataclass(slots=True)
class _Line:
    decision: Decision
    at: float


@dataclass(slots=True)
class DecisionLog:
    """Logs the decisions of each request when it ends.

    All of them are logged if the request failed, was refused or was late, so
    that a failure can be traced by its identifier.  Successes are sampled.
    """

    trace_of: Callable[[int], str]
    """Returns the caller's identifier of a request."""

    metrics: SteeringMetrics
    """Counts all decisions, logged or not."""

    clock: Callable[[], float] = time.time
    """Wall-clock time in seconds."""

    trails: dict[int, list[_Line]] = field(default_factory=dict)
    """Decisions of the requests in progress, by request."""

    limit: SecondLimit = field(default_factory=SecondLimit)
    """Rate limit of the log."""

    omitted: OmittedRequests = field(default_factory=OmittedRequests)
    """Requests that the log omits, by who sent them."""

    sends: ServiceSends = field(default_factory=ServiceSends)
    """Sends to upstreams since the last summary."""

    def write(self, decision: Decision) -> None:
        """Record a decision; log it now or at the end of its request."""
        self.metrics.count(decision)
        self.sends.count(decision)
        line = _Line(decision, self.clock())
        if decision.kind in _REQUEST_KINDS:
            self.trails.setdefault(decision.request, []).append(line)
        elif decision.kind is _SUCCESS or decision.kind in _UNSUCCESSFUL_ENDS:
            self._end(line)
        elif self._allows(decision.kind.name, _MAX_OTHERS_PER_S, line.at):
            self._emit(line)

    def summarise(self) -> None:
        """Log the number of requests left out since the last summary."""
        left_out = self.limit.take_left_out()
        if left_out:
            callers = self.omitted.take()
            _LOG.warning(
                'lines-left-out',
                extra={'requests': left_out, 'callers': callers},
            )

    def log_sends(self, state: SteeringState, now: float) -> None:
        """Log the sends to upstreams by service since the last call."""
        for fields in self.sends.take(state, now):
            _LOG.info('service-sends', extra=fields)

    def _end(self, last: _Line) -> None:
        trail = self.trails.pop(last.decision.request, [])
        name, maximum = _rate_limit(last.decision)
        if self._allows(name, maximum, last.at):
            for line in (*trail, last):
                self._emit(line)
            return
        decisions = [line.decision for line in trail]
        self.omitted.add(name, decisions, last.decision)

    def _allows(self, name: str, maximum: int, now: float) -> bool:
        return self.limit.allows(name, maximum, now)

    def _emit(self, line: _Line) -> None:
        decision = line.decision
        extra: dict[str, Any] = dict(decision.inputs)
        extra['subject'] = decision.subject
        if decision.request:
            extra['request'] = self.trace_of(decision.request)
        extra['at'] = datetime.fromtimestamp(line.at, UTC).isoformat()
        _LOG.info(decision.kind.name.lower().replace('_', '-'), extra=extra)


def _rate_limit(last: Decision) -> tuple[str, int]:
    if last.kind is not _SUCCESS:
        return last.kind.name, _MAX_FAILURES_PER_S
    if dict(last.inputs).get('late'):
        return 'LATE', _MAX_LATE_PER_S
    return last.kind.name, _MAX_SUCCESSES_PER_S
