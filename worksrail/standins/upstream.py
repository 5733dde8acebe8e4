"""Stand-in of upstreams: slots, queue, cold start, shedding, misbehaviour.

``python -m worksrail.standins.upstream --plan=FILE`` serves all upstreams
that the plan file lists, each on its own address, in one process.
"""

import asyncio
import hashlib
import json
import random
import time
from collections import Counter
from dataclasses import asdict, dataclass, field, fields
from pathlib import Path
from typing import Any, Final

import fire
import msgspec
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler, stream_request_body

_SHED_STATUS: Final = 503
_BODY_LIMIT: Final = 256 * 1024 * 1024


class UpstreamPlan(msgspec.Struct):
    """One upstream of a plan file."""

    name: str
    """Its name."""

    address: str
    """IP number and port."""

    slots: int
    """Requests it executes at once."""

    service_time: float
    """Median time of an execution in seconds."""

    spread: float = 0.25
    """Spread of the execution times (sigma of a log-normal)."""

    queue: int = 16
    """Requests that wait before it sheds."""

    cold_factor: float = 1
    """Times slower while it is cold."""

    cold_requests: int = 0
    """Executions after which it is warm."""

    seed: int = 1
    """Seed of the execution times."""


@dataclass(slots=True)
class UpstreamFaults:
    """Misbehaviour that can be injected."""

    slow: float = 1
    """Factor on execution times."""

    report: str = 'true'
    """``true``, ``zero``, ``full``, ``frozen`` or ``none``."""

    shed: bool = False
    """Refuse everything as not run."""

    truncate: bool = False
    """Break off in the middle of each answer."""

    no_length: bool = False
    """Answer without length, until the connection closes."""

    late: float = 0
    """Seconds by which each answer is late."""

    break_before_answer: bool = False
    """Execute, then close the connection without an answer."""

    leaving: bool = False
    """Say in each answer that it leaves."""

    backoff: float = 0
    """Seconds that it asks for when it refuses a request."""


@dataclass(slots=True)
class UpstreamState:
    """One upstream at work."""

    plan: UpstreamPlan
    """What it is like."""

    rng: random.Random
    """Source of execution times."""

    free: asyncio.Semaphore
    """Free slots."""

    faults: UpstreamFaults = field(default_factory=UpstreamFaults)
    """Misbehaviour in force."""

    in_flight: int = 0
    """Requests that are executed."""

    waiting: int = 0
    """Requests that wait for a slot."""

    highest: int = 0
    """Most requests it ever had at once, waiting ones included."""

    executed: int = 0
    """Executions so far."""

    shed: int = 0
    """Requests refused as not run."""

    cancelled: int = 0
    """Executions that were cancelled."""

    keys: Counter[str] = field(default_factory=Counter)
    """Executions by idempotency key."""

    shifted: list[tuple[str, float, float]] = field(default_factory=list)
    """Home region, start and end of executions from other regions."""

    frozen: str = ''
    """Report that is repeated while frozen."""

    @classmethod
    def from_plan(cls, plan: UpstreamPlan) -> 'UpstreamState':
        """An upstream that has not served anything."""
        return cls(
            plan,
            random.Random(f'{plan.seed}/{plan.name}'),
            asyncio.Semaphore(plan.slots),
        )

    def execution_time(self) -> float:
        """Draw the time of one execution."""
        factor = self.rng.lognormvariate(0, self.plan.spread)
        if self.executed < self.plan.cold_requests:
            factor *= self.plan.cold_factor
        return self.plan.service_time * factor * self.faults.slow

    def report(self) -> str:
        """The load report sent with answers."""
        kind = self.faults.report
        true = f'{self.in_flight + self.waiting}/{self.plan.slots}'
        if kind != 'frozen':
            self.frozen = true
        reports = {
            'zero': f'0/{self.plan.slots}',
            'full': f'{self.plan.slots}/{self.plan.slots}',
            'none': '',
        }
        return reports.get(kind, self.frozen)

    def summary(self) -> dict[str, Any]:
        """Counters for tests and the demo."""
        return {
            'name': self.plan.name,
            'slots': self.plan.slots,
            'highest': self.highest,
            'executed': self.executed,
            'shed': self.shed,
            'cancelled': self.cancelled,
            'in_flight': self.in_flight,
            'doubled': sum(1 for count in self.keys.values() if count > 1),
            'keys': dict(self.keys),
        }


