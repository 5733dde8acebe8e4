"""``worksraild``: runs one entry instance of worksrail."""

import asyncio
import contextlib
import itertools
import json
import sys
import time
from dataclasses import dataclass, field
from typing import Any, Final, NoReturn

import fire
from grpclib.server import Server
from logbook import Logger
from prometheus_client import CollectorRegistry
from tornado.httpserver import HTTPServer

from worksrail.core.events import StopRequested
from worksrail.core.identity import Endpoints, Incarnation, Place
from worksrail.core.instance import Instance
from worksrail.core.requests import TicketSigner
from worksrail.core.results import ResultCode
from worksrail.core.settings import CoreSettings
from worksrail.daemon import _clock
from worksrail.daemon._engine import Engine
from worksrail.daemon._logs import install_logs
from worksrail.daemon._loop import run_serving
from worksrail.daemon._metrics import Metrics
from worksrail.daemon._peers import (
    PeerClient,
    PeerService,
    start_peer_server,
    stop_peer_server,
)
from worksrail.daemon._service_manager import notify_ready
from worksrail.daemon._settings import (
    DaemonSettings,
    SettingFault,
    load_settings,
)
from worksrail.daemon._signals import (
    hold_last_signals,
    keep_signals_from_threads,
    take_signals,
)
from worksrail.daemon._timeline import Timeline
from worksrail.daemon._tls import PeerTls
from worksrail.daemon.http._callers import CallerHandler, PassedHandler
from worksrail.daemon.http._connections import ConnectionPool
from worksrail.daemon.http._requests import HttpRequests
from worksrail.daemon.http._server import ExchangeServer, HttpLimits
from worksrail.daemon.operators._api import (
    OperatorTokens,
    operator_application,
)
from worksrail.daemon.operators._desk import Desk
from worksrail.daemon.platform._chunks import ChunkCache
from worksrail.daemon.platform._store import StoreClient
from worksrail.daemon.platform._sync import PlatformSync

_LOG: Final = Logger('worksrail.daemon')
_RELOAD_INTERVAL: Final = 1.0
_FLUSH_TIMEOUT: Final = 1.0
_MAX_OPERATOR_BODY: Final = 4_194_304
_NANOSECONDS_PER_MILLISECOND: Final = 1_000_000


@dataclass(slots=True)
class Daemon:
    """Components of one process."""

    settings: DaemonSettings
    """Validated settings."""

    engine: Engine
    """Applies events to the state and runs the effects."""

    requests: HttpRequests
    """Requests in progress."""

    peers: PeerClient
    """Client for messages to other instances."""

    sync: PlatformSync
    """Reads from and writes to the platform's store."""

    desk: Desk
    """Executes the operations of operators."""

    tls: PeerTls | None
    """TLS contexts for connections between instances, if configured."""

    stopped: asyncio.Event
    """Set when a graceful stop is complete."""

    caller_server: ExchangeServer | None = None
    """Server for callers."""

    passing_server: ExchangeServer | None = None
    """Server for requests passed on by other instances."""

    operator_server: HTTPServer | None = None
    """Server for operators."""

    peer_server: Server | None = None
    """Server for messages of other instances."""

    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    """Background tasks."""

    @classmethod
    def from_settings(cls, settings: DaemonSettings) -> 'Daemon':
        """Create all components without listening."""
        stopped = asyncio.Event()
        engine = _create_engine(settings, stopped)
        tls = PeerTls.from_settings(settings)
        context = tls.client if tls else None
        signer = TicketSigner(
            [
                secret.encode()
                for secret in settings.ticket_secrets.split(',')
                if secret
            ]
        )
        requests = HttpRequests(
            engine,
            ConnectionPool(engine.now),
            ConnectionPool(engine.now, context),
            lambda: signer,
        )
        peers = PeerClient(engine, context, _parse_delays(settings.peer_delay))
        store = StoreClient(
            settings.store,
            lambda kind: engine.metrics.store_calls.labels(kind).inc(),
        )
        cache = ChunkCache()
        seeds = tuple(seed for seed in settings.seeds.split(',') if seed)
        sync = PlatformSync(engine, store, peers, cache, seeds)
        engine.connect(requests, peers, sync)
        desk = Desk(engine, store, cache)
        return cls(settings, engine, requests, peers, sync, desk, tls, stopped)

    async def run(self) -> None:
        """Serve until a graceful stop is complete."""
        await self._listen()
        self.sync.start()
        self.tasks = [
            asyncio.ensure_future(self._tick()),
            asyncio.ensure_future(self._reload()),
        ]
        take_signals(asyncio.get_running_loop(), self.stop, self.reload)
        self.tasks.append(asyncio.ensure_future(notify_ready()))
        _LOG.info('serving')
        await self.stopped.wait()
        await self._close()

    def stop(self) -> None:
        """Start a graceful stop."""
        self.engine.dispatch(StopRequested(self.engine.now()))
        self.requests.announce_stop()

    def reload(self) -> None:
        """Reload the certificates.

        Flags and environment cannot change in a running process; changed
        bundles and keys are read from the store without a reload.
        """
        _LOG.info('reload asked for')
        self._load_certificates()

    def _load_certificates(self) -> None:
        if self.tls and self.tls.reload():
            _LOG.info('certificates loaded again')

    async def _listen(self) -> None:
        settings = self.settings
        limits = HttpLimits(
            settings.header_bytes,
            settings.body_bytes,
            settings.connections,
            settings.header_seconds,
            settings.body_seconds,
        )
        numbers = itertools.count(1)
        self.caller_server = ExchangeServer(
            CallerHandler(self.requests), limits, numbers
        )
        _listen_on(self.caller_server, settings.caller)
        self.passing_server = ExchangeServer(
            PassedHandler(self.requests),
            limits,
            numbers,
            ssl_options=self.tls.server if self.tls else None,
        )
        _listen_on(self.passing_server, settings.passing)
        application = operator_application(
            self.engine, self.desk, OperatorTokens(settings.operator_tokens)
        )
        self.operator_server = HTTPServer(
            application, max_body_size=_MAX_OPERATOR_BODY
        )
        _listen_on(self.operator_server, settings.operator)
        service = PeerService(self.engine, self.sync.cache.read)
        self.peer_server = await start_peer_server(
            service, settings.peer, self.tls.server if self.tls else None
        )

    async def _tick(self) -> None:
        while True:
            self.engine.tick()
            await asyncio.sleep(self.settings.tick)

    async def _reload(self) -> None:
        while True:
            await asyncio.sleep(_RELOAD_INTERVAL)
            self._load_certificates()

    async def _close(self) -> None:
        _LOG.info('leaving')
        for task in self.tasks:
            task.cancel()
        self.sync.stop()
        await self.peers.flush(_FLUSH_TIMEOUT)
        for server in (
            self.caller_server,
            self.passing_server,
            self.operator_server,
        ):
            if server:
                server.stop()
        for exchange_server in (self.caller_server, self.passing_server):
            if exchange_server:
                await self._end_connections(exchange_server)
        if self.peer_server:
            await stop_peer_server(self.peer_server)
        self.peers.close()

    async def _end_connections(self, server: ExchangeServer) -> None:
        """Close connections once what was answered on them has been sent."""
        server.refuse_unread(ResultCode.ENTRY_LEAVING)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_FLUSH_TIMEOUT):
                await server.flush()
        await server.close_connections()


