"""Counts upstream crashes by request, and holds requests that cause them."""

import random
from dataclasses import dataclass, field
from math import inf
from typing import Final

import xxhash

from worksrail.core.quarantine._advertised import AdvertisedCrashes
from worksrail.core.quarantine._fingerprints import Fingerprint

CRASHES_UNTIL_HELD: Final = 3
"""Number of crashes one after the other at which a request is held."""

# Seconds for which a request is held: at first, and after each further crash of
# an attempt that tried it again.
_HOLDS: Final = (2.0, 30.0, 120.0, 600.0, 3600.0)
# Seconds for which crashes below that number count.
_CRASH_TTL: Final = 60.0
# A held request that does not arrive again is forgotten after this many hold
# times.
_RETAINED_HOLDS: Final = 2
# Maximum number of requests that are remembered.
_MAX_RECORDS: Final = 1000
# Maximum number of upstreams whose last crash is remembered.
_MAX_CRASHED_UPSTREAMS: Final = 1000
# Seconds for which a change is advertised: several messages, each of which may
# be lost.
_ADVERTISED_FOR: Final = 2.0
# Maximum number of held requests without a change that one message advertises.
_MAX_HELD_ADVERTISED: Final = 4
# Ages are advertised in tenths of a second and grow in transit.  So an answer
# counts as later than a crash that seems younger by less than this, in seconds.
_AGE_TOLERANCE: Final = 0.3
_AGE_STEPS_PER_SECOND: Final = 10


@dataclass(frozen=True, slots=True)
class Crash:
    """An attempt during which its upstream crashed."""

    upstream: str
    """Name of the upstream's incarnation."""

    number: int = 1
    """Its number in the row of crashes, as known when the request was sent."""

    last_success_at: float = -inf
    """When the upstream last answered anything, as known to this instance."""

    sent_at: float = -inf
    """When the attempt started."""


@dataclass(slots=True)
class _Record:
    count: int = 0
    crashed_at: float = -inf
    answered_at: float = -inf
    changed_at: float = -inf
    advertised_at: float = -inf
    upstreams: set[int] = field(default_factory=set)
    last_upstream: int = 0

    @property
    def held(self) -> bool:
        return self.count >= CRASHES_UNTIL_HELD

    @property
    def hold(self) -> float:
        if not self.held:
            return 0
        tries = self.count - CRASHES_UNTIL_HELD
        return _HOLDS[min(tries, len(_HOLDS) - 1)]

    def clear(self, answered_at: float, now: float) -> None:
        self.count = 0
        self.upstreams.clear()
        self.answered_at = answered_at
        self.changed_at = now

    def is_stale(self, now: float) -> bool:
        kept = max(_CRASH_TTL, self.hold * _RETAINED_HOLDS)
        return now - max(self.crashed_at, self.answered_at) > kept


