"""Load, speed and faults of each upstream, as observed by this entry."""

from collections import Counter
from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from math import inf
from typing import Final

from worksrail.core._doubling import doubled
from worksrail.core.identity import ServiceName
from worksrail.core.steering._stated_load import (
    ServiceReports,
    StatedLoad,
    unseen_sends,
)
from worksrail.core.steering.events import ReportedLoad

# Weight of a new sample in the moving averages of times and slowness.
_EWMA_WEIGHT: Final = 0.2
# Weight of a sample in the failure rate: a single failure says little.
_FAILURE_WEIGHT: Final = 0.1
# Weight of a sample in the rejection rate: an upstream with free slots rejects
# nothing, so a single rejection says much.
_REJECTION_WEIGHT: Final = 0.3
# Seconds in which slowness, failure rate and rejection rate decay half of the
# way to normal.  A bad upstream gets fewer requests and thus fewer samples;
# without decay it would never be tried again.
_HALF_LIFE: Final = 4.0
# Consecutive failures after which an upstream is ejected, and the seconds of
# its ejection, which double with each further failure.
_EJECTION_THRESHOLD: Final = 3
_MIN_EJECTION: Final = 1.0
_MAX_EJECTION: Final = 8.0
# An upstream with requests in flight counts as silent if it answers nothing
# for this multiple of the expected time plus a margin in seconds: its machine
# may have lost power.
_UNANSWERED_FACTOR: Final = 3.0
_UNANSWERED_MARGIN: Final = 0.4
# Bounds of the slowness.
MIN_SLOWNESS: Final = 0.25
_MAX_SLOWNESS: Final = 30.0


@dataclass(slots=True)
class UpstreamLoad:
    """Load, speed and faults of one upstream, as observed by this entry."""

    own: int = 0
    """Requests of this entry in flight at the upstream."""

    others: int = 0
    """Requests of other entries in flight, as last advertised by them."""

    slowness: float = 1
    """Average ratio of execution times to the expected times."""

    slowness_at: float = 0
    """When ``slowness`` was updated."""

    failures: int = 0
    """Consecutive failures."""

    failure_rate: float = 0
    """Share of its answers that were failures, as of ``failure_rate_at``."""

    failure_rate_at: float = 0
    """When ``failure_rate`` was updated."""

    rejection_rate: float = 0
    """Share of requests that it rejected without executing them, as of
    ``rejection_rate_at``."""

    rejection_rate_at: float = 0
    """When ``rejection_rate`` was updated."""

    ejected_until: float = 0
    """End of the ejection; zero if it is not ejected."""

    last_success_at: float = -inf
    """When its last complete answer came."""

    unanswered_since: float = 0
    """Start of the time without an answer while requests are in flight."""

    stated: StatedLoad | None = None
    """Load that the upstream stated last; None if it never stated any."""

    @property
    def in_flight(self) -> int:
        """Requests of all entries in flight at the upstream."""
        return self.own + self.others

    def occupancy(self, now: float, others: float | None = None) -> float:
        """Estimate the requests of all entries at the upstream now.

        The own ones are known.  Those of others are what they advertise, or
        what the upstream stated if that is younger; ``others`` is a better
        estimate from their advertisements if there is one.
        """
        advertised = self.others if others is None else others
        if self.stated is None:
            return self.own + advertised
        return self.own + self.stated.others_at(advertised, now)

    def unseen_sends(
        self, slots: int, execution_time: float, delay: float, now: float
    ) -> float:
        """Estimate what other entries have sent since the load was known.

        ``delay`` is the seconds that a request takes to the upstream and back.
        """
        if self.stated is None:
            return 0
        age = now - self.stated.stated_at + delay
        occupancy = self.occupancy(now)
        return unseen_sends(
            occupancy - self.own, occupancy, slots, execution_time, age
        )

    def current_pace(self, at: float, lifetime: float) -> float:
        """Return the stated pace as far as it can still be true at a time."""
        if self.stated is None:
            return 1
        return self.stated.pace_at_time(at, lifetime)

    def record_sent(self, now: float) -> None:
        """Count a request of this entry as in flight."""
        if not self.own:
            self.unanswered_since = now
        self.own += 1

    def record_end(self, now: float) -> None:
        """Count a request of this entry as ended, whatever its outcome."""
        self.own -= 1
        self.unanswered_since = now

    def is_silent(self, expected: float, slots: int, now: float) -> bool:
        """Whether answers are overdue by much more than the expected time.

        Requests that queue for a slot at the upstream delay each answer.
        """
        if not self.own:
            return False
        queue_factor = 1 + self.in_flight / max(1, slots)
        slowness_factor = max(1, self.current_slowness(now))
        if self.stated is not None and self.stated.pace is not None:
            slowness_factor *= max(1, self.stated.pace)
        timeout = expected * queue_factor * slowness_factor * _UNANSWERED_FACTOR
        return now - self.unanswered_since > timeout + _UNANSWERED_MARGIN

    def current_slowness(self, now: float) -> float:
        """Return the slowness, decayed by its age."""
        age = now - self.slowness_at
        return 1 + (self.slowness - 1) * 2 ** (-age / _HALF_LIFE)

    def record_speed(self, ratio: float, now: float) -> None:
        """Add the ratio of one execution time to the expected time."""
        clamped = max(MIN_SLOWNESS, min(_MAX_SLOWNESS, ratio))
        current = self.current_slowness(now)
        self.slowness = current + _EWMA_WEIGHT * (clamped - current)
        self.slowness_at = now

    def current_failure_rate(self, now: float) -> float:
        """Return the share of failed answers, decayed by its age."""
        return _decayed(self.failure_rate, self.failure_rate_at, now)

    def record_response(self, now: float, *, failed: bool) -> None:
        """Add an answer, a success or a failure, to the failure rate.

        An upstream that fails some of its requests may never have enough
        consecutive failures to be ejected.
        """
        current = self.current_failure_rate(now)
        self.failure_rate = current + _FAILURE_WEIGHT * (int(failed) - current)
        self.failure_rate_at = now

    def current_rejection_rate(self, now: float) -> float:
        """Return the share of rejected requests, decayed by its age."""
        return _decayed(self.rejection_rate, self.rejection_rate_at, now)

    def record_admission(self, now: float, *, rejected: bool) -> None:
        """Add a request, executed or rejected, to the rejection rate.

        An upstream that rejects some of its requests has few in flight: by its
        load alone it would look like the one with the most free slots.
        """
        current = self.current_rejection_rate(now)
        change = int(rejected) - current
        self.rejection_rate = current + _REJECTION_WEIGHT * change
        self.rejection_rate_at = now

    def record_success(self, now: float) -> None:
        """Record a complete answer; ends an ejection."""
        self.forget_failures()
        self.last_success_at = now

    def forget_failures(self) -> None:
        """Forget consecutive failures; ends an ejection."""
        self.failures = 0
        self.ejected_until = 0

    def record_failure(self, now: float, *, silent: bool = False) -> bool:
        """Record that no complete answer came; returns whether this ejects.

        A silent upstream is ejected at once, since every request sent to it
        would time out.
        """
        self.failures += 1
        if silent:
            self.failures = max(self.failures, _EJECTION_THRESHOLD)
        if self.failures < _EJECTION_THRESHOLD:
            return False
        self.ejected_until = now + doubled(
            _MIN_EJECTION, self.failures - _EJECTION_THRESHOLD, _MAX_EJECTION
        )
        return True