@stream_request_body
class ServiceHandler(RequestHandler):
    """Executes a request: waits for a slot, takes its time, answers."""

    def initialize(self, state: UpstreamState) -> None:
        """Take the state."""
        self.state = state
        self.digest = hashlib.sha256()
        self.size = 0
        self.gone = asyncio.Event()

    def prepare(self) -> None:
        """Name the request in the answer."""
        trace = self.request.headers.get('Worksrail-Trace', '')
        self.set_header('Worksrail-Trace', trace)

    def data_received(self, chunk: bytes) -> None:
        """Read a part of the body."""
        self.digest.update(chunk)
        self.size += len(chunk)

    def on_connection_close(self) -> None:
        """The entry went away: the execution is cancelled."""
        self.gone.set()

    async def execute(self) -> None:
        """Execute one request."""
        state = self.state
        if state.faults.shed or state.waiting >= state.plan.queue:
            state.shed += 1
            self.set_header('Worksrail-Not-Run', 'true')
            self._state_availability()
            if state.faults.backoff:
                self.set_header('Retry-After', str(state.faults.backoff))
            self.set_status(_SHED_STATUS)
            self.finish()
            return
        state.waiting += 1
        state.highest = max(state.highest, state.waiting + state.in_flight)
        try:
            await state.free.acquire()
        finally:
            state.waiting -= 1
        state.in_flight += 1
        try:
            await self._work()
        finally:
            state.in_flight -= 1
            state.free.release()

    async def _work(self) -> None:
        state = self.state
        if self.gone.is_set():
            state.cancelled += 1
            return
        time_needed = state.execution_time()
        state.executed += 1
        begun = time.monotonic()
        key = self.request.headers.get('Idempotency-Key', '')
        if key:
            state.keys[key] += 1
        try:
            await asyncio.wait_for(self.gone.wait(), time_needed)
        except TimeoutError:
            self._note_shift(begun)
            await self._answer(key)
        else:
            self._note_shift(begun)
            state.cancelled += 1

    def _note_shift(self, begun: float) -> None:
        home = self.request.headers.get('Worksrail-Home')
        if home:
            self.state.shifted.append((home, begun, time.monotonic()))

    async def _answer(self, key: str) -> None:
        faults = self.state.faults
        if faults.late:
            await asyncio.sleep(faults.late)
        stream = self.request.connection.stream  # type: ignore[union-attr]
        if faults.break_before_answer:
            stream.close()
            return
        payload = self._payload(key)
        if faults.truncate or faults.no_length:
            length = (
                f'Content-Length: {len(payload)}\r\n' if faults.truncate else ''
            )
            head = f'HTTP/1.1 200 OK\r\n{length}\r\n'.encode()
            try:
                await stream.write(head + payload[: len(payload) // 2])
            except StreamClosedError:
                return
            stream.close()
            return
        report = self.state.report()
        if report:
            self.set_header('Worksrail-Load', report)
        self._state_availability()
        self.set_header('Content-Type', 'application/json')
        self.finish(payload)

    def _state_availability(self) -> None:
        if self.state.faults.leaving:
            self.set_header('Worksrail-Leaving', '1')

    def _payload(self, key: str) -> bytes:
        padding = int(self.get_query_argument('bytes', '0'))
        document = {
            'upstream': self.state.plan.name,
            'trace': self.request.headers.get('Worksrail-Trace', ''),
            'key': key,
            'path': self.request.uri,
            'body_bytes': self.size,
            'body_sha256': self.digest.hexdigest(),
            'padding': 'x' * padding,
        }
        return json.dumps(document).encode()

    get = execute
    post = execute
    put = execute
    delete = execute
    patch = execute
    options = execute

    async def head(self) -> None:
        """Execute a request without body in the answer."""
        await self.execute()


class AdminHandler(RequestHandler):
    """``/admin`` of the whole process."""

    def initialize(self, states: dict[str, UpstreamState]) -> None:
        """Take all upstreams."""
        self.states = states

    def get(self) -> None:
        """Tell counters, faults and start times."""
        starts = bool(self.get_query_argument('starts', ''))
        document = [
            {
                **state.summary(),
                'faults': asdict(state.faults),
                'shifted': state.shifted if starts else [],
            }
            for state in self.states.values()
        ]
        self.finish(msgspec.json.encode(document))

    def post(self) -> None:
        """Change faults of the named upstreams, or of all."""
        changes = msgspec.json.decode(self.request.body, type=dict[str, Any])
        chosen = changes.pop('names', list(self.states))
        if changes.pop('reset', False):
            for state in self.states.values():
                state.highest = 0
                state.shifted.clear()
        known = {one.name for one in fields(UpstreamFaults)}
        if not set(changes) <= known:
            self.send_error(400)
            return
        for name in chosen:
            for fault, setting in changes.items():
                setattr(self.states[name].faults, fault, setting)
        self.finish()


def _no_log(handler: RequestHandler) -> None:
    """The stand-in counts instead."""


async def _serve(plans: list[UpstreamPlan], admin: str) -> None:
    states = {plan.name: UpstreamState.from_plan(plan) for plan in plans}
    for state in states.values():
        application = Application(
            [(r'/.*', ServiceHandler, {'state': state})],
            log_function=_no_log,
        )
        _listen(application, state.plan.address)
    overview = Application(
        [(r'/admin', AdminHandler, {'states': states})], log_function=_no_log
    )
    _listen(overview, admin)
    await asyncio.Event().wait()


def _listen(application: Application, address: str) -> None:
    host, _, port = address.partition(':')
    server = HTTPServer(application, max_body_size=_BODY_LIMIT)
    server.listen(int(port), host)


def serve(plan: str, admin: str) -> None:
    """Serve all upstreams of a plan file until the process is ended."""
    plans = msgspec.json.decode(
        Path(plan).read_bytes(), type=list[UpstreamPlan]
    )
    asyncio.run(_serve(plans, admin))


if __name__ == '__main__':
    fire.Fire(serve)