@dataclass(slots=True)
class Quarantine:
    """Requests that crash upstreams, from own attempts and from peers.

    Crashes count only one after the other: an attempt that started before a
    crash became known does not add to it.  So upstreams that fail at the same
    time, whatever the cause, count once for each request.  A request that was
    merely running beside the one at fault reaches the limit only if this
    happens several times in a row.  An upstream counts again only if it
    answered in between: one that fails every request is no evidence against
    any of them.  Nor is one that had crashed before the attempt and has not
    answered since: it may still be down.  An answer of any upstream clears a
    request.
    """

    records: dict[Fingerprint, _Record] = field(default_factory=dict)
    """Crashes and answers, by request."""

    last_crashes: dict[int, float] = field(default_factory=dict)
    """Time of each upstream's last crash, by the hash of its name."""

    def hold_time(
        self,
        request: Fingerprint,
        now: float,
        number: int = 0,
    ) -> float:
        """Return the seconds for which a request is still held, or zero.

        The attempt that tries a held request passes the number that its crash
        would have, and is not held until a further crash is known.
        """
        record = self._record(request, now)
        if record is None or not record.held or record.count <= number:
            return 0
        return max(0, record.crashed_at + record.hold - now)

    def begin(self, request: Fingerprint, now: float) -> int:
        """Record that a request is sent; return the number of a next crash.

        A held request counts as crashed again until it is answered, so that
        other instances do not try it at the same time.
        """
        record = self._record(request, now)
        if record is None:
            return 1
        if record.held:
            record.count += 1
            record.crashed_at = now
            record.changed_at = now
            return record.count
        return record.count + 1

    def record_crash(
        self,
        request: Fingerprint,
        crash: Crash,
        now: float,
    ) -> int:
        """Record a crash during a request; return the crashes in a row."""
        upstream = xxhash.xxh32_intdigest(crash.upstream.encode())
        unavailable = (
            crash.last_success_at
            < self.last_crashes.get(upstream, -inf)
            < crash.sent_at
        )
        self._record_upstream_crash(upstream, now)
        record = self._record(request, now)
        if unavailable:
            return record.count if record else 0
        record = record or self._add(request)
        answered_since = crash.last_success_at > record.crashed_at
        if upstream not in record.upstreams or answered_since:
            record.count = max(record.count, crash.number)
        record.upstreams.add(upstream)
        record.last_upstream = upstream
        record.crashed_at = now
        record.changed_at = now
        return record.count

    def record_response(self, request: Fingerprint, now: float) -> int:
        """Record an answer to a request; return the crashes that it clears."""
        record = self._record(request, now)
        if record is None or not record.count:
            return 0
        cleared = record.count
        record.clear(now, now)
        return cleared

    def receive(self, advertised: AdvertisedCrashes, now: float) -> bool:
        """Merge an advertisement; return whether the request becomes held."""
        at = now - advertised.age / _AGE_STEPS_PER_SECOND
        record = self._record(advertised.fingerprint, now)
        if advertised.count:
            return self._merge_crashes(record, advertised, at, now)
        if record and record.count and at > record.crashed_at - _AGE_TOLERANCE:
            record.clear(at, now)
        return False

    def advertise(
        self,
        max_count: int,
        now: float,
        rng: random.Random,
        *,
        with_held: bool = True,
    ) -> tuple[AdvertisedCrashes, ...]:
        """Return what to advertise: recent changes, and some held requests.

        Changes that were advertised least recently come first, so that an
        answer is advertised as often as the crashes before it.  Held requests
        are advertised for instances that have just started and know none.
        """
        if not self.records:
            return ()
        self._forget_stale(now)
        fresh = [
            key
            for key, record in self.records.items()
            if now - record.changed_at < _ADVERTISED_FOR
        ]
        fresh.sort(key=self._advertise_order)
        held = [
            key
            for key, record in self.records.items()
            if with_held and record.held and key not in fresh
        ]
        chosen = fresh[: max_count - bool(held)]
        room = min(len(held), _MAX_HELD_ADVERTISED, max_count - len(chosen))
        chosen += rng.sample(held, room)
        return tuple(self._advertised(key, now) for key in chosen)

    def count_held(self, now: float) -> int:
        """Return the number of held requests."""
        return sum(bool(self.hold_time(key, now)) for key in list(self.records))

    def _merge_crashes(
        self,
        record: _Record | None,
        advertised: AdvertisedCrashes,
        at: float,
        now: float,
    ) -> bool:
        self._record_upstream_crash(advertised.upstream, at)
        if record is None:
            record = self._add(advertised.fingerprint)
        if at <= record.answered_at + _AGE_TOLERANCE:
            # The sender does not know of the answer yet.
            record.changed_at = now
            return False
        record.upstreams.add(advertised.upstream)
        if advertised.count <= record.count:
            # A known crash, advertised again: its age has grown in transit.
            return False
        was_held = record.held
        record.count = advertised.count
        record.last_upstream = advertised.upstream
        record.crashed_at = at
        record.changed_at = now
        return record.held and not was_held

    def _record_upstream_crash(self, upstream: int, at: float) -> None:
        last = self.last_crashes.pop(upstream, -inf)
        self.last_crashes[upstream] = max(last, at)
        if len(self.last_crashes) > _MAX_CRASHED_UPSTREAMS:
            self.last_crashes.pop(next(iter(self.last_crashes)))

    def _record(self, request: Fingerprint, now: float) -> _Record | None:
        record = self.records.get(request)
        if record and record.is_stale(now):
            self.records.pop(request)
            return None
        return record

    def _add(self, request: Fingerprint) -> _Record:
        if len(self.records) >= _MAX_RECORDS:
            self.records.pop(min(self.records, key=self._eviction_rank))
        record = _Record()
        self.records[request] = record
        return record

    def _forget_stale(self, now: float) -> None:
        stale = [
            key for key, record in self.records.items() if record.is_stale(now)
        ]
        for key in stale:
            self.records.pop(key)

    def _eviction_rank(self, request: Fingerprint) -> tuple[int, float]:
        record = self.records[request]
        return record.count, record.changed_at

    def _advertise_order(self, request: Fingerprint) -> tuple[float, int]:
        record = self.records[request]
        return record.advertised_at, -record.count

    def _advertised(
        self, request: Fingerprint, now: float
    ) -> AdvertisedCrashes:
        record = self.records[request]
        at = record.crashed_at if record.count else record.answered_at
        record.advertised_at = now
        return AdvertisedCrashes(
            request,
            record.count,
            round((now - at) * _AGE_STEPS_PER_SECOND),
            record.last_upstream,
        )
