"""Runs the effects that concern requests of callers."""

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

_HTTP: Final = 'HTTP/1.1'

_OUTCOMES: Final = {
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
    """Takes the answer of one attempt and decides whose it is."""

    exchange: Exchange
    """The request."""

    adapter: Adapter
    """Reads the answer."""

    clock: Callable[[], float]
    """Monotonic time in seconds."""

    answer: UpstreamAnswer | None = None
    """What the head of the last answer said."""

    answered_at: float = 0
    """When that head was read."""

    def judge(self, status: int, headers: httputil.HTTPHeaders) -> AnswerUse:
        """Whether an answer is to this request, and whose body it has."""
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
        """What the answer says of its upstream's limit.

        Another upstream at the address speaks for itself only.
        """
        if self.answer is None or self.answer.misdirected:
            return None
        return NamedLimit(self.answer.rate, self.answered_at)

    async def start_answer(
        self,
        start: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Pass on the head of the answer."""
        await self.exchange.start_answer(start, headers)

    async def write(self, chunk: bytes) -> None:
        """Pass on a part of its body."""
        await self.exchange.write(chunk)

    def end(self) -> None:
        """The answer was read whole."""
        self.exchange.end()


@dataclass(slots=True)
class SteeredRequests:
    """The exchanges that are under way, by the number of their arrival."""

    engine: SteeringEngine
    """Takes the events."""

    adapter: Adapter
    """Translates headers."""

    upstreams: ConnectionPool
    """Connections to upstreams."""

    exchanges: dict[int, Exchange] = field(default_factory=dict)
    """Exchanges under way."""

    # -- events

    def arrived(self, exchange: Exchange) -> None:
        """Make an event of a request."""
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
        """Make an event of a caller's leaving."""
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
        """Cut off the attempt that is under way."""
        exchange = self.exchanges.get(effect.request)
        if exchange:
            exchange.cancel()

    def drop_connections(self, effect: DropConnections) -> None:
        """Close idle connections to an address."""
        self.upstreams.drop(effect.address)

    def trace_of(self, number: int) -> str:
        """The caller's identifier of a request."""
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
            self._outgoing(exchange, effect),
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
            _rewound(exchange),
            sink.named_limit(),
        )
        self.engine.dispatch(event)
        if effect.request not in self.engine.state.requests:
            self.exchanges.pop(effect.request, None)

    def _outgoing(
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
            exchange.start.method, exchange.start.path, _HTTP
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
    return _OUTCOMES[report.end]


def _rewound(exchange: Exchange) -> bool:
    if exchange.begun or not exchange.body.replayable:
        return False
    exchange.body.rewind()
    return True
