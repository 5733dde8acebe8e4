"""Header names, removal of hop-by-hop headers and body length checks."""

import re
from collections.abc import Container
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
TERMS: Final = 'Worksrail-Terms'
SENDS: Final = 'Worksrail-Sends'
RATE_LIMIT: Final = 'Worksrail-Limit'
LEAVING: Final = 'Worksrail-Leaving'

_CONTENT_LENGTH: Final = 'Content-Length'
_TRANSFER_ENCODING: Final = 'Transfer-Encoding'
_HOP_BY_HOP_HEADERS: Final = frozenset(
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
# Only instances may set these; those set by callers or upstreams are removed.
# A caller's API key is not passed beyond the instance that receives it.
_INTERNAL_HEADERS: Final = frozenset(
    (CLIENT, HOME, PASSING, RESULT, ENTRY, CUSTOMER, API_KEY, TERMS, SENDS)
)
# What these say holds for the whole way of a message, whatever its sender names
# in ``Connection``: they delimit or describe its body, or name its host.
_PROTECTED_HEADERS: Final = frozenset(
    (
        _CONTENT_LENGTH,
        'Content-Encoding',
        'Content-Type',
        'Host',
        TRACE,
        DEADLINE,
        CERTAINTY,
        RETRY_AFTER,
        'Retry-After',
        KEY,
        NOT_RUN,
        LOAD,
        RATE_LIMIT,
        LEAVING,
    )
)
_DIGITS: Final = re.compile(r'\d{1,18}')
_CHUNKED_METHODS: Final = frozenset(('POST', 'PUT', 'PATCH'))


@unique
class BodyLength(Enum):
    """How the length of a message body is determined."""

    NONE = 'no body'
    COUNTED = 'by Content-Length'
    CHUNKED = 'by chunked encoding'
    UNTIL_CLOSE = 'by the close of the connection'
    AMBIGUOUS = 'by conflicting or invalid headers'


def body_length(headers: HTTPHeaders) -> BodyLength:
    """Determine how the body is delimited; duplicate headers are ambiguous.

    >>> body_length(HTTPHeaders({'Content-Length': '5'}))
    <BodyLength.COUNTED: 'by Content-Length'>
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
    """Determine how the body of a request is delimited."""
    length = body_length(headers)
    if length is BodyLength.UNTIL_CLOSE:
        return BodyLength.NONE
    if length is BodyLength.CHUNKED and method not in _CHUNKED_METHODS:
        return BodyLength.AMBIGUOUS
    return length


def answer_length(method: str, status: int, headers: HTTPHeaders) -> BodyLength:
    """Determine how the body of an answer is delimited."""
    length = body_length(headers)
    if length is BodyLength.AMBIGUOUS:
        return length
    if method == 'HEAD' or status in {204, 304}:
        return BodyLength.NONE
    return length


def keep_alive_timeout(headers: HTTPHeaders) -> float | None:
    """Return the timeout in seconds of a ``Keep-Alive`` header, if present.

    >>> keep_alive_timeout(HTTPHeaders({'Keep-Alive': 'timeout=5, max=100'}))
    5.0
    """
    for part in headers.get('Keep-Alive', '').split(','):
        name, _, seconds = part.strip().partition('=')
        if name.lower() == 'timeout' and _DIGITS.fullmatch(seconds):
            return float(seconds)
    return None


def end_to_end(
    headers: HTTPHeaders, protected: Container[str] = ()
) -> HTTPHeaders:
    """Copy the headers without hop-by-hop and internal ones.

    The sender may name further hop-by-hop headers in ``Connection`` (RFC 9110,
    7.6.1), but not have those removed that frame the message, or that its
    receiver relies on; ``protected`` are such headers of a dialect.

    >>> sent = HTTPHeaders({'Connection': 'a, host', 'A': '1', 'Host': 'b'})
    >>> dict(end_to_end(sent))
    {'Host': 'b'}
    """
    named = {
        _normalized(name)
        for line in headers.get_list('Connection')
        for name in line.split(',')
    }
    hop_by_hop = {
        name for name in named - _PROTECTED_HEADERS if name not in protected
    }
    drop = _HOP_BY_HOP_HEADERS | _INTERNAL_HEADERS | hop_by_hop
    kept = HTTPHeaders()
    for name, text in headers.get_all():
        if name not in drop:
            kept.add(name, text)
    return kept


def outgoing_headers(
    method: str,
    received: HTTPHeaders,
    size: int | None,
    protected: Container[str] = (),
) -> HTTPHeaders:
    """Return the headers with which a request is sent on.

    Its length follows from how its body was delimited when it was read, and
    from nothing else.  ``size`` is the size of a body that was read whole, in
    bytes; one that is still being read is sent as it comes.

    >>> sent = HTTPHeaders({'Content-Length': '5', 'Connection': 'close'})
    >>> dict(outgoing_headers('DELETE', sent, None))
    {'Content-Length': '5'}
    """
    headers = end_to_end(received, protected)
    headers.pop('Expect', None)
    length = request_length(method, received)
    headers.pop(_CONTENT_LENGTH, None)
    if length is BodyLength.COUNTED:
        set_length(headers, int(received[_CONTENT_LENGTH]))
    elif length is BodyLength.CHUNKED and size is not None:
        set_length(headers, size)
    return headers


def set_length(headers: HTTPHeaders, size: int) -> None:
    """Delimit a body by its size in bytes."""
    headers[_CONTENT_LENGTH] = str(size)


def _normalized(name: str) -> str:
    """Return the name of a header as the library writes it."""
    return '-'.join(part.capitalize() for part in name.strip().split('-'))