def _decayed(share: float, updated_at: float, now: float) -> float:
    return share * 2 ** ((updated_at - now) / _HALF_LIFE)


@dataclass(slots=True)
class LatencyEwma:
    """An exponentially weighted moving average of times, in seconds."""

    typical: float
    """The average."""

    def add(self, seconds: float) -> None:
        """Add a sample."""
        self.typical += _EWMA_WEIGHT * (seconds - self.typical)


@dataclass(slots=True)
class LoadTable:
    """Loads of all upstreams, by the names of their incarnations."""

    loads: dict[str, UpstreamLoad] = field(default_factory=dict)
    """Loads by upstream."""

    services: dict[ServiceName, ServiceReports] = field(default_factory=dict)
    """What the reports of a service's upstreams have in common; only services
    whose upstreams report their load."""

    reported: dict[str, dict[str, int]] = field(default_factory=dict)
    """Requests in flight by upstream, as last advertised by each entry of the
    own zone and by each other zone."""

    def of(self, name: str) -> UpstreamLoad:
        """Return the load of one upstream; adds it if it is new."""
        load = self.loads.get(name)
        if load is None:
            load = UpstreamLoad()
            self.loads[name] = load
        return load

    def record_report(
        self,
        name: str,
        service: ServiceName,
        report: ReportedLoad,
        own: int,
        now: float,
    ) -> None:
        """Record the load that an upstream states.

        ``own`` are the requests of this entry there, without the one whose
        answer carries the report.
        """
        common = self.services.get(service)
        if common is None:
            common = ServiceReports()
            self.services[service] = common
        load = self.of(name)
        before = load.stated
        load.stated = StatedLoad.from_report(report, own, now, before)
        common.places.record_waiting(report.waiting)
        if report.pace is None or before is None or before.pace is None:
            return
        gap = now - before.pace_at
        common.lifetime.record(before.pace, report.pace, gap)

    def pace_ages(self, names: Iterable[str], now: float) -> list[float]:
        """Return the ages of the stated paces of some upstreams, in seconds."""
        stated = [
            self.loads[name].stated for name in names if name in self.loads
        ]
        return [
            now - one.pace_at
            for one in stated
            if one is not None and one.pace is not None
        ]

    def update_reported(self, source: str, in_flight: dict[str, int]) -> None:
        """Replace the requests in flight that an entry or zone advertised."""
        before = self.reported.get(source, {})
        for name in before.keys() | in_flight.keys():
            change = in_flight.get(name, 0) - before.get(name, 0)
            if change:
                self.of(name).others += change
        self.reported[source] = in_flight

    def forget(self, source: str) -> None:
        """Drop the requests of an entry or zone that is gone."""
        self.update_reported(source, {})
        self.reported.pop(source)

    def total_in_flight(self, sources: Iterable[str]) -> dict[str, int]:
        """Return the requests of this entry and some sources, by upstream."""
        total = Counter(self.own_in_flight())
        for source in sources:
            total.update(self.reported.get(source, {}))
        return dict(total)

    def own_in_flight(self) -> dict[str, int]:
        """Return the requests of this entry in flight, by upstream."""
        return {name: load.own for name, load in self.loads.items() if load.own}

    def keep_only(self, names: Container[str]) -> None:
        """Drop all other upstreams that have nothing in flight."""
        gone = [
            name
            for name, load in self.loads.items()
            if name not in names and not load.own and not load.others
        ]
        for name in gone:
            self.loads.pop(name)
