"""The promises, checked from what callers and upstreams see."""

import hashlib
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum, unique
from math import inf

from tests.soak._cuts import Cut, CutShare
from tests.soak._departures import Departures
from tests.soak._order import (
    Asked,
    Passed,
    below_share_passed,
    urgent_passed,
)
from tests.soak._repeats import Budget, Excess, worst_windows
from tests.soak._statements import (
    Met,
    Stated,
    broken_backoffs,
    late_requests,
)
from tests.soak._stops import StopsSeen

# Seconds that a caller waits for an answer.
DEADLINE = 3.0
# Statuses that say: not executed, and it never will be.
_REFUSALS = frozenset((408, 421, 429, 503))
_OK = 200
# Upstreams after which a request is known to crash them, and how many more may
# get it from some seconds later on.
_PROOFS = 3
_STABLE_WINDOW = 4.0
_MOST_AFTER = 3
# What an upstream that names a limit may get in a window of so many seconds: a
# multiple of the limit, and some requests besides.
_LIMIT_WINDOW = 4.0
_LIMIT_FACTOR = 1.5
_LIMIT_EXTRA = 5
# Seconds that a caller waits for the end of its request.
_PATIENCE = 4.0
# Seconds that a refusal may take to its caller.
_TOLERANCE = 0.1
# Seconds before a request in which an unplanned fault may still cut it.
_CALM = 4.0


@unique
class Promise(Enum):
    """What is checked."""

    AT_MOST_ONCE = 'a request that must not be repeated is executed once'
    TRUE_REFUSAL = 'what was refused was not executed'
    OWN_ANSWER = 'a success is the whole answer to its own request'
    UNCHANGED = 'upstreams get what callers sent, and nothing else'
    ROUTED = 'a request is executed by a service that its route names'
    PLANNED_STOP = 'a planned stop cuts no request that is executed'
    CLEAN_EXIT = 'an entry that was told to stop ends with exit code 0'
    STAYS_UP = 'an entry ends only when it is told to'
    LEFT_ALONE = (
        'no upstream works on, or gets, what its caller has left, half a second'
        ' later'
    )
    RECOVERY = 'all entries serve again once the faults are over'
    ONE_FLEET = 'entries find each other, whatever their seeds'
    HANDLED = 'no event of an entry fails for an unexpected error'
    RELEASED = 'nothing is held once nobody asks any more'
    NAMED_LIMIT = 'an upstream that names a limit gets no more than it allows'
    FEW_REPEATS = 'repeats over all entries stay within the budget they share'
    CUT_SERVED = 'callers of an entry without links to upstreams are served'
    LEAVES = 'an upstream that says in its answers that it leaves is left alone'
    BACKOFF = 'an upstream that asks for no requests gets few'
    URGENT_FIRST = 'urgent requests are not refused for less urgent ones'
    FAIR_SHARE = 'who asks for no more than its share is not refused for others'
    RETURN_IN_TIME = 'who is told to come back can do so within its time'
    STOP_ANSWERS = (
        'an entry that was asked to stop leaves nobody without the answer '
        'that his upstream was making'
    )
    FEW_CRASHES = 'a request that crashed three upstreams reaches few more'


@dataclass(frozen=True, slots=True)
class Sent:
    """A request as a caller sent it."""

    trace: str
    """Its identifier."""

    path: str
    """Path, whose first segment names the route."""

    body: bytes
    """Its body."""

    unsafe: bool
    """It must not be executed twice."""

    entry: str
    """Entry that it was sent to."""

    at: float
    """When."""

    customer: str = ''
    """Customer whose key it carries; empty if it carries none."""

    time_left: float = DEADLINE
    """Seconds that its caller waits."""

    returns_for: str = ''
    """Identifier of the refused request for which its caller comes back."""


@dataclass(frozen=True, slots=True)
class Executed:
    """A request as an upstream executed it."""

    trace: str
    """Its identifier."""

    path: str
    """Path as it arrived."""

    body: bytes
    """Body as it arrived."""

    service: str
    """Service of the upstream."""


@dataclass(frozen=True, slots=True)
class Ended:
    """How a request ended for its caller."""

    trace: str
    """Its identifier."""

    status: int
    """Status of a whole answer; zero if there was none."""

    body: bytes
    """Body of the answer."""

    at: float
    """When."""

    retry_after: float = 0
    """Seconds after which the caller was told to come back."""

    result: int = 0
    """Result code of an answer of the entry's own; zero in others."""


@dataclass(frozen=True, slots=True)
class Crash:
    """An upstream that crashed under a request."""

    trace: str
    """Identifier of the request."""

    at: float
    """When."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached an upstream."""

    upstream: str
    """Name of the upstream."""

    trace: str
    """Identifier of the request."""

    at: float
    """When."""

    service: str
    """Service of the upstream."""


