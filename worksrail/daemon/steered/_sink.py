"""Receives the answers of upstreams for callers."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from tornado import httputil

from worksrail.core.evidence import AnswerHead, NamedRequest, Verdict
from worksrail.core.pacing import NamedLimit
from worksrail.core.steering.events import ReportedLoad
from worksrail.daemon.http._dialect import AnswerUse
from worksrail.daemon.http._exchange import Exchange
from worksrail.daemon.steered._adapter import Adapter, UpstreamAnswer

USES: Final = {
    Verdict.ANSWERS: AnswerUse.PASS_ON,
    Verdict.NOT_EXECUTED: AnswerUse.HOLD_BACK,
    Verdict.OTHER_UPSTREAM: AnswerUse.HOLD_BACK,
    Verdict.UNPROVEN: AnswerUse.HOLD_BACK,
    Verdict.STRAY: AnswerUse.PASS_OVER,
    Verdict.SPOILED: AnswerUse.REJECT,
}


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
    """Head of the last answer that names the request."""

    answered_at: float = 0
    """When that head was received."""

    verdict: Verdict = Verdict.STRAY
    """What follows from the last answer."""

    heads: list[AnswerHead] = field(default_factory=list)
    """Heads of all answers on the connection, in order."""

    def judge(self, status: int, headers: httputil.HTTPHeaders) -> AnswerUse:
        """Decide by its head what to do with an answer."""
        answer = self.adapter.upstreams.read_answer(status, headers)
        head = AnswerHead(
            status,
            not answer.executed,
            NamedRequest.from_identifier(answer.trace, self.identifier),
            answer.promises,
            answer.misdirected,
        )
        if head.named is NamedRequest.THIS:
            self.answer = answer
            self.answered_at = self.clock()
        if self.conclude(head) is Verdict.ANSWERS and answer.altered:
            return AnswerUse.REJECT
        return USES[self.verdict]

    @property
    def identifier(self) -> str:
        """Return the identifier with which the request is sent, or none."""
        return self.adapter.callers.trace_of(self.exchange.headers)

    def conclude(self, head: AnswerHead) -> Verdict:
        """Keep and return what follows from the head of an answer."""
        self.heads.append(head)
        self.verdict = head.verdict
        return self.verdict

    def begins(self) -> bool:
        """Return whether the answer is passed on to the caller."""
        return self.verdict is Verdict.ANSWERS

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
