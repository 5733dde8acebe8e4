"""A fleet whose upstreams state in their answers that they leave or back off.

The store is never told: each record stays ready.  Callers send to all entries;
one that is refused comes back once, at another entry.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from math import inf
from typing import Any

from tests.steering.fleet_world import STEP, FleetWorld
from tests.steering.world import HOST, of_type, route, upstream
from worksrail.core.availability import AvailabilityNotice
from worksrail.core.steering import RouteKind, SteeringBounds
from worksrail.core.steering.effects import (
    AnswerResult,
    Decision,
    Effect,
    SendUpstream,
)
from worksrail.core.steering.events import (
    AttemptEnded,
    AttemptOutcome,
    CallerGone,
    NoticeReceived,
    RequestArrived,
    SteeredHead,
)

ZONES = ('a1', 'a2', 'b1', 'b2', 'c1', 'c2')
REGIONS = {zone: zone[0] for zone in ZONES}
THREE = {'a1': 1, 'b1': 1, 'c1': 1}
NINE = {'a1': 2, 'a2': 1, 'b1': 2, 'b2': 1, 'c1': 2, 'c2': 1}
SIXTY_SEVEN = {'a1': 12, 'a2': 11, 'b1': 11, 'b2': 11, 'c1': 11, 'c2': 11}
HUNDREDS = dict.fromkeys(ZONES, 50)
# Seconds of an execution, of the way there and back, and that callers wait.
_EXECUTION_S = 0.3
_TIMEOUT_S = 2.5
# Share of the time left up to which a caller obeys Retry-After.
_OBEYED_SHARE = 1 / 3
# Requests that the rule allows in the time that an upstream asked for, and the
# seconds after the answer from which they count.
ALLOWED_IN_BACKOFF = 2
BACKOFF_GRACE_S = 0.5


@dataclass(slots=True)
class Mood:
    """How an upstream answers from some moment on."""

    leaving: bool = False
    """Whether it says in each answer that it leaves."""

    backoff: float = 0
    """Seconds that it asks for when it rejects; zero if it asks for none."""

    rejects_until: float = -inf
    """Until when it rejects every request."""


@dataclass(frozen=True, slots=True)
class Send:
    """A request that was sent to an upstream."""

    at: float
    """When it was sent."""

    asked_at: float
    """When its caller sent it."""

    entry: str
    """Entry that sent it."""


@dataclass(slots=True)
class _Attempt:
    entry: str
    request: int
    number: int
    upstream: str
    head_at: float
    ends_at: float
    rejected: bool


@dataclass(slots=True)
class _Caller:
    trace: str
    asked_at: float
    deadline: float
    path: str
    key: str
    returns: int


@dataclass(slots=True)
class Seen:
    """What callers and upstreams saw."""

    sends: dict[str, list[Send]] = field(
        default_factory=lambda: defaultdict(list)
    )
    """Requests by upstream."""

    told_leaving: dict[tuple[str, str], float] = field(default_factory=dict)
    """When an entry first read that an upstream leaves."""

    asked_for: list[tuple[str, str, float, float]] = field(default_factory=list)
    """Entry and upstream of each backoff, its begin and its end."""

    asked: dict[str, float] = field(default_factory=dict)
    """When each caller first sent its request."""

    kinds: dict[str, str] = field(default_factory=dict)
    """Route of each caller's request."""

    served: dict[str, float] = field(default_factory=dict)
    """When it was answered."""

    refusals: list[tuple[float, AnswerResult]] = field(default_factory=list)
    """Seconds after which a request was refused, and the refusal."""

    decisions: Counter[str] = field(default_factory=Counter)
    """Decisions of all entries by kind."""


