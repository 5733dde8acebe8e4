"""Parsing and rendering of the platform's headers and request targets."""

import json
import re
from http.cookies import CookieError, SimpleCookie
from typing import Final
from urllib.parse import parse_qs, urlsplit

from tornado.httputil import HTTPHeaders

from worksrail.core.availability import NO_NOTICE, AvailabilityNotice
from worksrail.core.customers import CustomerName, KeyDigest, digest_of_key
from worksrail.core.pacing import read_rate
from worksrail.core.results import ResultCode
from worksrail.core.steering import EntryList
from worksrail.core.steering.events import ReportedLoad, SteeredHead
from worksrail.daemon.http._notices import notice_of
from worksrail.daemon.steered import LookUpQuery, UpstreamAnswer
from worksrail.platform import _names as names

_MILLISECONDS: Final = 1000
# Reported counts: more digits than these cannot be true.
_COUNT: Final = re.compile('[0-9]{1,6}')
# Pace of a machine in the report of an upstream, and the figure that stands for
# the usual one.  What lies beyond the bounds would say that the machine stands
# still or works at once, so it is ignored.
_PACE: Final = re.compile(r'[0-9]{1,6}(\.[0-9]{1,3})?')
_USUAL_PACE: Final = 100
_MIN_PACE: Final = 0.1
_MAX_PACE: Final = 30.0
_IDENTITY_ENCODINGS: Final = frozenset(('', 'identity'))


class PlatformCallers:
    """Dialect for requests of the platform's callers and answers to them."""

    __slots__ = ()

    @property
    def protected(self) -> frozenset[str]:
        """Return the headers that ``Connection`` cannot have removed."""
        return names.PROTECTED

    def trace_of(self, headers: HTTPHeaders) -> str:
        """Return the caller's identifier of one attempt."""
        return headers.get(names.REQUEST_ID, '')

    def mark_answer(self, headers: HTTPHeaders, trace: str) -> None:
        """Do nothing: upstreams set all headers that callers expect."""

    def result_headers(
        self,
        code: ResultCode,
        trace: str,
        retry_after: float,
        entry: str,
    ) -> HTTPHeaders:
        """Return the headers of an answer that carries a result code."""
        headers = HTTPHeaders(
            {'Content-Type': 'application/json', names.REQUEST_ID: trace}
        )
        if retry_after:
            # Callers accept fractions of a second.
            headers[names.RETRY_AFTER] = f'{retry_after:.3f}'
        return headers

    def read_head(
        self,
        method: str,
        target: str,
        headers: HTTPHeaders,
    ) -> SteeredHead | None:
        """Parse the head of a request; return None if a header is malformed."""
        time_left = None
        text = headers.get(names.DEADLINE)
        if text is not None:
            if not text.strip().isdigit():
                return None
            time_left = int(text) / _MILLISECONDS
        return SteeredHead(
            self.trace_of(headers),
            headers.get('Host', ''),
            method,
            target,
            time_left,
            _parse_affinity_key(headers),
            _key_digest(headers),
        )

    def is_readiness_check(self, target: str) -> bool:
        """Return whether the target is that of readiness checks."""
        return urlsplit(target).path == names.READINESS

    def read_look_up(self, target: str) -> LookUpQuery | None:
        """Parse a look-up query; return None for any other target."""
        url = urlsplit(target)
        if url.path != names.RESOLVE:
            return None
        query = parse_qs(url.query)
        return LookUpQuery(
            query.get('Region', [''])[0], query.get('Zone', [''])[0]
        )

    def render_entries(self, entries: EntryList) -> bytes:
        """Render the document that answers a look-up."""
        document = {
            'Addresses': list(entries.addresses),
            'TtlS': entries.max_age,
        }
        return json.dumps(document).encode()


class PlatformUpstreams:
    """Dialect for requests to the platform's upstreams and their answers."""

    __slots__ = ()

    def mark_request(
        self,
        headers: HTTPHeaders,
        upstream: str,
        time_left: float,
        customer: CustomerName,
    ) -> None:
        """Set the headers for the upstream, the deadline and the customer.

        An empty upstream is for another entry, which sets that header itself.
        """
        milliseconds = max(1, int(time_left * _MILLISECONDS))
        headers[names.DEADLINE] = str(milliseconds)
        headers.pop(names.TARGET, None)
        if upstream:
            headers[names.TARGET] = upstream
        headers.pop(names.API_KEY, None)
        headers.pop(names.CUSTOMER, None)
        if customer:
            headers[names.CUSTOMER] = customer

    def read_answer(self, status: int, headers: HTTPHeaders) -> UpstreamAnswer:
        """Parse the head of an answer."""
        encoding = headers.get(names.CONTENT_ENCODING, '').strip().lower()
        return UpstreamAnswer(
            headers.get(names.REQUEST_ID, ''),
            names.NOT_EXECUTED not in headers,
            status in names.PROMISES,
            status == names.MISDIRECTED,
            encoding not in _IDENTITY_ENCODINGS,
            _parse_load(headers.get(names.LOAD, '')),
            read_rate(headers.get_list(names.RATE_LIMIT)),
        )

    def read_notice(
        self,
        status: int,
        headers: HTTPHeaders,
    ) -> AvailabilityNotice:
        """Parse what an answer states about the upstream asked for."""
        if status == names.MISDIRECTED:
            return NO_NOTICE
        return notice_of(status, headers, names.LEAVING)

    def read_identifier(self, headers: HTTPHeaders) -> str:
        """Return which upstream answered a health check; empty if unknown."""
        return headers.get(names.IDENTIFIER, '')


def _parse_affinity_key(headers: HTTPHeaders) -> str:
    text = headers.get('Cookie')
    if not text:
        return ''
    try:
        morsel = SimpleCookie(text).get(names.AFFINITY_COOKIE)
    except CookieError:
        return ''
    return morsel.value if morsel else ''


def _key_digest(headers: HTTPHeaders) -> KeyDigest:
    key = headers.get(names.API_KEY)
    # Tornado decodes headers as Latin-1, so this restores the bytes.
    return digest_of_key(key.encode('latin-1')) if key else ''


def _parse_load(text: str) -> ReportedLoad | None:
    """Parse executing and waiting requests, slots and perhaps the pace.

    A pace that makes no sense is taken for none; the other figures still count.
    """
    parts = [part.strip() for part in text.split(',')]
    if not 3 <= len(parts) <= 4:
        return None
    if not all(map(_COUNT.fullmatch, parts[:3])):
        return None
    executing, waiting, slots = (int(part) for part in parts[:3])
    if executing > slots or not slots:
        return None
    pace = _parse_pace(parts[3]) if len(parts) > 3 else None
    return ReportedLoad(executing, waiting, slots, pace)


def _parse_pace(text: str) -> float | None:
    if not _PACE.fullmatch(text):
        return None
    pace = float(text) / _USUAL_PACE
    return pace if _MIN_PACE <= pace <= _MAX_PACE else None
