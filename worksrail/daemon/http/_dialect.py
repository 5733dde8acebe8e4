"""How the parts of worksrail's HTTP messages are spelled towards callers.

The decisions are the same for every dialect; only names differ.
"""

from enum import Enum, unique
from math import ceil
from typing import Protocol

from tornado.httputil import HTTPHeaders

from worksrail.core.results import Certainty, ResultCode
from worksrail.daemon.http import _headers as names


@unique
class AnswerUse(Enum):
    """What to do with an answer whose head has arrived."""

    PASS_ON = 'it is the answer to the request'
    HOLD_BACK = 'it is for this instance only; read it to its end'
    PASS_OVER = 'it belongs to another request; the next one may be ours'
    REJECT = 'it is no answer to any request; nothing more can be read'


class CallerDialect(Protocol):
    """Spells requests and answers towards callers."""

    def trace_of(self, headers: HTTPHeaders) -> str:
        """The caller's identifier of a request; empty if there is none."""

    def mark_answer(self, headers: HTTPHeaders, trace: str) -> None:
        """Add to an upstream's answer what callers expect."""

    def result_headers(
        self,
        code: ResultCode,
        trace: str,
        retry_after: float,
        entry: str,
    ) -> HTTPHeaders:
        """Headers of an answer that carries a result code."""


class OwnDialect:
    """Worksrail's own headers."""

    __slots__ = ()

    def trace_of(self, headers: HTTPHeaders) -> str:
        """The caller's identifier of a request; empty if there is none."""
        return headers.get(names.TRACE, '')

    def mark_answer(self, headers: HTTPHeaders, trace: str) -> None:
        """Add the result and the identifier."""
        headers[names.RESULT] = str(ResultCode.OK.number)
        headers[names.TRACE] = trace

    def result_headers(
        self,
        code: ResultCode,
        trace: str,
        retry_after: float,
        entry: str,
    ) -> HTTPHeaders:
        """Headers of an answer that carries a result code."""
        headers = HTTPHeaders(
            {
                'Content-Type': 'application/json',
                names.RESULT: str(code.number),
                names.CERTAINTY: code.certainty.value,
                names.TRACE: trace,
            }
        )
        if code.certainty is Certainty.NOT_RUN:
            headers[names.NOT_RUN] = 'true'
        if retry_after:
            headers['Retry-After'] = str(ceil(retry_after))
            headers[names.RETRY_AFTER] = str(retry_after)
        if entry:
            headers[names.ENTRY] = entry
        return headers
