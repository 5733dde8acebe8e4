"""One entry with discovered upstreams, from its settings to its end."""

import asyncio
import contextlib
import itertools
import json
import signal
import sys
import time
from dataclasses import dataclass, field
from typing import Final

from logbook import Logger

from worksrail.core.identity import Incarnation
from worksrail.core.results import ResultCode
from worksrail.core.steering import EntrySettings, SteeringState
from worksrail.core.steering.effects import (
    AnswerResult,
    CancelAttempt,
    Decision,
    ExitProcess,
    SendDigest,
    SendUpstream,
)
from worksrail.core.steering.events import StopRequested, StoreKind
from worksrail.daemon import _clock
from worksrail.daemon._logs import install_logs
from worksrail.daemon.http._connections import ConnectionPool
from worksrail.daemon.http._server import (
    ExchangeHandler,
    ExchangeServer,
    HttpLimits,
)
from worksrail.daemon.steered._adapter import Adapter, SettingsFaultError
from worksrail.daemon.steered._decisions import DecisionLog
from worksrail.daemon.steered._digests import DigestPort
from worksrail.daemon.steered._engine import SteeringEngine
from worksrail.daemon.steered._following import Follower
from worksrail.daemon.steered._ports import LookUpHandler, ReadinessHandler
from worksrail.daemon.steered._requests import SteeredRequests

_LOG: Final = Logger('worksrail.daemon')
# Seconds between two rounds of decisions that only time makes due.
_TICK: Final = 0.05
# Seconds that closing connections may take at the end.
_LAST_CLOSES: Final = 0.1
_MICROSECONDS: Final = 1_000_000


@dataclass(slots=True)
class SteeredDaemon:
    """All parts of one process."""

    adapter: Adapter
    """Translates for the platform."""

    engine: SteeringEngine
    """Events, state and effects."""

    requests: SteeredRequests
    """Requests under way."""

    digests: DigestPort
    """Digests of other entries."""

    followers: tuple[Follower, ...]
    """Follow the store."""

    stopped: asyncio.Event
    """Set when a graceful stop is complete."""

    servers: list[ExchangeServer] = field(default_factory=list)
    """Servers that listen."""

    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    """Work in the background."""

    @classmethod
    def from_adapter(
        cls,
        adapter: Adapter,
        settings: EntrySettings,
    ) -> 'SteeredDaemon':
        """Build all parts; nothing listens yet."""
        who = Incarnation(settings.name, time.time_ns() // _MICROSECONDS)
        state = SteeringState.from_settings(
            settings, who, _clock.monotonic(), time.time_ns()
        )
        engine = SteeringEngine(state)
        requests = SteeredRequests(engine, adapter, ConnectionPool(engine.now))
        digests = DigestPort(engine)
        store = adapter.open_store(settings.store, _no_count)
        followers = tuple(Follower(engine, store, kind) for kind in StoreKind)
        stopped = asyncio.Event()
        engine.runners = {
            SendUpstream: requests.send_upstream,
            AnswerResult: requests.answer_result,
            CancelAttempt: requests.cancel,
            SendDigest: digests.send,
            Decision: DecisionLog(requests.trace_of).write,
            ExitProcess: lambda _: stopped.set(),
        }
        return cls(adapter, engine, requests, digests, followers, stopped)

    async def run(self) -> None:
        """Serve until a graceful stop is complete."""
        settings = self.engine.state.settings
        await self.digests.open(settings.addresses.peer)
        self._listen(settings)
        self.tasks = [
            asyncio.ensure_future(follower.run()) for follower in self.followers
        ]
        self.tasks.append(asyncio.ensure_future(self._tick()))
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        _LOG.info('started', extra={'incarnation': self.engine.state.who.label})
        await self.stopped.wait()
        await self._close()

    def stop(self) -> None:
        """Begin a graceful stop."""
        self.engine.dispatch(StopRequested(self.engine.now()))

    def reload(self) -> None:
        """Read the settings again; unusable ones change nothing."""
        try:
            settings = self.adapter.read_settings()
        except SettingsFaultError as fault:
            _LOG.warning('settings not reloaded', extra={'problem': str(fault)})
            return
        self.engine.state.settings = settings
        _LOG.info('settings reloaded')

    def _listen(self, settings: EntrySettings) -> None:
        dialect = self.adapter.callers
        addresses = settings.addresses
        self._serve(addresses.caller, self.requests)
        self._serve(
            addresses.readiness, ReadinessHandler(self.engine, dialect)
        )
        self._serve(addresses.look_up, LookUpHandler(self.engine, dialect))

    def _serve(self, address: str, handler: ExchangeHandler) -> None:
        numbers = itertools.count(1)
        server = ExchangeServer(
            handler, HttpLimits(), numbers, self.adapter.callers
        )
        host, _, port = address.partition(':')
        server.listen(int(port), host)
        self.servers.append(server)

    async def _tick(self) -> None:
        while True:
            self.engine.tick()
            await asyncio.sleep(_TICK)

    async def _close(self) -> None:
        _LOG.info('stopped')
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.stop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_LAST_CLOSES):
                for closing in self.servers:
                    await closing.close_connections()
        self.digests.close()


def serve(adapter: Adapter) -> None:
    """Serve with the settings that the adapter reads, until stopped."""
    try:
        settings = adapter.read_settings()
    except SettingsFaultError as fault:
        code = ResultCode.INVALID_SETTINGS
        document = {'result': code.number, 'problem': str(fault)}
        sys.stderr.write(json.dumps(document) + '\n')
        sys.exit(code.value.exit_code)
    install_logs(settings.name, 'INFO')
    asyncio.run(_serve(adapter, settings))


async def _serve(adapter: Adapter, settings: EntrySettings) -> None:
    await SteeredDaemon.from_adapter(adapter, settings).run()


def _no_count(kind: str) -> None:
    """Count nothing."""
