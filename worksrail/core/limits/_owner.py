"""The owner's side of shared limits: one token bucket for each.

A single owner serves demand up to the limit wherever it arrives.  A fixed share
for each entry would refuse small customers, whose whole quota is less than one
request per second and entry; without any messages between entries the total
would be unbounded.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.limits._bucket import SharedLimit, TokenBucket
from worksrail.core.limits._messages import LimitName, LimitStatus

# Level of the bucket, as a share of its capacity, from which entries may admit
# before they report.  The rest covers what they admit until they learn of a
# shortage: a report waits 0.1 s and crosses regions in 0.035 s, and so does the
# reply.
_AMPLE_SHARE: Final = 0.5
# Initial level of a new owner, in seconds of its rate, when it cannot know what
# its predecessor granted: nothing has been granted since the predecessor became
# silent, and noticing that takes longer than this.
_INITIAL_SECONDS: Final = 0.5
# Minimum and maximum delay, in seconds, for a denied caller.
_MIN_WAIT: Final = 0.02
_MAX_WAIT: Final = 2.0


@dataclass(slots=True)
class OwnedLimit:
    """One limit at its owner."""

    limit: SharedLimit
    """The limit in force."""

    bucket: TokenBucket
    """What is left of it."""

    expected: float = 0
    """Denied callers that are expected to retry, less the tokens refilled
    since, as of ``expected_at``."""

    expected_at: float = 0
    """When ``expected`` was computed."""

    def serve(self, used: int, wanted: int, now: float) -> LimitStatus:
        """Account for an entry's use and grant what is left."""
        bucket = self.bucket
        bucket.spend(used, now)
        granted = bucket.take(wanted, now)
        denied = wanted - granted
        return LimitStatus(
            granted,
            bucket.level >= bucket.capacity * _AMPLE_SHARE,
            self._schedule_retry(denied, now) if denied else 0,
        )

    def _schedule_retry(self, denied: int, now: float) -> float:
        # Denied callers are spaced out so that each finds a token; given the
        # same delay, all but one of them would be refused again.
        refilled = (now - self.expected_at) * self.bucket.rate
        self.expected = max(0, self.expected - refilled) + denied
        self.expected_at = now
        wait = self.bucket.next_token_in(now)
        wait += (self.expected - 1) / self.bucket.rate
        return max(_MIN_WAIT, min(_MAX_WAIT, wait))


@dataclass(slots=True)
class LimitOwner:
    """All limits that this entry owns."""

    limits: dict[LimitName, OwnedLimit] = field(default_factory=dict)
    """The limits that any entry reported on, by name."""

    reserved_share: float = 0
    """Share of each rate that is reserved for unreachable entries."""

    def serve(
        self,
        name: LimitName,
        limit: SharedLimit,
        used: int,
        wanted: int,
        *,
        since: float,
        now: float,
    ) -> LimitStatus:
        """Serve one entry; ``since`` is when this one became the owner."""
        owned = self.limits.get(name)
        if owned is None:
            seconds = max(_INITIAL_SECONDS, now - since)
            owned = self._add(name, limit, limit.rate * seconds, now)
        return owned.serve(used, wanted, now)

    def follow(
        self, limits: Mapping[LimitName, SharedLimit], now: float
    ) -> None:
        """Apply changed limits and drop those that no longer exist."""
        for name in tuple(self.limits):
            limit = limits.get(name)
            if limit is None:
                self.limits.pop(name)
            else:
                self._resize(self.limits[name], limit, now)

    def reserve(self, share: float, now: float) -> None:
        """Reserve a share of each rate for unreachable entries."""
        if share == self.reserved_share:
            return
        self.reserved_share = share
        for owned in self.limits.values():
            self._resize(owned, owned.limit, now)

    def hand_over(
        self,
        names: Iterable[LimitName],
        now: float,
    ) -> dict[LimitName, float]:
        """Give up some limits; return the remaining tokens of each."""
        levels: dict[LimitName, float] = {}
        for name in names:
            bucket = self.limits.pop(name).bucket
            bucket.fill(now)
            levels[name] = round(bucket.level, 2)
        return levels

    def take_over(
        self,
        name: LimitName,
        limit: SharedLimit,
        level: float,
        now: float,
    ) -> None:
        """Continue with the tokens that a predecessor left."""
        owned = self.limits.get(name)
        if owned is None:
            self._add(name, limit, level, now)
        else:
            owned.bucket.fill(now)
            owned.bucket.level = min(owned.bucket.level, level)

    def _add(
        self,
        name: LimitName,
        limit: SharedLimit,
        level: float,
        now: float,
    ) -> OwnedLimit:
        bucket = TokenBucket(
            limit.rate * (1 - self.reserved_share),
            limit.capacity,
            min(level, limit.capacity),
            now,
        )
        self.limits[name] = OwnedLimit(limit, bucket)
        return self.limits[name]

    def _resize(
        self, owned: OwnedLimit, limit: SharedLimit, now: float
    ) -> None:
        owned.limit = limit
        rate = limit.rate * (1 - self.reserved_share)
        owned.bucket.resize(rate, limit.capacity, now)
