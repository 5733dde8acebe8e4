"""Header names, hop-by-hop stripping and checks of message lengths."""

import re
from enum import Enum, unique
from typing import Final

from tornado.httputil import HTTPHeaders

TRACE: Final = 'Worksrail-Trace'
DEADLINE: Final = 'Worksrail-Deadline'
TICKET: Final = 'Worksrail-Ticket'
RESULT: Final = 'Worksrail-Result'
CERTAINTY: Final = 'Worksrail-Certainty'
RETRY_AFTER: Final = 'Worksrail-Retry-After'
ENTRY: Final = 'Worksrail-Entry'
KEY: Final = 'Idempotency-Key'
CLIENT: Final = 'Worksrail-Client'
HOME: Final = 'Worksrail-Home'
PASSING: Final = 'Worksrail-Passing'
API_KEY: Final = 'Worksrail-Key'
CUSTOMER: Final = 'Worksrail-Customer'
NOT_RUN: Final = 'Worksrail-Not-Run'
LOAD: Final = 'Worksrail-Load'
RATE_LIMIT: Final = 'Worksrail-Limit'

_CONTENT_LENGTH: Final = 'Content-Length'
_TRANSFER_ENCODING: Final = 'Transfer-Encoding'
_HOP_BY_HOP: Final = frozenset(
    (
        'Connection',
        'Keep-Alive',
        'Proxy-Authenticate',
        'Proxy-Authorization',
        'Proxy-Connection',
        'Te',
        'Trailer',
        _TRANSFER_ENCODING,
        'Upgrade',
    )
)
# Only instances may set these; a caller's own are dropped.
# A caller's key goes no further than the instance that it reaches.
_INTERNAL: Final = frozenset(
    (CLIENT, HOME, PASSING, RESULT, ENTRY, CUSTOMER, API_KEY)
)
_DIGITS: Final = re.compile(r'\d{1,18}')
_CHUNKED_METHODS: Final = frozenset(('POST', 'PUT', 'PATCH'))


@unique
class BodyLength(Enum):
    """How the end of a message body is found."""

    NONE = 'there is no body'
    COUNTED = 'by its length'
    CHUNKED = 'by its last chunk'
    UNTIL_CLOSE = 'by the end of the connection'
    AMBIGUOUS = 'in more than one way'


def body_length(headers: HTTPHeaders) -> BodyLength:
    """How the end of the body is found; duplicates are ambiguous.

    >>> body_length(HTTPHeaders({'Content-Length': '5'}))
    <BodyLength.COUNTED: 'by its length'>
    """
    lengths = headers.get_list(_CONTENT_LENGTH)
    encodings = headers.get_list(_TRANSFER_ENCODING)
    if (lengths and encodings) or len(lengths) > 1 or len(encodings) > 1:
        return BodyLength.AMBIGUOUS
    if lengths:
        counted = _DIGITS.fullmatch(lengths[0].strip())
        return BodyLength.COUNTED if counted else BodyLength.AMBIGUOUS
    if encodings:
        chunked = encodings[0].strip().lower() == 'chunked'
        return BodyLength.CHUNKED if chunked else BodyLength.AMBIGUOUS
    return BodyLength.UNTIL_CLOSE


def request_length(method: str, headers: HTTPHeaders) -> BodyLength:
    """How the end of a request's body is found."""
    length = body_length(headers)
    if length is BodyLength.UNTIL_CLOSE:
        return BodyLength.NONE
    if length is BodyLength.CHUNKED and method not in _CHUNKED_METHODS:
        return BodyLength.AMBIGUOUS
    return length


def answer_length(method: str, status: int, headers: HTTPHeaders) -> BodyLength:
    """How the end of an answer's body is found."""
    length = body_length(headers)
    if length is BodyLength.AMBIGUOUS:
        return length
    if method == 'HEAD' or status in {204, 304}:
        return BodyLength.NONE
    return length


def kept_for(headers: HTTPHeaders) -> float | None:
    """Seconds for which the other side keeps an idle connection, if it says.

    >>> kept_for(HTTPHeaders({'Keep-Alive': 'timeout=5, max=100'}))
    5.0
    """
    for part in headers.get('Keep-Alive', '').split(','):
        name, _, seconds = part.strip().partition('=')
        if name.lower() == 'timeout' and _DIGITS.fullmatch(seconds):
            return float(seconds)
    return None


def end_to_end(headers: HTTPHeaders) -> HTTPHeaders:
    """Copy the headers that are not meant for the next hop only."""
    named = {
        name.strip().title()
        for line in headers.get_list('Connection')
        for name in line.split(',')
    }
    drop = _HOP_BY_HOP | _INTERNAL | named
    kept = HTTPHeaders()
    for name, text in headers.get_all():
        if name not in drop:
            kept.add(name, text)
    return kept
