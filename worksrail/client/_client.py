"""Client for callers: choice of the entry, and retries."""

import asyncio
import json
import random
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, unique
from math import inf
from typing import Any, Final

from tornado.httputil import HTTPHeaders, RequestStartLine

from worksrail.core.results import Certainty, ResultCode, code_by_number
from worksrail.daemon.http._attempt import (
    AttemptEnd,
    AttemptReport,
    HttpAttempt,
    Outgoing,
)
from worksrail.daemon.http._body import BodyStream
from worksrail.daemon.http._collected import CollectedAnswer
from worksrail.daemon.http._connections import ConnectionPool

_HTTP_VERSION: Final = 'HTTP/1.1'
_OK: Final = 200
_MIN_SERVER_ERROR: Final = 500
_SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))
_LOOK_UP_TIMEOUT: Final = 2.0


@unique
class NoAnswer(Enum):
    """Sentinel: why there is no answer, and whether the request was run."""

    NOT_SENT = 'no entry could be reached; the request was not run'
    NOT_RUN = 'refused; the request was not run'
    UNKNOWN = 'the request may have been run'


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Settings of a client."""

    entries: tuple[str, ...]
    """Addresses of entries that are asked for look-ups."""

    client: str = ''
    """IP address to look up for; empty for that of the connection."""

    attempts: int = 3
    """Maximum number of attempts per request."""

    deadline: float = 5.0
    """Timeout in seconds of a request with all its attempts."""


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer, or the reason why there is none."""

    status: int
    """HTTP status; zero without an answer."""

    headers: HTTPHeaders
    """Headers of the answer."""

    body: bytes
    """Complete body."""

    code: ResultCode | NoAnswer
    """``OK``, another result code, or why there is no answer."""

    trace: str
    """Trace identifier of the request."""

    attempts: int = 1
    """Number of attempts made."""

    @property
    def is_ok(self) -> bool:
        """Whether it is a complete answer of the service."""
        return self.code is ResultCode.OK


@dataclass(frozen=True, slots=True)
class _Cached:
    entries: tuple[str, ...]
    ticket: str
    expires: float


