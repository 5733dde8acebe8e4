"""Simulates a fleet of entries whose upstreams crash under certain requests.

Callers send requests to random entries.  An upstream that starts a faulty
request crashes shortly after: all requests that it executes break, and it
refuses connections until it is up again.  The caller of a faulty request sends
it again after each answer, whatever the answer is.
"""

import random
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, unique

from tests.steering.fleet_world import STEP, FleetWorld
from tests.steering.world import HOST, of_type, upstream
from worksrail.core.results import ResultCode
from worksrail.core.steering.effects import AnswerResult, Effect, SendUpstream
from worksrail.core.steering.events import (
    AttemptEnded,
    AttemptOutcome,
    RequestArrived,
    SteeredHead,
)

# Seconds from the start of a faulty execution until its upstream crashes.
_CRASH_AFTER = 0.1
# Seconds of any other execution.
_EXECUTION = 0.4
# Seconds for which an upstream is down after a crash.
_DOWNTIME = 2.0
# Seconds after which a caller retries.
_RETRY_AFTER = 0.2
# Seconds that callers wait for an answer.
_CALLER_TIMEOUT = 2.5
# Maximum number of retries of a sound request that was not answered with
# success.
_MAX_RETRIES = 1


@unique
class WhileDown(Enum):
    """Behaviour of the address of an upstream while it is down."""

    REFUSES = 'no connection'
    RESETS = 'a connection that is reset at once'
    SILENT = 'a connection without any answer'


@dataclass(slots=True)
class Faults:
    """Faults of requests, upstreams and answers."""

    crashing: frozenset[str] = frozenset()
    """Targets of the requests that crash upstreams."""

    while_down: WhileDown = WhileDown.REFUSES
    """Behaviour of an upstream while it is down."""

    lost: float = 0
    """Share of answers that are lost since their connection breaks."""


@dataclass(slots=True)
class _Caller:
    target: str
    retries: int = 0
    faulty: bool = False


@dataclass(slots=True)
class _Execution:
    entry: str
    request: int
    attempt: int
    target: str
    begun_at: float
    ends_at: float


@dataclass(slots=True)
class _Upstream:
    down_until: float = 0
    executing: list[_Execution] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Send:
    """A request that reached an upstream."""

    at: float
    """Time of the simulation."""

    entry: str
    """Entry that sent it."""

    target: str
    """Path of the request."""


