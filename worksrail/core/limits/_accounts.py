"""An entry's side of one shared limit."""

from dataclasses import dataclass, field
from typing import Final

from worksrail.core._meters import RateMeter
from worksrail.core.limits._bucket import SharedLimit, TokenBucket
from worksrail.core.limits._messages import LimitStatus

# Seconds over which an entry averages how much of a limit it uses.
_USUAL_TIME: Final = 10.0
# Share of a limit that entries without word from its owner may use together,
# and that owners leave to entries which they cannot hear.  Customers ask for
# this share of their quota on the mean, as operators set it.
SILENT_SHARE: Final = 0.6
# Share of a bucket that an entry may admit before the owner hears of it: a
# burst in one instant would pass the quota otherwise.
_UNHEARD_SHARE: Final = 0.5
# How much more than its usual use an entry admits without the owner's word,
# and how many at once: each of a large fleet may be without it.
_LEEWAY: Final = 1.25
_AT_ONCE: Final = 1.0


@dataclass(slots=True)
class Account:
    """What one entry knows of one limit, and has used of it."""

    ample: bool = True
    """It may admit before it reports."""

    used: int = 0
    """Admissions that were not reported yet."""

    unheard: int = 0
    """Admissions since the owner's last word, reported or not."""

    denied_until: float = 0
    """Until when the owner need not be asked again."""

    retry_at: float = 0
    """When the owner expects to have a token for a denied caller."""

    probing: bool = False
    """The owner is silent and shall be tried again."""

    usual: RateMeter = field(
        default_factory=lambda: RateMeter(seconds=_USUAL_TIME)
    )
    """How much of the limit is used here."""

    allowance: TokenBucket | None = None
    """What may be admitted without the owner's word; None while it answers."""

    def note_used(self, now: float) -> None:
        """Something was admitted before its report."""
        self.used += 1
        self.unheard += 1
        self.usual.note(now)

    def may_admit(self, limit: SharedLimit) -> bool:
        """Whether one more may be admitted before it is reported."""
        return self.ample and self.unheard < limit.capacity * _UNHEARD_SHARE

    def take_used(self) -> int:
        """Admissions that were not reported yet; they are reported now."""
        used = self.used
        self.used = 0
        self.probing = False
        return used

    def wait(self, now: float) -> float:
        """Seconds after which a denied caller shall come back."""
        return max(self.denied_until, self.retry_at) - now

    def take_standing(
        self,
        standing: LimitStatus,
        granted: int,
        pause: float,
        now: float,
    ) -> None:
        """Take in the owner's word, with what it granted here.

        If it denied something, it is not asked again before the pause is over.
        """
        self.end_silence()
        self.ample = standing.ample
        self.unheard = self.used
        for _ in range(granted):
            self.usual.note(now)
        if standing.wait:
            self.retry_at = now + standing.wait
            self.denied_until = now + min(pause, standing.wait)

    def begin_silence(
        self,
        limit: SharedLimit,
        entries: int,
        now: float,
    ) -> TokenBucket:
        """The owner does not answer: go on with a small allowance.

        It is what this entry used lately or an equal part of what all that
        are cut off may use together, whichever is more.
        """
        # The owner is tried again with the next reports: what is admitted
        # meanwhile is counted nowhere.
        self.probing = True
        if self.allowance is None:
            equal = limit.rate * SILENT_SHARE / max(1, entries)
            rate = max(equal, self.usual.rate(now) * _LEEWAY)
            capacity = _AT_ONCE + rate
            self.allowance = TokenBucket(rate, capacity, _AT_ONCE, now)
        return self.allowance

    def end_silence(self) -> None:
        """The owner answers, or is another one."""
        self.allowance = None
        self.probing = False
