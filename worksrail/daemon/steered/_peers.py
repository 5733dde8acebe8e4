"""Transfer of store updates between entries, over HTTP at the peer address."""

import asyncio
from dataclasses import dataclass, field
from math import inf
from typing import Final, Protocol
from urllib.parse import parse_qs, urlencode, urlsplit

import msgspec
from logbook import Logger
from tornado import httputil

from worksrail.core.results import ResultCode
from worksrail.core.steering import StoreUpdate, store_update_since
from worksrail.core.steering.effects import FetchStoreUpdate
from worksrail.core.steering.events import StoreUpdateFailed, StoreUpdateFetched
from worksrail.core.steering.kinds import StoreKind
from worksrail.daemon.http._attempt import AttemptEnd, HttpAttempt, Outgoing
from worksrail.daemon.http._body import BodyStream
from worksrail.daemon.http._collected import CollectedAnswer
from worksrail.daemon.http._connections import ConnectionPool
from worksrail.daemon.http._exchange import Exchange
from worksrail.daemon.steered._engine import SteeringEngine
from worksrail.daemon.steered._packing import pack, unpack
from worksrail.daemon.steered._passing import is_passed

_LOG: Final = Logger('worksrail.peers')
_PATH: Final = '/news'
_CONTENT_TYPE: Final = 'application/msgpack'
_DECODER: Final = msgspec.msgpack.Decoder(StoreUpdate)
_OK: Final = 200
# Maximum size of an update in bytes; 100,000 upstreams take half of it.
_MAX_UPDATE_BYTES: Final = 20_000_000
# Timeout in seconds, after which another entry is asked.
_TIMEOUT: Final = 1.0


@dataclass(slots=True)
class NewsHandler:
    """Serves store updates to other entries."""

    engine: SteeringEngine
    """Holds the state."""

    def arrived(self, exchange: Exchange) -> None:
        """Answer with the changes since the requested revision."""
        url = urlsplit(exchange.start.path)
        if url.path != _PATH:
            exchange.answer_result(ResultCode.UNKNOWN_ROUTE)
            return
        query = parse_qs(url.query)
        try:
            kind = StoreKind(query.get('kind', [''])[0])
            since = int(query.get('since', [''])[0])
        except ValueError:
            exchange.answer_result(ResultCode.MALFORMED_REQUEST)
            return
        engine = self.engine
        update = store_update_since(engine.state, kind, since, engine.now())
        payload = pack(msgspec.msgpack.encode(update))
        exchange.answer_document(payload, _CONTENT_TYPE)

    def caller_gone(self, exchange: Exchange) -> None:
        """Do nothing: requests are answered at once."""


class PassedRequests(Protocol):
    """Handles the requests that other entries pass on."""

    def passed(self, exchange: Exchange) -> None:
        """Handle such a request."""

    def caller_gone(self, exchange: Exchange) -> None:
        """Handle an entry that has closed the connection of a request."""


@dataclass(slots=True)
class PeerHandler:
    """Separates the two kinds of requests that come from other entries."""

    news: NewsHandler
    """Serves store updates."""

    requests: PassedRequests
    """Takes over requests of callers."""

    def arrived(self, exchange: Exchange) -> None:
        """Handle a request by its kind."""
        if is_passed(exchange):
            self.requests.passed(exchange)
        else:
            self.news.arrived(exchange)

    def caller_gone(self, exchange: Exchange) -> None:
        """Handle an entry that has closed the connection of a request."""
        self.requests.caller_gone(exchange)


@dataclass(slots=True)
class NewsClient:
    """Fetches store updates from other entries."""

    engine: SteeringEngine
    """Handles the events."""

    pool: ConnectionPool
    """Connections to other entries."""

    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    """Calls in progress."""

    def fetch(self, effect: FetchStoreUpdate) -> None:
        """Fetch an update and dispatch an event with the result."""
        task = asyncio.ensure_future(self._fetch(effect))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _fetch(self, effect: FetchStoreUpdate) -> None:
        update = await self._call(effect)
        now = self.engine.now()
        if update is None:
            self.engine.dispatch(
                StoreUpdateFailed(now, effect.kind, effect.peer)
            )
        else:
            self.engine.dispatch(
                StoreUpdateFetched(now, effect.kind, effect.peer, update)
            )

    async def _call(self, effect: FetchStoreUpdate) -> StoreUpdate | None:
        collector = CollectedAnswer(maximum=_MAX_UPDATE_BYTES)
        attempt = HttpAttempt(
            self.pool,
            self.engine.now,
            self._build_request(effect),
            BodyStream.from_bytes(b''),
            collector,
        )
        report = await attempt.run()
        if collector.too_long:
            _LOG.warning(
                'store update is too long', extra={'peer': effect.peer}
            )
        if report.end is not AttemptEnd.WHOLE or collector.status != _OK:
            return None
        try:
            return _DECODER.decode(unpack(collector.body, _MAX_UPDATE_BYTES))
        except ValueError as error:
            _LOG.warning(
                'malformed store update',
                extra={'peer': effect.peer, 'why': str(error)},
            )
            return None

    def _build_request(self, effect: FetchStoreUpdate) -> Outgoing:
        query = urlencode({'kind': effect.kind.value, 'since': effect.since})
        return Outgoing(
            effect.peer,
            httputil.RequestStartLine('GET', f'{_PATH}?{query}', 'HTTP/1.1'),
            httputil.HTTPHeaders({'Host': effect.peer}),
            inf,
            self.engine.now() + _TIMEOUT,
        )
