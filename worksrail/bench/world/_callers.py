"""Callers: they look up entries, send requests and come back once."""

import random
from dataclasses import dataclass, field, replace
from typing import Final, Protocol

from worksrail.bench.world._clock import WALL, VirtualClock
from worksrail.bench.world._plan import WorldPlan
from worksrail.bench.world._process import FakeProcess, Reply
from worksrail.bench.world._requests import Outcome, RequestLog, Traffic
from worksrail.core.customers import KeyDigest
from worksrail.core.lookups import LookUpAnswer, look_up
from worksrail.core.requests import NoTicket, RequestHead, Ticket
from worksrail.core.results import ResultCode

# Seconds between a caller and an entry, one way.
_CALLER_DELAY: Final = 0.004


class CalledWorld(Protocol):
    """What callers need of a world."""

    @property
    def plan(self) -> WorldPlan:
        """What it was made from."""

    @property
    def clock(self) -> VirtualClock:
        """Virtual time."""

    @property
    def rng(self) -> random.Random:
        """Seeded source of whatever is random."""

    @property
    def log(self) -> RequestLog:
        """What became of requests."""

    @property
    def processes(self) -> dict[str, FakeProcess]:
        """Processes by the name of their instance."""

    def live(self) -> list[FakeProcess]:
        """Processes that run."""

    def arrive_at(
        self,
        process: FakeProcess,
        head: RequestHead,
        reply: Reply,
    ) -> int:
        """Hand a request to a process; gives its number there."""


@dataclass(slots=True)
class Callers:
    """The callers of all regions."""

    world: CalledWorld
    """Where they are."""

    answers: dict[tuple[str, str], tuple[float, LookUpAnswer]] = field(
        default_factory=dict
    )
    """Look-up answers that are cached, by service and region."""

    clients: dict[str, str] = field(default_factory=dict)
    """Address of a caller of each region."""

    key_digest: KeyDigest = ''
    """Digest of the API key that they send; empty if they send none."""

    count: int = 0
    """Requests so far."""

    def request(
        self,
        service: str,
        home: str,
        *,
        write: bool = False,
        entry: str = '',
        key: str = '',
        ticket: Ticket | None = None,
        timeout: float | None = None,
        path: str = '/',
    ) -> Outcome:
        """Send one request as a caller of a region would."""
        self.count += 1
        trace = f'r{self.count}'
        chosen_key = key or trace if write else key
        outcome = Outcome(
            trace, service, home, chosen_key, self.world.clock.now
        )
        self.world.log.outcomes[trace] = outcome
        answer = self._cached_look_up(service, home)
        if answer is None:
            return outcome
        host = self.world.plan.bundle.services
        name = next(one.host for one in host if one.name == service)
        right = ticket or answer.ticket
        head = RequestHead(
            trace,
            name,
            'POST' if write else 'GET',
            path,
            self._client(home),
            timeout,
            right if write else NoTicket.NOT_GIVEN,
            chosen_key,
            key_digest=self.key_digest,
        )
        target = entry or self._entry(answer, write=write)
        self.world.clock.after(
            _CALLER_DELAY, lambda: self._arrive(target, head)
        )
        return outcome

    def load(self, traffic: Traffic) -> None:
        """Send requests with exponential gaps until a time."""
        if self.world.clock.now >= traffic.end:
            return
        write = self.world.rng.random() < traffic.writes
        self.request(
            traffic.service, traffic.home, write=write, entry=traffic.entry
        )
        gap = self.world.rng.expovariate(traffic.rate)
        self.world.clock.after(gap, lambda: self.load(traffic))

    def _arrive(self, target: str, head: RequestHead) -> None:
        process = self.world.processes.get(target)
        if process is None or process.dead:
            # A refused connection: the caller looks up again and goes on.
            self._again(head)
            return

        def reply(code: ResultCode, retry_after: float) -> None:
            self.world.clock.after(
                _CALLER_DELAY,
                lambda: self.world.log.answered(
                    head.trace, code, self.world.clock.now, retry_after
                ),
            )

        self.world.arrive_at(process, head, reply)

    def _again(self, head: RequestHead) -> None:
        outcome = self.world.log.outcomes[head.trace]
        self.answers.pop((outcome.service, outcome.home), None)
        answer = self._cached_look_up(outcome.service, outcome.home)
        if answer is None:
            return
        target = answer.entries[0].name
        process = self.world.processes.get(target)
        if process is None or process.dead:
            return
        ticket = head.ticket
        fresh = answer.ticket if isinstance(ticket, Ticket) else ticket
        self._arrive(target, replace(head, ticket=fresh))

    def _cached_look_up(self, service: str, home: str) -> LookUpAnswer | None:
        cached = self.answers.get((service, home))
        if cached and cached[0] > self.world.clock.now:
            return cached[1]
        ready = [
            process
            for process in self.world.live()
            if not process.paused and process.instance.configuration.topology
        ]
        ready.sort(key=lambda one: one.place.region != home)
        near = [one for one in ready if one.place.region == home] or ready
        if not near:
            return None
        process = self.world.rng.choice(near)
        now = self.world.clock.now
        process.instance.wall = max(process.instance.wall, WALL + now)
        answer = look_up(process.instance, self._client(home), service, now)
        if isinstance(answer, ResultCode):
            return None
        self.answers[service, home] = (now + answer.max_age, answer)
        return answer

    def _entry(self, answer: LookUpAnswer, *, write: bool) -> str:
        if write:
            return answer.entries[0].name
        best = answer.entries[0].region
        near = [one.name for one in answer.entries if one.region == best]
        return self.world.rng.choice(near)

    def _client(self, region: str) -> str:
        if not self.clients:
            zones = {
                zone.name: zone.region for zone in self.world.plan.bundle.zones
            }
            for block in self.world.plan.bundle.client_blocks:
                address = block.block.partition('/')[0]
                self.clients.setdefault(zones[block.zone], address)
        return self.clients.get(region, '')
