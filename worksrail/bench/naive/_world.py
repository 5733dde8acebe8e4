"""A world of naive entries, with the same upstreams and the same load."""

import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from worksrail.bench.naive._policies import NaivePolicy
from worksrail.bench.world import (
    FakeUpstream,
    Outcome,
    RequestLog,
    Traffic,
    VirtualClock,
    Watch,
    WorldPlan,
)
from worksrail.bench.world._upstreams import Execution
from worksrail.core.bundle import Topology
from worksrail.core.events import AttemptOutcome
from worksrail.core.results import ResultCode

_HOP: Final = 0.008
_FAR: Final = 0.07
_ATTEMPTS: Final = 3
_ENTRIES: Final = 9
_PATIENCE: Final = 0.5

PolicyMaker = Callable[[random.Random, VirtualClock], NaivePolicy]


@dataclass(slots=True)
class _Waiting:
    outcome: Outcome
    entry: str
    give_up_at: float


@dataclass(slots=True)
class NaiveWorld:
    """Naive entries: fixed shares of the caps, retries, no permits."""

    plan: WorldPlan
    """Bundle, service times and seed."""

    clock: VirtualClock
    """Virtual time."""

    rng: random.Random
    """Seeded source of arrivals."""

    policy: NaivePolicy
    """Chooses upstreams."""

    topology: Topology
    """The bundle, compiled."""

    upstreams: dict[str, FakeUpstream]
    """Upstreams by name."""

    log: RequestLog = field(default_factory=RequestLog)
    """What became of requests."""

    watch: Watch = field(default_factory=Watch)
    """Checks of the promises."""

    flights: Counter[tuple[str, str, str, str]] = field(default_factory=Counter)
    """Shifted requests in flight by entry, service, source and target."""

    own: Counter[tuple[str, str]] = field(default_factory=Counter)
    """Requests in flight by entry and service."""

    queues: dict[tuple[str, str], deque[_Waiting]] = field(default_factory=dict)
    """Requests that wait, by service and region."""

    sent: int = 0
    """Requests so far."""

    @classmethod
    def from_plan(cls, plan: WorldPlan, make: PolicyMaker) -> 'NaiveWorld':
        """Make a world of naive entries."""
        clock = VirtualClock()
        upstreams = {
            upstream.name: FakeUpstream(
                upstream,
                clock,
                random.Random(f'{plan.seed}/{upstream.name}'),
                plan.service_times[service.name],
                cold_factor=plan.cold[0],
                warm_after=plan.cold[1],
                queue_limit=plan.queue_limit,
            )
            for service in plan.bundle.services
            for upstream in service.upstreams
        }
        return cls(
            plan,
            clock,
            random.Random(plan.seed),
            make(random.Random(plan.seed + 2), clock),
            Topology.from_bundle(plan.bundle),
            upstreams,
        )

    def load(self, traffic: Traffic) -> None:
        """Send requests with exponential gaps until a time."""
        if self.clock.now >= traffic.end:
            return
        self.sent += 1
        home = traffic.home
        outcome = Outcome(
            f'r{self.sent}', traffic.service, home, '', self.clock.now
        )
        self.log.outcomes[outcome.trace] = outcome
        chosen = traffic.entry or f'{home}-{self.rng.randrange(3)}'
        self.clock.after(_HOP / 2, lambda: self._place(outcome, chosen, 1))
        self.clock.after(
            self.rng.expovariate(traffic.rate),
            lambda: self.load(traffic),
        )

    def run_until(self, end: float) -> None:
        """Let time pass."""
        self.clock.run_until(end)

    def _place(self, outcome: Outcome, entry: str, attempt: int) -> None:
        region = outcome.home
        if self._is_full(outcome, entry):
            region = self._other_region(outcome, entry) or region
        candidates = [
            self.upstreams[upstream.name]
            for upstream in self.topology.services[outcome.service].regional[
                region
            ]
        ]
        upstream = self.policy.choose(entry, candidates)
        if upstream is None:
            self._wait(outcome, entry, region)
            return
        self._send(outcome, entry, region, upstream, attempt)

    def _send(
        self,
        outcome: Outcome,
        entry: str,
        region: str,
        upstream: FakeUpstream,
        attempt: int,
    ) -> None:
        self.policy.began(entry, upstream)
        self.own[entry, outcome.service] += 1
        shifted = region != outcome.home
        pair = (outcome.service, outcome.home, region)
        if shifted:
            self.flights[(entry, *pair)] += 1
            view = self.topology.services[outcome.service]
            self.watch.shifted_start(self.clock.now, pair, view)

        def ended(how: AttemptOutcome) -> None:
            self.policy.ended(entry, upstream)
            self.own[entry, outcome.service] -= 1
            if shifted:
                self.flights[(entry, *pair)] -= 1
                self.watch.shifted_end(pair)
            delay = _HOP / 2 + (_FAR if shifted else 0)
            self.clock.after(
                delay, lambda: self._answer(outcome, entry, how, attempt)
            )
            self._serve_waiting(outcome.service, region)

        execution = upstream.take(ended)
        occupied = upstream.in_flight + len(upstream.waiting)
        self.watch.occupation(
            self.clock.now,
            upstream.upstream.name,
            occupied,
            upstream.upstream.slots,
        )
        self._limit(outcome, upstream, execution, ended)

    def _limit(
        self,
        outcome: Outcome,
        upstream: FakeUpstream,
        execution: Execution,
        ended: Callable[[AttemptOutcome], None],
    ) -> None:
        service = self.topology.services[outcome.service].service

        def late() -> None:
            if not execution.over:
                upstream.cancel(execution)
                ended(AttemptOutcome.TIMED_OUT)

        self.clock.at(outcome.started_at + service.deadline, late)

    def _answer(
        self,
        outcome: Outcome,
        entry: str,
        how: AttemptOutcome,
        attempt: int,
    ) -> None:
        if how is AttemptOutcome.ANSWERED:
            self.log.answered(outcome.trace, ResultCode.OK, self.clock.now)
        elif how is AttemptOutcome.TIMED_OUT:
            self.log.answered(
                outcome.trace, ResultCode.UPSTREAM_TIMEOUT, self.clock.now
            )
        elif attempt < _ATTEMPTS:
            self._place(outcome, entry, attempt + 1)
        else:
            self.log.answered(
                outcome.trace, ResultCode.UPSTREAM_SHED, self.clock.now
            )

    def _is_full(self, outcome: Outcome, entry: str) -> bool:
        view = self.topology.services[outcome.service]
        slots = sum(one.slots for one in view.regional[outcome.home])
        return self.own[entry, outcome.service] >= slots / 3

    def _other_region(self, outcome: Outcome, entry: str) -> str:
        view = self.topology.services[outcome.service]
        home = self.topology.regions[outcome.home]
        for region in home.fallbacks:
            cap = view.caps.get((outcome.home, region))
            pair = (entry, outcome.service, outcome.home, region)
            # Each entry works by a fixed share of the cap.
            if cap and self.flights[pair] < cap.in_flight // _ENTRIES:
                return region
        return ''

    def _wait(self, outcome: Outcome, entry: str, region: str) -> None:
        queue = self.queues.setdefault((outcome.service, region), deque())
        waiting = _Waiting(outcome, entry, self.clock.now + _PATIENCE)
        queue.append(waiting)
        self.clock.after(_PATIENCE, lambda: self._give_up(queue, waiting))

    def _give_up(self, queue: deque[_Waiting], waiting: _Waiting) -> None:
        if waiting in queue:
            queue.remove(waiting)
            self.log.answered(
                waiting.outcome.trace, ResultCode.NO_SLOT, self.clock.now
            )

    def _serve_waiting(self, service: str, region: str) -> None:
        queue = self.queues.get((service, region))
        if queue:
            waiting = queue.popleft()
            self._place(waiting.outcome, waiting.entry, 1)
