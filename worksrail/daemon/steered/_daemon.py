"""The process of one entry with discovered upstreams."""

import asyncio
import contextlib
import itertools
import json
import sys
import time
from collections.abc import Coroutine, Iterator
from dataclasses import dataclass, field
from typing import Any, Final

from logbook import Logger

from worksrail.core.identity import Incarnation
from worksrail.core.results import ResultCode
from worksrail.core.steering import (
    EntrySettings,
    RoutingConfiguration,
    SteeringState,
    effects,
    exits_at,
)
from worksrail.core.steering.events import SettingsReloaded, StopRequested
from worksrail.core.steering.kinds import StoreKind
from worksrail.daemon import _clock
from worksrail.daemon._logs import LineSink, install_logs
from worksrail.daemon._loop import run_serving
from worksrail.daemon._service_manager import notify_ready
from worksrail.daemon._signals import (
    hold_last_signals,
    keep_signals_from_threads,
    take_signals,
)
from worksrail.daemon.http._connections import ConnectionPool
from worksrail.daemon.http._held_bytes import HeldBytes
from worksrail.daemon.http._server import (
    ExchangeHandler,
    ExchangeServer,
    HttpLimits,
)
from worksrail.daemon.steered._adapter import Adapter, InvalidSettingsError
from worksrail.daemon.steered._checking import StoreChecker
from worksrail.daemon.steered._decisions import DecisionLog
from worksrail.daemon.steered._digests import DigestPort
from worksrail.daemon.steered._discovering import EntryRecords
from worksrail.daemon.steered._engine import Runner, SteeringEngine
from worksrail.daemon.steered._following import Follower
from worksrail.daemon.steered._metrics import SteeringMetrics
from worksrail.daemon.steered._peers import (
    NewsClient,
    NewsHandler,
    PeerHandler,
)
from worksrail.daemon.steered._ports import (
    LookUpHandler,
    MetricsHandler,
    ReadinessHandler,
)
from worksrail.daemon.steered._probing import PathProber
from worksrail.daemon.steered._requests import SteeredRequests

_LOG: Final = Logger('worksrail.daemon')
# Interval in seconds of decisions that depend on time alone.
_TICK_INTERVAL: Final = 0.1
# Timeout in seconds for closing connections at exit.
_CLOSE_TIMEOUT: Final = 0.1
# Maximum seconds for which the exit waits for callers that read slowly.
_MAX_FLUSH_TIME: Final = 5.0
# Interval in seconds of reloading the settings and summarising the log.
_HOUSEKEEPING_INTERVAL: Final = 1.0
# Port of the metrics, at the host of the readiness checks.
_METRICS_PORT: Final = 9464
_MICROSECONDS: Final = 1_000_000
# Position of the server for other entries among all servers.
_PEER_SERVER: Final = 2
# Bytes by which the headers grow when a request is passed on.
_MAX_TERMS_BYTES: Final = 4096


