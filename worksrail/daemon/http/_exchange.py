"""A caller's request and its answer."""

import asyncio
import contextlib
import json
from collections.abc import Callable, Container, Coroutine
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from typing import Any, Final

from logbook import Logger
from tornado import httputil
from tornado.iostream import StreamClosedError

from worksrail.core.evidence import AnswerHead, NamedRequest
from worksrail.core.results import ResultCode
from worksrail.daemon.http import _headers as names
from worksrail.daemon.http._attempt import (
    AttemptEnd,
    AttemptReport,
    log_error,
)
from worksrail.daemon.http._body import BodyStream
from worksrail.daemon.http._dialect import (
    AnswerUse,
    CallerDialect,
    OwnDialect,
)
from worksrail.daemon.http._held_bytes import HeldBytes
from worksrail.daemon.http._turn import Turn

_LOG: Final = Logger('worksrail.exchange')
_OWN: Final = OwnDialect()
# Characters of an identifier that a log line holds.
_MAX_LABEL_LENGTH: Final = 128


@dataclass(slots=True)
class Exchange:
    """One request, from its arrival to the last byte of its answer.

    The answer is either an upstream's, passed through, or a numbered result.
    If an answer that has begun cannot be completed, the connection is closed,
    so that the caller never takes a partial answer for a complete one.
    """

    connection: httputil.HTTPConnection
    """The caller's connection."""

    start: httputil.RequestStartLine
    """Method and path."""

    headers: httputil.HTTPHeaders
    """Headers as received."""

    client: str
    """IP address of the caller."""

    trace: str
    """Trace identifier of the request."""

    number: int = 0
    """Sequence number of the request in this process."""

    body: BodyStream = field(default_factory=BodyStream)
    """Body of the request."""

    dialect: CallerDialect = _OWN
    """Headers used in the answer."""

    closing: bool = False
    """Whether the connection is closed after the answer."""

    from_instance: bool = False
    """Whether the request was passed on, so that another instance answers."""

    begun: bool = False
    """Whether the head of the answer was written."""

    ended: bool = False
    """Whether the answer is complete or was aborted."""

    gone: bool = False
    """Whether the caller disconnected."""

    tasks: dict[int, asyncio.Task[AttemptReport]] = field(default_factory=dict)
    """The attempts in progress, by number."""

    held: HeldBytes = field(default_factory=HeldBytes)
    """Bound on the bytes that the process holds."""

    body_bytes: int = 0
    """Bytes taken up for the body, until the exchange ends."""

    turn: Turn | None = None
    """Its place among the answers on the connection."""

    head: AnswerHead | None = None
    """What the last answer of an upstream or another instance said."""

    @property
    def label(self) -> str:
        """Return the identifier of the request for the log."""
        return self.trace[:_MAX_LABEL_LENGTH]

    def take_body(self, size: int) -> bool:
        """Take up the bytes of the body, unless they do not fit."""
        if not self.held.take(size):
            return False
        self.body_bytes = size
        return True

    def give_back_body(self) -> None:
        """Return the bytes of the body; to be called when the exchange ends."""
        self.held.give_back(self.body_bytes)
        self.body_bytes = 0

    def body_digest(self) -> bytes:
        """Hash of the body, used to recognize a repeated request."""
        return self.body.digest(self.headers.get('Content-Length', ''))

    def outgoing_headers(
        self, protected: Container[str] = ()
    ) -> httputil.HTTPHeaders:
        """Return the headers with which the request is sent on."""
        body = self.body
        size = body.size if body.ended and body.replayable else None
        return names.outgoing_headers(
            self.start.method, self.headers, size, protected
        )

    # -- answers passed through

    def judge(self, status: int, headers: httputil.HTTPHeaders) -> AnswerUse:
        """Pass on every answer except one marked as not run.

        Numbered results from other instances are held back too, since this
        instance decides again what to do with the request.  Upstreams need not
        name the request in other answers.
        """
        stated = names.NOT_RUN in headers
        named = NamedRequest.from_identifier(
            headers.get(names.TRACE, ''), self.trace
        )
        self.head = AnswerHead(status, stated, named)
        if named is NamedRequest.ANOTHER:
            return AnswerUse.PASS_OVER
        if stated:
            return AnswerUse.HOLD_BACK
        ok = str(ResultCode.OK.number)
        result = headers.get(names.RESULT, ok)
        if self.from_instance and result != ok:
            return AnswerUse.HOLD_BACK
        return AnswerUse.PASS_ON

    async def start_answer(
        self,
        start: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Write the head of an upstream's answer."""
        if self.gone or self.ended:
            return
        self.begun = True
        out = names.end_to_end(headers, self.dialect.protected)
        self.dialect.mark_answer(out, self.trace)
        self._set_connection_close(out)
        await self._await_write(self.connection.write_headers(start, out))

    async def write(self, chunk: bytes) -> None:
        """Write a part of an upstream's answer."""
        if not self.gone and not self.ended:
            with self.held.holding(len(chunk)):
                await self._await_write(self.connection.write(chunk))

    def end(self) -> None:
        """Complete an upstream's answer."""
        if self.ended:
            return
        self._mark_ended()
        if not self.gone:
            with contextlib.suppress(
                StreamClosedError, httputil.HTTPOutputError
            ):
                self._finish()

    # -- numbered results

    def answer_result(
        self,
        code: ResultCode,
        retry_after: float = 0,
        entry: str = '',
    ) -> None:
        """Answer with a result, or abort an answer that has already begun."""
        if self.ended or self.gone:
            self._mark_ended()
            return
        if self.begun and not self._retract():
            self._abort()
            return
        self.begun = True
        self._mark_ended()
        headers = self.dialect.result_headers(
            code, self.trace, retry_after, entry
        )
        payload = result_payload(code, self.trace)
        if self.start.method == 'HEAD':
            payload = b''
        headers['Content-Length'] = str(len(payload))
        self._set_connection_close(headers)
        reason = HTTPStatus(code.http_status).phrase
        with contextlib.suppress(StreamClosedError, httputil.HTTPOutputError):
            self.connection.write_headers(
                httputil.ResponseStartLine(
                    'HTTP/1.1', code.http_status, reason
                ),
                headers,
                payload,
            )
            self._finish()

    def answer_document(
        self,
        document: bytes,
        content_type: str = 'application/json',
    ) -> None:
        """Answer with a document generated by this instance."""
        if self.ended or self.gone:
            self._mark_ended()
            return
        self.begun = True
        self._mark_ended()
        headers = httputil.HTTPHeaders(
            {
                'Content-Type': content_type,
                'Content-Length': str(len(document)),
                names.RESULT: str(ResultCode.OK.number),
            }
        )
        start = httputil.ResponseStartLine(
            'HTTP/1.1', HTTPStatus.OK, HTTPStatus.OK.phrase
        )
        # The length is that of the document for HEAD as well.
        if self.start.method == 'HEAD':
            document = b''
        with contextlib.suppress(StreamClosedError, httputil.HTTPOutputError):
            self.connection.write_headers(start, headers, document)
            self.connection.finish()

    def break_off(self) -> None:
        """Abort the answer by closing the caller's connection.

        An answer of which nothing was sent is replaced by a result instead, so
        that the requests behind it keep their connection.
        """
        if not self.ended and self._retract():
            self.begun = False
            self.answer_result(ResultCode.UPSTREAM_BROKE)
        else:
            self._abort()

    def run(
        self,
        attempt: Coroutine[Any, Any, AttemptReport],
        on_end: Callable[[AttemptReport], None],
        number: int = 0,
    ) -> None:
        """Start an attempt as a task whose end is reported exactly once.

        A task that is cancelled before its first step runs no line of its
        coroutine, so the report is made outside of it.
        """
        task = asyncio.ensure_future(attempt)
        self.tasks[number] = task
        task.add_done_callback(partial(self._report_end, number, on_end))

    def cancel(self, number: int = 0) -> None:
        """Cancel an attempt if it is in progress."""
        task = self.tasks.get(number)
        if task:
            task.cancel()

    def _report_end(
        self,
        number: int,
        on_end: Callable[[AttemptReport], None],
        task: asyncio.Task[AttemptReport],
    ) -> None:
        if self.tasks.get(number) is task:
            self.tasks.pop(number)
        if task.cancelled():
            on_end(AttemptReport(AttemptEnd.CANCELLED_UNSENT))
            return
        error = task.exception()
        if error is None:
            on_end(task.result())
            return
        # What fails once a request is sent is in the report of its attempt.
        report = AttemptReport(AttemptEnd.NOT_SENT, error=error)
        log_error(report, self.label)
        on_end(report)

    def _mark_ended(self) -> None:
        self.ended = True
        self.give_back_body()

    @property
    def _closes_behind(self) -> bool:
        """Whether the connection is closed behind this answer."""
        return self.closing and not (self.turn and self.turn.has_followers)

    def _retract(self) -> bool:
        return self.turn is not None and self.turn.retract()

    def _abort(self) -> None:
        self._mark_ended()
        if self.turn:
            self.turn.abort()

    def _set_connection_close(self, headers: httputil.HTTPHeaders) -> None:
        # The rest of an incomplete body is not read, so the connection cannot
        # be used for another request.
        if self._closes_behind or not self.body.ended:
            headers['Connection'] = 'close'
            if self.turn:
                self.turn.final = True

    def _finish(self) -> None:
        if self._closes_behind:
            # Tornado decides by the request's headers only whether to close,
            # and has no public attribute for this.
            self.connection._disconnect_on_finish = True  # type: ignore
        self.connection.finish()

    async def _await_write(self, future: asyncio.Future[None]) -> None:
        try:
            await future
        except StreamClosedError:
            self.gone = True


def result_payload(code: ResultCode, trace: str) -> bytes:
    """Return the JSON body of an answer that carries a result code."""
    document = {
        'result': code.number,
        'name': code.name,
        'certainty': code.certainty.value,
        'meaning': code.value.meaning,
        'advice': code.value.advice,
        'trace': trace,
    }
    return json.dumps(document).encode() + b'\n'
