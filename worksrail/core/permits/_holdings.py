"""The permits of an instance, by pool and by group of pools."""

from dataclasses import dataclass, field
from enum import Enum, unique

from worksrail.core.permits._available import AvailablePools
from worksrail.core.permits._loans import (
    BorrowedLoan,
)
from worksrail.core.permits._pool import (
    GroupKey,
    PoolKey,
    PoolSpec,
)


@unique
class NoPermit(Enum):
    """Sentinel: why no permit could be taken."""

    UNKNOWN_POOL = 'the pool is not configured'
    RATE_LIMITED = 'all upstreams have rate limits and no token is available'
    ALL_IN_USE = 'all permits are in use, lent or expired'


@dataclass(frozen=True, slots=True)
class Hold:
    """A permit held for a request."""

    pool: PoolKey
    """Pool of the permit."""

    loan: int
    """Number of the loan that it was borrowed with; zero if not borrowed."""

    not_after: float
    """Time before which the request must start."""


@dataclass(slots=True)
class Pool:
    """The state of one pool on this instance."""

    key: PoolKey
    """Key of the pool."""

    group: GroupKey
    """Group of pools that are lent together with this one."""

    versions: dict[int, PoolSpec]
    """Split by generation, for each generation that may be in force."""

    share: int = 0
    """Own permits: those of the held seats, under every split in force."""

    in_use: int = 0
    """Own permits that requests hold."""

    lent: int = 0
    """Own permits that are lent."""

    borrowed: dict[int, BorrowedLoan] = field(default_factory=dict)
    """Loans with permits of this pool, by number."""

    max_in_use: int | None = None
    """Maximum number of permits in use at once; None for no maximum.

    It is set while the upstream is ejected, drained or in slow start.
    """

    @property
    def idle(self) -> int:
        """Own permits neither in use nor lent; negative if the share shrank."""
        return self.share - self.in_use - self.lent

    def borrowed_idle(self, now: float) -> int:
        """Return the borrowed permits on which a request may start now."""
        return sum(
            loan.parts[self.key].count - loan.parts[self.key].in_use
            for loan in self.borrowed.values()
            if loan.usable(now)
        )

    @property
    def total_in_use(self) -> int:
        """Permits in use, own and borrowed."""
        return self.in_use + sum(
            loan.parts[self.key].in_use for loan in self.borrowed.values()
        )

    def available(self, now: float) -> int:
        """Return the number of permits on which a request may start now."""
        free = max(0, self.idle)
        if self.borrowed:
            free += self.borrowed_idle(now)
        if self.max_in_use is None:
            return free
        return min(free, max(0, self.max_in_use - self.total_in_use))


@dataclass(slots=True)
class Group:
    """Pools that are lent together."""

    key: GroupKey
    """Key of the group."""

    pools: list[PoolKey] = field(default_factory=list)
    """Keys of its pools."""

    available: AvailablePools = field(default_factory=AvailablePools)
    """Those of its pools with an available permit."""

    in_use: int = 0
    """Permits that requests hold, own and borrowed."""

    share: int = 0
    """Own permits: those of the held seats, under every split in force."""

    lent: int = 0
    """Own permits that are lent."""

    borrowed: int = 0
    """Permits borrowed and not returned."""

    @property
    def usable(self) -> int:
        """Permits that this instance may use at once."""
        return max(0, self.share - self.lent + self.borrowed)
