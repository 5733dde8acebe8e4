"""A fleet of entries whose upstreams crash under certain requests.

Callers send requests to entries drawn at random.  An upstream that begins a
request with a fault crashes after a moment: all that it executes breaks, and
it refuses connections until it is back.  The caller of such a request comes
back after each answer, whatever that says.
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

# Seconds from the begin of an execution until its upstream crashes.
_CRASH_AFTER = 0.1
# Seconds of any other execution.
_WORK = 0.4
# Seconds for which an upstream that crashed refuses connections.
_AWAY = 2.0
# Seconds after which a caller comes back.
_RETURN_AFTER = 0.2
# Seconds that callers wait for an answer.
_PATIENCE = 2.5
# Times that callers of sound requests come back after an answer without
# success.
_RETURNS = 1


@unique
class Away(Enum):
    """What callers of an upstream that crashed meet until it is back."""

    REFUSES = 'no connection'
    RESETS = 'a connection that is reset at once'
    SILENT = 'a connection without any answer'


@dataclass(slots=True)
class Faults:
    """What is wrong with some requests and answers."""

    crashing: frozenset[str] = frozenset()
    """Targets under which upstreams crash."""

    away: Away = Away.REFUSES
    """What an upstream that crashed does until it is back."""

    lost: float = 0
    """Share of the answers whose connection breaks instead."""


@dataclass(slots=True)
class _Caller:
    target: str
    returns: int = 0
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
    """One request that reached an upstream."""

    at: float
    """When, by the world's clock."""

    entry: str
    """Entry that sent it."""

    target: str
    """Path of the request."""


class CrashingWorld(FleetWorld):
    """Entries, upstreams that crash, and their callers."""

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
    ) -> None:
        """Start entries and upstreams, and let the entries find each other.

        Sound requests come at a rate a second.  Their paths differ, or are
        drawn from a number of popular ones.
        """
        self.servers: dict[str, _Upstream] = {}
        self.faults = faults or Faults()
        self.rate = rate
        self.paths = paths
        self.draw = random.Random(seed)
        self.callers: dict[tuple[str, int], _Caller] = {}
        self.returning: list[tuple[float, _Caller]] = []
        self.asked = 0
        self.owed = 0.0
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
        """Start an entry, or start it again; its requests break."""
        super().start(name)
        for key in [key for key in self.callers if key[0] == name]:
            self._come_back(self.callers.pop(key))
        for server in self.servers.values():
            server.executing = [
                one for one in server.executing if one.entry != name
            ]
        if self.servers:
            self.deliver_store(name, 1, self.records)

    def ask(self, target: str, *, faulty: bool = False) -> None:
        """A caller sends a request to any entry that runs."""
        self._send(_Caller(target, faulty=faulty))

    def crash(self, name: str) -> None:
        """An upstream crashes, whatever it executes."""
        server = self.servers[name]
        broken, server.executing = server.executing, []
        server.down_until = self.now + _AWAY
        self.crashes.append((self.now, name))
        for one in broken:
            self._end(one, AttemptOutcome.BROKE_BEFORE_ANSWER)

    def reached(self, target: str, since: float = 0) -> list[Send]:
        """Requests for a path that reached upstreams from some time on."""
        return [
            one for one in self.sends if one.target == target and one.at > since
        ]

    def wait(self, seconds: float) -> None:
        """Let time pass; callers come and come back."""
        steps = round(seconds / STEP)
        for _ in range(steps):
            super().wait(STEP)
            self._execute()
            self._let_callers_come()

    def _perform(self, name: str, effects: list[Effect]) -> None:
        super()._perform(name, effects)
        for send in of_type(effects, SendUpstream):
            self._begin(name, send)
        for answer in of_type(effects, AnswerResult):
            caller = self.callers.pop((name, answer.request), None)
            self.answers.append(answer)
            if caller:
                self._take_result(caller, answer.code)

    def _begin(self, entry: str, send: SendUpstream) -> None:
        server = self.servers[send.upstream]
        target = self.callers[entry, send.request].target
        execution = _Execution(
            entry, send.request, send.attempt, target, self.now, self.now
        )
        if server.down_until <= self.now:
            self.sends.append(Send(self.now, entry, target))
            crashes = target in self.faults.crashing
            execution.ends_at += _CRASH_AFTER if crashes else _WORK
        elif self.faults.away is Away.SILENT:
            execution.ends_at = server.down_until
        server.executing.append(execution)

    def _execute(self) -> None:
        for name, server in self.servers.items():
            for one in tuple(server.executing):
                if one.ends_at > self.now or one not in server.executing:
                    continue
                if server.down_until > self.now:
                    server.executing.remove(one)
                    self._end(one, self._missed())
                elif one.begun_at < server.down_until:
                    server.executing.remove(one)
                    self._end(one, AttemptOutcome.BROKE_BEFORE_ANSWER)
                elif one.target in self.faults.crashing:
                    self.crash(name)
                else:
                    server.executing.remove(one)
                    self._end(one, self._outcome())

    def _missed(self) -> AttemptOutcome:
        if self.faults.away is Away.REFUSES:
            return AttemptOutcome.NOT_CONNECTED
        return AttemptOutcome.BROKE_BEFORE_ANSWER

    def _outcome(self) -> AttemptOutcome:
        if self.draw.random() < self.faults.lost:
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

    def _take_result(self, caller: _Caller, code: ResultCode) -> None:
        counts = self.faulty_codes if caller.faulty else self.codes
        counts[code.name] += 1
        self._come_back(caller)

    def _come_back(self, caller: _Caller) -> None:
        if caller.faulty or caller.returns < _RETURNS:
            caller.returns += 1
            self.returning.append((self.now + _RETURN_AFTER, caller))

    def _let_callers_come(self) -> None:
        due = [one for at, one in self.returning if at <= self.now]
        self.returning = [one for one in self.returning if one[0] > self.now]
        for caller in due:
            self._send(caller)
        self.owed += self.rate * STEP
        while self.owed >= 1:
            self.owed -= 1
            number = self.asked
            if self.paths:
                number = self.draw.randrange(self.paths)
            self.ask(f'/read/{number}')

    def _send(self, caller: _Caller) -> None:
        running = sorted(set(self.states) - self.frozen)
        entry = self.draw.choice(running)
        self.asked += 1
        self.callers[entry, self.asked] = caller
        head = SteeredHead(
            f't{self.asked}', HOST, 'GET', caller.target, _PATIENCE, ''
        )
        self._run(entry, RequestArrived(self.now, self.asked, head))