@dataclass(slots=True)
class CallerClient:
    """Sends requests through worksrail, with look-ups and safe retries.

    Look-up answers are cached until they expire.  A request that was not run
    is retried after the delay given in the refusal; one whose outcome is
    unknown is retried only if its method is safe.
    """

    settings: CallerSettings
    """Entries, timeout and number of attempts."""

    clock: Callable[[], float] = time.monotonic
    """Monotonic time in seconds."""

    rng: random.Random = field(default_factory=random.Random)
    """Shuffles the entries for look-ups, to spread the load."""

    pool: ConnectionPool = field(init=False)
    """Keep-alive connections to entries."""

    cache: dict[str, _Cached] = field(default_factory=dict)
    """Look-up answers by service."""

    def __post_init__(self) -> None:
        """Create the connection pool."""
        self.pool = ConnectionPool(self.clock)

    async def send(
        self,
        service: str,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        key: str = '',
    ) -> Answer:
        """Send a request; with an idempotency key the caller may repeat it."""
        deadline = self.clock() + self.settings.deadline
        trace = uuid.uuid4().hex
        safe = method in _SAFE_METHODS
        idempotency_key = '' if safe else key or trace
        answer = _no_answer(trace, NoAnswer.NOT_SENT, 0)
        for attempt in range(1, self.settings.attempts + 1):
            cached = await self._look_up(service)
            if cached is None:
                return answer
            headers = _headers(service, trace, cached, idempotency_key)
            headers['Worksrail-Deadline'] = f'{deadline - self.clock():.3f}'
            entry = self._choose_entry(cached, attempt, safe=safe)
            answer = await self._send_once(
                entry,
                RequestStartLine(method, path, _HTTP_VERSION),
                headers,
                body,
                deadline,
                attempt,
            )
            if not _may_retry(answer, safe=safe):
                return answer
            self.cache.pop(service, None)
            if not await self._wait_before_retry(answer, deadline):
                return answer
        return answer

    async def send_to(
        self,
        address: str,
        host: str,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> Answer:
        """Send a request to one address, once, without a look-up."""
        trace = uuid.uuid4().hex
        deadline = self.clock() + self.settings.deadline
        return await self._send_once(
            address,
            RequestStartLine(method, path, _HTTP_VERSION),
            HTTPHeaders({'Host': host, 'Worksrail-Trace': trace}),
            body,
            deadline,
            1,
        )

    async def _send_once(
        self,
        entry: str,
        start: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        deadline: float,
        attempt: int,
    ) -> Answer:
        if body or start.method in {'POST', 'PUT', 'PATCH'}:
            headers['Content-Length'] = str(len(body))
        stream = BodyStream.from_bytes(body)
        # What was asked for may have any length.
        collector = CollectedAnswer(maximum=inf)
        outgoing = Outgoing(entry, start, headers, deadline, deadline)
        report = await HttpAttempt(
            self.pool, self.clock, outgoing, stream, collector
        ).run()
        trace = headers['Worksrail-Trace']
        if report.end is not AttemptEnd.WHOLE:
            return _no_answer(trace, _failure_reason(report), attempt)
        return Answer(
            collector.status,
            collector.headers,
            collector.body,
            _result_code(collector.headers, trace),
            trace,
            attempt,
        )

    async def _look_up(self, service: str) -> _Cached | None:
        cached = self.cache.get(service)
        if cached and self.clock() < cached.expires:
            return cached
        entries = list(self.settings.entries)
        self.rng.shuffle(entries)
        for entry in entries:
            document = await self._fetch_look_up(entry, service)
            if document:
                fresh = _Cached(
                    tuple(ranked['address'] for ranked in document['entries']),
                    document['ticket'],
                    self.clock() + document['max_age'],
                )
                self.cache[service] = fresh
                return fresh
        return None

    async def _fetch_look_up(self, entry: str, service: str) -> Any:
        path = f'/.worksrail/look-up?service={service}'
        if self.settings.client:
            path = f'{path}&client={self.settings.client}'
        stream = BodyStream.from_bytes(b'')
        collector = CollectedAnswer()
        look_up_deadline = self.clock() + _LOOK_UP_TIMEOUT
        outgoing = Outgoing(
            entry,
            RequestStartLine('GET', path, _HTTP_VERSION),
            HTTPHeaders({'Host': service}),
            look_up_deadline,
            look_up_deadline,
        )
        report = await HttpAttempt(
            self.pool, self.clock, outgoing, stream, collector
        ).run()
        if report.end is not AttemptEnd.WHOLE or collector.status != _OK:
            return None
        return json.loads(collector.body)

    def _choose_entry(
        self, cached: _Cached, attempt: int, *, safe: bool
    ) -> str:
        if not safe:
            return cached.entries[0]
        return cached.entries[(attempt - 1) % len(cached.entries)]

    async def _wait_before_retry(self, answer: Answer, deadline: float) -> bool:
        wait = float(answer.headers.get('Worksrail-Retry-After', '0'))
        if self.clock() + wait >= deadline:
            return False
        if wait:
            await asyncio.sleep(wait)
        return True


def _headers(
    service: str,
    trace: str,
    cached: _Cached,
    key: str,
) -> HTTPHeaders:
    headers = HTTPHeaders({'Host': service, 'Worksrail-Trace': trace})
    if key:
        headers['Worksrail-Ticket'] = cached.ticket
        headers['Idempotency-Key'] = key
    return headers


def _result_code(headers: HTTPHeaders, trace: str) -> ResultCode | NoAnswer:
    if headers.get('Worksrail-Trace', '') != trace:
        # It belongs to another request, so it says nothing about this one.
        return NoAnswer.UNKNOWN
    try:
        return code_by_number(int(headers.get('Worksrail-Result', '')))
    except ValueError:
        return NoAnswer.UNKNOWN


def _failure_reason(report: AttemptReport) -> NoAnswer:
    if report.end is AttemptEnd.NOT_SENT:
        return NoAnswer.NOT_SENT
    return NoAnswer.UNKNOWN


def _may_retry(answer: Answer, *, safe: bool) -> bool:
    if answer.is_ok:
        return False
    if isinstance(answer.code, ResultCode):
        certain = answer.code.certainty is Certainty.NOT_RUN
        return (
            certain or safe
        ) and answer.code.http_status >= _MIN_SERVER_ERROR
    return safe or answer.code is NoAnswer.NOT_SENT


def _no_answer(trace: str, why: NoAnswer, attempt: int) -> Answer:
    return Answer(0, HTTPHeaders(), b'', why, trace, attempt)