def main() -> None:
    """Run the daemon with flags and environment variables."""
    fire.Fire(serve, name='worksraild')


def serve(*, check: bool = False, **flags: Any) -> None:
    """Check the settings, then serve; ``--check`` only checks."""
    settings = load_settings(flags)
    if not isinstance(settings, DaemonSettings):
        _exit_with_faults(settings)
    if check:
        sys.stdout.write('the settings are valid\n')
        return
    install_logs(settings.name, settings.log_level)
    run_serving(_serve(settings))


async def _serve(settings: DaemonSettings) -> None:
    keep_signals_from_threads(asyncio.get_running_loop())
    await Daemon.from_settings(settings).run()
    hold_last_signals()


def _exit_with_faults(faults: list[SettingFault]) -> NoReturn:
    code = ResultCode.INVALID_SETTINGS
    document = {
        'result': code.number,
        'meaning': code.value.meaning,
        'faults': [
            {'setting': fault.setting, 'problem': fault.problem}
            for fault in faults
        ],
    }
    sys.stderr.write(json.dumps(document, indent=2) + '\n')
    sys.exit(code.value.exit_code)


def _create_engine(settings: DaemonSettings, stopped: asyncio.Event) -> Engine:
    who = Incarnation(
        settings.name, time.time_ns() // _NANOSECONDS_PER_MILLISECOND
    )
    core = CoreSettings(
        heartbeat_interval=settings.heartbeat,
        heartbeat_fanout=settings.heartbeat_fanout,
        pause_limit=settings.pause_limit,
        reclaim_after=settings.reclaim_after,
        fingerprint_key=settings.ticket_secrets.partition(',')[0].encode(),
    )
    endpoints = Endpoints(
        settings.caller, settings.operator, settings.peer, settings.passing
    )
    instance = Instance.from_settings(
        who,
        Place(settings.zone, settings.region),
        endpoints,
        core,
        now=_clock.monotonic(),
        seed=settings.seed or time.time_ns(),
    )
    return Engine(
        instance,
        Timeline(who.label, _clock.wall),
        Metrics.from_registry(CollectorRegistry()),
        stopped.set,
    )


def _listen_on(server: ExchangeServer | HTTPServer, address: str) -> None:
    host, _, port = address.partition(':')
    server.listen(int(port), host)


def _parse_delays(text: str) -> dict[str, float]:
    pairs = [part.partition('=') for part in text.split(',') if part]
    return {region: float(seconds) for region, _, seconds in pairs}
