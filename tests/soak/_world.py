"""The programs of a soak: entries as processes, a store, upstreams."""

import asyncio
import json
import os
import random
import signal
import sys
from contextlib import closing, suppress
from pathlib import Path
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from tests.hangups import keep_hangups
from tests.platform.test_decoding import CONFIGURATION, SETTINGS
from tests.soak._cuts import Cut
from tests.soak._owners import owner_of
from tests.soak._promises import Arrival, Crash, Witness
from tests.soak._proxy import Link, Proxy
from tests.soak._repeats import Budget
from tests.soak._slot_queue import SlotQueue
from tests.soak._statements import Met, Stated
from tests.soak._stops import Stop, Work
from tests.soak._turns import Turns
from tests.soak._upstreams import Upstream
from worksrail.core.steering import SteeringBounds
from worksrail.standins.objects import ObjectStore, application

_ROOT = Path(__file__).resolve().parents[2]
_PORTS = ('Front', 'Ready', 'Control', 'Directory')
# Services by route; the unsafe route moves between its two.
SERVICES = {
    'w': frozenset(('a', 'c')),
    'r': frozenset(('a', 'b')),
    'u': frozenset('a'),
    'l': frozenset('a'),
}
# Seconds of the grace period of an entry where no bound is set.
_GRACE = SteeringBounds().grace_period
# Seconds for which an upstream that crashed refuses connections.
_AWAY = 1.5
# Seconds that a process may take to end once it was told to.
_LAST_END = 30.0
# Seconds after which an entry that ended by itself is started again.
_RESTART_DELAY = 0.3