class CrashingWorld(FleetWorld):
    """A fleet with upstreams that crash, and callers."""

    def __init__(
        self,
        zones: dict[str, int],
        regions: dict[str, str],
        loss: float = 0,
        *,
        upstreams: int = 12,
        faults: Faults | None = None,
        rate: float = 0,
        paths: int = 0,
        seed: int = 1,
        with_look_ups: bool = False,
    ) -> None:
        """Start entries and upstreams, and wait for the entries' discovery.

        Sound requests arrive at ``rate`` a second.  Their paths all differ, or
        are drawn from ``paths`` popular ones.  With look-ups, callers use only
        entries that another one lists, or it itself.
        """
        self.with_look_ups = with_look_ups
        self.servers: dict[str, _Upstream] = {}
        self.faults = faults or Faults()
        self.rate = rate
        self.paths = paths
        self.traffic_rng = random.Random(seed)
        self.callers: dict[tuple[str, int], _Caller] = {}
        self.retrying: list[tuple[float, _Caller]] = []
        self.asked = 0
        self.backlog = 0.0
        self.sends: list[Send] = []
        self.crashes: list[tuple[float, str]] = []
        self.answers: list[AnswerResult] = []
        self.codes: Counter[str] = Counter()
        self.faulty_codes: Counter[str] = Counter()
        super().__init__(zones, regions, loss)
        names = [f'u{number}' for number in range(upstreams)]
        self.servers = {name: _Upstream() for name in names}
        placed = sorted(zones)
        self.records = tuple(
            upstream(
                name,
                address=f'{name}:80',
                zone=placed[number % len(placed)],
                slots=9,
            )
            for number, name in enumerate(names)
        )
        for name in self.states:
            self.deliver_store(name, 1, self.records)
        super().wait(2)

    def start(self, name: str) -> None:
        """Start or restart an entry; a restart breaks its requests."""
        super().start(name)
        self._break_requests(name)
        if self.servers:
            self.deliver_store(name, 1, self.records)

    def ask(self, target: str, *, faulty: bool = False) -> None:
        """Send a request of a new caller to a random entry."""
        self._send(_Caller(target, faulty=faulty))

    def crash(self, name: str) -> None:
        """Crash an upstream; all requests that it executes break."""
        server = self.servers[name]
        broken, server.executing = server.executing, []
        server.down_until = self.now + _DOWNTIME
        self.crashes.append((self.now, name))
        for one in broken:
            self._end(one, AttemptOutcome.BROKE_BEFORE_ANSWER)

    def stop(self, name: str) -> None:
        """Kill an entry; this breaks its requests."""
        self._break_requests(name)
        super().stop(name)

    def reached(self, target: str, since: float = 0) -> list[Send]:
        """Return the requests for a path that reached upstreams later on."""
        return [
            one for one in self.sends if one.target == target and one.at > since
        ]

    def wait(self, seconds: float) -> None:
        """Advance time; callers send new requests and retries."""
        steps = round(seconds / STEP)
        for _ in range(steps):
            super().wait(STEP)
            self._execute()
            self._send_due_requests()

    def _perform(self, name: str, effects: list[Effect]) -> None:
        super()._perform(name, effects)
        for send in of_type(effects, SendUpstream):
            self._start_execution(name, send)
        for answer in of_type(effects, AnswerResult):
            caller = self.callers.pop((name, answer.request), None)
            self.answers.append(answer)
            if caller:
                self._handle_result(caller, answer.code)

    def _break_requests(self, name: str) -> None:
        for key in [key for key in self.callers if key[0] == name]:
            self._schedule_retry(self.callers.pop(key))
        for server in self.servers.values():
            server.executing = [
                one for one in server.executing if one.entry != name
            ]

    def _start_execution(self, entry: str, send: SendUpstream) -> None:
        server = self.servers[send.upstream]
        target = self.callers[entry, send.request].target
        execution = _Execution(
            entry, send.request, send.attempt, target, self.now, self.now
        )
        if server.down_until <= self.now:
            self.sends.append(Send(self.now, entry, target))
            crashes = target in self.faults.crashing
            execution.ends_at += _CRASH_AFTER if crashes else _EXECUTION
        elif self.faults.while_down is WhileDown.SILENT:
            execution.ends_at = server.down_until
        server.executing.append(execution)

    def _execute(self) -> None:
        for name, server in self.servers.items():
            for one in tuple(server.executing):
                if one.ends_at > self.now or one not in server.executing:
                    continue
                if server.down_until > self.now:
                    server.executing.remove(one)
                    self._end(one, self._outcome_while_down())
                elif one.begun_at < server.down_until:
                    server.executing.remove(one)
                    self._end(one, AttemptOutcome.BROKE_BEFORE_ANSWER)
                elif one.target in self.faults.crashing:
                    self.crash(name)
                else:
                    server.executing.remove(one)
                    self._end(one, self._outcome())

    def _outcome_while_down(self) -> AttemptOutcome:
        if self.faults.while_down is WhileDown.REFUSES:
            return AttemptOutcome.NOT_CONNECTED
        return AttemptOutcome.BROKE_BEFORE_ANSWER

    def _outcome(self) -> AttemptOutcome:
        if self.traffic_rng.random() < self.faults.lost:
            return AttemptOutcome.BROKE_BEFORE_ANSWER
        return AttemptOutcome.ANSWERED

    def _end(self, one: _Execution, outcome: AttemptOutcome) -> None:
        if one.entry not in self.states:
            return
        answered = outcome is AttemptOutcome.ANSWERED
        caller = self.callers.get((one.entry, one.request))
        if answered and caller:
            self.callers.pop((one.entry, one.request))
            self.codes[ResultCode.OK.name] += 1
        self._run(
            one.entry,
            AttemptEnded(
                self.now,
                one.request,
                one.attempt,
                outcome,
                status=200 if answered else 0,
            ),
        )

    def _handle_result(self, caller: _Caller, code: ResultCode) -> None:
        counts = self.faulty_codes if caller.faulty else self.codes
        counts[code.name] += 1
        self._schedule_retry(caller)

    def _schedule_retry(self, caller: _Caller) -> None:
        if caller.faulty or caller.retries < _MAX_RETRIES:
            caller.retries += 1
            self.retrying.append((self.now + _RETRY_AFTER, caller))

    def _send_due_requests(self) -> None:
        due = [one for at, one in self.retrying if at <= self.now]
        self.retrying = [one for one in self.retrying if one[0] > self.now]
        for caller in due:
            self._send(caller)
        self.backlog += self.rate * STEP
        while self.backlog >= 1:
            self.backlog -= 1
            number = self.asked
            if self.paths:
                number = self.traffic_rng.randrange(self.paths)
            self.ask(f'/read/{number}')

    def _send(self, caller: _Caller) -> None:
        running = sorted(set(self.states) - self.frozen)
        if self.with_look_ups:
            running = self._look_up(running)
        entry = self.traffic_rng.choice(running)
        self.asked += 1
        self.callers[entry, self.asked] = caller
        head = SteeredHead(
            f't{self.asked}', HOST, 'GET', caller.target, _CALLER_TIMEOUT, ''
        )
        self._run(entry, RequestArrived(self.now, self.asked, head))

    def _look_up(self, running: list[str]) -> list[str]:
        """Return the running entries that a random settled one lists."""
        settled = [
            name for name in running if self.states[name].settled(self.now)
        ]
        asked = self.traffic_rng.choice(settled or running)
        listed = self.alive_entries(asked) | {asked}
        return [name for name in running if name in listed]
