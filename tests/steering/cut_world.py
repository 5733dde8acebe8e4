"""A fleet of entries of which some are cut off from upstreams.

Callers keep sending to every entry.  Each entry keeps idle connections to the
upstreams, so a cut may leave those open while it refuses new ones.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Collection
from dataclasses import dataclass, field, replace
from enum import Enum, unique
from math import inf
from typing import Any

from tests.steering.fleet_world import STEP, FleetWorld
from tests.steering.world import HOST, of_type, route, upstream
from worksrail.core.results import Certainty
from worksrail.core.steering import RouteKind, ServiceWeight, SteeringBounds
from worksrail.core.steering.effects import (
    AnswerResult,
    CancelAttempt,
    Decision,
    DecisionKind,
    Effect,
    PassRequest,
    ProbeUpstream,
    SendUpstream,
)
from worksrail.core.steering.events import (
    AttemptEnded,
    AttemptOutcome,
    CallerGone,
    PassedRequestArrived,
    PassEnded,
    PassRefusal,
    PathProbed,
    RequestArrived,
    SteeredHead,
)

ZONES = {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b', 'c1': 'c', 'c2': 'c'}
# Seconds that an execution takes, and that callers wait for an answer.
_EXECUTION_S = 0.3
_TIMEOUT_S = 2.5
# Seconds after which connecting is given up, and after which a connection
# whose bytes nobody acknowledges breaks.
_CONNECT_S = 0.5
_UNACKNOWLEDGED_S = 2.0
# Share of the answers after which the upstream closes the connection.
_CLOSE_SHARE = 0.05


@unique
class Cut(Enum):
    """What happens to the connections of an entry to upstreams."""

    HANG = 'open connections fall silent, and new ones hang'
    RESET = 'open and new connections are reset'
    REFUSE_NEW = 'open connections stay, new ones are refused'
    ONE_WAY = 'upstreams get what is sent, but no answer comes back'


@dataclass(slots=True)
class _Attempt:
    entry: str
    request: int
    number: int
    upstream: str
    ends_at: float
    outcome: AttemptOutcome
    executes_at: float | None = None
    closes: bool = False
    connected: bool = False


@dataclass(slots=True)
class _Pass:
    entry: str
    request: int
    attempt: int
    helper: str
    number: int
    arrives_at: float
    effect: PassRequest
    head: SteeredHead
    ended: PassEnded | None = None
    ends_at: float = inf
    cancelled: bool = False


@dataclass(frozen=True, slots=True)
class Ask:
    """A first try of a caller."""

    trace: str
    """Identifier of the request."""

    entry: str
    """Entry that it was sent to."""

    at: float
    """When it was sent."""

    unsafe: bool
    """Whether it may be executed once at most."""


@dataclass(slots=True)
class Outcomes:
    """What callers and upstreams saw."""

    asked: list[Ask] = field(default_factory=list)
    """All first tries, in order."""

    served_at: dict[str, float] = field(default_factory=dict)
    """When a request was answered with a success."""

    codes: dict[str, AnswerResult] = field(default_factory=dict)
    """Results of requests that were not served."""

    executed: Counter[str] = field(default_factory=Counter)
    """Executions by request."""

    arrivals: dict[str, list[tuple[float, str]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    """Times and requests that reached each upstream."""

    def share(
        self,
        since: float,
        until: float,
        chosen: Callable[[Ask], bool],
    ) -> float:
        """Return the share of some first tries that were served."""
        asked = [
            one.trace
            for one in self.asked
            if since <= one.at < until and chosen(one)
        ]
        return sum(one in self.served_at for one in asked) / max(1, len(asked))


class CutWorld(FleetWorld):
    """Entries, upstreams of two services in all zones, and callers."""

    def __init__(
        self,
        zones: dict[str, int],
        rate: float,
        *,
        upstreams: int = 12,
        loss: float = 0,
        seed: int = 1,
        bounds: SteeringBounds | None = None,
        **options: Any,
    ) -> None:
        """Start the entries; ``rate`` requests a second come to each."""
        self.rate = 0.0
        self.caller_rng = random.Random(seed)
        self.cuts: dict[str, tuple[Cut, frozenset[str]]] = {}
        self.down: set[str] = set()
        self.idle: Counter[tuple[str, str]] = Counter()
        self.attempts: list[_Attempt] = []
        self.passes: list[_Pass] = []
        self.passed: Counter[str] = Counter()
        self.probes: list[tuple[float, str, str, bool]] = []
        self.heads: dict[tuple[str, int], SteeredHead] = {}
        self.lost_passes: set[str] = set()
        self.outcomes = Outcomes()
        self.traces: dict[tuple[str, int], str] = {}
        self.decisions: Counter[DecisionKind] = Counter()
        self.notes: list[tuple[float, str, Decision]] = []
        self.numbers: Counter[str] = Counter()
        self.due = 0.0
        self.bounds = bounds or SteeringBounds(
            repeat_extra=0.12 * rate * sum(zones.values()),
            cold_factor=1.5,
            cold_extra=5,
        )
        self.routes = (
            route('read', timeout=_TIMEOUT_S),
            route('write', kind=RouteKind.AT_MOST_ONCE, timeout=_TIMEOUT_S),
            route(
                'fetch', parts=(ServiceWeight('stock', 1),), timeout=_TIMEOUT_S
            ),
        )
        regions = {zone: ZONES[zone] for zone in zones}
        super().__init__(zones, regions, loss, **options)
        names = sorted(zones)
        self.listed_records = tuple(
            upstream(
                f'{"orders" if number % 3 else "stock"}-{number}',
                service='orders' if number % 3 else 'stock',
                address=f'u{number}:80',
                zone=names[(number + number // 3) % len(names)],
                slots=60,
            )
            for number in range(upstreams)
        )
        self.store = 2
        for name in self.states:
            self.deliver_store(name, 2, self.listed_records)
        super().wait(2)
        self.rate = rate

    # -- faults

    def cut(
        self,
        names: Collection[str],
        form: Cut,
        upstreams: Collection[str] = (),
    ) -> None:
        """Cut entries off from all upstreams, or from some of them."""
        chosen = frozenset(
            upstreams or (record.name for record in self.listed_records)
        )
        for name in names:
            self.cuts[name] = (form, chosen)
        for one in self.attempts:
            if one.entry in names and one.upstream in chosen:
                self._strike(one, form)

    def mend(self) -> None:
        """End all cuts."""
        self.cuts.clear()

    def crash(self, *upstreams: str) -> None:
        """Let upstreams crash: open connections break, new ones are refused."""
        self.down.update(upstreams)
        for one in self.attempts:
            if one.upstream in self.down:
                self._strike(one, Cut.RESET)

    def upstream_names(self, service: str) -> list[str]:
        """Return the upstreams of a service."""
        return [
            record.name
            for record in self.listed_records
            if record.service == service
        ]

    # -- progress

    def start(self, name: str) -> None:
        """Start or restart an entry; a restart loses its requests."""
        super().start(name)
        self._lose_requests(name)
        if self.listed_records:
            self.deliver_store(name, self.store, self.listed_records)

    def stop(self, name: str) -> None:
        """Kill an entry, and with it its requests."""
        super().stop(name)
        self._lose_requests(name)

    def wait(self, seconds: float) -> None:
        """Advance the time while callers send requests."""
        for _ in range(round(seconds / STEP)):
            super().wait(STEP)
            self._end_attempts()
            self._move_passes()
            self._end_probes()
            self._send_due_requests()

    def _lose_requests(self, name: str) -> None:
        self.attempts = [one for one in self.attempts if one.entry != name]
        self.passes = [one for one in self.passes if one.entry != name]
        for passed in self.passes:
            if passed.helper == name:
                self._end_pass(passed, AttemptOutcome.BROKE_BEFORE_ANSWER)
        for key in [key for key in self.idle if key[0] == name]:
            self.idle.pop(key)

    def _perform(self, name: str, effects: list[Effect]) -> None:
        super()._perform(name, effects)
        for note in of_type(effects, Decision):
            self.decisions[note.kind] += 1
            self.notes.append((self.now, name, note))
        for send in of_type(effects, SendUpstream):
            self.attempts.append(self._begin(name, send))
        for passing in of_type(effects, PassRequest):
            self._begin_pass(name, passing)
        for probe in of_type(effects, ProbeUpstream):
            answered = not self._is_cut(name, probe.upstream)
            due = self.now + (STEP if answered else _CONNECT_S)
            self.probes.append((due, name, probe.upstream, answered))
        for cancelled in of_type(effects, CancelAttempt):
            self._cancel(name, cancelled)
        for answer in of_type(effects, AnswerResult):
            self._answered(name, answer)

    def _answered(self, name: str, answer: AnswerResult) -> None:
        passed = self._pass_at(name, answer.request)
        if passed is None:
            self.outcomes.codes[self.traces[name, answer.request]] = answer
            return
        refusal = PassRefusal(answer.code, answer.retry_after, answer.sends)
        executed = answer.code.certainty is not Certainty.NOT_RUN
        outcome = AttemptOutcome.NOT_EXECUTED
        if executed:
            outcome = AttemptOutcome.BROKE_BEFORE_ANSWER
        self._end_pass(passed, outcome, refusal=refusal)

    # -- requests that are passed on

    def _pass_at(self, helper: str, number: int) -> _Pass | None:
        for one in self.passes:
            if one.helper == helper and one.number == number and not one.ended:
                return one
        return None

    def _begin_pass(self, name: str, effect: PassRequest) -> None:
        helper = effect.peer.partition(':')[0]
        self.passed[helper] += 1
        self.numbers[helper] += 1
        number = self.numbers[helper]
        self.traces[helper, number] = self.traces[name, effect.request]
        self.passes.append(
            _Pass(
                name,
                effect.request,
                effect.attempt,
                helper,
                number,
                self.now + STEP,
                effect,
                self.heads[name, effect.request],
            )
        )

    def _end_pass(
        self,
        one: _Pass,
        outcome: AttemptOutcome,
        *,
        status: int = 0,
        refusal: PassRefusal | None = None,
    ) -> None:
        if one.ended:
            return
        one.ends_at = self.now + STEP
        one.ended = PassEnded(
            one.ends_at,
            one.request,
            one.attempt,
            outcome,
            status,
            refusal=refusal,
        )

    def _move_passes(self) -> None:
        for one in tuple(self.passes):
            if one.arrives_at <= self.now:
                one.arrives_at = inf
                self._deliver_pass(one)
            elif one.effect.give_up_at <= self.now:
                self._end_pass(one, AttemptOutcome.TIMED_OUT)
        ended = [one for one in self.passes if one.ends_at <= self.now]
        self.passes = [one for one in self.passes if one.ends_at > self.now]
        for one in ended:
            if one.entry in self.states and one.ended:
                if one.ended.outcome is AttemptOutcome.ANSWERED:
                    self._served(one.entry, one.request)
                self._run(one.entry, replace(one.ended, now=self.now))

    def _deliver_pass(self, one: _Pass) -> None:
        if one.helper not in self.states:
            self._end_pass(one, AttemptOutcome.NOT_CONNECTED)
            return
        if one.helper in self.frozen:
            return
        left = one.effect.deadline - self.now
        self._run(
            one.helper,
            PassedRequestArrived(
                self.now,
                one.number,
                replace(one.head, time_left=left),
                one.effect.terms,
            ),
        )

    def _end_probes(self) -> None:
        due = [one for one in self.probes if one[0] <= self.now]
        self.probes = [one for one in self.probes if one[0] > self.now]
        for _, name, probed, answered in due:
            if name in self.states and name not in self.frozen:
                self._run(name, PathProbed(self.now, probed, answered))

    def _is_cut(self, name: str, upstream_name: str) -> bool:
        _, chosen = self.cuts.get(name, (None, frozenset()))
        return upstream_name in chosen or upstream_name in self.down

    def _begin(self, name: str, send: SendUpstream) -> _Attempt:
        key = (name, send.upstream)
        form, chosen = self.cuts.get(name, (None, frozenset()))
        if send.upstream in self.down:
            form = Cut.RESET
        elif send.upstream not in chosen:
            form = None
        reused = self.idle[key] > 0
        if reused:
            self.idle[key] -= 1
        one = _Attempt(
            name,
            send.request,
            send.attempt,
            send.upstream,
            self.now + _EXECUTION_S,
            AttemptOutcome.ANSWERED,
            self.now,
            self.caller_rng.random() < _CLOSE_SHARE,
            connected=not reused,
        )
        if form is None or (reused and form is Cut.REFUSE_NEW):
            return one
        if not reused or form is Cut.RESET:
            one.executes_at = None
            one.connected = False
            one.outcome = AttemptOutcome.NOT_CONNECTED
            slow = form in {Cut.HANG, Cut.ONE_WAY}
            one.ends_at = self.now + (_CONNECT_S if slow else STEP)
            return one
        self._strike(one, form)
        return one

    def _strike(self, one: _Attempt, form: Cut) -> None:
        """Let a cut take effect on an open connection."""
        if form is Cut.REFUSE_NEW or one.outcome is not AttemptOutcome.ANSWERED:
            return
        one.outcome = AttemptOutcome.BROKE_BEFORE_ANSWER
        if form is Cut.RESET:
            one.ends_at = self.now + STEP
            return
        one.ends_at = self.now + _UNACKNOWLEDGED_S
        if form is Cut.HANG and one.executes_at == self.now:
            one.executes_at = None

    def _cancel(self, name: str, cancelled: CancelAttempt) -> None:
        wanted = (name, cancelled.request, cancelled.attempt)
        for passed in self.passes:
            if (passed.entry, passed.request, passed.attempt) == wanted:
                self._end_pass(passed, AttemptOutcome.CANCELLED)
                self.leave(passed.helper, passed.number)
        for one in self.attempts:
            if (one.entry, one.request, one.number) == wanted:
                one.outcome = AttemptOutcome.CANCELLED
                one.ends_at = self.now

    def _end_attempts(self) -> None:
        for one in self.attempts:
            if one.executes_at is not None and one.executes_at <= self.now:
                one.executes_at = None
                trace = self.traces[one.entry, one.request]
                self.outcomes.executed[trace] += 1
                self.outcomes.arrivals[one.upstream].append((self.now, trace))
        ended = [one for one in self.attempts if one.ends_at <= self.now]
        self.attempts = [one for one in self.attempts if one.ends_at > self.now]
        for one in ended:
            if one.entry in self.states and one.entry not in self.frozen:
                self._end(one)

    def _end(self, one: _Attempt) -> None:
        answered = one.outcome is AttemptOutcome.ANSWERED
        if answered:
            if not one.closes:
                self.idle[one.entry, one.upstream] += 1
            self._deliver(one)
        self._run(
            one.entry,
            AttemptEnded(
                self.now,
                one.request,
                one.number,
                one.outcome,
                status=200 if answered else 0,
                connect_time=STEP if one.connected and answered else 0,
            ),
        )

    def _deliver(self, one: _Attempt) -> None:
        """Pass an answer on to the caller, or to the entry it came from."""
        passed = self._pass_at(one.entry, one.request)
        if passed is None:
            self._served(one.entry, one.request)
        else:
            self._end_pass(passed, AttemptOutcome.ANSWERED, status=200)

    def _served(self, entry: str, request: int) -> None:
        trace = self.traces[entry, request]
        self.outcomes.served_at.setdefault(trace, self.now)

    # -- callers

    def _send_due_requests(self) -> None:
        self.due += self.rate * STEP
        while self.due >= 1:
            self.due -= 1
            for entry in sorted(self.states):
                self._send_request(entry)

    def _send_request(self, entry: str) -> None:
        kind = self.caller_rng.choice(('read', 'read', 'write', 'fetch'))
        self.numbers[entry] += 1
        number = self.numbers[entry]
        trace = f'{entry}/{number}'
        self.outcomes.asked.append(Ask(trace, entry, self.now, kind == 'write'))
        if entry in self.frozen:
            return
        self.traces[entry, number] = trace
        key = str(self.caller_rng.randrange(40))
        head = SteeredHead(trace, HOST, 'GET', f'/{kind}/x', _TIMEOUT_S, key)
        self.heads[entry, number] = head
        self._run(entry, RequestArrived(self.now, number, head))

    def leave(self, entry: str, number: int) -> None:
        """Let the caller of a request disconnect."""
        if entry in self.states and entry not in self.frozen:
            self._run(entry, CallerGone(self.now, number))
