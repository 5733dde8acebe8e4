"""Loans of permits, as recorded by the borrower and by the lender."""

from dataclasses import dataclass, field

from worksrail.core.identity import Incarnation
from worksrail.core.permits._pool import GroupKey, PoolKey


@dataclass(slots=True)
class BorrowedPart:
    """Borrowed permits of one pool."""

    count: int
    """Permits of the loan that have not been returned."""

    in_use: int = 0
    """Number of them that requests hold."""


@dataclass(slots=True)
class BorrowedLoan:
    """A loan, as recorded by its borrower."""

    number: int
    """Number chosen by the borrower."""

    lender: Incarnation
    """Instance that lent it."""

    group: GroupKey
    """Group that its pools belong to."""

    expires_at: float
    """Time by the local clock from which no request may start on it."""

    parts: dict[PoolKey, BorrowedPart]
    """Borrowed permits by pool."""

    recalled: bool = False
    """The lender recalled it, or it is ending: no request may start on it."""

    requested_at: dict[int, float] = field(default_factory=dict)
    """When each pending renewal was requested, by sequence number."""

    sequence: int = 0
    """Sequence number of the last renewal request."""

    idle_since: float = 0
    """When it was last in use."""

    def usable(self, now: float) -> bool:
        """Whether a request may start on this loan."""
        return not self.recalled and now < self.expires_at

    @property
    def in_use(self) -> int:
        """Permits of the loan that requests hold."""
        return sum(part.in_use for part in self.parts.values())


@dataclass(frozen=True, slots=True)
class LoanId:
    """Identifies a loan among all instances."""

    borrower: Incarnation
    """Instance that borrowed."""

    number: int
    """Number chosen by the borrower."""


@dataclass(slots=True)
class LentLoan:
    """A loan, as recorded by its lender."""

    loan_id: LoanId
    """Identifier of the loan."""

    group: GroupKey
    """Group that its pools belong to."""

    ends_at: float
    """Time by the local clock from which no request can run on it."""

    counts: dict[PoolKey, int]
    """Permits lent and not returned, by pool."""

    recalled: bool = False
    """It was recalled, or is not renewed for another reason."""
