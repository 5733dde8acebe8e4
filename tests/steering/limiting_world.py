"""A fleet of entries whose upstreams advertise rate limits in their answers.

Callers send requests to all entries or to some of them.  An upstream executes
and counts each request that it receives; while it has a limit, it advertises
the limit with each answer, including refusals.
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

# Seconds that an execution takes, and that callers wait for an answer.
_EXECUTION_S = 0.3
_TIMEOUT_S = 2.5
# Seconds for which an upstream remains cold.
_COLD_TIME_S = 20.0
_SLOTS = 60
# Requests that an upstream with a limit may get in a window of WINDOW_S
# seconds: FACTOR times its limit, and EXTRA more.
WINDOW_S = 4.0
FACTOR = 1.5
EXTRA = 5
# Seconds after an upstream first advertised a limit, from which it must hold.
GRACE_S = 4.0


@dataclass(frozen=True, slots=True)
class Send:
    """A request that reached an upstream."""

    at: float
    """When it was sent, by the clock of the simulation."""

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
    """Requests that callers send."""

    rate: float
    """Requests per second, from all callers together."""

    entries: Sequence[str] = ()
    """Entries that the callers use; empty means all."""

    keys: int = 0
    """Number of affinity keys that requests are drawn from; zero for none."""

    urgent: float = 0
    """Share of the requests on the route with the higher priority."""

    cold_rate: float = 0
    """Requests per second that a cold upstream accepts."""

    broken: float = 0
    """Share of the attempts whose connection breaks before the answer."""


@dataclass(slots=True)
class AdvertisedLimits:
    """Rate limits that upstreams advertise."""

    rates: dict[str, float] = field(default_factory=dict)
    """Limits in force, by upstream."""

    advertised_at: dict[str, float] = field(default_factory=dict)
    """When an upstream first advertised a limit in an answer."""


class LimitingWorld(FleetWorld):
    """Entries, upstreams that advertise limits, and callers."""

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
        """Start entries and upstreams, and let the entries discover peers."""
        self.names = [f'u{number}' for number in range(upstreams)]
        self.executing: list[_Execution] = []
        self.demand = Demand(0)
        self.advertised = AdvertisedLimits()
        self.caller_rng = random.Random(seed)
        self.asked = 0
        self.requests_due = 0.0
        self.sends: dict[str, list[Send]] = defaultdict(list)
        self.arrived_at: dict[tuple[str, int], float] = {}
        self.delays: list[float] = []
        self.retry_afters: list[float] = []
        self.codes: Counter[str] = Counter()
        self.codes_by_route: dict[str, Counter[str]] = defaultdict(Counter)
        self.route_of: dict[tuple[str, int], str] = {}
        self.pacing_messages = 0
        self.token_waits: Counter[tuple[str, int]] = Counter()
        self.cold_rate = demand.cold_rate if demand else 0
        self.routes = (route(), route('urgent', priority=0))
        self.records = ()
        super().__init__(zones, regions, loss)
        zone_names = sorted(zones)
        self.records = tuple(
            upstream(
                name,
                address=f'{name}:80',
                zone=zone_names[number % len(zone_names)],
                slots=slots,
            )
            for number, name in enumerate(self.names)
        )
        for name in self.states:
            self.deliver_store(name, 1, self.records)
        super().wait(2)
        self.demand = demand or Demand(0)

    def start(self, name: str) -> None:
        """Start or restart an entry; a restart loses its requests."""
        super().start(name)
        self.executing = [one for one in self.executing if one.entry != name]
        if self.records:
            self.deliver_store(name, 1, self.records)

    def set_limit(self, rate: float, *names: str) -> None:
        """Set the limit that some upstreams advertise."""
        self.advertised.rates.update(dict.fromkeys(names, rate))

    def make_cold(self, name: str) -> None:
        """Mark an upstream as cold in the store."""
        self.records = tuple(
            replace(record, cold_time=_COLD_TIME_S, sequence=2)
            if record.name == name
            else record
            for record in self.records
        )
        for entry in self.states:
            self.deliver_store(entry, 2, self.records)

    def remove_limit(self, *names: str) -> None:
        """Make some upstreams stop advertising a limit."""
        for name in names:
            self.advertised.rates.pop(name)

    def max_in_window(self, name: str, since: float = 0) -> int:
        """Return the maximum number of requests to an upstream in a window.

        Only windows in which its limit must hold are considered.
        """
        advertised_at = self.advertised.advertised_at.get(name, self.now)
        begin = max(since, advertised_at + GRACE_S)
        times = [one.at for one in self.sends[name] if one.at >= begin]
        maximum = first = 0
        for last, at in enumerate(times):
            while at - times[first] > WINDOW_S:
                first += 1
            maximum = max(maximum, last + 1 - first)
        return maximum

    def known_rates(self, name: str) -> set[float | None]:
        """Return the limits of an upstream that the entries know."""
        states = self.states.values()
        return {state.rates.named.rate_of(name) for state in states}

    def count_sends(self, name: str, since: float, until: float = 0) -> int:
        """Return the number of requests to an upstream in a span of time."""
        end = until or self.now
        return sum(since < one.at <= end for one in self.sends[name])

    def wait(self, seconds: float) -> None:
        """Advance the time while callers send requests."""
        for _ in range(round(seconds / STEP)):
            super().wait(STEP)
            self._finish_executions()
            self._send_due_requests()

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
                    self.now + _EXECUTION_S,
                )
            )
        for one in of_type(effects, Decision):
            if one.kind is DecisionKind.TOKEN_AWAITED:
                self.token_waits[name, one.request] += 1
        for answer in of_type(effects, AnswerResult):
            self._count(name, answer.request, answer.code.name)
            self.delays.append(self.now - self.arrived_at[name, answer.request])
            self.retry_afters.append(answer.retry_after)

    def _post(
        self,
        name: str,
        receiver: str,
        message: Digest | PacingMessage,
    ) -> None:
        """Deliver token messages within a region without delay."""
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
        self.codes_by_route[self.route_of[entry, request]][code] += 1

    def _finish_executions(self) -> None:
        finished = [one for one in self.executing if one.ends_at <= self.now]
        self.executing = [
            one for one in self.executing if one.ends_at > self.now
        ]
        for one in finished:
            if one.entry in self.states and one.entry not in self.frozen:
                self._answer(one)

    def _answer(self, one: _Execution) -> None:
        if self.caller_rng.random() < self.demand.broken:
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
        rate = self.advertised.rates.get(one.upstream, NoRate.NOT_NAMED)
        if rate is not NoRate.NOT_NAMED:
            self.advertised.advertised_at.setdefault(one.upstream, self.now)
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

    def _send_due_requests(self) -> None:
        self.requests_due += self.demand.rate * STEP
        while self.requests_due >= 1:
            self.requests_due -= 1
            self._send_request()

    def _send_request(self) -> None:
        entries = self.demand.entries or sorted(self.states)
        running = [name for name in entries if name in self.states]
        entry = self.caller_rng.choice(running)
        if entry in self.frozen:
            return
        self.asked += 1
        key = ''
        if self.demand.keys:
            key = str(self.caller_rng.randrange(self.demand.keys))
        urgent = self.caller_rng.random() < self.demand.urgent
        name = 'urgent' if urgent else 'read'
        self.route_of[entry, self.asked] = name
        head = SteeredHead(
            f't{self.asked}', HOST, 'GET', f'/{name}/x', _TIMEOUT_S, key
        )
        self.arrived_at[entry, self.asked] = self.now
        self._run(entry, RequestArrived(self.now, self.asked, head))


def max_allowed(rate: float) -> float:
    """Return the maximum number of requests in a window under a limit."""
    return rate * FACTOR * WINDOW_S + EXTRA
