"""What upstreams state about their load, and for how long it can be true."""

from dataclasses import dataclass, field
from math import exp, inf, sqrt
from typing import Final

from worksrail.core.steering.events import ReportedLoad

# Seconds after which a stated load and the advertised requests of the other
# entries count alike: entries advertise theirs this often.
_LOAD_HALF_LIFE: Final = 0.2
# Seconds after which a stated load counts for nothing.
_MAX_LOAD_AGE: Final = 2.0
# Requests for each slot that others have at an upstream at the most, beyond
# those that they advertise: more would not have come unseen.
_MAX_UNADVERTISED: Final = 3.0
# Relative difference from which two paces count as different.
_SAME_PACE: Final = 0.1
# Seconds between two statements beyond which they show nothing about the
# lifetime of a pace: it may have changed and returned in between.
_MAX_PACE_GAP: Final = 1.0
# Bounds of the lifetime in seconds, and what is assumed before any was seen: a
# pace changes many times a second.
_MIN_LIFETIME: Final = 0.05
_MAX_LIFETIME: Final = 1.0
_INITIAL_LIFETIME: Final = 0.3
_INITIAL_CHANGES: Final = 2.0
# Number of changes from which older ones fade.
_MAX_CHANGES: Final = 64.0
# Seconds for which the places of a queue are remembered: upstreams may be
# replaced by others whose queues are longer.
_PLACES_TTL: Final = 60.0
# Seconds of sends by other entries that are allowed for at the most, and the
# share of the places that stays in use however many they may send: a queue that
# is never empty keeps the slots as busy as a full one.
_MAX_UNSEEN: Final = 0.4
_MIN_PLACES_SHARE: Final = 0.25


@dataclass(frozen=True, slots=True)
class StatedLoad:
    """The last load that one upstream stated."""

    others: float
    """Requests of other entries at the upstream, as it stated."""

    stated_at: float
    """When it stated them."""

    slots: int = 1
    """Requests that it executes concurrently, as it stated."""

    pace: float | None = None
    """Multiple of the usual execution time; None if it never stated one."""

    pace_at: float = -inf
    """When it stated the pace."""

    @classmethod
    def from_report(
        cls,
        report: ReportedLoad,
        own: int,
        now: float,
        before: 'StatedLoad | None',
    ) -> 'StatedLoad':
        """Subtract the own requests from a report.

        ``own`` are the requests of this entry at the upstream, without the one
        whose answer carries the report.
        """
        others = max(0, report.executing + report.waiting - own)
        if report.pace is not None:
            return cls(others, now, report.slots, report.pace, now)
        if before is None:
            return cls(others, now, report.slots)
        return cls(others, now, report.slots, before.pace, before.pace_at)

    def others_at(self, advertised: float, now: float) -> float:
        """Estimate the requests of other entries at the upstream.

        ``advertised`` are those that the other entries told of themselves.
        Whatever was stated last is the better the younger it is.

        >>> StatedLoad(4, 10.0, slots=4).others_at(2, 10.0)
        4.0
        >>> round(StatedLoad(4, 10.0, slots=4).others_at(2, 10.2), 3)
        3.0
        """
        age = now - self.stated_at
        if age > _MAX_LOAD_AGE:
            return advertised
        weight: float = 2 ** (-max(0, age) / _LOAD_HALF_LIFE)
        stated = min(self.others, advertised + _MAX_UNADVERTISED * self.slots)
        return stated * weight + advertised * (1 - weight)

    def pace_at_time(self, at: float, lifetime: float) -> float:
        """Return the pace expected at some time; 1 if none is known.

        >>> stated = StatedLoad(0, 10.0, pace=3.0, pace_at=10.0)
        >>> stated.pace_at_time(10.0, lifetime=0.5)
        3.0
        >>> round(stated.pace_at_time(11.0, lifetime=0.5), 2)
        1.27
        """
        if self.pace is None:
            return 1
        age = max(0, at - self.pace_at)
        return 1 + (self.pace - 1) * exp(-age / lifetime)


