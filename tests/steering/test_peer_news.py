"""Store updates between entries, over real sockets."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.testing import bind_unused_port

from tests.steering.world import World, upstream
from worksrail.core.steering import (
    RoutingConfiguration,
    SteeringState,
    StoreUpdate,
)
from worksrail.core.steering.effects import FetchStoreUpdate
from worksrail.core.steering.events import (
    Event,
    StoreUpdateFailed,
    StoreUpdateFetched,
)
from worksrail.core.steering.kinds import StoreKind
from worksrail.daemon.http._connections import ConnectionPool
from worksrail.daemon.http._exchange import Exchange
from worksrail.daemon.http._server import (
    ExchangeHandler,
    ExchangeServer,
    HttpLimits,
)
from worksrail.daemon.steered import _peers
from worksrail.daemon.steered._engine import SteeringEngine
from worksrail.daemon.steered._peers import NewsClient, NewsHandler


class RecordingEngine(SteeringEngine):
    """Records the events instead of reducing them."""

    def __init__(self, state: SteeringState) -> None:
        """Start without events."""
        super().__init__(state)
        self.events: list[Event] = []

    def dispatch(self, event: Event) -> None:
        """Record an event."""
        self.events.append(event)


class GarbageHandler:
    """Answers with bytes that are no store update."""

    def arrived(self, exchange: Exchange) -> None:
        """Answer the request."""
        exchange.answer_document(b'\xc1')

    def caller_gone(self, exchange: Exchange) -> None:
        """Ignore the disconnect; no request is in progress."""


def _serve(
    handler: ExchangeHandler,
    call: Callable[[str], Awaitable[Any]],
) -> Any:
    async def run() -> Any:
        server = ExchangeServer(handler, HttpLimits(), itertools.count(1))
        socket, port = bind_unused_port(address='127.0.0.1')
        server.add_socket(socket)
        try:
            async with asyncio.timeout(30):
                return await call(f'127.0.0.1:{port}')
        finally:
            server.stop()

    return asyncio.run(run())


def _source() -> NewsHandler:
    world = World((), (upstream('1'), upstream('2')))
    return NewsHandler(SteeringEngine(world.state))


def _fetch(handler: ExchangeHandler, kind: StoreKind) -> Event:
    async def call(peer: str) -> Event:
        engine = RecordingEngine(World().state)
        client = NewsClient(engine, ConnectionPool(engine.now))
        client.fetch(FetchStoreUpdate(kind, peer, 0))
        await asyncio.gather(*client.tasks)
        client.pool.close()
        return engine.events[0]

    event: Event = _serve(handler, call)
    return event


@pytest.fixture
def long_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    # Both sides share one event loop, which a busy machine may delay.
    monkeypatch.setattr(_peers, '_TIMEOUT', 30.0)


@pytest.mark.usefixtures('long_timeout')
@pytest.mark.parametrize('kind', StoreKind)
def test_updates_cross_real_sockets(kind: StoreKind) -> None:
    event = _fetch(_source(), kind)
    assert isinstance(event, StoreUpdateFetched)
    assert event.kind is kind
    assert event.update.revision == 1
    names = {record.name for record in event.update.records}
    assert names == ({'1', '2'} if kind is StoreKind.UPSTREAMS else set())
    configured = isinstance(event.update.configuration, RoutingConfiguration)
    assert configured is (kind is StoreKind.CONFIGURATION)


@pytest.mark.usefixtures('long_timeout')
def test_configuration_round_trips() -> None:
    handler = _source()
    event = _fetch(handler, StoreKind.CONFIGURATION)
    assert isinstance(event, StoreUpdateFetched)
    assert event.update.configuration == handler.engine.state.configuration


def test_malformed_update_is_a_failure() -> None:
    assert isinstance(
        _fetch(GarbageHandler(), StoreKind.UPSTREAMS), StoreUpdateFailed
    )


def test_missing_answer_is_a_failure() -> None:
    async def run() -> Event:
        engine = RecordingEngine(World().state)
        client = NewsClient(engine, ConnectionPool(engine.now))
        client.fetch(FetchStoreUpdate(StoreKind.UPSTREAMS, '127.0.0.1:1', 0))
        await asyncio.gather(*client.tasks)
        return engine.events[0]

    assert isinstance(asyncio.run(run()), StoreUpdateFailed)


@pytest.mark.parametrize(
    ('target', 'status', 'result'),
    [
        ('/news?kind=upstreams&since=x', 400, 2001),
        ('/news?kind=weather&since=1', 400, 2001),
        ('/news', 400, 2001),
        ('/other', 404, 2011),
    ],
)
def test_invalid_fetches_get_result_codes(
    target: str, status: int, result: int
) -> None:
    async def call(peer: str) -> Any:
        return await AsyncHTTPClient().fetch(
            f'http://{peer}{target}', raise_error=False
        )

    response = _serve(_source(), call)
    assert response.code == status
    assert msgspec.json.decode(response.body)['result'] == result


def test_served_update_matches_the_state() -> None:
    async def call(peer: str) -> Any:
        url = f'http://{peer}/news?kind=evacuations&since=0'
        return (await AsyncHTTPClient().fetch(url)).body

    update = msgspec.msgpack.decode(_serve(_source(), call), type=StoreUpdate)
    assert update == StoreUpdate(1, complete=True)
