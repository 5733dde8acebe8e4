"""A fleet of entries whose upstreams reject requests as not executed.

Callers send requests to entries, each to those that it likes.  An upstream
rejects a share of what reaches it at once and executes the rest.  Requests are
counted when they come to an entry, repeats when they reach an upstream.
"""

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from tests.steering.fleet_world import STEP, FleetWorld
from tests.steering.repeat_count import RepeatCount
from tests.steering.world import HOST, of_type, route, upstream
from worksrail.core.steering import SteeringBounds, UpstreamRecord
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
# Seconds of an execution, and for which callers wait.
_WORK = 0.2
_PATIENCE = 2.5
_SLOTS = 200
_UPSTREAMS = 6
_NO_BUDGET = (DecisionKind.REPEAT_DENIED, 'budget')
# Seconds from the exit of an entry until it is started again.
_AWAY = 1.0


@dataclass(frozen=True, slots=True)
class Ending:
    """An attempt that is to end."""

    entry: str
    """Entry that made it."""

    request: int
    """Its request."""

    attempt: int
    """Which of its attempts."""

    outcome: AttemptOutcome
    """How it ends."""


@dataclass(slots=True)
class Demand:
    """Who asks for how much, and what is rejected."""

    rate: float = 0
    """Requests a second of all callers together."""

    liking: Callable[[str], float] = field(default=lambda name: 1.0)
    """How much callers like an entry, by its name."""

    rejected: Callable[[str], float] = field(default=lambda name: 0.0)
    """Share of what an entry sends that upstreams reject, by its name."""

    unreached: float = 0
    """Share of what entries send that finds no connection."""


class RepeatingWorld(FleetWorld):
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
    ) -> None:
        """Start entries and upstreams, and callers as soon as these are old.

        Fresh ones get their load as soon as they are ready.
        """
        self.bounds = bounds
        self.count = RepeatCount(STEP, [(0, bounds)])
        self.draw = random.Random(seed)
        self.demand = Demand()
        self.asked = 0
        self.owed = 0.0
        self.reached: set[int] = set()
        self.refusals: list[AnswerResult | None] = []
        self.endings: dict[int, list[Ending]] = defaultdict(list)
        self.exits: list[str] = []
        self.returning: dict[int, list[str]] = defaultdict(list)
        self.evacuations = 1
        self.records: tuple[UpstreamRecord, ...] = ()
        super().__init__(zones, REGIONS, loss)
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
        """Start an entry, or start it again."""
        super().start(name)
        if self.records:
            self.deliver_store(name, 1, self.records)

    def crash(self, *names: str) -> None:
        """Kill entries, which are started again; all they did is lost."""
        for name in names:
            self.stop(name)
        for step, ending in self.endings.items():
            self.endings[step] = [
                one for one in ending if one.entry not in names
            ]
        self.returning[self.count.now + round(_AWAY / STEP)] += names

    def leave(self, name: str) -> None:
        """An entry is asked to stop, and started again after its exit."""
        self._run(name, StopRequested(self.now))

    def evacuate(self, *zones: str) -> None:
        """Requests shall leave some zones, and may come back to others."""
        self.evacuations += 1
        event = EvacuationsRead(self.now, frozenset(zones), self.evacuations)
        for name in self.states:
            self._run(name, event)

    def reject(self, share: float, region: str = '') -> None:
        """Upstreams reject a share of what entries send, or a region's do."""
        self.demand.rejected = lambda name: share * _is_in(name, region)
        self.count.wish(wanted=share > 0)

    def like(self, *places: str) -> None:
        """Callers use the entries of some zones or regions only."""
        self.demand.liking = lambda name: any(
            _is_in(name, place) for place in places
        )

    def set_bounds(self, bounds: SteeringBounds) -> None:
        """All entries read their settings again; the window stays."""
        self.bounds = bounds
        self.count.sheets.append((self.count.now, bounds))
        for state in self.states.values():
            state.settings = replace(state.settings, bounds=bounds)

    def wait(self, seconds: float) -> None:
        """Let time pass; callers come."""
        for _ in range(round(seconds / STEP)):
            self.count.now += 1
            super().wait(STEP)
            self._let_entries_return()
            self._end_attempts()
            self._let_callers_come()

    def running(self) -> list[str]:
        """Entries that callers can use."""
        return sorted(
            name
            for name, state in self.states.items()
            if name not in self.frozen and not state.leaving
        )

    def _perform(self, name: str, effects: list[Effect]) -> None:
        if not effects:
            return
        super()._perform(name, effects)
        for send in of_type(effects, SendUpstream):
            self._take(name, send)
        for one in of_type(effects, Decision):
            if (one.kind, one.subject) == _NO_BUDGET:
                self.count.denials[self.count.now] += 1
                answers = of_type(effects, AnswerResult)
                self.refusals.append(next(iter(answers), None))
        if of_type(effects, ExitProcess):
            self.exits.append(name)

    def _take(self, entry: str, send: SendUpstream) -> None:
        """An upstream takes a request, or rejects it, or is not reached."""
        unreached = self.demand.unreached
        if unreached and self.draw.random() < unreached:
            self._end_after(STEP, entry, send, AttemptOutcome.NOT_CONNECTED)
            return
        if send.request in self.reached:
            self.count.repeats[self.count.now] += 1
        self.reached.add(send.request)
        if self.draw.random() < self.demand.rejected(entry):
            self._end_after(STEP, entry, send, AttemptOutcome.NOT_EXECUTED)
        else:
            self._end_after(_WORK, entry, send, AttemptOutcome.ANSWERED)

    def _end_after(
        self,
        seconds: float,
        entry: str,
        send: SendUpstream,
        outcome: AttemptOutcome,
    ) -> None:
        self.endings[self.count.now + round(seconds / STEP)].append(
            Ending(entry, send.request, send.attempt, outcome)
        )

    def _end_attempts(self) -> None:
        for one in self.endings.pop(self.count.now, ()):
            if one.entry in self.frozen:
                self.endings[self.count.now + 1].append(one)
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

    def _let_entries_return(self) -> None:
        exits, self.exits = self.exits, []
        self.crash(*exits)
        for name in self.returning.pop(self.count.now, ()):
            self.start(name)

    def _let_callers_come(self) -> None:
        self.owed += self.demand.rate * STEP
        count, self.owed = int(self.owed), self.owed % 1
        running = self.running()
        weights = [self.demand.liking(name) for name in running]
        if not count or not any(weights):
            return
        for entry in self.draw.choices(running, weights, k=count):
            self.asked += 1
            self.count.requests[self.count.now] += 1
            head = SteeredHead(
                f't{self.asked}', HOST, 'GET', '/read/x', _PATIENCE, ''
            )
            self._run(entry, RequestArrived(self.now, self.asked, head))


def _is_in(entry: str, place: str) -> bool:
    """Whether an entry runs in a zone or region; an empty one is all."""
    zone = entry.partition('-')[0]
    return place in {'', zone, REGIONS[zone]}
