"""The ledger of permits: how many of each pool an instance may use.

Every permit of a pool has exactly one holder.  A pool is split over the
seats of a region; an instance uses the shares of the seats that it holds,
minus what it lent, plus what it borrowed.  Each ledger maintains, without
coordination, the invariants

    own permits in use + lent permits <= share of the seats held, and
    use of a loan <= what was lent, started only before the loan expires.

As no seat has two holders, the sum over all instances stays within the limit
of the pool, even if messages are lost, duplicated, reordered or delayed.

A lender counts a loan as lent until it is returned, or until the loan's
duration and the longest time that a request may run have passed by the
lender's clock, counted from the *grant*.  A borrower counts the duration from
its *request*, so the loan expires at the borrower first.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.identity import Incarnation
from worksrail.core.messages import LoanGrant, LoanPart, LoanReturn
from worksrail.core.permits._holdings import Group, Hold, NoPermit, Pool
from worksrail.core.permits._loans import (
    BorrowedLoan,
    BorrowedPart,
    LentLoan,
    LoanId,
)
from worksrail.core.permits._pool import (
    GroupKey,
    PoolKey,
    PoolSpec,
    smallest_share,
)

_OWN_PERMIT: Final = 0


@dataclass(slots=True)
class PermitLedger:
    """The permits of one instance; the module docstring has the invariants.

    >>> ledger = PermitLedger(loan_duration=2, longest_run=5)
    >>> ledger.available(PoolKey('slot/a'), now=0)
    0
    """

    loan_duration: float
    """Duration of a loan in seconds."""

    longest_run: float
    """Maximum time in seconds that a request may run after its start."""

    pools: dict[PoolKey, Pool] = field(default_factory=dict)
    """Pools by key."""

    groups: dict[GroupKey, Group] = field(default_factory=dict)
    """Groups of pools by key."""

    seats: tuple[int, ...] = ()
    """Seats that this instance holds, in ascending order."""

    generation: int = 0
    """Newest generation that was configured."""

    oldest: int = 0
    """Oldest generation whose split may be in force on any instance."""

    loans: dict[int, BorrowedLoan] = field(default_factory=dict)
    """Borrowed loans by number."""

    lent: dict[LoanId, LentLoan] = field(default_factory=dict)
    """Lent loans by identifier."""

    ended: dict[LoanId, float] = field(default_factory=dict)
    """Lent loans that ended, and until when requests for them get nothing."""

    # -- configuration and seats

    def configure(self, generation: int, specs: Iterable[PoolSpec]) -> None:
        """Add the splits of a newer generation.

        A share that shrinks does so at once.  A share that grows does so
        after :meth:`drop_splits_before`, when no instance uses an older split.
        """
        configured = {spec.key: spec for spec in specs}
        for key, spec in configured.items():
            if key not in self.pools:
                self._add_pool(spec)
        for key, pool in self.pools.items():
            empty = PoolSpec(key, pool.group, 0, 1)
            pool.versions[generation] = configured.get(key, empty)
        self.generation = generation
        self._update_shares()

    def drop_splits_before(self, generation: int) -> None:
        """Drop splits older than one that all seat holders comply with."""
        if generation <= self.oldest:
            return
        self.oldest = generation
        for key in tuple(self.pools):
            pool = self.pools[key]
            old = [number for number in pool.versions if number < generation]
            for number in old:
                pool.versions.pop(number)
            if self._is_obsolete(pool):
                self._drop_pool(pool)
        self._update_shares()

    def hold_seats(self, seats: Iterable[int]) -> None:
        """Set the seats that this instance holds."""
        held = tuple(sorted(seats))
        if held != self.seats:
            self.seats = held
            self._update_shares()

    def fits(self, seats: Iterable[int]) -> bool:
        """Return whether permits in use and lent fit the newest shares."""
        held = tuple(seats)
        return all(
            pool.in_use + pool.lent
            <= smallest_share((pool.versions[max(pool.versions)],), held)
            for pool in self.pools.values()
        )

    def limit_pool(self, key: PoolKey, max_in_use: int | None) -> None:
        """Set the maximum of permits in use at once; None removes it."""
        pool = self.pools.get(key)
        if pool and pool.max_in_use != max_in_use:
            pool.max_in_use = max_in_use

    # -- taking and releasing

    def available(self, key: PoolKey, now: float) -> int:
        """Return the permits of a pool on which a request may start now."""
        pool = self.pools.get(key)
        return pool.available(now) if pool else 0

    def take(self, key: PoolKey, now: float) -> Hold | NoPermit:
        """Take a permit, preferably an own one, so that loans are returned."""
        pool = self.pools.get(key)
        if pool is None:
            return NoPermit.UNKNOWN_POOL
        if pool.available(now) <= 0:
            self._update_available(pool, now)
            return NoPermit.ALL_IN_USE
        hold = self._hold(pool, now)
        self.groups[pool.group].in_use += 1
        self._update_available(pool, now)
        return hold

    def release(self, hold: Hold, now: float) -> None:
        """Release a permit that was taken."""
        pool = self.pools[hold.pool]
        self.groups[pool.group].in_use -= 1
        if hold.loan == _OWN_PERMIT:
            pool.in_use -= 1
        else:
            loan = self.loans[hold.loan]
            loan.parts[hold.pool].in_use -= 1
            loan.idle_since = now
        self._update_available(pool, now)

    def refresh(self, group: GroupKey, now: float) -> None:
        """Update the set of available pools of a group."""
        for key in self.groups[group].pools:
            self._update_available(self.pools[key], now)

    def refresh_pool(self, key: PoolKey, now: float) -> None:
        """Update whether a pool counts as available."""
        self._update_available(self.pools[key], now)

    # -- lending

    def lend(
        self,
        loan_id: LoanId,
        group: GroupKey,
        count: int,
        now: float,
    ) -> LoanGrant:
        """Lend up to ``count`` idle permits, or repeat an earlier grant."""
        lent = self.lent.get(loan_id)
        if lent is None and loan_id not in self.ended:
            lent = self._new_loan(loan_id, group, count, now)
        counts = lent.counts if lent else {}
        return LoanGrant(
            loan_id.number,
            group,
            _loan_parts(counts),
            self.loan_duration,
        )

    def renew(
        self,
        loan_id: LoanId,
        group: GroupKey,
        sequence: int,
        now: float,
    ) -> LoanGrant:
        """Extend a loan, unless it is recalled."""
        lent = self.lent.get(loan_id)
        if lent is None or lent.recalled:
            return LoanGrant(loan_id.number, group, (), 0, sequence)
        lent.ends_at = now + self.loan_duration + self.longest_run
        return LoanGrant(
            loan_id.number,
            group,
            _loan_parts(lent.counts),
            self.loan_duration,
            sequence,
        )

    def apply_return(
        self,
        loan_id: LoanId,
        kept_parts: Iterable[LoanPart],
        now: float,
    ) -> None:
        """Record what a borrower returned; the counts of a loan never grow."""
        lent = self.lent.get(loan_id)
        if lent is None:
            self._mark_ended(loan_id, now)
            return
        kept = {PoolKey(part.pool): part.count for part in kept_parts}
        for key, count in lent.counts.items():
            returned = count - min(count, max(0, kept.get(key, 0)))
            lent.counts[key] = count - returned
            self._restore(key, returned, now)
        if not any(lent.counts.values()):
            self.lent.pop(loan_id)
            self._mark_ended(loan_id, now)

    # -- borrowing

    def borrow(
        self,
        grant: LoanGrant,
        lender: Incarnation,
        requested_at: float,
        now: float,
    ) -> bool:
        """Add a granted loan; return false if the grant came too late."""
        expires_at = requested_at + grant.duration
        parts = {
            PoolKey(part.pool): BorrowedPart(part.count)
            for part in grant.parts
            if part.pool in self.pools
        }
        if grant.loan in self.loans or now >= expires_at or not parts:
            return False
        loan = BorrowedLoan(
            grant.loan,
            lender,
            GroupKey(grant.group),
            expires_at,
            parts,
            idle_since=now,
        )
        self.loans[loan.number] = loan
        for key, part in parts.items():
            pool = self.pools[key]
            pool.borrowed[loan.number] = loan
            self.groups[pool.group].borrowed += part.count
            self._update_available(pool, now)
        return True

    def extend(self, grant: LoanGrant, now: float) -> None:
        """Extend a loan by a renewal that was requested."""
        loan = self.loans.get(grant.loan)
        if loan is None:
            return
        requested_at = loan.requested_at.pop(grant.sequence, None)
        if requested_at is None:
            return
        if not grant.parts:
            loan.recalled = True
            return
        loan.expires_at = max(loan.expires_at, requested_at + grant.duration)

    def return_idle(
        self,
        number: int,
        now: float,
        *,
        keep: int = 0,
    ) -> LoanReturn:
        """Return the idle permits of a loan, except ``keep`` of them."""
        loan = self.loans[number]
        for key, part in loan.parts.items():
            kept = min(keep, part.count - part.in_use)
            returned = part.count - part.in_use - kept
            keep -= kept
            part.count -= returned
            pool = self.pools[key]
            self.groups[pool.group].borrowed -= returned
            self._update_available(pool, now)
        counts = {key: part.count for key, part in loan.parts.items()}
        if not any(counts.values()):
            self._remove_loan(loan)
        return LoanReturn(number, _loan_parts(counts))

    # -- time

    def expire(self, now: float) -> None:
        """End the lent loans on which no request can run any more."""
        expired = [loan for loan in self.lent.values() if loan.ends_at <= now]
        for loan in expired:
            self.apply_return(loan.loan_id, (), now)
        outdated = [key for key, until in self.ended.items() if until <= now]
        for key in outdated:
            self.ended.pop(key)

    # -- helpers

    def _hold(self, pool: Pool, now: float) -> Hold:
        if pool.idle > 0:
            pool.in_use += 1
            return Hold(pool.key, _OWN_PERMIT, now + self.loan_duration)
        for loan in pool.borrowed.values():
            part = loan.parts[pool.key]
            if loan.usable(now) and part.count > part.in_use:
                part.in_use += 1
                return Hold(pool.key, loan.number, loan.expires_at)
        raise AssertionError(
            f'pool {pool.key} is available but has no idle permit'
        )

    def _new_loan(
        self,
        loan_id: LoanId,
        group: GroupKey,
        count: int,
        now: float,
    ) -> LentLoan | None:
        counts = self._reserve(group, count, now)
        if not counts:
            return None
        ends_at = now + self.loan_duration + self.longest_run
        lent = LentLoan(loan_id, group, ends_at, counts)
        self.lent[loan_id] = lent
        return lent

    def _reserve(
        self,
        group: GroupKey,
        count: int,
        now: float,
    ) -> dict[PoolKey, int]:
        counts: dict[PoolKey, int] = {}
        if group not in self.groups:
            return counts
        keys = list(self.groups[group].available.keys)
        keys.sort(key=lambda key: -self.pools[key].idle)
        while count > 0 and keys:
            for key in tuple(keys):
                pool = self.pools[key]
                if pool.idle <= 0 or count <= 0:
                    keys.remove(key)
                    continue
                pool.lent += 1
                self.groups[group].lent += 1
                counts[key] = counts.get(key, 0) + 1
                count -= 1
        for reserved in counts:
            self._update_available(self.pools[reserved], now)
        return counts

    def _restore(self, key: PoolKey, count: int, now: float) -> None:
        pool = self.pools.get(key)
        if pool and count:
            pool.lent -= count
            self.groups[pool.group].lent -= count
            self._update_available(pool, now)

    def _mark_ended(self, loan_id: LoanId, now: float) -> None:
        self.ended[loan_id] = now + self.loan_duration + self.longest_run

    def _remove_loan(self, loan: BorrowedLoan) -> None:
        self.loans.pop(loan.number)
        for key in loan.parts:
            self.pools[key].borrowed.pop(loan.number)

    def _add_pool(self, spec: PoolSpec) -> None:
        # A new pool has no permits under the earlier splits.
        empty = PoolSpec(spec.key, spec.group, 0, 1)
        self.pools[spec.key] = Pool(
            spec.key, spec.group, {self.generation: empty}
        )
        group = self.groups.setdefault(spec.group, Group(spec.group))
        group.pools.append(spec.key)

    def _is_obsolete(self, pool: Pool) -> bool:
        busy = pool.in_use or pool.lent or pool.borrowed
        return not busy and not any(
            spec.limit for spec in pool.versions.values()
        )

    def _drop_pool(self, pool: Pool) -> None:
        group = self.groups[pool.group]
        group.available.remove(pool.key)
        group.pools.remove(pool.key)
        self.pools.pop(pool.key)
        if not group.pools:
            self.groups.pop(group.key)

    def _update_shares(self) -> None:
        for group in self.groups.values():
            group.share = 0
        for pool in self.pools.values():
            pool.share = smallest_share(pool.versions.values(), self.seats)
            self.groups[pool.group].share += pool.share
            self._update_available(pool, float('-inf'))

    def _update_available(self, pool: Pool, now: float) -> None:
        available = self.groups[pool.group].available
        if pool.available(now) > 0:
            available.add(pool.key)
        else:
            available.remove(pool.key)


def _loan_parts(counts: Mapping[PoolKey, int]) -> tuple[LoanPart, ...]:
    return tuple(LoanPart(key, count) for key, count in counts.items() if count)
