"""The tokens that one instance holds for one upstream."""

from dataclasses import dataclass, field
from typing import Final

from worksrail.core._meters import RateMeter
from worksrail.core.pacing._messages import TokenShare

# Seconds for which unused tokens are held before they are returned.
_TOKEN_TTL: Final = 0.3
# Seconds for which an issuer is not asked again after it denied tokens, and
# after it did not answer.
_DENIAL_BACKOFF: Final = 0.2
_TIMEOUT_BACKOFF: Final = 0.1
# Seconds after a denial in which no request waits for an issuer in another
# region, as it would probably be denied again.  They double with each further
# denial, at most this many times.
_SCARCITY_TIME: Final = 1.0
_MAX_DOUBLINGS: Final = 3
# Seconds of its recent use that an instance requests in advance.
_PREFETCH_TIME: Final = 0.2


@dataclass(slots=True)
class TokenStock:
    """Tokens for one upstream, and when to request more."""

    tokens: int = 0
    """Number of requests that may be sent at once."""

    held_until: float = 0
    """When unused tokens are returned."""

    paused_until: float = 0
    """Until when the issuer is not asked."""

    denials: int = 0
    """Consecutive denials by the issuer."""

    scarce_until: float = 0
    """Until when tokens are considered scarce."""

    retry_at: float = 0
    """When the issuer expects to have a token."""

    wanted: int = 0
    """Tokens that requests wait for and that are not requested yet."""

    use_meter: RateMeter = field(default_factory=RateMeter)
    """Rate at which this instance uses tokens."""

    def clear(self) -> None:
        """Drop tokens and demand: there is no limit, or no issuer."""
        self.tokens = 0
        self.wanted = 0

    def spend(self, now: float) -> None:
        """Use a token."""
        self.tokens = max(0, self.tokens - 1)
        self.use_meter.note(now)

    def tokens_to_request(self, now: float) -> int:
        """Return how many tokens to request, in advance if they are in use."""
        if now < self.paused_until:
            return 0
        prefetch = int(self.use_meter.rate(now) * _PREFETCH_TIME) - self.tokens
        return self.wanted + max(0, prefetch)

    def apply_share(self, share: TokenShare, now: float) -> None:
        """Apply the share that the issuer granted."""
        self.tokens += share.count
        self.held_until = now + _TOKEN_TTL
        if share.wait:
            self.scarce_until = now + _SCARCITY_TIME * 2**self.denials
            self.retry_at = now + share.wait
            self.paused_until = now + min(_DENIAL_BACKOFF, share.wait)
            self.denials = min(self.denials + 1, _MAX_DOUBLINGS)
        elif share.count:
            self.denials = 0

    def record_timeout(self, now: float) -> None:
        """Back off from an issuer that did not answer."""
        self.paused_until = max(self.paused_until, now + _TIMEOUT_BACKOFF)

    def pop_unused(self, now: float) -> int:
        """Remove and return the tokens to be returned to the issuer."""
        if now < self.held_until:
            return 0
        unused = self.tokens
        self.tokens = 0
        return unused
