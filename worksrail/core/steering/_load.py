"""What is known of each upstream's load, speed and faults."""

from collections import Counter
from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from math import inf
from typing import Final

# How much one answer moves the learned figures.
_GAIN: Final = 0.2
# The same for the share of failures: one alone says little.
_FAILING_GAIN: Final = 0.1
# The same for the share of rejections: an upstream with room rejects nothing.
_REJECTING_GAIN: Final = 0.3
# A slow upstream is tried less often; its figure fades so that it is tried
# again.  Seconds in which the figure halves its distance to normal.
_FADE: Final = 4.0
# Failures in a row after which an upstream is left alone.
_EJECT_AFTER: Final = 3
_FIRST_EJECTION: Final = 1.0
_LONGEST_EJECTION: Final = 8.0
# An upstream that owes answers and gives none for so many usual times, and so
# many seconds on top, is taken to be silent: its machine may have no power.
_SILENT_TIMES: Final = 3.0
_SILENT_SLACK: Final = 0.4
# Bounds of the learned slowness.
FASTEST: Final = 0.25
_SLOWEST: Final = 30.0


@dataclass(slots=True)
class UpstreamLoad:
    """Load, speed and faults of one upstream as this entry knows them."""

    own: int = 0
    """Requests of this entry in flight there."""

    others: int = 0
    """Requests of other entries in flight, as they told last."""

    slowness: float = 1
    """Time of an execution over what is usual for its kind."""

    slowness_at: float = 0
    """When ``slowness`` was learned."""

    failures: int = 0
    """Failures in a row."""

    failing: float = 0
    """Share of its answers that were failures, as of ``failing_at``."""

    failing_at: float = 0
    """When that was learned."""

    rejecting: float = 0
    """Share of its requests that it did not execute, as of
    ``rejecting_at``."""

    rejecting_at: float = 0
    """When that was learned."""

    ejected_until: float = 0
    """Until when it gets nothing."""

    last_success_at: float = -inf
    """When a whole answer of it came last."""

    unanswered_since: float = 0
    """Since when it owes an answer without having given one."""

    @property
    def in_flight(self) -> int:
        """Requests of all entries in flight there."""
        return self.own + self.others

    def record_sent(self, now: float) -> None:
        """A request of this entry goes there."""
        if not self.own:
            self.unanswered_since = now
        self.own += 1

    def note_ended(self, now: float) -> None:
        """A request of this entry has ended there, however."""
        self.own -= 1
        self.unanswered_since = now

    def is_silent(self, usual: float, slots: int, now: float) -> bool:
        """Whether it owes answers for much longer than usual.

        What waits there for a slot makes each answer later.
        """
        if not self.own:
            return False
        queued = 1 + self.in_flight / max(1, slots)
        slow = max(1, self.current_slowness(now))
        patience = usual * queued * slow * _SILENT_TIMES
        return now - self.unanswered_since > patience + _SILENT_SLACK

    def current_slowness(self, now: float) -> float:
        """The learned slowness, faded by its age."""
        age = now - self.slowness_at
        return 1 + (self.slowness - 1) * 2 ** (-age / _FADE)

    def record_speed(self, ratio: float, now: float) -> None:
        """Learn from the time of one execution over the usual time."""
        bounded = max(FASTEST, min(_SLOWEST, ratio))
        current = self.current_slowness(now)
        self.slowness = current + _GAIN * (bounded - current)
        self.slowness_at = now

    def failing_now(self, now: float) -> float:
        """Share of answers that are failures, faded by its age."""
        return _faded(self.failing, self.failing_at, now)

    def record_response(self, now: float, *, failed: bool) -> None:
        """An answer came, a success or a failure.

        An upstream that fails a part of its requests may never fail so many
        in a row that it is ejected.
        """
        current = self.failing_now(now)
        self.failing = current + _FAILING_GAIN * (int(failed) - current)
        self.failing_at = now

    def rejecting_now(self, now: float) -> float:
        """Share of requests that it rejects, faded by its age."""
        return _faded(self.rejecting, self.rejecting_at, now)

    def note_acceptance(self, now: float, *, rejected: bool) -> None:
        """It executed a request, or rejected it.

        An upstream that rejects a part of its requests has few in flight: by
        its load alone it would seem to have the most room of all.
        """
        current = self.rejecting_now(now)
        change = int(rejected) - current
        self.rejecting = current + _REJECTING_GAIN * change
        self.rejecting_at = now

    def note_success(self, now: float) -> None:
        """A whole answer came."""
        self.failures = 0
        self.last_success_at = now
        self.ejected_until = 0

    def note_failure(self, now: float, *, silent: bool = False) -> bool:
        """No whole answer came; true if this ejects the upstream.

        Silence ejects at once: each request sent there waits in vain.
        """
        self.failures += 1
        if silent:
            self.failures = max(self.failures, _EJECT_AFTER)
        if self.failures < _EJECT_AFTER:
            return False
        times = self.failures - _EJECT_AFTER
        pause = min(_LONGEST_EJECTION, _FIRST_EJECTION * 2**times)
        self.ejected_until = now + pause
        return True


def _faded(share: float, learned_at: float, now: float) -> float:
    return share * 2 ** ((learned_at - now) / _FADE)


@dataclass(slots=True)
class LatencyEwma:
    """A moving average of times, in seconds."""

    typical: float
    """The average."""

    def add(self, seconds: float) -> None:
        """Take in one time."""
        self.typical += _GAIN * (seconds - self.typical)


@dataclass(slots=True)
class LoadTable:
    """Loads of all upstreams, by identifier."""

    loads: dict[str, UpstreamLoad] = field(default_factory=dict)
    """Loads."""

    reported: dict[str, dict[str, int]] = field(default_factory=dict)
    """In flight by upstream, as each entry of the zone and each other zone
    told last."""

    def of(self, name: str) -> UpstreamLoad:
        """Load of one upstream."""
        load = self.loads.get(name)
        if load is None:
            load = UpstreamLoad()
            self.loads[name] = load
        return load

    def update_reported(self, teller: str, in_flight: dict[str, int]) -> None:
        """Take in what another one tells; replaces what it told before."""
        before = self.reported.get(teller, {})
        for name in before.keys() | in_flight.keys():
            change = in_flight.get(name, 0) - before.get(name, 0)
            if change:
                self.of(name).others += change
        self.reported[teller] = in_flight

    def forget(self, teller: str) -> None:
        """Another one is gone, and its requests with it."""
        self.update_reported(teller, {})
        self.reported.pop(teller)

    def total_in_flight(self, tellers: Iterable[str]) -> dict[str, int]:
        """Requests of this entry and of some others, by upstream."""
        total = Counter(self.own_in_flight())
        for teller in tellers:
            total.update(self.reported.get(teller, {}))
        return dict(total)

    def own_in_flight(self) -> dict[str, int]:
        """Requests of this entry in flight, by upstream."""
        return {name: load.own for name, load in self.loads.items() if load.own}

    def in_flight_at(self, names: Iterable[str]) -> int:
        """Requests of all entries in flight at some upstreams.

        Asked for with nearly every request, so it makes no objects.
        """
        loads = self.loads
        return sum(
            loads[name].own + loads[name].others
            for name in names
            if name in loads
        )

    def keep_only(self, names: Container[str]) -> None:
        """Drop upstreams that are gone and have nothing in flight."""
        gone = [
            name
            for name, load in self.loads.items()
            if name not in names and not load.own and not load.others
        ]
        for name in gone:
            self.loads.pop(name)
