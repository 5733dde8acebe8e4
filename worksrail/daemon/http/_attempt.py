"""One attempt to have a request answered over one connection."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final, Protocol

from logbook import Logger
from tornado import httputil
from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
)
from tornado.iostream import IOStream, StreamClosedError

from worksrail.daemon.http._body import BodyStream
from worksrail.daemon.http._connections import Acquired, ConnectionPool
from worksrail.daemon.http._dialect import AnswerUse
from worksrail.daemon.http._headers import BodyLength, answer_length, kept_for

_LOG: Final = Logger('worksrail.http')
# Seconds in which a connection must be made.  Twice the way to the farthest
# region fits in several times over; a lost first packet is sent again only
# after a second, and another upstream is tried sooner than that.
_CONNECT_TIMEOUT: Final = 0.5
_FIRST_FINAL: Final = 200
_ANSWERS_PASSED_OVER: Final = 4
_MAX_HEADER: Final = 65_536
_MAX_ANSWER: Final = 1_099_511_627_776
_PARAMETERS: Final = HTTP1ConnectionParameters(
    max_header_size=_MAX_HEADER, max_body_size=_MAX_ANSWER
)


@unique
class AttemptEnd(Enum):
    """How an attempt ended."""

    NOT_SENT = 'no byte left'
    WHOLE = 'the whole answer was read'
    NO_ANSWER = 'the connection broke before the answer'
    CUT_ANSWER = 'the connection broke within the answer'
    UNVERIFIABLE = 'the end of the answer cannot be known'
    REJECTED = 'what came is no answer to the request'
    TIMED_OUT = 'the deadline passed'
    CANCELLED = 'it was cancelled'


class AnswerSink(Protocol):
    """Where the answer goes."""

    def judge(self, status: int, headers: httputil.HTTPHeaders) -> AnswerUse:
        """What to do with this answer."""

    async def start_answer(
        self,
        start: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Pass on the head of the answer."""

    async def write(self, chunk: bytes) -> None:
        """Pass on a part of its body."""

    def end(self) -> None:
        """The answer was read whole."""


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A request as it is sent on one connection."""

    address: str
    """IP number and port."""

    start: httputil.RequestStartLine
    """Method and path."""

    headers: httputil.HTTPHeaders
    """All headers."""

    not_after: float
    """If the clock shows this before the first byte, it is not sent."""

    deadline: float
    """When the attempt is given up."""

    takes_unframed: bool = False
    """An answer without length may end with its connection."""


@dataclass(slots=True)
class AttemptReport:
    """What is known when an attempt has ended."""

    end: AttemptEnd
    """How it ended."""

    status: int = 0
    """Status of the answer, if there was one."""

    headers: httputil.HTTPHeaders = field(default_factory=httputil.HTTPHeaders)
    """Headers of the answer."""

    connect_time: float = 0
    """Seconds that a new connection took; zero if one was kept."""

    closed: bool = False
    """The other side closed or reset the connection; it has not just fallen
    silent."""


@dataclass(slots=True)
class _AnswerReader(httputil.HTTPMessageDelegate):
    """Reads one answer and hands it to the sink."""

    method: str
    sink: AnswerSink
    report: AttemptReport
    takes_unframed: bool
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
            raise TypeError('expected the start of an answer')
        if start_line.code < _FIRST_FINAL:
            return
        self._check_length(start_line.code, headers)
        self.use = self.sink.judge(start_line.code, headers)
        if self.use is AnswerUse.REJECT:
            self.report.end = AttemptEnd.REJECTED
            raise ConnectionAbortedError('not an answer to the request')
        if self.use is AnswerUse.PASS_OVER:
            return
        self.report.status = start_line.code
        self.report.headers = headers
        if self.use is AnswerUse.PASS_ON:
            self.report.end = AttemptEnd.CUT_ANSWER
            await self.sink.start_answer(start_line, headers)

    async def data_received(self, chunk: bytes) -> None:  # type: ignore
        """Pass on a part of the body."""
        if self.use is AnswerUse.PASS_ON:
            await self.sink.write(chunk)

    def finish(self) -> None:
        """The answer is whole, unless its connection was reset."""
        if self.until_close:
            self.read_to_close = True
        else:
            self.complete()

    def complete(self) -> None:
        """The answer is whole."""
        if self.use is AnswerUse.PASS_OVER:
            return
        self.report.end = AttemptEnd.WHOLE
        if self.use is AnswerUse.PASS_ON:
            self.sink.end()

    def _check_length(
        self,
        status: int,
        headers: httputil.HTTPHeaders,
    ) -> None:
        length = answer_length(self.method, status, headers)
        self.until_close = length is BodyLength.UNTIL_CLOSE
        refused = self.until_close and not self.takes_unframed
        if refused or length is BodyLength.AMBIGUOUS:
            self.report.end = AttemptEnd.UNVERIFIABLE
            raise ConnectionAbortedError('answer without a checkable length')


@dataclass(slots=True)
class HttpAttempt:
    """Sends one request and passes the answer to a sink.

    A connection goes back to its pool only after a whole answer; otherwise
    it is closed, so that a late answer never meets another request.
    """

    pool: ConnectionPool
    """Where connections come from."""

    clock: Callable[[], float]
    """Monotonic time in seconds."""

    outgoing: Outgoing
    """What is sent."""

    body: BodyStream
    """Body of the request."""

    sink: AnswerSink
    """Where the answer goes."""

    async def run(self) -> AttemptReport:
        """Make the attempt; never raises but when cancelled from outside."""
        report = AttemptReport(AttemptEnd.NOT_SENT)
        acquired = await self._connected(report)
        if acquired is None:
            return report
        stream = acquired.stream
        sent_at = self.clock()
        if sent_at >= self.outgoing.not_after:
            self.pool.release(self.outgoing.address, stream)
            return report
        report.end = AttemptEnd.NO_ANSWER
        try:
            await self._exchange(stream, report)
        except asyncio.CancelledError:
            report.end = AttemptEnd.CANCELLED
        if report.end is AttemptEnd.NO_ANSWER:
            self.pool.note_broken(acquired, self.clock() - sent_at)
        if report.end is AttemptEnd.WHOLE and _keeps_alive(report):
            self.pool.release(
                self.outgoing.address, stream, kept_for(report.headers)
            )
        else:
            stream.close()
        return report

    async def _connected(self, report: AttemptReport) -> Acquired | None:
        timeout = min(_CONNECT_TIMEOUT, self.outgoing.deadline - self.clock())
        try:
            acquired = await self.pool.acquire(self.outgoing.address, timeout)
        except (OSError, TimeoutError, asyncio.CancelledError) as error:
            _LOG.debug('no connection: {}: {}', self.outgoing.address, error)
            return None
        report.connect_time = acquired.connect_time
        return acquired

    async def _exchange(
        self,
        stream: IOStream,
        report: AttemptReport,
    ) -> None:
        left = max(0, self.outgoing.deadline - self.clock())
        connection = HTTP1Connection(stream, True, _PARAMETERS)
        writer = asyncio.ensure_future(self._write(connection))
        try:
            async with asyncio.timeout(left):
                await self._read(connection, stream, report)
        except TimeoutError:
            if report.end is not AttemptEnd.WHOLE:
                report.end = AttemptEnd.TIMED_OUT
        except (StreamClosedError, httputil.HTTPInputError, OSError) as error:
            # The report says how far the answer had come.
            report.closed = _closed_by_peer(stream.error)
            _LOG.debug('attempt at {} broke: {}', self.outgoing.address, error)
        finally:
            if not writer.done():
                report.headers['Connection'] = 'close'
                writer.cancel()

    async def _read(
        self,
        connection: HTTP1Connection,
        stream: IOStream,
        report: AttemptReport,
    ) -> None:
        for _ in range(_ANSWERS_PASSED_OVER):
            reader = _AnswerReader(
                self.outgoing.start.method,
                self.sink,
                report,
                self.outgoing.takes_unframed,
            )
            await connection.read_response(reader)
            if reader.read_to_close and stream.error is None:
                reader.complete()
            if reader.use is not AnswerUse.PASS_OVER or stream.closed():
                return
            # What came was a late answer to an earlier request.
            connection = HTTP1Connection(stream, True, _PARAMETERS)

    async def _write(self, connection: HTTP1Connection) -> None:
        with contextlib.suppress(
            StreamClosedError, OSError, httputil.HTTPOutputError
        ):
            await connection.write_headers(
                self.outgoing.start, self.outgoing.headers
            )
            while True:
                chunk = await self.body.read()
                if chunk is None:
                    break
                await connection.write(chunk)
            connection.finish()


def _closed_by_peer(error: BaseException | None) -> bool:
    # Without an error the connection has ended in order.
    return error is None or isinstance(error, ConnectionError)


def _keeps_alive(report: AttemptReport) -> bool:
    return report.headers.get('Connection', '').lower() != 'close'
