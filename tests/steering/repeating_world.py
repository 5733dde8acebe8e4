"""A fleet of entries whose upstreams reject requests as not executed.

Callers send requests to entries, chosen by weight.  An upstream rejects a share
of the attempts at once and executes the rest.  Requests are counted when they
arrive at an entry, retries when they reach an upstream.
"""

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from tests.steering.fleet_world import STEP, FleetWorld
from tests.steering.repeat_count import RetryCount
from tests.steering.world import HOST, of_type, route, upstream
from worksrail.core.identity import Incarnation
from worksrail.core.steering import (
    EntryLimits,
    SteeringBounds,
    UpstreamRecord,
)
from worksrail.core.steering._on_digests import own_contact
from worksrail.core.steering.effects import (
    AnswerResult,
    Decision,
    DecisionKind,
    Effect,
    ExitProcess,
    SendUpstream,
)
from worksrail.core.steering.events import (
    AttemptEnded,
    AttemptOutcome,
    EvacuationsRead,
    RequestArrived,
    SteeredHead,
    StopRequested,
)

ZONES = ('a1', 'a2', 'b1', 'b2', 'c1', 'c2')
REGIONS = {zone: zone[0] for zone in ZONES}
# Seconds of an execution, and timeout of callers.
_EXECUTION_TIME = 0.2
_CALLER_TIMEOUT = 2.5
_SLOTS = 200
_UPSTREAMS = 6
_NO_BUDGET = (DecisionKind.REPEAT_DENIED, 'budget')
# Seconds from the exit of an entry until its restart.
_RESTART_DELAY = 1.0


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """The scheduled end of an attempt."""

    entry: str
    """Entry that made it."""

    request: int
    """Its request."""

    attempt: int
    """Number of the attempt."""

    outcome: AttemptOutcome
    """How it ends."""


@dataclass(slots=True)
class Demand:
    """Load of the callers, and the shares that fail."""

    rate: float = 0
    """Requests per second of all callers together."""

    entry_weight: Callable[[str], float] = field(default=lambda name: 1.0)
    """Relative share of the callers that use an entry, by its name."""

    rejected_share: Callable[[str], float] = field(default=lambda name: 0.0)
    """Share of an entry's attempts that upstreams reject, by its name."""

    unreachable_share: float = 0
    """Share of the attempts that find no connection."""