@dataclass(frozen=True, slots=True)
class Limited:
    """A time in which an upstream named a limit."""

    upstream: str
    """Its name."""

    rate: float
    """Requests a second."""

    begin: float
    """When it began to name it."""

    end: float
    """When it ceased."""


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken."""

    promise: Promise
    """Which one."""

    about: str
    """Request or entry."""

    details: str
    """What was seen."""


def answer_of(trace: str, path: str, body: bytes) -> bytes:
    """What every upstream answers to a request; nothing else is right."""
    digest = hashlib.sha256(f'{trace}|{path}|'.encode() + body)
    return digest.hexdigest().encode()


@dataclass(slots=True)
class Witness:
    """Collects what is seen, and says which promises were broken."""

    services: dict[str, frozenset[str]]
    """Services that each route ever named, by its first path segment."""

    budget: Budget = field(default_factory=Budget)
    """Repeats that all entries together may send."""

    priorities: dict[str, int] = field(default_factory=dict)
    """Ranks of the routes to the service whose slots are short at times, by
    their first path segment."""

    sent: dict[str, Sent] = field(default_factory=dict)
    """Requests by identifier."""

    executed: dict[str, list[Executed]] = field(
        default_factory=lambda: defaultdict(list)
    )
    """Executions by identifier."""

    ended: dict[str, Ended] = field(default_factory=dict)
    """Ends by identifier."""

    faults: list[float] = field(default_factory=list)
    """Times at which an unplanned fault was in force."""

    silent: set[str] = field(default_factory=set)
    """Entries that did not serve at the end."""

    held: dict[str, str] = field(default_factory=dict)
    """What entries still held after the last caller."""

    apart: dict[str, str] = field(default_factory=dict)
    """Entries that did not know all others at the end, and whom they knew."""

    errors: dict[str, str] = field(default_factory=dict)
    """Entries with unexpected errors of handlers, and the first one's line."""

    exits: list[tuple[str, int | None]] = field(default_factory=list)
    """Entries that were told to stop, and their exit codes."""

    ends: list[tuple[str, int]] = field(default_factory=list)
    """Entries that ended without having been told to, and their exit codes."""

    crashes: list[Crash] = field(default_factory=list)
    """Crashes under the request that causes them, in order."""

    arrivals: list[Arrival] = field(default_factory=list)
    """Requests that reached upstreams, in order."""

    misdirected: list[Arrival] = field(default_factory=list)
    """Requests that reached another upstream than they were meant for."""

    limited: list[Limited] = field(default_factory=list)
    """Limits that upstreams named."""

    disturbed: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    """When entries were started, frozen or let go on."""

    out_of_touch: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    """Begin and end of the times in which an entry had no sound store, or was
    told to stop and not started again."""

    cuts: list[Cut] = field(default_factory=list)
    """Entries that were cut off from upstreams."""

    stated: list[Stated] = field(default_factory=list)
    """Statements in answers whose way to the entry was sound, in order."""

    met: list[Met] = field(default_factory=list)
    """Requests that reached the upstream that they were meant for, in order."""

    departures: Departures = field(default_factory=Departures)
    """Callers that left, and what upstreams ran for them."""

    stops: StopsSeen = field(default_factory=StopsSeen)
    """Stops of entries, and what upstreams executed when."""

    def end_cuts(self, host: str, now: float) -> None:
        """Note that an entry has its links to upstreams back."""
        for cut in self.cuts:
            if cut.host == host and cut.end == inf:
                cut.end = now

    def cut_shares(self) -> list[CutShare]:
        """How first tries ended during each cut, once it was known."""
        return [self._share_of(cut) for cut in self.cuts]

    def _share_of(self, cut: Cut) -> CutShare:
        there = [0, 0]
        elsewhere = [0, 0]
        last = max((end.at for end in self.ended.values()), default=0)
        for trace, sent in self.sent.items():
            host = sent.entry.partition(':')[0]
            if not cut.begin + _CALM <= sent.at < cut.end:
                continue
            # A caller that saw no end of its request was not served, unless
            # it still waits.
            if trace not in self.ended and sent.at > last - _PATIENCE:
                continue
            if self._was_disturbed(host, sent.at) or self._was_out_of_touch(
                host, sent.at
            ):
                continue
            counts = there if host == cut.host else elsewhere
            if host != cut.host and self._was_cut(host, sent.at):
                continue
            end = self.ended.get(trace)
            counts[0] += end is not None and end.status == _OK
            counts[1] += 1
        return CutShare(cut, (there[0], there[1]), (elsewhere[0], elsewhere[1]))

    def _was_disturbed(self, host: str, at: float) -> bool:
        times = self.disturbed.get(host, [])
        return any(at - _CALM <= one <= at for one in times)

    def _was_out_of_touch(self, host: str, at: float) -> bool:
        return any(
            begin <= at <= end + _CALM
            for begin, end in self.out_of_touch.get(host, [])
        )

    def _was_cut(self, host: str, at: float) -> bool:
        return any(
            cut.host == host and cut.begin <= at <= cut.end for cut in self.cuts
        )

    def violations(self) -> list[Violation]:
        """All promises that were broken."""
        found = [
            Violation(Promise.RECOVERY, entry, 'does not serve')
            for entry in sorted(self.silent)
        ]
        found += [
            Violation(Promise.RELEASED, entry, gauges)
            for entry, gauges in self.held.items()
        ]
        found += [
            Violation(Promise.ONE_FLEET, entry, known)
            for entry, known in self.apart.items()
        ]
        found += [
            Violation(Promise.HANDLED, entry, line)
            for entry, line in self.errors.items()
        ]
        found += [
            Violation(Promise.CLEAN_EXIT, entry, f'exit code {code}')
            for entry, code in self.exits
            if code
        ]
        found += [
            Violation(Promise.STAYS_UP, entry, f'exit code {code}')
            for entry, code in self.ends
        ]
        found += [
            Violation(Promise.FEW_REPEATS, one.service, str(one))
            for one in self.repeats()
            if one.repeats > one.allowed
        ]
        found += [
            Violation(Promise.CUT_SERVED, one.cut.host, str(one))
            for one in self.cut_shares()
            if one.is_broken()
        ]
        found += self._of_order()
        found += self._of_statements()
        found += self._of_crashes()
        found += [
            Violation(Promise.STOP_ANSWERS, trace, details)
            for trace, details in self.stops.broken(
                self.sent, self.ended, self._was_calm
            )
        ]
        found += [
            Violation(Promise.LEFT_ALONE, trace, details)
            for trace, details in self.departures.broken(
                self.sent, self._was_calm
            )
        ]
        for limited in self.limited:
            found += self._of_limit(limited)
        for trace, executions in self.executed.items():
            found += self._of_executions(trace, executions)
        for trace in self.ended:
            found += self._of_end(self.sent[trace], self.ended[trace])
        return found

    def repeats(self) -> list[Excess]:
        """Worst window of each service, by the budget of repeats."""
        requests = (
            (trace, one.at, self.services[one.path.split('/')[1]])
            for trace, one in self.sent.items()
        )
        # The service of an upstream for which it was meant prevails.
        arrivals = (
            (one.trace, one.at, one.service)
            for one in (*self.misdirected, *self.arrivals)
        )
        return worst_windows(self.budget, requests, arrivals)

    def order(self) -> dict[Promise, Passed]:
        """How many requests were refused for others that come after them."""
        asked = self._asked()
        return {
            Promise.URGENT_FIRST: urgent_passed(asked),
            Promise.FAIR_SHARE: below_share_passed(asked),
        }

    def _of_order(self) -> list[Violation]:
        found = [
            Violation(promise, 'all', str(passed))
            for promise, passed in self.order().items()
            if passed.is_broken()
        ]
        for trace, end in self.ended.items():
            sent = self.sent[trace]
            left = sent.at + sent.time_left - end.at
            if not 0 < left < end.retry_after - _TOLERANCE:
                continue
            if self._is_to_blame(sent, end):
                details = f'{end.retry_after:.2f} s, {left:.2f} s are left'
                found.append(Violation(Promise.RETURN_IN_TIME, trace, details))
        return found

    def _is_to_blame(self, sent: Sent, end: Ended) -> bool:
        """Whether an entry could know how much time its caller had left."""
        host = sent.entry.partition(':')[0]
        return self._is_ranked(sent) and not self._was_disturbed_between(
            host, sent.at, end.at
        )

    def _asked(self) -> list[Asked]:
        """Requests by rank and customer at entries that were not disturbed."""
        found = []
        for trace, end in self.ended.items():
            sent = self.sent[trace]
            host = sent.entry.partition(':')[0]
            if not self._is_ranked(sent) or self._was_disturbed(host, sent.at):
                continue
            if self._was_out_of_touch(host, sent.at):
                continue
            if self._was_cut(host, sent.at):
                continue
            priority = self.priorities[sent.path.split('/')[1]]
            found.append(Asked(sent.at, priority, sent.customer, end.status))
        return found

    def _is_ranked(self, sent: Sent) -> bool:
        return sent.path.split('/')[1] in self.priorities

    def _of_executions(
        self,
        trace: str,
        executions: list[Executed],
    ) -> list[Violation]:
        sent = self.sent.get(trace)
        if sent is None:
            return [Violation(Promise.UNCHANGED, trace, 'nobody sent it')]
        found = []
        if sent.unsafe and len(executions) > 1:
            times = f'{len(executions)} times'
            found.append(Violation(Promise.AT_MOST_ONCE, trace, times))
        for one in executions:
            if (one.path, one.body) != (sent.path, sent.body):
                found.append(Violation(Promise.UNCHANGED, trace, one.path))
            if one.service not in self.services[sent.path.split('/')[1]]:
                found.append(Violation(Promise.ROUTED, trace, one.service))
        return found

    def _of_end(self, sent: Sent, end: Ended) -> list[Violation]:
        ran = bool(self.executed.get(sent.trace))
        if end.status in _REFUSALS and ran and sent.unsafe:
            details = f'{end.status} at {end.at:.2f}'
            return [Violation(Promise.TRUE_REFUSAL, sent.trace, details)]
        right = answer_of(sent.trace, sent.path, sent.body)
        if end.status == _OK and end.body != right:
            details = repr(end.body[:60])
            return [Violation(Promise.OWN_ANSWER, sent.trace, details)]
        if end.status == 0 and ran and self._was_calm(sent.at, end.at):
            details = f'{sent.entry} from {sent.at:.2f} to {end.at:.2f}'
            return [Violation(Promise.PLANNED_STOP, sent.trace, details)]
        return []

    def _of_statements(self) -> list[Violation]:
        late = late_requests(
            self.stated,
            self.met,
            self._passed_on_at,
            lambda trace: self.sent[trace].at if trace in self.sent else -inf,
            self._was_disturbed_between,
        )
        broken = broken_backoffs(
            self.stated, self.met, self._is_excused_from_backoff
        )
        return [
            Violation(
                Promise.LEAVES, one.upstream, f'{one.trace} from {one.entry}'
            )
            for one in late
        ] + [
            Violation(Promise.BACKOFF, one.upstream, f'{count} in {one}')
            for one, count in broken
        ]

    def _passed_on_at(self, stated: Stated) -> float:
        """When the caller had the answer; infinite if it came from another."""
        end = self.ended.get(stated.trace)
        last = next(
            (one for one in reversed(self.met) if one.trace == stated.trace),
            None,
        )
        if end is None or end.status != _OK or last is None:
            return inf
        return end.at if last.upstream == stated.upstream else inf

    def _was_disturbed_between(
        self, host: str, begin: float, end: float
    ) -> bool:
        return any(begin <= at <= end for at in self.disturbed.get(host, []))

    def _is_excused_from_backoff(
        self, host: str, begin: float, end: float
    ) -> bool:
        return self._was_disturbed_between(host, begin, end) or any(
            cut.host == host and cut.begin <= end and cut.end >= begin
            for cut in self.cuts
        )

    def _of_crashes(self) -> list[Violation]:
        if len(self.crashes) < _PROOFS:
            return []
        known_at = self.crashes[_PROOFS - 1].at + _STABLE_WINDOW
        late = [
            crash
            for crash in self.crashes
            if crash.at > known_at and self._was_in_touch(crash)
        ]
        if len(late) <= _MOST_AFTER:
            return []
        details = f'{len(late)} more, first at {late[0].at:.2f}'
        return [Violation(Promise.FEW_CRASHES, late[0].trace, details)]

    def _of_limit(self, limited: Limited) -> list[Violation]:
        times = [
            one.at
            for one in self.arrivals
            if one.upstream == limited.upstream
            and limited.begin + _STABLE_WINDOW <= one.at <= limited.end
            and self._was_in_touch(one)
        ]
        most = limited.rate * _LIMIT_FACTOR * _LIMIT_WINDOW + _LIMIT_EXTRA
        for begin in times:
            count = sum(begin <= at <= begin + _LIMIT_WINDOW for at in times)
            if count > most:
                details = f'{count} from {begin:.2f} on, {most:.1f} allowed'
                about = limited.upstream
                return [Violation(Promise.NAMED_LIMIT, about, details)]
        return []

    def _was_in_touch(self, one: Crash | Arrival) -> bool:
        sent = self.sent.get(one.trace)
        # Callers name an entry by its address, faults by its host.
        host = sent.entry.partition(':')[0] if sent else ''
        return not self._was_disturbed(host, one.at)

    def _was_calm(self, begin: float, end: float) -> bool:
        return not any(begin - _CALM <= at <= end for at in self.faults)
