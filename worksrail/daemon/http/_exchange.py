"""A caller's request and the way of its answer back."""

import asyncio
import contextlib
import json
from collections.abc import Coroutine
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Final

from logbook import Logger
from tornado import httputil
from tornado.iostream import StreamClosedError

from worksrail.core.results import ResultCode
from worksrail.daemon.http import _headers as names
from worksrail.daemon.http._body import BodyStream
from worksrail.daemon.http._dialect import (
    AnswerUse,
    CallerDialect,
    OwnDialect,
)

_LOG: Final = Logger('worksrail.exchange')
_OWN: Final = OwnDialect()


@dataclass(slots=True)
class Exchange:
    """One request, from its arrival to the last byte of its answer.

    The answer is either passed through whole, or is a numbered result.  When
    an answer that has begun cannot be completed, the connection is broken,
    so that the caller never takes a part for the whole.
    """

    connection: httputil.HTTPConnection
    """The caller's connection."""

    start: httputil.RequestStartLine
    """Method and path."""

    headers: httputil.HTTPHeaders
    """Headers as they came."""

    client: str
    """IP address of the caller."""

    trace: str
    """Identifier of the request."""

    number: int = 0
    """Number of the arrival."""

    body: BodyStream = field(default_factory=BodyStream)
    """Body of the request."""

    dialect: CallerDialect = _OWN
    """How the answer is spelled."""

    closing: bool = False
    """The connection is closed after the answer."""

    from_instance: bool = False
    """The answer comes from another instance."""

    begun: bool = False
    """The head of the answer was written."""

    ended: bool = False
    """The answer is complete, or was broken off."""

    gone: bool = False
    """The caller went away."""

    task: asyncio.Task[None] | None = None
    """The attempt that is under way."""

    def body_digest(self) -> bytes:
        """Hash of the body, by which a repeated request is known again."""
        return self.body.digest(self.headers.get('Content-Length', ''))

    # -- answers passed through

    def judge(self, status: int, headers: httputil.HTTPHeaders) -> AnswerUse:
        """Every answer is passed on but one that says *not run*.

        Other instances also answer with results of their own, which are
        decided on again here.
        """
        if names.NOT_RUN in headers:
            return AnswerUse.HOLD_BACK
        passed_on = str(ResultCode.OK.number)
        result = headers.get(names.RESULT, passed_on)
        if self.from_instance and result != passed_on:
            return AnswerUse.HOLD_BACK
        return AnswerUse.PASS_ON

    async def start_answer(
        self,
        start: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Write the head of an upstream's answer."""
        if self.gone:
            return
        self.begun = True
        out = names.end_to_end(headers)
        self.dialect.mark_answer(out, self.trace)
        self._announce_close(out)
        await self._written(self.connection.write_headers(start, out))

    async def write(self, chunk: bytes) -> None:
        """Write a part of an upstream's answer."""
        if not self.gone:
            await self._written(self.connection.write(chunk))

    def end(self) -> None:
        """Complete an answer that was passed through."""
        self.ended = True
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
        """Answer with a result, or break off an answer that has begun."""
        if self.ended or self.gone:
            self.ended = True
            return
        if self.begun:
            self.break_off()
            return
        self.begun = True
        self.ended = True
        headers = self.dialect.result_headers(
            code, self.trace, retry_after, entry
        )
        payload = result_payload(code, self.trace)
        if self.start.method == 'HEAD':
            payload = b''
        headers['Content-Length'] = str(len(payload))
        self._announce_close(headers)
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
        """Answer with a document of our own."""
        if self.ended or self.gone:
            self.ended = True
            return
        self.begun = True
        self.ended = True
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
        with contextlib.suppress(StreamClosedError, httputil.HTTPOutputError):
            self.connection.write_headers(start, headers, document)
            self.connection.finish()

    def break_off(self) -> None:
        """Break the caller's connection within an answer."""
        self.ended = True
        stream = getattr(self.connection, 'stream', None)
        if stream is not None:
            stream.close()

    def run(self, attempt: Coroutine[Any, Any, None]) -> None:
        """Start an attempt to have the request answered."""
        self.task = asyncio.ensure_future(attempt)

    def cancel(self) -> None:
        """Cut off the attempt that is under way."""
        if self.task and not self.task.done():
            self.task.cancel()

    def _announce_close(self, headers: httputil.HTTPHeaders) -> None:
        # The rest of a body is not read, so the connection cannot be used
        # for another request.
        if self.closing or not self.body.ended:
            headers['Connection'] = 'close'

    def _finish(self) -> None:
        if self.closing:
            # The HTTP library closes by the request's headers only and has
            # no public name for this.
            self.connection._disconnect_on_finish = True  # type: ignore
        self.connection.finish()

    async def _written(self, future: asyncio.Future[None]) -> None:
        try:
            await future
        except StreamClosedError:
            self.gone = True


def result_payload(code: ResultCode, trace: str) -> bytes:
    """Body of an answer that carries a result code."""
    document = {
        'result': code.number,
        'name': code.name,
        'certainty': code.certainty.value,
        'meaning': code.value.meaning,
        'advice': code.value.advice,
        'trace': trace,
    }
    return json.dumps(document).encode() + b'\n'