class RetryFleetWorld(FleetWorld):
    """Entries, upstreams that reject requests, and callers."""

    routes = (route(max_attempts=3),)

    def __init__(
        self,
        zones: dict[str, int],
        bounds: SteeringBounds,
        loss: float = 0,
        *,
        rate: float = 0,
        fresh: bool = False,
        seed: int = 1,
        limits: dict[str, EntryLimits] | None = None,
        loading_time: float = 0,
    ) -> None:
        """Start entries and upstreams, and callers after a window.

        With ``fresh``, callers start as soon as the entries are ready.  Entries
        that restart are ready after ``loading_time``, in which they exchange
        digests.
        """
        self.bounds = bounds
        self.loading_time = loading_time
        self.loads_due: dict[int, list[Incarnation]] = defaultdict(list)
        self.count = RetryCount(STEP, [(0, bounds)])
        self.draw = random.Random(seed)
        self.demand = Demand()
        self.asked = 0
        self.due_requests = 0.0
        self.reached: set[int] = set()
        self.refusals: list[AnswerResult | None] = []
        self.attempt_ends: dict[int, list[AttemptEnd]] = defaultdict(list)
        self.exits: list[str] = []
        self.restarts: dict[int, list[str]] = defaultdict(list)
        self.evacuations = 1
        self.observers: list[Callable[[], None]] = []
        self.records: tuple[UpstreamRecord, ...] = ()
        super().__init__(zones, REGIONS, loss, limits)
        placed = sorted(zones)
        self.records = tuple(
            upstream(
                f'u{number}',
                address=f'u{number}:80',
                zone=placed[number % len(placed)],
                slots=_SLOTS,
            )
            for number in range(_UPSTREAMS)
        )
        for name in self.states:
            self.deliver_store(name, 1, self.records)
        self.wait(0 if fresh else bounds.repeat_window + 2)
        self.count.begin = self.count.now
        self.demand.rate = rate

    def start(self, name: str) -> None:
        """Start or restart an entry."""
        self.with_initial_state = not self.records
        super().start(name)
        if self.records:
            due = self.count.now + round(self.loading_time / STEP)
            self.loads_due[due].append(self.states[name].who)
            self._load_stores()

    def crash(self, *names: str) -> None:
        """Kill and restart entries; their pending requests are lost."""
        for name in names:
            self.stop(name)
        for step, ends in self.attempt_ends.items():
            self.attempt_ends[step] = [
                one for one in ends if one.entry not in names
            ]
        self.restarts[self.count.now + round(_RESTART_DELAY / STEP)] += names

    def leave(self, name: str) -> None:
        """Ask an entry to stop, and restart it after its exit."""
        self._run(name, StopRequested(self.now))

    def evacuate(self, *zones: str) -> None:
        """Evacuate exactly these zones."""
        self.evacuations += 1
        event = EvacuationsRead(self.now, frozenset(zones), self.evacuations)
        for name in self.states:
            self._run(name, event)

    def reject(self, share: float, region: str = '') -> None:
        """Let upstreams reject a share of the attempts, of a region or all."""
        self.demand.rejected_share = lambda name: share * _is_in(name, region)
        self.count.record_demand(wanted=share > 0)

    def use_only(self, *places: str) -> None:
        """Let callers use only the entries of some zones or regions."""
        self.demand.entry_weight = lambda name: any(
            _is_in(name, place) for place in places
        )

    def set_bounds(self, bounds: SteeringBounds) -> None:
        """Change the bounds at all entries; the window stays the same."""
        self.bounds = bounds
        self.count.bounds_history.append((self.count.now, bounds))
        for state in self.states.values():
            state.settings = replace(state.settings, bounds=bounds)

    def wait(self, seconds: float) -> None:
        """Let time pass, with the load of the callers."""
        for _ in range(round(seconds / STEP)):
            self.count.now += 1
            super().wait(STEP)
            self._restart_entries()
            self._load_stores()
            self._run_attempt_ends()
            self._generate_requests()
            for observe in self.observers:
                observe()

    def relays(self) -> list[str]:
        """Return the entries that take themselves for their zone's relay."""
        return [
            name
            for name, state in sorted(self.states.items())
            if state.fleet.is_relay(own_contact(state, self.now), self.now)
        ]

    def running(self) -> list[str]:
        """Return the entries that callers can use."""
        return sorted(
            name
            for name, state in self.states.items()
            if name not in self.frozen and state.ready and not state.leaving
        )

    def _perform(self, name: str, effects: list[Effect]) -> None:
        if not effects:
            return
        super()._perform(name, effects)
        for send in of_type(effects, SendUpstream):
            self._execute(name, send)
        for one in of_type(effects, Decision):
            if (one.kind, one.subject) == _NO_BUDGET:
                self.count.denials[self.count.now] += 1
                answers = of_type(effects, AnswerResult)
                self.refusals.append(next(iter(answers), None))
        if of_type(effects, ExitProcess):
            self.exits.append(name)

    def _execute(self, entry: str, send: SendUpstream) -> None:
        """Let an attempt be executed, rejected or find no connection."""
        unreachable_share = self.demand.unreachable_share
        if unreachable_share and self.draw.random() < unreachable_share:
            self._end_after(STEP, entry, send, AttemptOutcome.NOT_CONNECTED)
            return
        if send.request in self.reached:
            self.count.retries[self.count.now] += 1
        self.reached.add(send.request)
        if self.draw.random() < self.demand.rejected_share(entry):
            self._end_after(STEP, entry, send, AttemptOutcome.NOT_EXECUTED)
        else:
            self._end_after(
                _EXECUTION_TIME, entry, send, AttemptOutcome.ANSWERED
            )

    def _end_after(
        self,
        seconds: float,
        entry: str,
        send: SendUpstream,
        outcome: AttemptOutcome,
    ) -> None:
        self.attempt_ends[self.count.now + round(seconds / STEP)].append(
            AttemptEnd(entry, send.request, send.attempt, outcome)
        )

    def _run_attempt_ends(self) -> None:
        for one in self.attempt_ends.pop(self.count.now, ()):
            if one.entry in self.frozen:
                self.attempt_ends[self.count.now + 1].append(one)
            elif one.entry in self.states:
                answered = one.outcome is AttemptOutcome.ANSWERED
                event = AttemptEnded(
                    self.now,
                    one.request,
                    one.attempt,
                    one.outcome,
                    status=200 if answered else 503,
                )
                self._run(one.entry, event)

    def _restart_entries(self) -> None:
        exits, self.exits = self.exits, []
        self.crash(*exits)
        for name in self.restarts.pop(self.count.now, ()):
            self.start(name)

    def _load_stores(self) -> None:
        for who in self.loads_due.pop(self.count.now, ()):
            state = self.states.get(who.name)
            if state and state.who == who:
                self.deliver_store(who.name, 1, self.records)

    def _generate_requests(self) -> None:
        self.due_requests += self.demand.rate * STEP
        count, self.due_requests = int(self.due_requests), self.due_requests % 1
        running = self.running()
        weights = [self.demand.entry_weight(name) for name in running]
        if not count or not any(weights):
            return
        for entry in self.draw.choices(running, weights, k=count):
            self.asked += 1
            self.count.requests[self.count.now] += 1
            head = SteeredHead(
                f't{self.asked}',
                HOST,
                'GET',
                '/read/x',
                _CALLER_TIMEOUT,
                '',
            )
            self._run(entry, RequestArrived(self.now, self.asked, head))


def _is_in(entry: str, place: str) -> bool:
    """Whether an entry runs in a zone or region; empty means any."""
    zone = entry.partition('-')[0]
    return place in {'', zone, REGIONS[zone]}
