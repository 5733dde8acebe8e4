"""Counts crashes by request, and holds the requests that cause them."""

import random
from dataclasses import dataclass, field
from math import inf
from typing import Final

import xxhash

from worksrail.core.quarantine._advertised import AdvertisedCrashes
from worksrail.core.quarantine._fingerprints import Fingerprint

CRASHES_UNTIL_HELD: Final = 3
"""Crashes one after the other from which a request is held."""

# Seconds for which a request is held, first and after each crash when it was
# tried again.
_HOLDS: Final = (2.0, 30.0, 120.0, 600.0, 3600.0)
# Seconds for which crashes below the limit count.
_MEMORY: Final = 60.0
# Hold times after which a held request that does not come again is forgotten.
_HOLDS_KEPT: Final = 2
# Requests that are remembered at once.
_MOST_RECORDS: Final = 1000
# Upstreams whose last crash is remembered.
_MOST_BROKEN: Final = 1000
# Seconds for which a change is told: several messages, each of which may be
# lost.
_TOLD_FOR: Final = 2.0
# Requests that are held and told although nothing has changed, in one message.
_HELD_TOLD: Final = 4
# Ages are told in tenths of a second and grow on their way: an answer counts
# as later than a crash that seems to be so many seconds younger.
_AGE_ERROR: Final = 0.3
_AGES_PER_S: Final = 10


@dataclass(frozen=True, slots=True)
class Crash:
    """An attempt that ended with a crash of its upstream."""

    upstream: str
    """Name of the upstream, in this life of it."""

    number: int = 1
    """Which one it is in a row, by what was known when the request was sent."""

    last_success_at: float = -inf
    """When the upstream last answered anything, as this instance knows."""

    sent_at: float = -inf
    """When the attempt was begun."""


@dataclass(slots=True)
class _Record:
    count: int = 0
    crashed_at: float = -inf
    answered_at: float = -inf
    changed_at: float = -inf
    told_at: float = -inf
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
        kept = max(_MEMORY, self.hold * _HOLDS_KEPT)
        return now - max(self.crashed_at, self.answered_at) > kept


