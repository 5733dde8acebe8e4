"""Receives the answers of upstreams for callers."""

from collections.abc import Callable
from dataclasses import dataclass, field

from tornado import httputil

from worksrail.core.evidence import AnswerHead, NamedRequest
from worksrail.core.pacing import NamedLimit
from worksrail.core.steering.events import ReportedLoad
from worksrail.daemon.http._dialect import AnswerUse
from worksrail.daemon.http._exchange import Exchange
from worksrail.daemon.steered._adapter import Adapter, UpstreamAnswer


@dataclass(slots=True)
class SteeredSink:
    """Receives the answer of one attempt and checks whose it is."""

    exchange: Exchange
    """The exchange with the caller."""

    adapter: Adapter
    """Parses the answer."""

    clock: Callable[[], float]
    """Monotonic clock in seconds."""

    answer: UpstreamAnswer | None = None
    """Head of the last answer to this request."""

    answered_at: float = 0
    """When that head was received."""

    heads: list[AnswerHead] = field(default_factory=list)
    """Heads of all answers on the connection, in order."""

    def judge(self, status: int, headers: httputil.HTTPHeaders) -> AnswerUse:
        """Decide by its head what to do with an answer."""
        answer = self.adapter.upstreams.read_answer(status, headers)
        self._note(status, answer.trace, stated=not answer.executed)
        refused = not answer.executed or answer.misdirected
        if answer.trace != self.exchange.trace:
            if answer.trace:
                return AnswerUse.PASS_OVER
            if not refused:
                return AnswerUse.REJECT
        self.answer = answer
        self.answered_at = self.clock()
        if refused:
            return AnswerUse.HOLD_BACK
        return AnswerUse.REJECT if answer.altered else AnswerUse.PASS_ON

    def begins(self) -> bool:
        """Return whether the answer is passed on to the caller."""
        answer = self.answer
        return answer is not None and answer.executed and not answer.misdirected

    def named_limit(self) -> NamedLimit | None:
        """Return the limit that the answer names for its upstream.

        An answer of another upstream at the address is ignored.
        """
        if self.answer is None or self.answer.misdirected:
            return None
        return NamedLimit(self.answer.rate, self.answered_at)

    def reported_load(self) -> ReportedLoad | None:
        """Return the load that the upstream reports with its answer.

        An answer of another upstream at the address is ignored.
        """
        if self.answer is None or self.answer.misdirected:
            return None
        return self.answer.load

    async def start_answer(
        self,
        start: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Forward the head of the answer."""
        await self.exchange.start_answer(start, headers)

    async def write(self, chunk: bytes) -> None:
        """Forward a chunk of the body."""
        await self.exchange.write(chunk)

    def end(self) -> None:
        """End the exchange after a complete answer."""
        self.exchange.end()

    def _note(self, status: int, named: str, *, stated: bool) -> None:
        whose = NamedRequest.from_identifier(named, self.exchange.trace)
        self.heads.append(AnswerHead(status, stated, whose))
