"""The issuer's side of named limits: one token bucket for each upstream."""

from collections.abc import Container
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.limits import OwnedLimit, SharedLimit, TokenBucket
from worksrail.core.pacing._messages import TokenShare

# Requests a second that an upstream gets in any case: without an answer nobody
# would hear that its limit has ended.
_LEAST_RATE: Final = 0.5
# Seconds of its rate that come at once after a rest, and least of these
# requests: instances ask some times a second only.
_BURST: Final = 0.5
_LEAST_BURST: Final = 2


@dataclass(slots=True)
class TokenIssuer:
    """Issues tokens for requests to upstreams that name a limit.

    In any span of time it issues the rate times the span and a burst at the
    most, whoever asks.
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
        """Serve one instance within the rate that an upstream takes."""
        limit = _limit_of(rate)
        owned = self.owned.get(upstream)
        if owned is None:
            # Others may have sent up to the limit until now.
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


def _limit_of(rate: float) -> SharedLimit:
    bounded = max(_LEAST_RATE, rate)
    return SharedLimit(bounded, max(_LEAST_BURST, bounded * _BURST))