class AvailabilityWorld(FleetWorld):
    """Entries, upstreams of one service in all zones, and callers."""

    def __init__(
        self,
        zones: dict[str, int],
        rate: float,
        *,
        upstreams: int = 12,
        slots: int = 60,
        loss: float = 0,
        seed: int = 1,
        patient: bool = False,
        keys: int = 60,
        urgent: float = 0,
        stream_s: float = 0,
        gone: float = 0,
        **options: Any,
    ) -> None:
        """Start the entries; ``rate`` requests a second come to all of them."""
        self.rate = 0.0
        self.due = 0.0
        self.caller_rng = random.Random(seed)
        self.patient = patient
        self.keys = keys
        self.urgent = urgent
        self.stream_s = stream_s
        self.gone = gone
        self.moods: dict[str, Mood] = defaultdict(Mood)
        self.attempts: list[_Attempt] = []
        self.callers: dict[tuple[str, int], _Caller] = {}
        self.returning: list[tuple[float, _Caller]] = []
        self.numbers = 0
        self.seen = Seen()
        self.names = [f'u{number}' for number in range(upstreams)]
        self.bounds = SteeringBounds(
            repeat_extra=0.12 * rate, cold_factor=1.5, cold_extra=5
        )
        self.routes = (
            route('read', timeout=_TIMEOUT_S),
            route('write', kind=RouteKind.AT_MOST_ONCE, timeout=_TIMEOUT_S),
            route('urgent', priority=0, timeout=_TIMEOUT_S),
        )
        super().__init__(zones, REGIONS, loss, **options)
        listed = sorted(zones)
        self.listed_records = tuple(
            upstream(
                name,
                address=f'{name}:80',
                zone=listed[number % len(listed)],
                slots=slots,
            )
            for number, name in enumerate(self.names)
        )
        self.store = 2
        for name in self.states:
            self.deliver_store(name, 2, self.listed_records)
        super().wait(2)
        self.rate = rate

    # -- what upstreams do

    def leave(self, *names: str) -> None:
        """Let upstreams say in each answer that they leave."""
        for name in names:
            self.moods[name].leaving = True

    def reject(self, seconds: float, backoff: float, *names: str) -> None:
        """Let upstreams reject all requests and ask for a backoff."""
        for name in names:
            self.moods[name].backoff = backoff
            self.moods[name].rejects_until = self.now + seconds

    # -- what is counted

    def sends_after_leave(self, bound: float = 0) -> int:
        """Return the requests to upstreams that had said that they leave.

        Counted are those that callers sent more than ``bound`` seconds after
        their entry had read it, or with no bound those sent on after it.
        """
        count = 0
        for name, sends in self.seen.sends.items():
            for one in sends:
                told = self.seen.told_leaving.get((one.entry, name), inf)
                count += (one.asked_at if bound else one.at) > told + bound
        return count

    def sends_in_backoffs(self) -> int:
        """Return the requests sent between an answer and the end it named."""
        return sum(
            self._count(name, entry, begin, end)
            for entry, name, begin, end in self.seen.asked_for
        )

    def broken_backoffs(self) -> int:
        """Return the backoffs in which the upstream got more than allowed."""
        return sum(
            self._count(name, entry, begin + BACKOFF_GRACE_S, end)
            > ALLOWED_IN_BACKOFF
            for entry, name, begin, end in self.seen.asked_for
        )

    def count_sends(
        self,
        names: Collection[str],
        since: float,
        until: float,
    ) -> int:
        """Return the requests to some upstreams in a span of time."""
        return sum(
            since <= one.at < until
            for name in names
            for one in self.seen.sends[name]
        )

    def share_served(
        self,
        since: float,
        until: float,
        kind: str = '',
    ) -> float:
        """Return the share served of what callers first sent in some time."""
        asked = [
            trace
            for trace, at in self.seen.asked.items()
            if since <= at < until and self.seen.kinds[trace].startswith(kind)
        ]
        return sum(one in self.seen.served for one in asked) / max(
            1, len(asked)
        )

    def _count(self, name: str, entry: str, since: float, until: float) -> int:
        return sum(
            since < one.at < until and one.entry == entry
            for one in self.seen.sends[name]
        )

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
            self._deliver_heads()
            self._end_attempts()
            self._send_due_requests()

    def _lose_requests(self, name: str) -> None:
        # What an entry was told does not outlive it.
        self.attempts = [one for one in self.attempts if one.entry != name]
        told = self.seen.told_leaving
        for key in [key for key in told if key[0] == name]:
            told.pop(key)
        self.seen.asked_for = [
            one
            for one in self.seen.asked_for
            if one[0] != name or one[3] <= self.now
        ]

    def _perform(self, name: str, effects: list[Effect]) -> None:
        super()._perform(name, effects)
        for note in of_type(effects, Decision):
            self.seen.decisions[note.kind.name] += 1
        for send in of_type(effects, SendUpstream):
            self._begin(name, send)
        for answer in of_type(effects, AnswerResult):
            self._refused(name, answer)

    def _begin(self, name: str, send: SendUpstream) -> None:
        caller = self.callers[name, send.request]
        self.seen.sends[send.upstream].append(
            Send(self.now, caller.asked_at, name)
        )
        mood = self.moods[send.upstream]
        rejected = self.now < mood.rejects_until
        head_at = self.now + (STEP if rejected else _EXECUTION_S)
        self.attempts.append(
            _Attempt(
                name,
                send.request,
                send.attempt,
                send.upstream,
                head_at,
                head_at + (0 if rejected else self.stream_s),
                rejected,
            )
        )

    def _deliver_heads(self) -> None:
        for one in tuple(self.attempts):
            if one.head_at <= self.now and one.entry not in self.frozen:
                one.head_at = inf
                self._deliver_head(one)

    def _deliver_head(self, one: _Attempt) -> None:
        mood = self.moods[one.upstream]
        notice = AvailabilityNotice(
            mood.leaving, mood.backoff if one.rejected else 0
        )
        if notice.is_empty:
            return
        event = NoticeReceived(self.now, one.request, one.number, notice)
        self._run(one.entry, event)
        if notice.leaving:
            self.seen.told_leaving.setdefault(
                (one.entry, one.upstream), self.now
            )
        if notice.backoff:
            self.seen.asked_for.append(
                (one.entry, one.upstream, self.now, self.now + notice.backoff)
            )
        if self.caller_rng.random() < self.gone:
            self._run(one.entry, CallerGone(self.now, one.request))

    def _end_attempts(self) -> None:
        ended = [
            one
            for one in self.attempts
            if one.ends_at <= self.now and one.entry not in self.frozen
        ]
        self.attempts = [one for one in self.attempts if one not in ended]
        for one in ended:
            outcome, status = AttemptOutcome.ANSWERED, 200
            if one.rejected:
                outcome, status = AttemptOutcome.NOT_EXECUTED, 503
            else:
                caller = self.callers[one.entry, one.request]
                self.seen.served.setdefault(caller.trace, self.now)
            self._run(
                one.entry,
                AttemptEnded(
                    self.now, one.request, one.number, outcome, status
                ),
            )

    def _refused(self, name: str, answer: AnswerResult) -> None:
        caller = self.callers[name, answer.request]
        self.seen.refusals.append((self.now - caller.asked_at, answer))
        left = caller.deadline - self.now
        wait = answer.retry_after
        if not self.patient:
            wait = min(wait, left * _OBEYED_SHARE)
        if caller.returns:
            caller.returns -= 1
            self.returning.append((self.now + wait, caller))

    def _send_due_requests(self) -> None:
        due = [one for one in self.returning if one[0] <= self.now]
        self.returning = [one for one in self.returning if one[0] > self.now]
        for _, caller in due:
            self._send(caller)
        self.due += self.rate * STEP
        while self.due >= 1:
            self.due -= 1
            self._send(self._new_caller())

    def _new_caller(self) -> _Caller:
        trace = f't{len(self.seen.asked)}'
        kind = self.caller_rng.choice(('read', 'read', 'write'))
        if self.caller_rng.random() < self.urgent:
            kind = 'urgent'
        self.seen.asked[trace] = self.now
        self.seen.kinds[trace] = kind
        key = str(self.caller_rng.randrange(self.keys)) if self.keys else ''
        return _Caller(
            trace, self.now, self.now + _TIMEOUT_S, f'/{kind}/x', key, 1
        )

    def _send(self, caller: _Caller) -> None:
        running: Sequence[str] = [
            name for name in sorted(self.states) if name not in self.frozen
        ]
        entry = self.caller_rng.choice(running)
        self.numbers += 1
        if self.patient:
            caller.deadline = self.now + _TIMEOUT_S
        caller.asked_at = self.now
        self.callers[entry, self.numbers] = caller
        self._run(
            entry,
            RequestArrived(
                self.now,
                self.numbers,
                SteeredHead(
                    caller.trace,
                    HOST,
                    'GET',
                    caller.path,
                    max(0.001, caller.deadline - self.now),
                    caller.key,
                ),
            ),
        )
