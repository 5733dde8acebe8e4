"""A fleet of entries whose upstreams name rate limits in their answers.

Callers send requests to some of the entries or to all.  An upstream executes
whatever reaches it and counts it; while it has a limit it names that with each
answer, a refusal included.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from tests.steering.fleet_world import STEP, FleetWorld
from tests.steering.world import HOST, of_type, route, upstream
from worksrail.core.pacing import (
    NamedLimit,
    NoRate,
    PacingMessage,
    TokenGrant,
    TokenRequest,
)
from worksrail.core.steering import Digest
from worksrail.core.steering.effects import (
    AnswerResult,
    Decision,
    DecisionKind,
    Effect,
    SendUpstream,
)
from worksrail.core.steering.events import (
    AttemptEnded,
    AttemptOutcome,
    PacingMessageReceived,
    RequestArrived,
    SteeredHead,
)

# Seconds of an execution, and for which callers wait.
_WORK = 0.3
_PATIENCE = 2.5
# Seconds for which an upstream stays cold.
_COLD_TIME = 20.0
_SLOTS = 60
# What an upstream with a limit may get in a window of so many seconds: a
# multiple of its limit, and some requests besides.
WINDOW = 4.0
FACTOR = 1.5
EXTRA = 5
# Seconds after an upstream has named its limit from which it is to be kept.
STABLE = 4.0


@dataclass(frozen=True, slots=True)
class Send:
    """One request that reached an upstream."""

    at: float
    """When, by the world's clock."""

    entry: str
    """Entry that sent it."""


@dataclass(slots=True)
class _Execution:
    entry: str
    request: int
    attempt: int
    upstream: str
    ends_at: float


@dataclass(slots=True)
class Demand:
    """Who asks for how much."""

    rate: float
    """Requests a second, from all callers together."""

    entries: Sequence[str] = ()
    """Entries that the callers use; empty means all."""

    keys: int = 0
    """Affinity keys among which requests are drawn; zero means none."""

    urgent: float = 0
    """Share of the requests that come on a more urgent route."""

    cold_rate: float = 0
    """Requests a second that a cold upstream takes."""

    lost: float = 0
    """Share of the answers whose connection breaks instead."""


@dataclass(slots=True)
class Limits:
    """What upstreams name."""

    rates: dict[str, float] = field(default_factory=dict)
    """Limits in force, by upstream."""

    named_at: dict[str, float] = field(default_factory=dict)
    """When an upstream first named one to anybody."""


