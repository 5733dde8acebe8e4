"""Fake upstreams: slots, execution times, misbehaviour."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from worksrail.bench.world._clock import VirtualClock
from worksrail.core.availability import AvailabilityNotice
from worksrail.core.bundle import Upstream
from worksrail.core.events import AttemptOutcome
from worksrail.core.pacing import NamedLimit, NoRate

_CANCEL_TIME: Final = 0.01
# Seconds from the begin of an execution that crashes its upstream to the crash,
# and until the upstream is back.
_CRASH_AFTER: Final = 0.1
_AWAY: Final = 2.0

Ended = Callable[[AttemptOutcome], None]


@dataclass(slots=True)
class Execution:
    """One request in a slot, or waiting for one."""

    ended: Ended
    """Told how it ended."""

    over: bool = False
    """It has ended."""

    started: bool = False
    """It is in a slot."""

    crashes: bool = False
    """The upstream crashes a moment after it has begun this."""


@dataclass(slots=True)
class FakeUpstream:
    """One upstream; it queues what exceeds its slots."""

    upstream: Upstream
    """As the bundle has it."""

    clock: VirtualClock
    """Virtual time."""

    rng: random.Random
    """Seeded source of execution times."""

    service_time: float
    """Median execution time in seconds."""

    spread: float = 0.25
    """Spread of the execution times (sigma of a log-normal)."""

    slow: float = 1
    """Factor on execution times."""

    cold_factor: float = 1
    """Times slower while it is cold."""

    warm_after: int = 0
    """Executions after which it is warm."""

    queue_limit: int = 16
    """Requests that wait before it sheds."""

    shed: bool = False
    """It refuses everything as not run."""

    breaks: bool = False
    """It executes, then breaks the connection."""

    down: bool = False
    """No connection can be made."""

    report: str = 'true'
    """``true``, ``zero``, ``frozen`` or ``none``."""

    frozen: float = 0
    """Report that is repeated while frozen."""

    in_flight: int = 0
    """Requests in slots."""

    waiting: list[Execution] = field(default_factory=list)
    """Requests that wait for a slot."""

    highest: int = 0
    """Most requests it had at once, waiting ones included."""

    running: list[Execution] = field(default_factory=list)
    """Requests in slots, those that were just given up not included."""

    crashed_at: list[float] = field(default_factory=list)
    """When it crashed."""

    executed: int = 0
    """Executions so far."""

    limit: float | None = None
    """Requests a second that it names in its answers."""

    leaving: bool = False
    """It says in its answers that it leaves."""

    backoff: float = 0
    """Seconds that it asks for when it sheds."""

    taken_at: list[float] = field(default_factory=list)
    """When requests reached it."""

    last_start: float = -1
    """When the last execution began."""

    def take(self, ended: Ended, *, crashes: bool = False) -> Execution:
        """Take a request; tells later how it ended."""
        execution = Execution(ended, crashes=crashes)
        if not self.down:
            self.taken_at.append(self.clock.now)
        if self.down:
            self._tell(execution, AttemptOutcome.NOT_SENT)
        elif self.shed or len(self.waiting) >= self.queue_limit:
            self._tell(execution, AttemptOutcome.SHED)
        else:
            self.waiting.append(execution)
            occupied = self.in_flight + len(self.waiting)
            self.highest = max(self.highest, occupied)
            self._fill()
        return execution

    def cancel(self, execution: Execution) -> None:
        """Give a request up: its slot is free a little later."""
        if execution.over:
            return
        execution.over = True
        if execution.started:
            self.running.remove(execution)
            self.clock.after(_CANCEL_TIME, self._freeing())
        elif execution in self.waiting:
            self.waiting.remove(execution)

    def crash(self) -> None:
        """Break all connections, and be away for a while."""
        self.down = True
        self.crashed_at.append(self.clock.now)
        self.clock.after(_AWAY, self._return)
        broken = (*self.running, *self.waiting)
        self.running.clear()
        self.waiting.clear()
        self.in_flight = 0
        for execution in broken:
            execution.over = True
            execution.ended(AttemptOutcome.BROKE_BEFORE_ANSWER)

    def named_limit(self) -> NamedLimit:
        """What an answer says of its limit."""
        rate = NoRate.NOT_NAMED if self.limit is None else self.limit
        return NamedLimit(rate, self.clock.now)

    def notice(self, outcome: AttemptOutcome) -> AvailabilityNotice:
        """What an answer says of its availability."""
        shed = outcome is AttemptOutcome.SHED
        return AvailabilityNotice(self.leaving, self.backoff if shed else 0)

    def load(self) -> float | None:
        """The load report that goes with an answer."""
        true = self.in_flight / self.upstream.slots
        if self.report == 'none':
            return None
        if self.report == 'zero':
            return 0
        if self.report == 'true':
            self.frozen = true
        return self.frozen

    def _fill(self) -> None:
        while self.waiting and self.in_flight < self.upstream.slots:
            execution = self.waiting.pop(0)
            execution.started = True
            self.running.append(execution)
            self.in_flight += 1
            self.executed += 1
            self.last_start = self.clock.now
            factor = self.rng.lognormvariate(0, self.spread) * self.slow
            if self.executed <= self.warm_after:
                factor *= self.cold_factor
            if execution.crashes:
                self.clock.after(_CRASH_AFTER, self._crashing(execution))
                continue
            self.clock.after(
                self.service_time * factor, self._ending(execution)
            )

    def _ending(self, execution: Execution) -> Callable[[], None]:
        def end() -> None:
            if execution.over:
                return
            execution.over = True
            self.running.remove(execution)
            self._freed()
            broke = AttemptOutcome.BROKE_BEFORE_ANSWER
            execution.ended(broke if self.breaks else AttemptOutcome.ANSWERED)

        return end

    def _crashing(self, execution: Execution) -> Callable[[], None]:
        def end() -> None:
            if not execution.over:
                self.crash()

        return end

    def _return(self) -> None:
        self.down = False

    def _freeing(self) -> Callable[[], None]:
        life = len(self.crashed_at)

        def free() -> None:
            if life == len(self.crashed_at):
                self._freed()

        return free

    def _freed(self) -> None:
        self.in_flight -= 1
        self._fill()

    def _tell(self, execution: Execution, outcome: AttemptOutcome) -> None:
        execution.over = True
        self.clock.after(0, lambda: execution.ended(outcome))
