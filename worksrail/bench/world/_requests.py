"""What became of each caller's request."""

from collections import Counter
from dataclasses import dataclass, field

from worksrail.core.results import Certainty, ResultCode


@dataclass(frozen=True, slots=True)
class Traffic:
    """Requests that callers of one region send, with exponential gaps."""

    service: str
    """Service they are for."""

    home: str
    """Home region of the callers."""

    rate: float
    """Requests a second."""

    end: float
    """Virtual time after which none is sent."""

    writes: float = 0
    """Share of them that must not be repeated."""

    entry: str = ''
    """Entry that they go to; empty: as look-ups tell."""


@dataclass(slots=True)
class Outcome:
    """One caller's request."""

    trace: str
    """Identifier."""

    service: str
    """Service it is for."""

    home: str
    """Home region of the caller."""

    key: str
    """Idempotency key; empty for reads."""

    started_at: float
    """When it was meant to be sent."""

    ended_at: float | None = None
    """When the answer came; None while there is none."""

    code: ResultCode | None = None
    """Result."""

    executions: int = 0
    """How often upstreams began to execute it."""

    retry_after: float = 0
    """When it was told to come back."""

    @property
    def latency(self) -> float:
        """Seconds from the intended start to the answer."""
        return (self.ended_at or self.started_at) - self.started_at

    @property
    def is_ok(self) -> bool:
        """Whether it got a whole answer."""
        return self.code is ResultCode.OK


@dataclass(slots=True)
class RequestLog:
    """All requests by trace, and executions by key."""

    outcomes: dict[str, Outcome] = field(default_factory=dict)
    """Requests by trace."""

    key_executions: Counter[str] = field(default_factory=Counter)
    """Executions by idempotency key, over all requests that carry it."""

    cut_by_stop: int = 0
    """Requests in flight that a planned stop cut off."""

    def answered(
        self,
        trace: str,
        code: ResultCode,
        now: float,
        retry_after: float = 0,
    ) -> None:
        """Record the answer to a request."""
        outcome = self.outcomes[trace]
        if outcome.code is None:
            outcome.code = code
            outcome.ended_at = now
            outcome.retry_after = retry_after

    def executed(self, trace: str) -> None:
        """Record the beginning of an execution."""
        outcome = self.outcomes[trace]
        outcome.executions += 1
        if outcome.key:
            self.key_executions[outcome.key] += 1

    def falsely_not_run(self) -> list[str]:
        """Requests that were told *not run* but were executed."""
        return [
            outcome.trace
            for outcome in self.outcomes.values()
            if outcome.code
            and outcome.code.certainty is Certainty.NOT_RUN
            and outcome.executions
        ]

    def doubled(self) -> list[str]:
        """Keys that were executed more than once."""
        return [key for key, count in self.key_executions.items() if count > 1]

    def share(self, service: str, since: float = 0) -> float:
        """Share of a service's requests that got a whole answer."""
        chosen = [
            outcome
            for outcome in self.outcomes.values()
            if outcome.service == service and outcome.started_at >= since
        ]
        if not chosen:
            return 1
        return sum(outcome.is_ok for outcome in chosen) / len(chosen)
