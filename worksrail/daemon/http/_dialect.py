"""Header names and formats used towards callers.

Dialects differ only in how a decision is written to headers.
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

    PASS_ON = 'answers the request; pass it on'
    HOLD_BACK = 'meant for this instance only; read it to its end'
    PASS_OVER = 'answers an earlier request; read the next answer'
    REJECT = 'answers no request; the connection is unusable'


class CallerDialect(Protocol):
    """Reads and writes worksrail's headers towards callers."""

    @property
    def protected(self) -> frozenset[str]:
        """Return its headers that ``Connection`` cannot have removed."""

    def trace_of(self, headers: HTTPHeaders) -> str:
        """Return the caller's trace identifier; empty if there is none."""

    def mark_answer(self, headers: HTTPHeaders, trace: str) -> None:
        """Add worksrail's headers to an upstream's answer."""

    def result_headers(
        self,
        code: ResultCode,
        trace: str,
        retry_after: float,
        entry: str,
    ) -> HTTPHeaders:
        """Return the headers of an answer that carries a result code."""


class OwnDialect:
    """Dialect that uses worksrail's own headers."""

    __slots__ = ()

    @property
    def protected(self) -> frozenset[str]:
        """Return none: its own headers are protected in every dialect."""
        return frozenset()

    def trace_of(self, headers: HTTPHeaders) -> str:
        """Return the caller's trace identifier; empty if there is none."""
        return headers.get(names.TRACE, '')

    def mark_answer(self, headers: HTTPHeaders, trace: str) -> None:
        """Add the result and the trace identifier."""
        headers[names.RESULT] = str(ResultCode.OK.number)
        headers[names.TRACE] = trace

    def result_headers(
        self,
        code: ResultCode,
        trace: str,
        retry_after: float,
        entry: str,
    ) -> HTTPHeaders:
        """Return the headers of an answer that carries a result code."""
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