@dataclass(slots=True)
class SteeredDaemon:
    """All parts of one process."""

    adapter: Adapter
    """Translators of the platform."""

    engine: SteeringEngine
    """Runs events, state and effects."""

    requests: SteeredRequests
    """Requests in progress."""

    digests: DigestPort
    """Exchanges messages with other entries."""

    followers: tuple[Follower, ...]
    """Watch the store, one for each kind of object."""

    checker: StoreChecker
    """Checks whether the store answers."""

    turn: asyncio.Event
    """Set while this entry is one of those that read the store."""

    decisions: DecisionLog
    """Logs decisions."""

    sink: LineSink
    """Writes log lines."""

    stopped: asyncio.Event
    """Set when a graceful stop is complete."""

    servers: list[ExchangeServer] = field(default_factory=list)
    """Listening servers; the first one is for callers."""

    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    """Background tasks."""

    held: HeldBytes = field(default_factory=HeldBytes)
    """Bytes of requests and answers that it holds, over the servers that
    forward requests."""

    numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    """Numbers of requests, over all servers."""

    failed: bool = False
    """Whether a background task failed, which ends the process."""

    @classmethod
    def from_adapter(
        cls,
        adapter: Adapter,
        settings: EntrySettings,
        sink: LineSink,
    ) -> 'SteeredDaemon':
        """Create all parts without listening yet."""
        who = Incarnation(settings.name, time.time_ns() // _MICROSECONDS)
        state = SteeringState.from_settings(
            settings, who, _clock.monotonic(), time.time_ns()
        )
        engine = SteeringEngine(state)
        requests = SteeredRequests(
            engine,
            adapter,
            ConnectionPool(engine.now),
            ConnectionPool(engine.now),
        )
        metrics = SteeringMetrics.create()
        requests.count_error = metrics.attempt_errors.inc
        store = adapter.open_store(settings.store, metrics.count_call)
        turn = asyncio.Event()
        daemon = cls(
            adapter,
            engine,
            requests,
            DigestPort(engine),
            tuple(
                Follower(
                    engine,
                    store,
                    kind,
                    turn=turn,
                    count_unusable=metrics.count_unusable,
                )
                for kind in StoreKind
            ),
            StoreChecker(engine, store),
            turn,
            DecisionLog(requests.trace_of, metrics),
            sink,
            asyncio.Event(),
        )
        engine.runners = daemon.effect_runners()
        return daemon

    def effect_runners(self) -> dict[type, Runner]:
        """Return the function that runs each type of effect."""
        news = NewsClient(self.engine, ConnectionPool(self.engine.now))
        records = EntryRecords(self.engine, self.checker.store)
        return {
            effects.SendUpstream: self.requests.send_upstream,
            effects.PassRequest: self.requests.pass_request,
            effects.ProbeUpstream: PathProber(
                self.engine, self.adapter.upstreams
            ).probe,
            effects.AnswerResult: self.requests.answer_result,
            effects.CancelAttempt: self.requests.cancel,
            effects.DropConnections: self.requests.drop_connections,
            effects.SendDigest: self.digests.send,
            effects.SendLimitMessage: self.digests.send_limit_message,
            effects.SendPacingMessage: self.digests.send_pacing_message,
            effects.WatchStore: self.follow,
            effects.ListStore: self.list_store,
            effects.CheckStore: self.check_store,
            effects.ReadEntryAddresses: records.read,
            effects.WriteEntryAddresses: records.write,
            effects.RestartStoreCalls: self.restart_calls,
            effects.FetchStoreUpdate: news.fetch,
            effects.Decision: self.decisions.write,
            effects.ExitProcess: lambda _: self.stopped.set(),
        }

    def follow(self, effect: effects.WatchStore) -> None:
        """Start or stop watching the store."""
        if effect.active:
            self.turn.set()
        else:
            self.turn.clear()

    def list_store(self, effect: effects.ListStore) -> None:
        """Read all objects of the store once, each kind separately."""
        for follower in self.followers:
            self._start_task(follower.list_once())

    def check_store(self, _: effects.CheckStore) -> None:
        """Start a health check of the store."""
        self._start_task(self.checker.check())

    def restart_calls(self, _: effects.RestartStoreCalls) -> None:
        """Restart the calls to the store that are waiting."""
        for follower in self.followers:
            follower.restart_call()

    async def run(self) -> None:
        """Serve until a graceful stop is complete."""
        settings = self.engine.state.settings
        await self.digests.open(settings.addresses.peer)
        self._listen(settings)
        self.begin_work()
        loop = asyncio.get_running_loop()
        take_signals(loop, self.stop, self.reload_on_signal)
        self._start_task(notify_ready())
        _LOG.info('started', extra={'incarnation': self.engine.state.who.label})
        await self.stopped.wait()
        await self._close()

    def begin_work(self) -> None:
        """Start the background tasks, which run until they are cancelled."""
        work = [follower.run() for follower in self.followers]
        for task in (*work, self._tick(), self._run_housekeeping()):
            self._start_task(task)

    def stop(self) -> None:
        """Start a graceful stop."""
        self.engine.dispatch(StopRequested(self.engine.now()))

    def reload_on_signal(self) -> None:
        """Reload the settings on SIGHUP."""
        _LOG.info('reload asked for')
        self.reload()

    def reload(self) -> None:
        """Reload the settings; invalid ones are logged and ignored."""
        try:
            settings = self.adapter.read_settings()
        except InvalidSettingsError as fault:
            _LOG.warning('settings not reloaded', extra={'problem': str(fault)})
            return
        if settings != self.engine.state.settings:
            self.engine.dispatch(SettingsReloaded(self.engine.now(), settings))
            self.held.maximum = settings.limits.max_held_bytes
            _LOG.info(
                'settings reloaded', extra={'seeds': ','.join(settings.seeds)}
            )

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_end)

    def _on_task_end(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        # Without its timer or its store watches, an entry would keep serving
        # with outdated state; a restart of the process is better.
        if not task.cancelled() and task.exception():
            _LOG.critical(
                'background task failed',
                exc_info=task.exception(),
            )
            self.failed = True
            self.stopped.set()

    def _listen(self, settings: EntrySettings) -> None:
        self.held.maximum = settings.limits.max_held_bytes
        dialect = self.adapter.callers
        addresses = settings.addresses
        self._serve(addresses.caller, self.requests)
        self._serve(addresses.readiness, ReadinessHandler(self.engine, dialect))
        self._serve(
            addresses.peer,
            PeerHandler(NewsHandler(self.engine), self.requests),
        )
        self._serve(addresses.look_up, LookUpHandler(self.engine, dialect))
        host = addresses.readiness.partition(':')[0]
        metrics = MetricsHandler(
            self.engine, self.decisions.metrics, self.sink, self.held
        )
        try:
            self._serve(f'{host}:{_METRICS_PORT}', metrics)
        except OSError as error:
            # Requests can be served without metrics.
            _LOG.warning('metrics not served', extra={'problem': str(error)})

    def _serve(self, address: str, handler: ExchangeHandler) -> None:
        server = ExchangeServer(
            handler,
            HttpLimits(),
            self.numbers,
            self.adapter.callers,
            self.held,
        )
        host, _, port = address.partition(':')
        server.listen(int(port), host)
        self.servers.append(server)

    async def _tick(self) -> None:
        while True:
            self.engine.tick()
            self.requests.end_overdue()
            await asyncio.sleep(_TICK_INTERVAL)

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(_HOUSEKEEPING_INTERVAL)
            self._log_summaries()
            self._log_full_memory()
            self._log_departures()
            self.sink.flush()
            # The settings file may change without a signal.
            self.reload()
            self._apply_caller_limits()

    def _log_summaries(self) -> None:
        self.decisions.summarise()
        self.decisions.log_sends(self.engine.state, self.engine.now())

    def _log_full_memory(self) -> None:
        refused = self.held.take_refused()
        if refused:
            _LOG.warning(
                'memory full',
                extra={
                    'requests': refused,
                    'held': self.held.held,
                    'maximum': self.held.maximum,
                },
            )

    def _log_departures(self) -> None:
        for server in self.servers:
            connections, size = server.open.unread.take()
            if connections:
                _LOG.info(
                    'callers-left',
                    extra={'connections': connections, 'bytes': size},
                )

    def _apply_caller_limits(self) -> None:
        configuration = self.engine.state.configuration
        if isinstance(configuration, RoutingConfiguration):
            limits = configuration.limits
            self.servers[0].limits = HttpLimits(
                header_bytes=limits.header_bytes,
                body_bytes=limits.body_bytes,
                # Tornado has one timeout for idle connections and for headers.
                header_seconds=max(limits.idle_time, limits.header_time),
            )
            # Requests that other entries pass on are as large as callers'.
            self.servers[_PEER_SERVER].limits = HttpLimits(
                header_bytes=limits.header_bytes + _MAX_TERMS_BYTES,
                body_bytes=limits.body_bytes,
            )

    async def _close(self) -> None:
        self._log_summaries()
        _LOG.info('stopped')
        for task in tuple(self.tasks):
            task.cancel()
        for server in self.servers:
            server.stop()
            server.refuse_unread(ResultCode.ENTRY_LEAVING)
        await self._flush()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CLOSE_TIMEOUT):
                for listening in self.servers:
                    await listening.close_connections()
        self.digests.close()

    async def _flush(self) -> None:
        """Let callers that read slowly have the ends of their answers."""
        state = self.engine.state
        left = exits_at(state) - self.engine.now() if state.leaving else 0
        seconds = max(_CLOSE_TIMEOUT, min(left, _MAX_FLUSH_TIME))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                for server in self.servers:
                    await server.flush()


def serve(adapter: Adapter) -> None:
    """Run an entry with the settings of the adapter until it is stopped."""
    try:
        settings = adapter.read_settings()
    except InvalidSettingsError as fault:
        code = ResultCode.INVALID_SETTINGS
        document = {'result': code.number, 'problem': str(fault)}
        sys.stderr.write(json.dumps(document) + '\n')
        sys.exit(code.value.exit_code)
    sink = install_logs(settings.name, 'INFO')
    run_serving(_serve(adapter, settings, sink))


async def _serve(
    adapter: Adapter,
    settings: EntrySettings,
    sink: LineSink,
) -> None:
    keep_signals_from_threads(asyncio.get_running_loop())
    daemon = SteeredDaemon.from_adapter(adapter, settings, sink)
    await daemon.run()
    hold_last_signals()
    if daemon.failed:
        sys.exit(1)
