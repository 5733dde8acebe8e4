"""Runs the effects on callers' requests."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from math import inf
from typing import Final

from tornado import httputil

from worksrail.core.availability import AvailabilityNotice
from worksrail.core.customers import CustomerName
from worksrail.core.evidence import Origin, Verdict
from worksrail.core.pacing import NoRate
from worksrail.core.results import ResultCode
from worksrail.core.steering import has_slots_free, wants_requests
from worksrail.core.steering.effects import (
    AnswerResult,
    CancelAttempt,
    DropConnections,
    PassRequest,
    SendUpstream,
)
from worksrail.core.steering.events import (
    AttemptEnded,
    AttemptOutcome,
    CallerGone,
    NoticeReceived,
    PassedRequestArrived,
    PassEnded,
    RequestArrived,
    RequestNumber,
    RequestOverdue,
)
from worksrail.daemon.http._attempt import (
    AttemptEnd,
    AttemptReport,
    HttpAttempt,
    Outgoing,
)
from worksrail.daemon.http._connections import ConnectionPool
from worksrail.daemon.http._exchange import Exchange
from worksrail.daemon.steered._adapter import Adapter
from worksrail.daemon.steered._engine import SteeringEngine
from worksrail.daemon.steered._passing import (
    PassingDialect,
    PassingSink,
    add_terms,
    is_passed,
    read_terms,
)
from worksrail.daemon.steered._sink import SteeredSink

# Seconds after its deadline from which a request counts as overdue.  Attempts
# wait for the last answers of upstreams for a part of them.
_MAX_OVERDUE: Final = 0.4
_HTTP_VERSION: Final = 'HTTP/1.1'

_OUTCOME_BY_END: Final = {
    AttemptEnd.NOT_SENT: AttemptOutcome.NOT_CONNECTED,
    AttemptEnd.WITHDRAWN: AttemptOutcome.WITHDRAWN,
    AttemptEnd.WHOLE: AttemptOutcome.ANSWERED,
    AttemptEnd.NO_ANSWER: AttemptOutcome.BROKE_BEFORE_ANSWER,
    AttemptEnd.CUT_ANSWER: AttemptOutcome.BROKE_IN_ANSWER,
    AttemptEnd.UNVERIFIABLE: AttemptOutcome.SPOILED,
    AttemptEnd.REJECTED: AttemptOutcome.SPOILED,
    AttemptEnd.TIMED_OUT: AttemptOutcome.TIMED_OUT,
    AttemptEnd.CANCELLED: AttemptOutcome.CANCELLED,
    AttemptEnd.CANCELLED_UNSENT: AttemptOutcome.CANCELLED_UNSENT,
}
_OUTCOME_BY_VERDICT: Final = {
    Verdict.NOT_EXECUTED: AttemptOutcome.NOT_EXECUTED,
    Verdict.OTHER_UPSTREAM: AttemptOutcome.OTHER_UPSTREAM,
    Verdict.UNPROVEN: AttemptOutcome.UNPROVEN,
}


@dataclass(slots=True)
class SteeredRequests:
    """Exchanges with callers in progress and the effects on them."""

    engine: SteeringEngine
    """Handles the events."""

    adapter: Adapter
    """Translators of the platform."""

    upstreams: ConnectionPool
    """Connections to upstreams."""

    peers: ConnectionPool
    """Connections to other entries."""

    exchanges: dict[int, Exchange] = field(default_factory=dict)
    """Exchanges in progress, by the number of the request."""

    overdue_checked_at: float = 0
    """When overdue requests were last looked for."""

    count_error: Callable[[], object] = bool
    """Counts attempts that ended with an unexpected error."""

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
                exchange.body.ended and exchange.body.replayable,
            )
        )

    def passed(self, exchange: Exchange) -> None:
        """Dispatch an event for a request that another entry passes on."""
        terms = read_terms(exchange)
        exchange.dialect = self._passing_dialect(terms.sends if terms else 0)
        head = self.adapter.callers.read_head(
            exchange.start.method, exchange.start.path, exchange.headers
        )
        if terms is None or head is None:
            exchange.answer_result(ResultCode.MALFORMED_REQUEST)
            return
        self.exchanges[exchange.number] = exchange
        self.engine.dispatch(
            PassedRequestArrived(
                self.engine.now(),
                exchange.number,
                head,
                terms,
                exchange.body_digest(),
                exchange.body.ended and exchange.body.replayable,
            )
        )

    def caller_gone(self, exchange: Exchange) -> None:
        """Dispatch an event for a closed connection of a caller."""
        if exchange.number in self.exchanges:
            self.engine.dispatch(CallerGone(self.engine.now(), exchange.number))

    def end_overdue(self) -> None:
        """End the requests without an answer well after their deadlines.

        Attempts end by themselves; this is the check that nothing else keeps
        a request open.  Right after a suspension they have yet to do so.
        """
        now = self.engine.now()
        gap = now - self.overdue_checked_at
        self.overdue_checked_at = now
        if gap > _MAX_OVERDUE:
            return
        active = self.engine.state.requests
        for number in tuple(self.exchanges):
            request = active.get(number)
            if request is None:
                self._discard_ended(number)
            elif now - request.deadline > _MAX_OVERDUE:
                self.engine.dispatch(RequestOverdue(now, number))

    # -- effects

    def send_upstream(self, effect: SendUpstream) -> None:
        """Send a request to an upstream."""
        exchange = self.exchanges[effect.request]
        sink = SteeredSink(exchange, self.adapter, self.engine.now)
        exchange.run(
            self._attempt(exchange, effect, sink),
            partial(self._end_attempt, exchange, effect, sink),
            effect.attempt,
        )

    def pass_request(self, effect: PassRequest) -> None:
        """Pass a request to another entry."""
        exchange = self.exchanges[effect.request]
        sink = PassingSink(exchange, self.adapter, self.engine.now)
        exchange.run(
            self._attempt_passing(exchange, effect, sink),
            partial(self._end_passing, exchange, effect, sink),
            effect.attempt,
        )

    def answer_result(self, effect: AnswerResult) -> None:
        """Answer a request with a result code."""
        exchange = self.exchanges.pop(effect.request, None)
        if exchange:
            if is_passed(exchange):
                exchange.dialect = self._passing_dialect(effect.sends)
            exchange.closing = self.engine.state.leaving
            exchange.answer_result(effect.code, effect.retry_after)

    def cancel(self, effect: CancelAttempt) -> None:
        """Cancel an attempt in progress."""
        exchange = self.exchanges.get(effect.request)
        if exchange:
            exchange.cancel(effect.attempt)

    def drop_connections(self, effect: DropConnections) -> None:
        """Close idle connections to an address."""
        self.upstreams.drop(effect.address)

    def admits_beside(self) -> bool:
        """Return whether requests of a connection may run beside each other.

        While slots are short, who sends ahead would take them from more urgent
        requests.
        """
        return has_slots_free(self.engine.state)

    def trace_of(self, number: int) -> str:
        """Return the caller's identifier of a request."""
        exchange = self.exchanges.get(number)
        return exchange.label if exchange else ''

    # -- attempts

    async def _attempt(
        self,
        exchange: Exchange,
        effect: SendUpstream,
        sink: SteeredSink,
    ) -> AttemptReport:
        attempt = HttpAttempt(
            self.upstreams,
            self.engine.now,
            self._build_request(exchange, effect),
            exchange.body.replay(),
            sink,
            partial(self._learn_notice, effect, sink),
            partial(self._is_wanted, self._upstream_of(effect)),
            exchange.label,
        )
        return await attempt.run()

    def _end_attempt(
        self,
        exchange: Exchange,
        effect: SendUpstream,
        sink: SteeredSink,
        report: AttemptReport,
    ) -> None:
        self._count_error(report)
        outcome = _outcome(report, sink.verdict)
        if outcome is AttemptOutcome.BROKE_IN_ANSWER:
            exchange.break_off()
        event = AttemptEnded(
            self.engine.now(),
            effect.request,
            effect.attempt,
            outcome,
            report.status,
            sink.reported_load(),
            report.connect_time,
            _rewind_body(exchange),
            sink.named_limit(),
            Origin(tuple(sink.heads), report.connection),
        )
        self.engine.dispatch(event)
        self._discard_ended(effect.request)

    def _passing_dialect(self, sends: int) -> PassingDialect:
        return PassingDialect(self.adapter.callers.protected, sends)

    def _count_error(self, report: AttemptReport) -> None:
        if report.error:
            self.count_error()

    def _discard_ended(self, number: RequestNumber) -> None:
        """Forget a request that has ended, and return what its body holds."""
        if number not in self.engine.state.requests:
            exchange = self.exchanges.pop(number, None)
            if exchange and not exchange.ended:
                # Its request has ended, but nothing has answered it.
                exchange.answer_result(ResultCode.HANDLING_BROKE)
            elif exchange:
                exchange.give_back_body()

    def _upstream_of(self, effect: SendUpstream) -> str:
        request = self.engine.state.requests.get(effect.request)
        attempts = request.in_progress if request else ()
        found = (one for one in attempts if one.number == effect.attempt)
        attempt = next(found, None)
        return attempt.upstream if attempt else ''

    def _is_wanted(self, upstream: str) -> bool:
        return wants_requests(self.engine.state, upstream, self.engine.now())

    def _learn_notice(
        self,
        effect: SendUpstream,
        sink: SteeredSink,
        status: int,
        headers: httputil.HTTPHeaders,
    ) -> None:
        if sink.answer is None:
            # It names no request, so it may be that of another upstream.
            return
        notice = self.adapter.upstreams.read_notice(status, headers)
        limit = sink.named_limit()
        if limit and limit.rate is NoRate.NOT_NAMED:
            # An answer ends a limit when it is complete.
            limit = None
        load = sink.reported_load()
        begins = sink.begins()
        if limit or load or begins or not notice.is_empty:
            event = NoticeReceived(
                self.engine.now(),
                effect.request,
                effect.attempt,
                notice,
                limit,
                load,
                begins,
            )
            self.engine.dispatch(event)

    def _begin_passed_answer(
        self,
        effect: PassRequest,
        sink: PassingSink,
        _status: int,
        _headers: httputil.HTTPHeaders,
    ) -> None:
        if sink.begins():
            event = NoticeReceived(
                self.engine.now(),
                effect.request,
                effect.attempt,
                AvailabilityNotice(),
                begins=True,
            )
            self.engine.dispatch(event)

    async def _attempt_passing(
        self,
        exchange: Exchange,
        effect: PassRequest,
        sink: PassingSink,
    ) -> AttemptReport:
        outgoing = self._build_outgoing(
            exchange,
            effect.peer,
            '',
            effect.deadline,
            effect.give_up_at,
            effect.terms.customer,
        )
        add_terms(outgoing.headers, effect.terms)
        attempt = HttpAttempt(
            self.peers,
            self.engine.now,
            outgoing,
            exchange.body.replay(),
            sink,
            partial(self._begin_passed_answer, effect, sink),
            trace=exchange.label,
        )
        return await attempt.run()

    def _end_passing(
        self,
        exchange: Exchange,
        effect: PassRequest,
        sink: PassingSink,
        report: AttemptReport,
    ) -> None:
        self._count_error(report)
        outcome = sink.outcome(_outcome(report, sink.verdict))
        if outcome is AttemptOutcome.BROKE_IN_ANSWER:
            exchange.break_off()
        self.engine.dispatch(
            PassEnded(
                self.engine.now(),
                effect.request,
                effect.attempt,
                outcome,
                report.status,
                _rewind_body(exchange),
                sink.refusal if report.end is AttemptEnd.WHOLE else None,
                Origin(tuple(sink.heads), report.connection),
            )
        )
        self._discard_ended(effect.request)

    def _build_request(
        self,
        exchange: Exchange,
        effect: SendUpstream,
    ) -> Outgoing:
        return self._build_outgoing(
            exchange,
            effect.address,
            effect.upstream,
            effect.deadline,
            effect.give_up_at,
            effect.customer,
            repeatable=self._is_repeatable(exchange, effect),
        )

    def _is_repeatable(self, exchange: Exchange, effect: SendUpstream) -> bool:
        request = self.engine.state.requests.get(effect.request)
        if request is None or not request.route.idempotent:
            return False
        sends_left = request.route.max_attempts - request.sends
        return sends_left > 0 and exchange.body.replayable

    def _build_outgoing(
        self,
        exchange: Exchange,
        address: str,
        upstream: str,
        deadline: float,
        give_up_at: float,
        customer: CustomerName,
        *,
        repeatable: bool = True,
    ) -> Outgoing:
        headers = exchange.outgoing_headers(self.adapter.callers.protected)
        self.adapter.upstreams.mark_request(
            headers,
            upstream,
            deadline - self.engine.now(),
            customer,
        )
        start = httputil.RequestStartLine(
            exchange.start.method, exchange.start.path, _HTTP_VERSION
        )
        return Outgoing(
            address,
            start,
            headers,
            inf,
            give_up_at,
            takes_unframed=True,
            repeatable=repeatable,
            identifier=exchange.trace,
        )


def _outcome(report: AttemptReport, verdict: Verdict) -> AttemptOutcome:
    outcome = _OUTCOME_BY_END[report.end]
    if outcome is AttemptOutcome.ANSWERED:
        return _OUTCOME_BY_VERDICT.get(verdict, outcome)
    return outcome


def _rewind_body(exchange: Exchange) -> bool:
    if exchange.begun or not exchange.body.replayable:
        return False
    exchange.body.rewind()
    return True
