"""Requests that entries pass to each other, over HTTP at the peer address."""

import base64
import binascii
from dataclasses import dataclass
from typing import Final

from tornado import httputil

from worksrail.core.evidence import AnswerHead, NamedRequest
from worksrail.core.results import Certainty, ResultCode, code_by_number
from worksrail.core.steering import PassingTerms, decode_terms, encode_terms
from worksrail.core.steering.events import AttemptOutcome, PassRefusal
from worksrail.daemon.http import _headers as names
from worksrail.daemon.http._dialect import AnswerUse, OwnDialect
from worksrail.daemon.http._exchange import Exchange
from worksrail.daemon.steered._sink import USES, SteeredSink

# Longest pause in seconds that an entry may ask for.
_MAX_RETRY_AFTER: Final = 3600.0


@dataclass(frozen=True, slots=True)
class PassingDialect(OwnDialect):
    """Dialect of answers to the entry that passed a request on."""

    protected: frozenset[str] = frozenset()
    """Headers of the callers' dialect that are passed on in any case."""

    sends: int = 0
    """Number of upstreams that the request was sent to, by all entries."""

    def mark_answer(self, headers: httputil.HTTPHeaders, trace: str) -> None:
        """Mark the answer as an upstream's."""
        headers[names.RESULT] = str(ResultCode.OK.number)

    def result_headers(
        self,
        code: ResultCode,
        trace: str,
        retry_after: float,
        entry: str,
    ) -> httputil.HTTPHeaders:
        """Return the headers of an answer that carries a result code."""
        headers = OwnDialect.result_headers(
            self, code, trace, retry_after, entry
        )
        headers[names.SENDS] = str(self.sends)
        return headers


@dataclass(slots=True)
class PassingSink(SteeredSink):
    """Receives the answer of another entry, in its own or an upstream's name.

    The other entry marks answers of upstreams as results without a fault.
    """

    refusal: PassRefusal | None = None
    """Result of the other entry, if it answered in its own name."""

    def judge(self, status: int, headers: httputil.HTTPHeaders) -> AnswerUse:
        """Decide by its head what to do with an answer."""
        code = _parse_code(headers)
        if code is None:
            return AnswerUse.REJECT
        if code is ResultCode.OK:
            return SteeredSink.judge(self, status, headers)
        stated = code.certainty is Certainty.NOT_RUN
        head = AnswerHead(status, stated, self._named(headers))
        use = USES[self.conclude(head)]
        if use is AnswerUse.PASS_ON:
            # The entry does not know whether the request was executed.
            use = AnswerUse.HOLD_BACK
        if head.named is NamedRequest.THIS:
            self.refusal = PassRefusal(
                code, _parse_retry_after(headers), _parse_sends(headers)
            )
        return use

    def begins(self) -> bool:
        """Return whether the answer is passed on to the caller."""
        return self.refusal is None and SteeredSink.begins(self)

    def outcome(self, outcome: AttemptOutcome) -> AttemptOutcome:
        """Return the outcome, given that of the exchange with the entry."""
        if outcome is AttemptOutcome.ANSWERED and self.refusal is not None:
            return AttemptOutcome.BROKE_BEFORE_ANSWER
        return outcome

    def _named(self, headers: httputil.HTTPHeaders) -> NamedRequest:
        # The entry makes up an identifier for a request that has none.
        sent = self.exchange.trace if self.identifier else ''
        return NamedRequest.from_identifier(headers.get(names.TRACE, ''), sent)


def add_terms(headers: httputil.HTTPHeaders, terms: PassingTerms) -> None:
    """Add the terms to the headers of a request."""
    headers[names.TERMS] = base64.b64encode(encode_terms(terms)).decode()


def read_terms(exchange: Exchange) -> PassingTerms | None:
    """Read the terms of a request; None if there are none or malformed ones."""
    text = exchange.headers.get(names.TERMS)
    if not text:
        return None
    try:
        return decode_terms(base64.b64decode(text, validate=True))
    except (binascii.Error, ValueError):
        return None


def is_passed(exchange: Exchange) -> bool:
    """Return whether another entry passed this request on."""
    return names.TERMS in exchange.headers


def _parse_code(headers: httputil.HTTPHeaders) -> ResultCode | None:
    try:
        return code_by_number(int(headers.get(names.RESULT, '')))
    except ValueError:
        return None


def _parse_retry_after(headers: httputil.HTTPHeaders) -> float:
    try:
        seconds = float(headers.get(names.RETRY_AFTER, '0'))
    except ValueError:
        return 0
    return seconds if 0 <= seconds <= _MAX_RETRY_AFTER else 0


def _parse_sends(headers: httputil.HTTPHeaders) -> int:
    text = headers.get(names.SENDS, '')
    return int(text) if text.isascii() and text.isdigit() else 0
