"""Runs the effects on callers' requests."""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Final

from tornado import httputil

from worksrail.core.pacing import NamedLimit
from worksrail.core.results import ResultCode
from worksrail.core.steering.effects import (
    AnswerResult,
    CancelAttempt,
    DropConnections,
    SendUpstream,
)
from worksrail.core.steering.events import (
    AttemptEnded,
    AttemptOutcome,
    CallerGone,
    RequestArrived,
)
from worksrail.daemon.http import _headers as names
from worksrail.daemon.http._attempt import (
    AttemptEnd,
    AttemptReport,
    HttpAttempt,
    Outgoing,
)
from worksrail.daemon.http._connections import ConnectionPool
from worksrail.daemon.http._dialect import AnswerUse
from worksrail.daemon.http._exchange import Exchange
from worksrail.daemon.steered._adapter import Adapter, UpstreamAnswer
from worksrail.daemon.steered._engine import SteeringEngine

_HTTP_VERSION: Final = 'HTTP/1.1'

_OUTCOME_BY_END: Final = {
    AttemptEnd.NOT_SENT: AttemptOutcome.NOT_CONNECTED,
    AttemptEnd.WHOLE: AttemptOutcome.ANSWERED,
    AttemptEnd.NO_ANSWER: AttemptOutcome.BROKE_BEFORE_ANSWER,
    AttemptEnd.CUT_ANSWER: AttemptOutcome.BROKE_IN_ANSWER,
    AttemptEnd.UNVERIFIABLE: AttemptOutcome.SPOILED,
    AttemptEnd.REJECTED: AttemptOutcome.SPOILED,
    AttemptEnd.TIMED_OUT: AttemptOutcome.TIMED_OUT,
    AttemptEnd.CANCELLED: AttemptOutcome.CANCELLED,
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
    """Head of the last answer to this request."""

    answered_at: float = 0
    """When that head was received."""

    def judge(self, status: int, headers: httputil.HTTPHeaders) -> AnswerUse:
        """Decide by its head what to do with an answer."""
        answer = self.adapter.upstreams.read_answer(status, headers)
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

    def named_limit(self) -> NamedLimit | None:
        """Return the limit that the answer names for its upstream.

        An answer of another upstream at the address is ignored.
        """
        if self.answer is None or self.answer.misdirected:
            return None
        return NamedLimit(self.answer.rate, self.answered_at)

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


@dataclass(slots=True)
class SteeredRequests:
    """Exchanges with callers in progress and the effects on them."""

    engine: SteeringEngine
    """Handles the events."""

    adapter: Adapter
    """Translators of the platform."""

    upstreams: ConnectionPool
    """Connections to upstreams."""

    exchanges: dict[int, Exchange] = field(default_factory=dict)
    """Exchanges in progress, by the number of the request."""

    # -- events

    def arrived(self, exchange: Exchange) -> None:
        """Dispatch an event for a new request."""
        exchange.closing = self.engine.state.leaving
        head = self.adapter.callers.read_head(
            exchange.start.method, exchange.start.path, exchange.headers
        )
        if head is None:
            exchange.answer_result(ResultCode.INVALID_DEADLINE)
            return
        self.exchanges[exchange.number] = exchange
        self.engine.dispatch(
            RequestArrived(
                self.engine.now(),
                exchange.number,
                head,
                exchange.body_digest(),
            )
        )

    def caller_gone(self, exchange: Exchange) -> None:
        """Dispatch an event for a closed connection of a caller."""
        if exchange.number in self.exchanges:
            self.engine.dispatch(CallerGone(self.engine.now(), exchange.number))

    # -- effects

    def send_upstream(self, effect: SendUpstream) -> None:
        """Send a request to an upstream."""
        exchange = self.exchanges[effect.request]
        exchange.run(self._attempt(exchange, effect))

    def answer_result(self, effect: AnswerResult) -> None:
        """Answer a request with a result code."""
        exchange = self.exchanges.pop(effect.request, None)
        if exchange:
            exchange.closing = self.engine.state.leaving
            exchange.answer_result(effect.code, effect.retry_after)

    def cancel(self, effect: CancelAttempt) -> None:
        """Cancel the attempt in progress."""
        exchange = self.exchanges.get(effect.request)
        if exchange:
            exchange.cancel()

    def drop_connections(self, effect: DropConnections) -> None:
        """Close idle connections to an address."""
        self.upstreams.drop(effect.address)

    def trace_of(self, number: int) -> str:
        """Return the caller's identifier of a request."""
        exchange = self.exchanges.get(number)
        return exchange.trace if exchange else ''

    # -- attempts

    async def _attempt(
        self,
        exchange: Exchange,
        effect: SendUpstream,
    ) -> None:
        sink = SteeredSink(exchange, self.adapter, self.engine.now)
        attempt = HttpAttempt(
            self.upstreams,
            self.engine.now,
            self._build_request(exchange, effect),
            exchange.body,
            sink,
        )
        report = await attempt.run()
        outcome = _outcome(report, sink.answer)
        if outcome is AttemptOutcome.BROKE_IN_ANSWER:
            exchange.break_off()
        event = AttemptEnded(
            self.engine.now(),
            effect.request,
            effect.attempt,
            outcome,
            report.status,
            sink.answer.load if sink.answer else None,
            report.connect_time,
            _rewind_body(exchange),
            sink.named_limit(),
        )
        self.engine.dispatch(event)
        if effect.request not in self.engine.state.requests:
            self.exchanges.pop(effect.request, None)

    def _build_request(
        self,
        exchange: Exchange,
        effect: SendUpstream,
    ) -> Outgoing:
        headers = names.end_to_end(exchange.headers)
        body = exchange.body
        headers.pop('Expect', None)
        if body.ended and body.replayable:
            if body.size or 'Transfer-Encoding' in exchange.headers:
                headers['Content-Length'] = str(body.size)
        self.adapter.upstreams.mark_request(
            headers,
            effect.upstream,
            effect.deadline - self.engine.now(),
            effect.customer,
        )
        start = httputil.RequestStartLine(
            exchange.start.method, exchange.start.path, _HTTP_VERSION
        )
        return Outgoing(
            effect.address,
            start,
            headers,
            inf,
            effect.give_up_at,
            takes_unframed=True,
        )


def _outcome(
    report: AttemptReport,
    answer: UpstreamAnswer | None,
) -> AttemptOutcome:
    if answer and report.end is AttemptEnd.WHOLE:
        if answer.misdirected:
            return AttemptOutcome.OTHER_UPSTREAM
        if not answer.executed:
            return AttemptOutcome.NOT_EXECUTED
    return _OUTCOME_BY_END[report.end]


def _rewind_body(exchange: Exchange) -> bool:
    if exchange.begun or not exchange.body.replayable:
        return False
    exchange.body.rewind()
    return True
