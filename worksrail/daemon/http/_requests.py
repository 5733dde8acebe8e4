"""Turns HTTP requests into events and runs the effects on requests."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from tornado import httputil

from worksrail.core.customers import KeyDigest, digest_of_key
from worksrail.core.effects import (
    AnswerResult,
    CancelRequest,
    PassRequest,
    SendUpstream,
)
from worksrail.core.events import (
    AttemptEnded,
    AttemptOutcome,
    CallerGone,
    NoticeReceived,
    PassEnded,
    RequestArrived,
)
from worksrail.core.evidence import AnswerHead, Verdict
from worksrail.core.pacing import NamedLimit, read_rate
from worksrail.core.requests import (
    ArrivalPath,
    NoTicket,
    RequestHead,
    TicketSigner,
)
from worksrail.core.results import Certainty, ResultCode, code_by_number
from worksrail.daemon import _clock
from worksrail.daemon._engine import Engine
from worksrail.daemon.http import _headers as names
from worksrail.daemon.http._attempt import (
    AttemptEnd,
    AttemptReport,
    HttpAttempt,
    Outgoing,
)
from worksrail.daemon.http._connections import ConnectionPool
from worksrail.daemon.http._exchange import Exchange
from worksrail.daemon.http._notices import notice_of

_INVALID_TIMEOUT: Final = -1.0
_HTTP_VERSION: Final = 'HTTP/1.1'
_MIN_SERVER_ERROR: Final = 500

_OUTCOMES: Final = {
    AttemptEnd.NOT_SENT: AttemptOutcome.NOT_SENT,
    AttemptEnd.WITHDRAWN: AttemptOutcome.WITHDRAWN,
    AttemptEnd.WHOLE: AttemptOutcome.ANSWERED,
    AttemptEnd.NO_ANSWER: AttemptOutcome.BROKE_BEFORE_ANSWER,
    AttemptEnd.CUT_ANSWER: AttemptOutcome.BROKE_IN_ANSWER,
    AttemptEnd.UNVERIFIABLE: AttemptOutcome.UNVERIFIABLE,
    AttemptEnd.REJECTED: AttemptOutcome.UNVERIFIABLE,
    AttemptEnd.TIMED_OUT: AttemptOutcome.TIMED_OUT,
    AttemptEnd.CANCELLED: AttemptOutcome.CANCELLED,
    AttemptEnd.CANCELLED_UNSENT: AttemptOutcome.CANCELLED_UNSENT,
}
_PASS_FAILURE_CODES: Final = {
    AttemptEnd.NOT_SENT: ResultCode.PEER_UNREACHABLE,
    AttemptEnd.CANCELLED_UNSENT: ResultCode.PEER_UNREACHABLE,
    AttemptEnd.TIMED_OUT: ResultCode.UPSTREAM_TIMEOUT,
}


@dataclass(slots=True)
class HttpRequests:
    """Exchanges in progress, and the events and effects that concern them."""

    engine: Engine
    """Receives the events."""

    upstreams: ConnectionPool
    """Connections to upstreams."""

    peers: ConnectionPool
    """Connections to other instances."""

    signer: Callable[[], TicketSigner]
    """Returns a signer with the current ticket keys."""

    exchanges: dict[int, Exchange] = field(default_factory=dict)
    """Exchanges in progress, by the sequence number of their request."""

    stopping: bool = False
    """Whether the process was asked to stop."""

    # -- events

    def arrived(self, exchange: Exchange, *, trusted: bool = False) -> None:
        """Dispatch the arrival of a request; invalid headers are refused."""
        exchange.closing = self.stopping
        head = self._request_head(exchange, trusted=trusted)
        if isinstance(head, ResultCode):
            exchange.answer_result(head)
            return
        self.exchanges[exchange.number] = exchange
        self.engine.dispatch(
            RequestArrived(
                self.engine.now(),
                _clock.wall(),
                exchange.number,
                head,
                exchange.body_digest(),
            )
        )

    def caller_gone(self, exchange: Exchange) -> None:
        """Dispatch the disconnect of a caller."""
        if exchange.number in self.exchanges:
            self.engine.dispatch(CallerGone(self.engine.now(), exchange.number))

    def announce_stop(self) -> None:
        """Close connections after their next answers from now on.

        A request that arrives on one of them at the exit would not be read.
        """
        self.stopping = True
        for exchange in self.exchanges.values():
            # The caller must learn it from the head of the answer.
            exchange.closing = exchange.closing or not exchange.begun

    # -- effects

    def send_upstream(self, effect: SendUpstream) -> None:
        """Send a request to an upstream."""
        exchange = self.exchanges[effect.request]
        remaining = effect.deadline - self.engine.now()
        headers = exchange.outgoing_headers()
        headers.pop(names.TICKET, None)
        headers[names.TRACE] = exchange.trace
        headers[names.DEADLINE] = f'{remaining:.3f}'
        active = self.engine.instance.requests[effect.request]
        if active.home != self.engine.instance.place.region:
            headers[names.HOME] = active.home
        if active.customer:
            headers[names.CUSTOMER] = active.customer
        outgoing = Outgoing(
            effect.address,
            self._start_line(exchange),
            headers,
            effect.not_after,
            effect.deadline,
            repeatable=effect.may_cancel and exchange.body.replayable,
            identifier=exchange.trace,
        )
        exchange.from_instance = False
        exchange.run(
            self._attempt_upstream(exchange, outgoing),
            partial(self._end_attempt, exchange),
        )

    def pass_request(self, effect: PassRequest) -> None:
        """Pass a request to another instance."""
        exchange = self.exchanges[effect.request]
        remaining = effect.deadline - self.engine.now()
        headers = exchange.outgoing_headers()
        headers[names.TRACE] = exchange.trace
        headers[names.DEADLINE] = f'{remaining:.3f}'
        headers[names.HOME] = effect.home
        headers[names.CLIENT] = exchange.client
        passing = (
            ArrivalPath.TO_OWNER if effect.to_owner else ArrivalPath.SHIFTED
        )
        headers[names.PASSING] = passing.name
        active = self.engine.instance.requests[effect.request]
        headers[names.CUSTOMER] = active.customer
        outgoing = Outgoing(
            effect.address,
            self._start_line(exchange),
            headers,
            math.inf,
            effect.deadline,
            identifier=exchange.trace,
        )
        exchange.from_instance = True
        exchange.run(
            self._attempt_passing(exchange, outgoing),
            partial(self._end_passing, exchange),
        )

    def answer_result(self, effect: AnswerResult) -> None:
        """Answer a request with a result code."""
        exchange = self.exchanges.pop(effect.request, None)
        if exchange:
            exchange.answer_result(
                effect.code, effect.retry_after, effect.entry
            )

    def cancel(self, effect: CancelRequest) -> None:
        """Cancel the attempt in progress for a request."""
        exchange = self.exchanges.get(effect.request)
        if exchange:
            exchange.cancel()

    def trace_of(self, number: int) -> str:
        """Return the trace identifier of a request; empty if it is unknown."""
        exchange = self.exchanges.get(number)
        return exchange.label if exchange else ''

    # -- helpers

    def _request_head(
        self,
        exchange: Exchange,
        *,
        trusted: bool,
    ) -> RequestHead | ResultCode:
        headers = exchange.headers
        timeout = _parse_timeout(headers.get(names.DEADLINE))
        if timeout == _INVALID_TIMEOUT:
            return ResultCode.INVALID_DEADLINE
        text = headers.get(names.TICKET)
        ticket = self.signer().verify(text) if text else NoTicket.NOT_GIVEN
        passing = ArrivalPath.DIRECT
        if trusted:
            passing = ArrivalPath[headers.get(names.PASSING, 'SHIFTED')]
        return RequestHead(
            exchange.trace,
            headers['Host'].partition(':')[0].lower(),
            exchange.start.method,
            exchange.start.path,
            headers.get(names.CLIENT, '') if trusted else exchange.client,
            timeout,
            ticket,
            headers.get(names.KEY, ''),
            passing,
            headers.get(names.HOME, '') if trusted else '',
            _key_digest(headers),
            headers.get(names.CUSTOMER, '') if trusted else '',
        )

    def _start_line(self, exchange: Exchange) -> httputil.RequestStartLine:
        return httputil.RequestStartLine(
            exchange.start.method, exchange.start.path, _HTTP_VERSION
        )

    async def _attempt_upstream(
        self,
        exchange: Exchange,
        outgoing: Outgoing,
    ) -> AttemptReport:
        attempt = HttpAttempt(
            self.upstreams,
            self.engine.now,
            outgoing,
            exchange.body,
            exchange,
            partial(self._learn_notice, exchange.number),
            partial(self._is_wanted, exchange.number),
            exchange.label,
        )
        return await attempt.run()

    def _end_attempt(self, exchange: Exchange, report: AttemptReport) -> None:
        outcome = _outcome(report, exchange.head)
        self._abort_partial_answer(exchange, outcome)
        self.engine.dispatch(
            AttemptEnded(
                self.engine.now(),
                exchange.number,
                outcome,
                _parse_load(report.headers),
                report.status >= _MIN_SERVER_ERROR,
                self._rewind_body(exchange),
                _parse_limit(report, self.engine.now()),
            )
        )
        self._discard_finished(exchange)

    async def _attempt_passing(
        self,
        exchange: Exchange,
        outgoing: Outgoing,
    ) -> AttemptReport:
        attempt = HttpAttempt(
            self.peers,
            self.engine.now,
            outgoing,
            exchange.body,
            exchange,
            trace=exchange.label,
        )
        return await attempt.run()

    def _end_passing(self, exchange: Exchange, report: AttemptReport) -> None:
        code = _pass_result(report, exchange.head)
        if code is ResultCode.OK:
            self._abort_partial_answer(exchange, AttemptOutcome.ANSWERED)
        elif report.end is AttemptEnd.CUT_ANSWER:
            self._abort_partial_answer(exchange, AttemptOutcome.BROKE_IN_ANSWER)
        retry_after = _parse_timeout(report.headers.get(names.RETRY_AFTER)) or 0
        self.engine.dispatch(
            PassEnded(
                self.engine.now(),
                exchange.number,
                code,
                max(0, retry_after),
                self._rewind_body(exchange),
            )
        )
        self._discard_finished(exchange)

    def _learn_notice(
        self,
        number: int,
        status: int,
        headers: httputil.HTTPHeaders,
    ) -> None:
        now = self.engine.now()
        notice = notice_of(status, headers, names.LEAVING)
        texts = headers.get_list(names.RATE_LIMIT)
        # An answer without a limit ends one only when it is complete.
        limit = NamedLimit(read_rate(texts), now) if texts else None
        if limit or not notice.is_empty:
            self.engine.dispatch(NoticeReceived(now, number, notice, limit))

    def _is_wanted(self, number: int) -> bool:
        instance = self.engine.instance
        active = instance.requests.get(number)
        if active is None or active.upstream is None:
            return True
        return instance.wants_requests(active.upstream, self.engine.now())

    def _rewind_body(self, exchange: Exchange) -> bool:
        if exchange.begun or not exchange.body.replayable:
            return False
        exchange.body.rewind()
        return True

    def _abort_partial_answer(
        self, exchange: Exchange, outcome: AttemptOutcome
    ) -> None:
        if outcome is AttemptOutcome.BROKE_IN_ANSWER and exchange.begun:
            exchange.break_off()

    def _discard_finished(self, exchange: Exchange) -> None:
        if exchange.ended or exchange.gone:
            if exchange.number not in self.engine.instance.requests:
                self.exchanges.pop(exchange.number, None)
                exchange.give_back_body()


def _key_digest(headers: httputil.HTTPHeaders) -> KeyDigest:
    key = headers.get(names.API_KEY)
    # Tornado decodes headers as Latin-1.
    return digest_of_key(key.encode('latin-1')) if key else ''


def _parse_timeout(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        return _INVALID_TIMEOUT
    return (
        seconds if math.isfinite(seconds) and seconds >= 0 else _INVALID_TIMEOUT
    )


def _parse_load(headers: httputil.HTTPHeaders) -> float | None:
    text = headers.get(names.LOAD)
    if not text:
        return None
    used, _, slots = text.partition('/')
    try:
        return float(used) / float(slots)
    except (ValueError, ZeroDivisionError):
        return None


def _parse_limit(report: AttemptReport, now: float) -> NamedLimit | None:
    if not report.status:
        return None
    texts = report.headers.get_list(names.RATE_LIMIT)
    return NamedLimit(read_rate(texts), now)


def _outcome(report: AttemptReport, head: AnswerHead | None) -> AttemptOutcome:
    if report.end is not AttemptEnd.WHOLE or not (head and head.stated):
        return _OUTCOMES[report.end]
    proven = head.verdict is Verdict.NOT_EXECUTED
    return AttemptOutcome.SHED if proven else AttemptOutcome.UNPROVEN


def _pass_result(report: AttemptReport, head: AnswerHead | None) -> ResultCode:
    if report.end is not AttemptEnd.WHOLE:
        return _PASS_FAILURE_CODES.get(report.end, ResultCode.PEER_BROKE)
    try:
        code = code_by_number(int(report.headers.get(names.RESULT, '')))
    except ValueError:
        return ResultCode.PEER_BROKE
    proven = head is not None and head.verdict is Verdict.NOT_EXECUTED
    if code.certainty is Certainty.NOT_RUN and not proven:
        return ResultCode.PEER_BROKE
    return code