@dataclass(slots=True)
class Quarantine:
    """Which requests crash upstreams, from own attempts and from others.

    Crashes count only one after the other: an attempt that was begun before a
    crash became known adds nothing to it.  Upstreams that fail at the same
    moment, whatever the cause, so count once for each request, and a request
    that was merely beside the one at fault has to meet it again and again.
    An upstream counts again only if it was well in between: one that breaks
    under everything says nothing of a request.  Nor does one that had crashed
    before the attempt and has answered nothing since: it may still be away.
    An answer of any upstream clears a request.
    """

    records: dict[Fingerprint, _Record] = field(default_factory=dict)
    """What is known, by request."""

    broken: dict[int, float] = field(default_factory=dict)
    """When upstreams crashed last, by the hashes of their names."""

    def hold_time(
        self,
        request: Fingerprint,
        now: float,
        number: int = 0,
    ) -> float:
        """Seconds for which a request is still held; zero if it is not.

        The request of a trial may go on until a further crash is known: it
        gives the number that a crash of its attempt would have.
        """
        record = self._record(request, now)
        if record is None or not record.held or record.count <= number:
            return 0
        return max(0, record.crashed_at + record.hold - now)

    def begin(self, request: Fingerprint, now: float) -> int:
        """Note that a request is sent; gives the number a crash would have.

        One that was held counts as crashed until it is answered, so that the
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
        """An upstream crashed under a request; gives the crashes in a row."""
        upstream = xxhash.xxh32_intdigest(crash.upstream.encode())
        away = (
            crash.last_success_at
            < self.broken.get(upstream, -inf)
            < crash.sent_at
        )
        self._note_broken(upstream, now)
        record = self._record(request, now)
        if away:
            return record.count if record else 0
        record = record or self._add(request)
        was_well = crash.last_success_at > record.crashed_at
        if upstream not in record.upstreams or was_well:
            record.count = max(record.count, crash.number)
        record.upstreams.add(upstream)
        record.last_upstream = upstream
        record.crashed_at = now
        record.changed_at = now
        return record.count

    def record_response(self, request: Fingerprint, now: float) -> int:
        """An upstream answered a request; gives the crashes this clears."""
        record = self._record(request, now)
        if record is None or not record.count:
            return 0
        cleared = record.count
        record.clear(now, now)
        return cleared

    def receive(self, told: AdvertisedCrashes, now: float) -> bool:
        """Take in what another instance tells; true if that holds a request."""
        at = now - told.age / _AGES_PER_S
        record = self._record(told.fingerprint, now)
        if told.count:
            return self._take_crashes(record, told, at, now)
        if record and record.count and at > record.crashed_at - _AGE_ERROR:
            record.clear(at, now)
        return False

    def advertise(
        self,
        most: int,
        now: float,
        rng: random.Random,
        *,
        with_held: bool = True,
    ) -> tuple[AdvertisedCrashes, ...]:
        """What to tell others: some changes, and a few of what is held.

        Changes that were told least lately come first, so that an answer is
        told as often as the crashes before it.  Instances that have just
        started know of none that are held.
        """
        if not self.records:
            return ()
        self._forget_stale(now)
        fresh = [
            key
            for key, record in self.records.items()
            if now - record.changed_at < _TOLD_FOR
        ]
        fresh.sort(key=self._told_order)
        held = [
            key
            for key, record in self.records.items()
            if with_held and record.held and key not in fresh
        ]
        chosen = fresh[: most - bool(held)]
        room = min(len(held), _HELD_TOLD, most - len(chosen))
        chosen += rng.sample(held, room)
        return tuple(self._told(key, now) for key in chosen)

    def count_held(self, now: float) -> int:
        """How many requests are held."""
        return sum(bool(self.hold_time(key, now)) for key in list(self.records))

    def _take_crashes(
        self,
        record: _Record | None,
        told: AdvertisedCrashes,
        at: float,
        now: float,
    ) -> bool:
        self._note_broken(told.upstream, at)
        if record is None:
            record = self._add(told.fingerprint)
        if at <= record.answered_at + _AGE_ERROR:
            # Who tells this has not heard of the answer.
            record.changed_at = now
            return False
        record.upstreams.add(told.upstream)
        if told.count <= record.count:
            # The same crash, told again: its age has grown on the way.
            return False
        was_held = record.held
        record.count = told.count
        record.last_upstream = told.upstream
        record.crashed_at = at
        record.changed_at = now
        return record.held and not was_held

    def _note_broken(self, upstream: int, at: float) -> None:
        last = self.broken.pop(upstream, -inf)
        self.broken[upstream] = max(last, at)
        if len(self.broken) > _MOST_BROKEN:
            self.broken.pop(next(iter(self.broken)))

    def _record(self, request: Fingerprint, now: float) -> _Record | None:
        record = self.records.get(request)
        if record and record.is_stale(now):
            self.records.pop(request)
            return None
        return record

    def _add(self, request: Fingerprint) -> _Record:
        if len(self.records) >= _MOST_RECORDS:
            self.records.pop(min(self.records, key=self._rank))
        record = _Record()
        self.records[request] = record
        return record

    def _forget_stale(self, now: float) -> None:
        stale = [
            key for key, record in self.records.items() if record.is_stale(now)
        ]
        for key in stale:
            self.records.pop(key)

    def _rank(self, request: Fingerprint) -> tuple[int, float]:
        record = self.records[request]
        return record.count, record.changed_at

    def _told_order(self, request: Fingerprint) -> tuple[float, int]:
        record = self.records[request]
        return record.told_at, -record.count

    def _told(self, request: Fingerprint, now: float) -> AdvertisedCrashes:
        record = self.records[request]
        at = record.crashed_at if record.count else record.answered_at
        record.told_at = now
        return AdvertisedCrashes(
            request,
            record.count,
            round((now - at) * _AGES_PER_S),
            record.last_upstream,
        )
