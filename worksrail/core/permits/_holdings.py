"""What an instance holds of a pool, and of pools that are lent together."""

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
    RATE_LIMITED = 'all upstreams name limits, and there is no token'
    ALL_IN_USE = 'all permits are in use, lent or expired'


@dataclass(frozen=True, slots=True)
class Hold:
    """One permit held for one request."""

    pool: PoolKey
    """Pool it is from."""

    loan: int
    """Number of the borrowed loan it is from; zero for an own permit."""

    not_after: float
    """The request must have started before that time."""


@dataclass(slots=True)
class Pool:
    """The state of one pool on this instance."""

    key: PoolKey
    """Which pool."""

    group: GroupKey
    """Group it is lent with."""

    versions: dict[int, PoolSpec]
    """Split by generation, of all generations that may be in force."""

    share: int = 0
    """Permits of the held seats that are in force."""

    in_use: int = 0
    """Own permits that requests hold."""

    lent: int = 0
    """Own permits that are lent."""

    borrowed: dict[int, BorrowedLoan] = field(default_factory=dict)
    """Loans with permits of this pool."""

    max_in_use: int | None = None
    """Most permits to use at once for now; slow start sets it."""

    @property
    def idle(self) -> int:
        """Own permits neither in use nor lent; negative after a cut."""
        return self.share - self.in_use - self.lent

    def borrowed_idle(self, now: float) -> int:
        """Borrowed permits on which a request may start now."""
        return sum(
            loan.parts[self.key].count - loan.parts[self.key].in_use
            for loan in self.borrowed.values()
            if loan.usable(now)
        )

    @property
    def total_in_use(self) -> int:
        """Permits that requests hold, own and borrowed."""
        return self.in_use + sum(
            loan.parts[self.key].in_use for loan in self.borrowed.values()
        )

    def available(self, now: float) -> int:
        """Permits on which a request may start now."""
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
    """Which group."""

    pools: list[PoolKey] = field(default_factory=list)
    """Its pools."""

    available: AvailablePools = field(default_factory=AvailablePools)
    """Those of its pools with a permit to take."""

    in_use: int = 0
    """Permits that requests hold, own and borrowed."""

    share: int = 0
    """Permits of the held seats that are in force."""

    lent: int = 0
    """Own permits that are lent."""

    borrowed: int = 0
    """Permits borrowed and not returned."""

    @property
    def usable(self) -> int:
        """Permits this instance may use at once."""
        return max(0, self.share - self.lent + self.borrowed)
