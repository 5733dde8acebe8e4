"""The issuer's side of named limits: one token bucket for each upstream."""

from collections.abc import Container
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.limits import OwnedLimit, SharedLimit, TokenBucket
from worksrail.core.pacing._messages import TokenShare

# Minimum requests per second for each upstream: without any answer, no instance
# would learn that its limit has ended.
_MIN_RATE: Final = 0.5
# Burst after an idle time, in seconds of the rate, and its minimum in requests:
# instances ask for tokens only a few times per second.
_BURST_SECONDS: Final = 0.5
_MIN_BURST: Final = 2


@dataclass(slots=True)
class TokenIssuer:
    """Issues tokens for requests to upstreams that name a limit.

    In any interval it issues at most the rate times the length of the interval,
    plus a burst, to all instances together.
    """

    owned: dict[str, OwnedLimit] = field(default_factory=dict)
    """Buckets by upstream."""

    def issue(
        self,
        upstream: str,
        rate: float,
        wanted: int,
        unused: int,
        now: float,
    ) -> TokenShare:
        """Issue tokens to one instance within the rate of an upstream."""
        limit = _limit_for(rate)
        owned = self.owned.get(upstream)
        if owned is None:
            # Instances may have sent up to the limit until now.
            bucket = TokenBucket(limit.rate, limit.capacity, 0, now)
            owned = OwnedLimit(limit, bucket)
            self.owned[upstream] = owned
        elif owned.limit != limit:
            owned.limit = limit
            owned.bucket.resize(limit.rate, limit.capacity, now)
        standing = owned.serve(-unused, wanted, now)
        return TokenShare(standing.granted, standing.wait)

    def keep_only(self, upstreams: Container[str]) -> None:
        """Drop the buckets of all other upstreams."""
        for upstream in tuple(self.owned):
            if upstream not in upstreams:
                self.owned.pop(upstream)


def _limit_for(rate: float) -> SharedLimit:
    clamped = max(_MIN_RATE, rate)
    return SharedLimit(clamped, max(_MIN_BURST, clamped * _BURST_SECONDS))
