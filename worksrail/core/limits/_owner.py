"""The owner's side of shared limits: one token bucket for each.

This answers more demand than a limit allows, wherever it arrives.  A fixed
share for each entry would refuse small customers, whose whole quota is less
than one request a second and entry; without any word between entries the sum
has no bound.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.limits._bucket import SharedLimit, TokenBucket
from worksrail.core.limits._messages import LimitName, LimitStatus

# Share of a bucket from which entries may admit before they report.  What they
# admit until the word of a shortage reaches them is taken from the rest: a
# report waits 0.1 s and crosses regions in 0.035 s, and so does the reply.
_AMPLE: Final = 0.5
# Seconds of its rate that an owner begins with when it cannot know what its
# predecessor gave out: nobody has granted anything since that one fell silent,
# which takes longer than this to notice.
_FIRST_LEVEL: Final = 0.5
# Shortest and longest time, in seconds, that a denied caller is told to wait.
_SHORTEST_WAIT: Final = 0.02
_LONGEST_WAIT: Final = 2.0


@dataclass(slots=True)
class OwnedLimit:
    """One limit at its owner."""

    limit: SharedLimit
    """The limit in force."""

    bucket: TokenBucket
    """What is left of it."""

    promised: float = 0
    """Callers that were told to come back, less the tokens that have come
    since, as of ``promised_at``."""

    promised_at: float = 0
    """When ``promised`` was computed."""

    def serve(self, used: int, wanted: int, now: float) -> LimitStatus:
        """Account for what an entry used; grant what is left."""
        bucket = self.bucket
        bucket.spend(used, now)
        granted = bucket.take(wanted, now)
        denied = wanted - granted
        return LimitStatus(
            granted,
            bucket.level >= bucket.capacity * _AMPLE,
            self._promise(denied, now) if denied else 0,
        )

    def _promise(self, denied: int, now: float) -> float:
        # Callers who come back one after the other find a token each; told
        # the same time, all but one of them would be refused again.
        came = (now - self.promised_at) * self.bucket.rate
        self.promised = max(0, self.promised - came) + denied
        self.promised_at = now
        wait = self.bucket.next_token_in(now)
        wait += (self.promised - 1) / self.bucket.rate
        return max(_SHORTEST_WAIT, min(_LONGEST_WAIT, wait))


@dataclass(slots=True)
class LimitOwner:
    """All limits that this entry owns."""

    limits: dict[LimitName, OwnedLimit] = field(default_factory=dict)
    """The limits that somebody reported on, by name."""

    reserved: float = 0
    """Share of each rate that is left to entries that cannot be heard."""

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
            unasked = max(_FIRST_LEVEL, now - since)
            owned = self._add(name, limit, limit.rate * unasked, now)
        return owned.serve(used, wanted, now)

    def follow(
        self, limits: Mapping[LimitName, SharedLimit], now: float
    ) -> None:
        """Bring changed limits into force, and forget those that are gone."""
        for name in tuple(self.limits):
            limit = limits.get(name)
            if limit is None:
                self.limits.pop(name)
            else:
                self._resize(self.limits[name], limit, now)

    def reserve(self, share: float, now: float) -> None:
        """Leave a share of each rate to entries that cannot be heard."""
        if share == self.reserved:
            return
        self.reserved = share
        for owned in self.limits.values():
            self._resize(owned, owned.limit, now)

    def hand_over(
        self,
        names: Iterable[LimitName],
        now: float,
    ) -> dict[LimitName, float]:
        """Give up some limits; tells what is left of each."""
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
        """Go on where a predecessor ended."""
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
            limit.rate * (1 - self.reserved),
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
        rate = limit.rate * (1 - self.reserved)
        owned.bucket.resize(rate, limit.capacity, now)
