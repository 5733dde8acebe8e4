"""News of the store between entries, over HTTP on the peer address."""

import asyncio
from dataclasses import dataclass, field
from math import inf
from typing import Final
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

_LOG: Final = Logger('worksrail.peers')
_PATH: Final = '/news'
_NEWS_TYPE: Final = 'application/msgpack'
_DECODER: Final = msgspec.msgpack.Decoder(StoreUpdate)
_OK: Final = 200
# Bytes that news may grow to: 100,000 upstreams are told in half of it.
_LONGEST: Final = 20_000_000
# Seconds for an answer; another entry is asked after it.
_TIMEOUT: Final = 1.0


@dataclass(slots=True)
class NewsHandler:
    """Tells other entries what this one knows of the store."""

    engine: SteeringEngine
    """Knows."""

    def arrived(self, exchange: Exchange) -> None:
        """Answer with what is new since the revision that is named."""
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
        news = store_update_since(engine.state, kind, since, engine.now())
        payload = pack(msgspec.msgpack.encode(news))
        exchange.answer_document(payload, _NEWS_TYPE)

    def caller_gone(self, exchange: Exchange) -> None:
        """Nothing is under way that could be cut off."""


@dataclass(slots=True)
class NewsClient:
    """Asks other entries for news."""

    engine: SteeringEngine
    """Takes the events."""

    pool: ConnectionPool
    """Connections to other entries."""

    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    """Calls under way."""

    def fetch(self, effect: FetchStoreUpdate) -> None:
        """Ask another entry; an event follows in any case."""
        task = asyncio.ensure_future(self._fetch(effect))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _fetch(self, effect: FetchStoreUpdate) -> None:
        news = await self._ask(effect)
        now = self.engine.now()
        if news is None:
            self.engine.dispatch(
                StoreUpdateFailed(now, effect.kind, effect.peer)
            )
        else:
            self.engine.dispatch(
                StoreUpdateFetched(now, effect.kind, effect.peer, news)
            )

    async def _ask(self, effect: FetchStoreUpdate) -> StoreUpdate | None:
        collector = CollectedAnswer()
        attempt = HttpAttempt(
            self.pool,
            self.engine.now,
            self._outgoing(effect),
            BodyStream.from_bytes(b''),
            collector,
        )
        report = await attempt.run()
        if report.end is not AttemptEnd.WHOLE or collector.status != _OK:
            return None
        try:
            return _DECODER.decode(unpack(collector.body, _LONGEST))
        except ValueError as error:
            _LOG.warning(
                'malformed news', extra={'peer': effect.peer, 'why': str(error)}
            )
            return None

    def _outgoing(self, effect: FetchStoreUpdate) -> Outgoing:
        query = urlencode({'kind': effect.kind.value, 'since': effect.since})
        return Outgoing(
            effect.peer,
            httputil.RequestStartLine('GET', f'{_PATH}?{query}', 'HTTP/1.1'),
            httputil.HTTPHeaders({'Host': effect.peer}),
            inf,
            self.engine.now() + _TIMEOUT,
        )
