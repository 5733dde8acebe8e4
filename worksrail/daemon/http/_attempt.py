"""One attempt to send a request over one connection and read its answer."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final, NoReturn, Protocol

from logbook import Logger
from tornado import httputil
from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
)
from tornado.iostream import IOStream, StreamClosedError

from worksrail.core.evidence import ConnectionUse
from worksrail.daemon.http._body import BodyStream
from worksrail.daemon.http._connections import Acquired, ConnectionPool
from worksrail.daemon.http._dialect import AnswerUse
from worksrail.daemon.http._headers import (
    BodyLength,
    answer_length,
    keep_alive_timeout,
)

_LOG: Final = Logger('worksrail.http')
# Connect timeout in seconds.  It is several round trips to the farthest
# region.  A lost SYN is retransmitted only after one second; the timeout is
# shorter, so that another upstream is tried first.
_CONNECT_TIMEOUT: Final = 0.5
# Statuses of final answers; no server may send any other (RFC 9110, 15).
_MIN_FINAL_STATUS: Final = 200
_MAX_STATUS: Final = 599
_MAX_ANSWERS_READ: Final = 4
_MAX_HEADER_BYTES: Final = 65_536
_MAX_ANSWER_BYTES: Final = 1_099_511_627_776
# Bytes and seconds for which the body of an answer that is not passed on is
# read, so that its connection can be used again.
_MAX_UNUSED_BYTES: Final = 65_536
_MAX_UNUSED_TIME: Final = 0.25
_PARAMETERS: Final = HTTP1ConnectionParameters(
    max_header_size=_MAX_HEADER_BYTES, max_body_size=_MAX_ANSWER_BYTES
)


# Errors that say how a connection failed; any other is unexpected.
_CONNECTION_ERRORS: Final = (
    StreamClosedError,
    OSError,
    httputil.HTTPInputError,
    httputil.HTTPOutputError,
)


@unique
class AttemptEnd(Enum):
    """How an attempt ended."""

    NOT_SENT = 'no byte of the request was sent'
    WITHDRAWN = (
        'no byte was sent, since the upstream wants no requests any more'
    )
    WHOLE = 'the complete answer was read, or what counts of it'
    NO_ANSWER = 'the connection failed before the answer'
    CUT_ANSWER = 'the connection failed within the answer'
    UNVERIFIABLE = 'the length of the answer cannot be determined'
    REJECTED = 'the data received does not answer the request'
    TIMED_OUT = 'the deadline passed'
    CANCELLED = 'the attempt was cancelled after it may have been sent'
    CANCELLED_UNSENT = 'the attempt was cancelled before any byte was sent'


class AnswerSink(Protocol):
    """Receives the answer."""

    def judge(self, status: int, headers: httputil.HTTPHeaders) -> AnswerUse:
        """Decide what to do with this answer."""

    async def start_answer(
        self,
        start: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Pass on the head of the answer."""

    async def write(self, chunk: bytes) -> None:
        """Pass on a part of its body."""

    def end(self) -> None:
        """Handle the end of a completely read answer."""


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A request as it is sent on one connection."""

    address: str
    """IP address and port to send to."""

    start: httputil.RequestStartLine
    """Method and path."""

    headers: httputil.HTTPHeaders
    """All headers."""

    not_after: float
    """Time from which the request is no longer sent."""

    deadline: float
    """Time at which the attempt times out."""

    takes_unframed: bool = False
    """Whether an answer without a length may end when its connection closes."""

    repeatable: bool = True
    """Whether it may be sent again if the connection fails before an answer."""

    identifier: str = ''
    """Identifier that answers to it name."""


@dataclass(slots=True)
class AttemptReport:
    """Result of an attempt."""

    end: AttemptEnd
    """How it ended."""

    status: int = 0
    """Status of the answer; zero if there was none."""

    headers: httputil.HTTPHeaders = field(default_factory=httputil.HTTPHeaders)
    """Headers of the answer."""

    connect_time: float = 0
    """Seconds to establish a new connection; zero if an idle one was used."""

    closed: bool = False
    """Whether the remote side closed or reset the connection, as opposed to
    not responding."""

    held_back: bool = False
    """Whether the answer is not passed on, so that only its head counts."""

    error: BaseException | None = None
    """What failed, if it was not the connection."""

    connection: ConnectionUse = ConnectionUse()
    """Use of the connection when the request was sent."""

    def leave_rest(self) -> None:
        """Mark the answer as read, without the rest of its body."""
        self.end = AttemptEnd.WHOLE
        self.headers['Connection'] = 'close'


def log_error(report: AttemptReport, trace: str, address: str = '') -> None:
    """Log an attempt that did not fail by its connection."""
    error = report.error
    _LOG.error(
        'attempt failed unexpectedly',
        exc_info=(type(error), error, error.__traceback__) if error else None,
        extra={'request': trace, 'address': address, 'end': report.end.name},
    )


HeadObserver = Callable[[int, httputil.HTTPHeaders], None]
"""Is called with status and headers as soon as the head of an answer to the
request was read, before its body arrives."""


def ignore_head(status: int, headers: httputil.HTTPHeaders) -> None:
    """Observe nothing."""


def always_admit() -> bool:
    """Admit each request."""
    return True


@dataclass(slots=True)
class _AnswerReader(httputil.HTTPMessageDelegate):
    """Reads one answer and passes it to the sink."""

    outgoing: Outgoing
    sink: AnswerSink
    report: AttemptReport
    on_head: HeadObserver
    limit: asyncio.Timeout
    unused_bytes: int = 0
    use: AnswerUse = AnswerUse.HOLD_BACK
    until_close: bool = False
    read_to_close: bool = False

    async def headers_received(  # type: ignore[override]
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Check the head of the answer and pass it on."""
        if not isinstance(start_line, httputil.ResponseStartLine):
            raise TypeError('expected a response start line')
        try:
            await self._receive_head(start_line, headers)
        except _CONNECTION_ERRORS:
            raise
        except Exception as error:
            # The parser closes the connection without passing the error on.
            self.report.error = error
            raise

    async def data_received(self, chunk: bytes) -> None:  # type: ignore
        """Pass on a part of the body, or drop it up to a bound."""
        try:
            await self._receive_body(chunk)
        except _CONNECTION_ERRORS:
            raise
        except Exception as error:
            self.report.error = error
            raise

    def finish(self) -> None:
        """Complete the answer, unless it ends when the connection closes.

        In that case :class:`HttpAttempt` completes it after an orderly close.
        """
        if self.until_close:
            self.read_to_close = True
            return
        try:
            self.complete()
        except _CONNECTION_ERRORS:
            raise
        except Exception as error:
            self.report.error = error
            raise

    def complete(self) -> None:
        """Mark the answer as complete."""
        if self.use is AnswerUse.PASS_OVER:
            return
        if self.use is AnswerUse.PASS_ON:
            self.sink.end()
        self.report.end = AttemptEnd.WHOLE

    async def _receive_head(
        self,
        start_line: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        if not _MIN_FINAL_STATUS <= start_line.code <= _MAX_STATUS:
            # The library reads on behind an informational answer by itself.
            self._reject('no server may send the status of this answer')
        self._check_length(start_line.code, headers)
        self.use = self.sink.judge(start_line.code, headers)
        if self.use is AnswerUse.REJECT:
            self._reject('the data received does not answer the request')
        if self.use is AnswerUse.PASS_OVER:
            return
        self.report.status = start_line.code
        self.report.headers = headers
        self.on_head(start_line.code, headers)
        if self.use is AnswerUse.PASS_ON:
            self.report.end = AttemptEnd.CUT_ANSWER
            await self.sink.start_answer(start_line, headers)
        else:
            self._limit_time()

    def _reject(self, reason: str) -> NoReturn:
        self.report.end = AttemptEnd.REJECTED
        raise ConnectionAbortedError(reason)

    async def _receive_body(self, chunk: bytes) -> None:
        if self.use is AnswerUse.PASS_ON:
            await self.sink.write(chunk)
            return
        self.unused_bytes += len(chunk)
        if self.unused_bytes > _MAX_UNUSED_BYTES:
            self._leave_rest()

    def _limit_time(self) -> None:
        self.report.held_back = True
        when = asyncio.get_running_loop().time() + _MAX_UNUSED_TIME
        self.limit.reschedule(min(when, self.limit.when() or when))

    def _leave_rest(self) -> None:
        _LOG.info(
            'answer of {} is not passed on and too long; closing its '
            'connection',
            self.outgoing.address,
        )
        if self.report.held_back:
            self.report.leave_rest()
        else:
            # The answer to the request would come only after this one.
            self.report.end = AttemptEnd.REJECTED
        raise httputil.HTTPInputError(
            'the body of an answer that is not passed on is too long'
        )

    def _check_length(
        self,
        status: int,
        headers: httputil.HTTPHeaders,
    ) -> None:
        length = answer_length(self.outgoing.start.method, status, headers)
        self.until_close = length is BodyLength.UNTIL_CLOSE
        refused = self.until_close and not self.outgoing.takes_unframed
        if refused or length is BodyLength.AMBIGUOUS:
            self.report.end = AttemptEnd.UNVERIFIABLE
            raise ConnectionAbortedError(
                'the length of the answer cannot be determined'
            )


@dataclass(slots=True)
class HttpAttempt:
    """Sends one request and passes the answer to a sink.

    A connection returns to its pool only after a complete answer.  Otherwise it
    is closed, so that a late answer is never taken for that of another request.
    """

    pool: ConnectionPool
    """Pool that provides the connection."""

    clock: Callable[[], float]
    """Monotonic time in seconds."""

    outgoing: Outgoing
    """Request to send."""

    body: BodyStream
    """Body of the request."""

    sink: AnswerSink
    """Receives the answer."""

    on_head: HeadObserver = ignore_head
    """Observes the head of the answer."""

    admits: Callable[[], bool] = always_admit
    """Whether the request may still be sent once there is a connection."""

    trace: str = ''
    """Identifier of the request, for the log."""

    written: bool = False
    """Whether the request was written whole."""

    async def run(self) -> AttemptReport:
        """Make the attempt; whatever ends it ends up in the report."""
        report = AttemptReport(AttemptEnd.NOT_SENT)
        try:
            await self._run(report)
        except Exception as error:
            report.error = error
        if report.error:
            log_error(report, self.trace, self.outgoing.address)
        return report

    async def _run(self, report: AttemptReport) -> None:
        acquired = await self._acquire(report)
        if acquired is None:
            return
        reusable = False
        try:
            reusable = await self._use(acquired, report)
        finally:
            if not reusable:
                acquired.stream.close()
        self.pool.release(
            self.outgoing.address,
            acquired,
            keep_alive_timeout(report.headers),
        )

    async def _use(self, acquired: Acquired, report: AttemptReport) -> bool:
        """Send the request; return whether the connection can be reused."""
        sent_at = self.clock()
        if sent_at >= self.outgoing.not_after:
            return True
        if not self.admits():
            report.end = AttemptEnd.WITHDRAWN
            return True
        report.end = AttemptEnd.NO_ANSWER
        acquired.history.requests += 1
        report.connection = acquired.history.at(sent_at)
        try:
            await self._exchange(acquired.stream, report)
        except asyncio.CancelledError:
            report.end = AttemptEnd.CANCELLED
        if report.held_back:
            acquired.history.refused.add(self.outgoing.identifier)
        if report.end is AttemptEnd.NO_ANSWER:
            self.pool.record_failure(acquired, self.clock() - sent_at)
        return report.end is AttemptEnd.WHOLE and _keeps_alive(report)

    async def _acquire(self, report: AttemptReport) -> Acquired | None:
        timeout = min(_CONNECT_TIMEOUT, self.outgoing.deadline - self.clock())
        try:
            acquired = await self.pool.acquire(
                self.outgoing.address,
                timeout,
                repeatable=self.outgoing.repeatable,
                identifier=self.outgoing.identifier,
            )
        except asyncio.CancelledError:
            report.end = AttemptEnd.CANCELLED_UNSENT
            return None
        except (OSError, TimeoutError) as error:
            _LOG.debug(
                'connecting to {} failed: {}', self.outgoing.address, error
            )
            return None
        report.connect_time = acquired.connect_time
        return acquired

    async def _exchange(
        self,
        stream: IOStream,
        report: AttemptReport,
    ) -> None:
        remaining = max(0, self.outgoing.deadline - self.clock())
        connection = HTTP1Connection(stream, True, _PARAMETERS)
        writer = asyncio.ensure_future(self._write(connection, report))
        try:
            async with asyncio.timeout(remaining) as limit:
                await self._read(connection, stream, report, limit)
        except TimeoutError:
            if report.held_back:
                report.leave_rest()
            elif report.end is not AttemptEnd.WHOLE:
                report.end = AttemptEnd.TIMED_OUT
        except (StreamClosedError, httputil.HTTPInputError, OSError) as error:
            # The report's end already says how much of the answer was received.
            report.closed = _closed_by_peer(stream.error)
            _LOG.debug('attempt at {} failed: {}', self.outgoing.address, error)
        finally:
            writer.cancel()
            if not self.written:
                # The remote side would take the next request for the rest of
                # this one.
                report.headers['Connection'] = 'close'

    async def _read(
        self,
        connection: HTTP1Connection,
        stream: IOStream,
        report: AttemptReport,
        limit: asyncio.Timeout,
    ) -> None:
        for _ in range(_MAX_ANSWERS_READ):
            reader = _AnswerReader(
                self.outgoing,
                self.sink,
                report,
                self.on_head,
                limit,
            )
            await connection.read_response(reader)
            if reader.read_to_close and stream.error is None:
                reader.complete()
            if reader.use is not AnswerUse.PASS_OVER or stream.closed():
                return
            # This was a late answer to an earlier request; read the next one.
            # A new reader would wait until it had written a request, too.

    async def _write(
        self, connection: HTTP1Connection, report: AttemptReport
    ) -> None:
        try:
            await self._write_head(connection, report)
            await self._write_body(connection)
        except _CONNECTION_ERRORS:
            # The reading side learns how the connection ended.
            return
        except Exception as error:
            report.error = error
            # No answer can come, so the reading side need not wait for one.
            connection.stream.close()

    async def _write_head(
        self, connection: HTTP1Connection, report: AttemptReport
    ) -> None:
        before = _bytes_taken(connection.stream)
        try:
            written = connection.write_headers(
                self.outgoing.start, self.outgoing.headers
            )
        except Exception:
            unsent = _bytes_taken(connection.stream) == before
            if unsent and report.end is AttemptEnd.NO_ANSWER:
                report.end = AttemptEnd.NOT_SENT
            raise
        await written

    async def _write_body(self, connection: HTTP1Connection) -> None:
        while True:
            chunk = await self.body.read()
            if chunk is None:
                break
            await connection.write(chunk)
        connection.finish()
        self.written = True


def _bytes_taken(stream: IOStream) -> int:
    """Return how many bytes a stream was given to send."""
    # There is no public accessor.
    return int(stream._total_write_index)


def _closed_by_peer(error: BaseException | None) -> bool:
    # Without an error the connection was closed in an orderly way.
    return error is None or isinstance(error, ConnectionError)


def _keeps_alive(report: AttemptReport) -> bool:
    return report.headers.get('Connection', '').lower() != 'close'