@dataclass(slots=True)
class PaceLifetime:
    """How long a stated pace that is not the usual one lasts.

    It is learned from two statements of one upstream in turn: those that are
    alike prove that the pace lasted, those that differ that it ended.
    """

    lasted: float = _INITIAL_LIFETIME * _INITIAL_CHANGES
    """Seconds for which paces were seen to last."""

    changes: float = _INITIAL_CHANGES
    """Number of ends that were seen."""

    @property
    def seconds(self) -> float:
        """Average lifetime."""
        lifetime = self.lasted / self.changes
        return min(_MAX_LIFETIME, max(_MIN_LIFETIME, lifetime))

    def record(self, before: float, after: float, gap: float) -> None:
        """Add two paces that an upstream stated ``gap`` seconds apart."""
        if not 0 <= gap <= _MAX_PACE_GAP or _is_same(before, 1):
            return
        if _is_same(before, after):
            self.lasted += gap
            return
        # It ended at some moment between the two.
        self.lasted += gap / 2
        self.changes += 1
        if self.changes > _MAX_CHANGES:
            self.lasted /= 2
            self.changes /= 2


@dataclass(slots=True)
class QueuePlaces:
    """How many requests may wait at an upstream of a service.

    Upstreams do not state it.  One that rejects a request while all its slots
    are in use has as many places as requests wait there.
    """

    places: int = 0
    """Requests that waited at the last rejection."""

    learned_at: float = -inf
    """When that was learned."""

    rejections: int = 0
    """Rejections for a full queue that were not counted yet."""

    def record_rejection(self, waiting: int, now: float) -> None:
        """Record a rejection while some requests waited."""
        self.rejections += 1
        known = self.known(now)
        if known is None or waiting <= known:
            self.places = waiting
            self.learned_at = now

    def record_waiting(self, waiting: int) -> None:
        """Record that some requests wait: there are that many places."""
        self.places = max(self.places, waiting)

    def take_rejections(self) -> int:
        """Return the rejections since the last call."""
        taken = self.rejections
        self.rejections = 0
        return taken

    def known(self, now: float) -> int | None:
        """Return the places; None if nothing was rejected lately."""
        return self.places if now - self.learned_at < _PLACES_TTL else None

    def max_occupancy(
        self,
        slots: int,
        unseen: float,
        now: float,
    ) -> float:
        """Return the requests at an upstream from which none is sent to it.

        ``unseen`` are the requests that other entries may have sent to it
        meanwhile.  The result is infinite if the places are unknown.
        """
        known = self.known(now)
        if known is None:
            return inf
        usable = max(known - unseen, known * _MIN_PLACES_SHARE)
        return slots + usable


@dataclass(slots=True)
class ServiceReports:
    """What the reports of all upstreams of a service have in common."""

    places: QueuePlaces = field(default_factory=QueuePlaces)
    """Places of their queues."""

    lifetime: PaceLifetime = field(default_factory=PaceLifetime)
    """How long their paces last."""


def unseen_sends(
    others: float,
    occupancy: float,
    slots: int,
    execution_time: float,
    age: float,
) -> float:
    """Estimate what other entries send to an upstream within some seconds.

    They send as much as the upstream executes for them, and for short times by
    chance as much again as the square root of that.

    >>> unseen_sends(4, occupancy=8, slots=4, execution_time=0.1, age=0.2)
    6.0
    """
    if occupancy <= 0 or execution_time <= 0:
        return 0
    executed = min(slots, occupancy) / execution_time
    expected = executed * others / occupancy * min(age, _MAX_UNSEEN)
    return expected + sqrt(expected)


def unexplained_ratio(ratio: float, assumed: float, stated: float) -> float:
    """Return the part of a time ratio that stated paces do not explain.

    The execution was expected at the pace ``assumed``; ``stated`` is what the
    upstream stated at its end.  The pace may have changed at any time between,
    so any ratio from one to the other is explained.

    >>> unexplained_ratio(2.5, assumed=1, stated=2.5)
    1.0
    >>> unexplained_ratio(1.8, assumed=1, stated=2.5)
    1.0
    >>> unexplained_ratio(5, assumed=1, stated=2.5)
    2.0
    """
    change = stated / assumed
    least, most = min(1, change), max(1, change)
    return ratio / max(least, min(most, ratio))


def _is_same(one: float, other: float) -> bool:
    return abs(one - other) <= _SAME_PACE * min(one, other)
