"""An entry's account of one shared limit that another entry may own."""

from dataclasses import dataclass, field
from typing import Final

from worksrail.core._meters import RateMeter
from worksrail.core.limits._bucket import SharedLimit, TokenBucket
from worksrail.core.limits._messages import LimitStatus

# Seconds over which an entry averages its use of a limit.
_USE_WINDOW: Final = 10.0
# Share of a limit that entries which cannot reach its owner may use together,
# and that owners reserve for entries which they cannot reach.  Operators set
# quotas so that customers request this share of them on average.
UNREACHABLE_SHARE: Final = 0.6
# Share of a bucket that an entry may admit before the owner learns of it:
# otherwise an instantaneous burst would exceed the quota.
_UNCONFIRMED_SHARE: Final = 0.5
# Allowance without contact to the owner, as a multiple of the entry's recent
# use, and its initial burst.  Both are small, as each entry of a large fleet
# may be cut off from the owner.
_ALLOWANCE_FACTOR: Final = 1.25
_ALLOWANCE_BURST: Final = 1.0


@dataclass(slots=True)
class Account:
    """An entry's view of one limit, and its use of the limit."""

    ample: bool = True
    """Whether it may admit before it reports."""

    used: int = 0
    """Admissions that are not reported yet."""

    unconfirmed: int = 0
    """Admissions since the owner's last reply, reported or not."""

    denied_until: float = 0
    """Until when to deny without asking the owner again."""

    retry_at: float = 0
    """When the owner expects to have a token for a denied caller."""

    probing: bool = False
    """Whether to try a silent owner again with the next report."""

    use_meter: RateMeter = field(
        default_factory=lambda: RateMeter(seconds=_USE_WINDOW)
    )
    """Rate of use of the limit at this entry."""

    allowance: TokenBucket | None = None
    """What may be admitted without the owner; None while it replies."""

    def record_admission(self, now: float) -> None:
        """Count an admission that is not reported yet."""
        self.used += 1
        self.unconfirmed += 1
        self.use_meter.note(now)

    def may_admit(self, limit: SharedLimit) -> bool:
        """Whether one more may be admitted before it is reported."""
        return (
            self.ample
            and self.unconfirmed < limit.capacity * _UNCONFIRMED_SHARE
        )

    def take_used(self) -> int:
        """Return and reset the admissions to be reported."""
        used = self.used
        self.used = 0
        self.probing = False
        return used

    def wait(self, now: float) -> float:
        """Return the seconds after which a denied caller should retry."""
        return max(self.denied_until, self.retry_at) - now

    def apply_status(
        self,
        status: LimitStatus,
        granted: int,
        backoff: float,
        now: float,
    ) -> None:
        """Apply the owner's reply, with the admissions that it granted here.

        If it denied any, the owner is not asked again during the backoff.
        """
        self.drop_allowance()
        self.ample = status.ample
        self.unconfirmed = self.used
        for _ in range(granted):
            self.use_meter.note(now)
        if status.wait:
            self.retry_at = now + status.wait
            self.denied_until = now + min(backoff, status.wait)

    def ensure_allowance(
        self,
        limit: SharedLimit,
        entries: int,
        now: float,
    ) -> TokenBucket:
        """Return the allowance for the time in which the owner is silent.

        Its rate is the recent use of this entry or an equal part of what all
        entries that are cut off may use together, whichever is more.
        """
        # The next report probes the owner: admissions from the allowance are
        # not counted anywhere.
        self.probing = True
        if self.allowance is None:
            equal = limit.rate * UNREACHABLE_SHARE / max(1, entries)
            rate = max(equal, self.use_meter.rate(now) * _ALLOWANCE_FACTOR)
            capacity = _ALLOWANCE_BURST + rate
            self.allowance = TokenBucket(rate, capacity, _ALLOWANCE_BURST, now)
        return self.allowance

    def drop_allowance(self) -> None:
        """Drop the allowance: the owner replies, or has changed."""
        self.allowance = None
        self.probing = False