class LimitingWorld(FleetWorld):
    """Entries, upstreams that name limits, and callers."""

    def __init__(
        self,
        zones: dict[str, int],
        regions: dict[str, str],
        loss: float = 0,
        *,
        upstreams: int = 12,
        slots: int = _SLOTS,
        demand: Demand | None = None,
        seed: int = 1,
    ) -> None:
        """Start entries and upstreams, and let the entries find each other."""
        self.names = [f'u{number}' for number in range(upstreams)]
        self.executing: list[_Execution] = []
        self.demand = Demand(0)
        self.limiting = Limits()
        self.draw = random.Random(seed)
        self.asked = 0
        self.owed = 0.0
        self.sends: dict[str, list[Send]] = defaultdict(list)
        self.arrived_at: dict[tuple[str, int], float] = {}
        self.delays: list[float] = []
        self.pauses: list[float] = []
        self.codes: Counter[str] = Counter()
        self.by_route: dict[str, Counter[str]] = defaultdict(Counter)
        self.route_of: dict[tuple[str, int], str] = {}
        self.pacing_messages = 0
        self.awaited: Counter[tuple[str, int]] = Counter()
        self.cold_rate = demand.cold_rate if demand else 0
        self.routes = (route(), route('urgent', priority=0))
        self.records = ()
        super().__init__(zones, regions, loss)
        placed = sorted(zones)
        self.records = tuple(
            upstream(
                name,
                address=f'{name}:80',
                zone=placed[number % len(placed)],
                slots=slots,
            )
            for number, name in enumerate(self.names)
        )
        for name in self.states:
            self.deliver_store(name, 1, self.records)
        super().wait(2)
        self.demand = demand or Demand(0)

    def start(self, name: str) -> None:
        """Start an entry, or start it again; its requests break."""
        super().start(name)
        self.executing = [one for one in self.executing if one.entry != name]
        if self.records:
            self.deliver_store(name, 1, self.records)

    def limit(self, rate: float, *names: str) -> None:
        """Let some upstreams name a limit, or another one."""
        self.limiting.rates.update(dict.fromkeys(names, rate))

    def make_cold(self, name: str) -> None:
        """Let the store list an upstream as cold again."""
        self.records = tuple(
            replace(record, cold_time=_COLD_TIME, sequence=2)
            if record.name == name
            else record
            for record in self.records
        )
        for entry in self.states:
            self.deliver_store(entry, 2, self.records)

    def unlimit(self, *names: str) -> None:
        """Let some upstreams name no limit any more."""
        for name in names:
            self.limiting.rates.pop(name)

    def worst(self, name: str, since: float = 0) -> int:
        """Most requests that reached an upstream in one window.

        Windows count from when its limit is to be kept.
        """
        named_at = self.limiting.named_at.get(name, self.now)
        begin = max(since, named_at + STABLE)
        times = [one.at for one in self.sends[name] if one.at >= begin]
        most = first = 0
        for last, at in enumerate(times):
            while at - times[first] > WINDOW:
                first += 1
            most = max(most, last + 1 - first)
        return most

    def rates_of(self, name: str) -> set[float | None]:
        """What entries believe of an upstream's limit."""
        states = self.states.values()
        return {state.rates.named.rate_of(name) for state in states}

    def reached(self, name: str, since: float, until: float = 0) -> int:
        """Requests that reached an upstream in some time."""
        end = until or self.now
        return sum(since < one.at <= end for one in self.sends[name])

    def wait(self, seconds: float) -> None:
        """Let time pass; callers come."""
        for _ in range(round(seconds / STEP)):
            super().wait(STEP)
            self._execute()
            self._let_callers_come()

    def _perform(self, name: str, effects: list[Effect]) -> None:
        super()._perform(name, effects)
        for send in of_type(effects, SendUpstream):
            self.sends[send.upstream].append(Send(self.now, name))
            self.delays.append(self.now - self.arrived_at[name, send.request])
            self.executing.append(
                _Execution(
                    name,
                    send.request,
                    send.attempt,
                    send.upstream,
                    self.now + _WORK,
                )
            )
        for one in of_type(effects, Decision):
            if one.kind is DecisionKind.TOKEN_AWAITED:
                self.awaited[name, one.request] += 1
        for answer in of_type(effects, AnswerResult):
            self._count(name, answer.request, answer.code.name)
            self.delays.append(self.now - self.arrived_at[name, answer.request])
            self.pauses.append(answer.retry_after)

    def _post(
        self,
        name: str,
        receiver: str,
        message: Digest | PacingMessage,
    ) -> None:
        """Messages about tokens come at once within a region."""
        target = receiver.partition(':')[0]
        near = self._region_of(name) == self._region_of(target)
        if isinstance(message, TokenRequest | TokenGrant):
            self.pacing_messages += 1
        else:
            near = False
        if not near:
            super()._post(name, receiver, message)
        elif name not in self.cut_off and self.rng.random() >= self.loss:
            if self._is_reached(target):
                self._run(target, PacingMessageReceived(self.now, message))

    def _region_of(self, entry: str) -> str:
        return self.regions[entry.partition('-')[0]]

    def _count(self, entry: str, request: int, code: str) -> None:
        self.codes[code] += 1
        self.by_route[self.route_of[entry, request]][code] += 1

    def _execute(self) -> None:
        done = [one for one in self.executing if one.ends_at <= self.now]
        self.executing = [
            one for one in self.executing if one.ends_at > self.now
        ]
        for one in done:
            if one.entry in self.states and one.entry not in self.frozen:
                self._end(one)

    def _end(self, one: _Execution) -> None:
        if self.draw.random() < self.demand.lost:
            self._run(
                one.entry,
                AttemptEnded(
                    self.now,
                    one.request,
                    one.attempt,
                    AttemptOutcome.BROKE_BEFORE_ANSWER,
                ),
            )
            return
        rate = self.limiting.rates.get(one.upstream, NoRate.NOT_NAMED)
        if rate is not NoRate.NOT_NAMED:
            self.limiting.named_at.setdefault(one.upstream, self.now)
        self._count(one.entry, one.request, 'OK')
        self._run(
            one.entry,
            AttemptEnded(
                self.now,
                one.request,
                one.attempt,
                AttemptOutcome.ANSWERED,
                status=200,
                limit=NamedLimit(rate, self.now),
            ),
        )

    def _let_callers_come(self) -> None:
        self.owed += self.demand.rate * STEP
        while self.owed >= 1:
            self.owed -= 1
            self._ask()

    def _ask(self) -> None:
        used = self.demand.entries or sorted(self.states)
        running = [name for name in used if name in self.states]
        entry = self.draw.choice(running)
        if entry in self.frozen:
            return
        self.asked += 1
        key = ''
        if self.demand.keys:
            key = str(self.draw.randrange(self.demand.keys))
        urgent = self.draw.random() < self.demand.urgent
        name = 'urgent' if urgent else 'read'
        self.route_of[entry, self.asked] = name
        head = SteeredHead(
            f't{self.asked}', HOST, 'GET', f'/{name}/x', _PATIENCE, key
        )
        self.arrived_at[entry, self.asked] = self.now
        self._run(entry, RequestArrived(self.now, self.asked, head))


def allowed(rate: float) -> float:
    """Most requests that a limit allows in one window."""
    return rate * FACTOR * WINDOW + EXTRA