class SoakWorld:
    """Everything that a soak starts, and ends again by its id."""

    def __init__(
        self,
        folder: Path,
        entries: int,
        seed: int,
        budget: Budget,
    ) -> None:
        """Prepare; nothing runs yet."""
        self.folder = folder
        self.rng = random.Random(seed)
        self.clock = asyncio.get_running_loop().time
        self.witness = Witness(dict(SERVICES), budget)
        self.turns: Turns | None = None
        self.store = ObjectStore()
        self.server = HTTPServer(application(self.store))
        self.version = 7
        self.lives = 0
        self.hosts = [f'127.0.1.{number + 2}' for number in range(entries)]
        *self.ports, self.inner = free_ports(len(_PORTS) + 1)
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.watches: dict[str, asyncio.Task[None]] = {}
        self.restarting: set[str] = set()
        self.stopping: set[str] = set()
        self.grace = _GRACE
        self.store_links: dict[str, Proxy] = {}
        self.upstreams: list[Upstream] = []
        self.upstream_links: list[Proxy] = []
        self.returns: set[asyncio.Task[None]] = set()

    async def open(self, services: str) -> None:
        """Start everything, with an upstream for each letter."""
        socket, port = bind_unused_port()
        self.server.add_socket(socket)
        self.configure('a')
        for service in services:
            await self._add_upstream(service)
        for host in self.hosts:
            link = Proxy(f'127.0.0.1:{port}')
            self.store_links[host] = await link.open()
            await self.start(host)

    async def close(self) -> None:
        """End everything."""
        for watch in self.watches.values():
            watch.cancel()
        await asyncio.gather(*self.watches.values(), return_exceptions=True)
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for task in self.returns:
            task.cancel()
        for closable in (
            *self.upstreams,
            *self.upstream_links,
            *self.store_links.values(),
        ):
            closable.close()
        self.server.stop()

    # -- entries

    async def start(self, host: str) -> None:
        """Start an entry."""
        self.witness.disturbed[host].append(self.clock())
        path = self.folder / f'{host}.json'
        path.write_text(json.dumps(self._settings(host)))
        log = (self.folder / f'{host}.log').open('ab')
        with closing(log):
            self.processes[host] = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'worksrail.platform',
                env={'WORKSRAIL_CONFIG': str(path), 'PATH': ''},
                cwd=_ROOT,
                stdout=log,
                stderr=log,
                preexec_fn=keep_hangups,
            )
        self.watches[host] = asyncio.ensure_future(self._watch(host))

    async def restart(self, host: str, number: signal.Signals) -> int:
        """End an entry by a signal and start it again; gives its exit code."""
        self.restarting.add(host)
        self.watches[host].cancel()
        process = self.processes[host]
        had_ended = process.returncode is not None
        begin = self.clock()
        self.signal(host, number)
        self.stopping.add(host)
        async with asyncio.timeout(_LAST_END):
            code = await process.wait()
        self.stopping.discard(host)
        if number is signal.SIGTERM:
            self.witness.stops.stops.append(
                Stop(host, begin, self.clock(), self.grace)
            )
        if had_ended or (number is signal.SIGKILL and code != -number):
            self.witness.ends.append((host, code))
        await self.start(host)
        self.witness.out_of_touch[host].append((begin, self.clock()))
        self.restarting.discard(host)
        return code

    def signal(self, host: str, number: signal.Signals) -> None:
        """Send a signal to an entry that runs."""
        process = self.processes[host]
        if process.returncode is None:
            # The process's own method may reap it before the loop does, and
            # its exit code is lost.
            with suppress(ProcessLookupError):
                os.kill(process.pid, number)

    def front(self, host: str) -> str:
        """Address for callers of an entry."""
        return f'{host}:{self.ports[0]}'

    async def _watch(self, host: str) -> None:
        """Start an entry again that ends without having been told to."""
        code = await self.processes[host].wait()
        self.restarting.add(host)
        self.witness.ends.append((host, code))
        await asyncio.sleep(_RESTART_DELAY)
        await self.start(host)
        self.restarting.discard(host)

    def _settings(self, host: str) -> dict[str, Any]:
        settings: dict[str, Any] = json.loads(json.dumps(SETTINGS))
        listen = {
            name: f'{host}:{port}'
            for name, port in zip(_PORTS, self.ports, strict=True)
        }
        seeds = [f'{other}:1' for other in self.hosts[:3]]
        store = {'Address': self.store_links[host].address}
        # The last value of a name counts.
        bounds = [
            *settings['Bounds'],
            *self.witness.budget.settings,
            f'GracePeriodS={self.grace}',
        ]
        return settings | {
            'NodeName': f'front-{host}',
            'Ip': host,
            'InternalPortRange': [self.inner, self.inner],
            'Seeds': seeds,
            'Platform': store,
            'Bounds': bounds,
            'Listen': listen,
        }

    # -- links between entries and upstreams

    def cut(self, host: str, link: Link) -> None:
        """Disturb all links of an entry to upstreams."""
        self.witness.cuts.append(Cut(host, self.clock()))
        for one in self.upstream_links:
            one.cut(host, link)

    def mend(self, host: str) -> None:
        """Restore the links of an entry to upstreams."""
        self.witness.end_cuts(host, self.clock())
        for one in self.upstream_links:
            one.cuts.pop(host, None)

    def _entry_at(self, port: int) -> str:
        """The entry that connects from a port; empty if it is not known."""
        running = {
            process.pid: host
            for host, process in self.processes.items()
            if process.returncode is None
        }
        return running.get(owner_of(port, running) or 0, '')

    # -- what the store holds

    def configure(self, service: str) -> None:
        """Write a new configuration, in which writes go to a service."""
        self.version += 1
        self.store.put('config', 'main', self.document(service))

    def document(self, service: str) -> dict[str, Any]:
        """Return the configuration in which writes go to a service."""
        document: dict[str, Any] = json.loads(json.dumps(CONFIGURATION))
        document['Version'] = f'r{self.version}'
        write, read = document['Routes']['Rows']
        write[7] = service
        read[10] = []
        rows = document['Services']['Rows']
        third = list(rows[0])
        third[document['Services']['Columns'].index('Name')] = 'c'
        rows.append(third)
        return document

    def slot_queue(self) -> SlotQueue:
        """Return the slots of a new upstream."""
        return SlotQueue()

    def list_upstream(self, number: int, state: str) -> None:
        """Write the entry of an upstream."""
        upstream = self.upstreams[number]
        info = {
            'Service': upstream.service,
            'Version': 'v1',
            'Zone': 'z1',
            'Slots': upstream.slot_queue.slots or 9,
        }
        self.lives += 1
        status = {
            'State': state,
            'Sequence': self.lives,
            'ColdRemainingS': 0,
        }
        spec = {'Address': self.address_of(number), 'Info': info}
        self.store.put('servers', upstream.name, spec, status)

    def address_of(self, number: int) -> str:
        """Return the address at which entries reach an upstream."""
        return self.upstream_links[number].address

    def unlist_upstream(self, number: int) -> None:
        """Remove the entry of an upstream."""
        self.store.remove('servers', self.upstreams[number].name)

    def rename_upstream(self, number: int) -> None:
        """Another upstream moves in at the same address."""
        self.lives += 1
        self.upstreams[number].name = f'i-{self.lives}'

    def turn(self) -> int:
        """Number of the turn of callers that move."""
        return self.turns.number(self.clock()) if self.turns else 0

    def _rejecting(self) -> bool:
        return self.turns is not None and self.turns.rejecting(self.clock())

    def _meet(
        self, upstream: Upstream, trace: str, meant: bool, port: int
    ) -> None:
        arrivals = self.witness.arrivals if meant else self.witness.misdirected
        now = self.clock()
        arrivals.append(Arrival(upstream.name, trace, now, upstream.service))
        if meant:
            entry = self._link_to(upstream).of_ports.get(port, '')
            self.witness.met.append(Met(upstream.name, entry, trace, now))

    def _work(self, upstream: Upstream, trace: str, port: int) -> Work:
        entry = self._link_to(upstream).of_ports.get(port, '')
        work = Work(trace, entry, self.clock())
        self.witness.stops.works.append(work)
        return work

    def _state(self, upstream: Upstream, trace: str, port: int) -> None:
        link = self._link_to(upstream)
        entry = link.of_ports.get(port, '')
        now = self.clock()
        if not entry or not link.is_sound(entry):
            return
        if upstream.backoff:
            self.witness.stated.append(
                Stated(upstream.name, entry, trace, now, upstream.backoff)
            )
        if upstream.leaving:
            self.witness.stated.append(Stated(upstream.name, entry, trace, now))

    def _link_to(self, upstream: Upstream) -> Proxy:
        return self.upstream_links[self.upstreams.index(upstream)]

    def _crash(self, upstream: Upstream, trace: str) -> None:
        """An upstream breaks all connections and is away for a while."""
        self.witness.crashes.append(Crash(trace, self.clock()))
        link = self._link_to(upstream)
        link.close()
        upstream.abort_all()
        self.returns.add(asyncio.ensure_future(_come_back(link)))

    async def _add_upstream(self, service: str) -> None:
        number = len(self.upstreams)
        upstream = Upstream(
            service,
            f'i-first-{number}',
            lambda one: self.witness.executed[one.trace].append(one),
            random.Random(self.rng.random()),
            self._crash,
            self._meet,
            self._rejecting,
            self._state,
            work=self._work,
            slot_queue=self.slot_queue(),
        )
        self.upstreams.append(await upstream.open())
        link = Proxy(upstream.address, entry_at=self._entry_at)
        await link.open()
        self.upstream_links.append(link)
        self.list_upstream(number, 'ready')


async def _come_back(link: Proxy) -> None:
    await asyncio.sleep(_AWAY)
    await link.open()


def free_ports(count: int) -> list[int]:
    """Return different ports that nobody uses now."""
    # All are bound before one is closed: the kernel may draw a closed one again.
    bound = [bind_unused_port(address='127.0.0.1') for _ in range(count)]
    for sock, _ in bound:
        sock.close()
    return [port for _, port in bound]
