"""The ledger of permits: who may use how many of each pool.

Every permit of a pool has exactly one holder.  A pool is split over the
seats of a region; an instance uses the shares of the seats it holds, less
what it lent, plus what it borrowed.  The ledger keeps the invariant

    own use + lent <= share of the seats held, and
    use of a loan <= what was lent, starting only before the loan expires

on each instance by itself.  Added up over disjoint seats this bounds the use
of the whole pool, whatever messages are lost, repeated, reordered or late.

A lender counts a loan as lent until it is returned, or until the loan's
duration and the longest time a request may run have passed on the lender's
clock *after* the grant.  A borrower counts the duration from when it *asked*,
so its end always comes first.
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
    seats_share,
)

_OWN: Final = 0


@dataclass(slots=True)
class PermitLedger:
    """All pools of one instance; see the module's text.

    >>> ledger = PermitLedger(loan_duration=2, longest_run=5)
    >>> ledger.available(PoolKey('slot/a'), now=0)
    0
    """

    loan_duration: float
    """Seconds for which permits are lent."""

    longest_run: float
    """Longest time a request may run after its start."""

    pools: dict[PoolKey, Pool] = field(default_factory=dict)
    """All pools."""

    groups: dict[GroupKey, Group] = field(default_factory=dict)
    """All groups."""

    seats: tuple[int, ...] = ()
    """Seats held."""

    generation: int = 0
    """Newest generation that was configured."""

    oldest: int = 0
    """Oldest generation whose split may be in force."""

    loans: dict[int, BorrowedLoan] = field(default_factory=dict)
    """What is borrowed."""

    lent: dict[LoanId, LentLoan] = field(default_factory=dict)
    """What is lent."""

    closed: dict[LoanId, float] = field(default_factory=dict)
    """Loans that ended, and until when late requests for them may come."""

    # -- configuration and seats

    def configure(self, generation: int, specs: Iterable[PoolSpec]) -> None:
        """Take up the splits of a newer generation.

        A share that grows does so only after :meth:`settle`; one that
        shrinks does so at once.
        """
        wanted = {spec.key: spec for spec in specs}
        for key, spec in wanted.items():
            if key not in self.pools:
                self._add_pool(spec)
        for key, pool in self.pools.items():
            nothing = PoolSpec(key, pool.group, 0, 1)
            pool.versions[generation] = wanted.get(key, nothing)
        self.generation = generation
        self._reshare()

    def drop_splits_before(self, generation: int) -> None:
        """Forget splits older than one that all seat holders fit into."""
        if generation <= self.oldest:
            return
        self.oldest = generation
        for key in tuple(self.pools):
            pool = self.pools[key]
            old = [number for number in pool.versions if number < generation]
            for number in old:
                pool.versions.pop(number)
            if self._is_over(pool):
                self._drop_pool(pool)
        self._reshare()

    def hold_seats(self, seats: Iterable[int]) -> None:
        """Set which seats are held."""
        held = tuple(sorted(seats))
        if held != self.seats:
            self.seats = held
            self._reshare()

    def fits(self, seats: Iterable[int]) -> bool:
        """Whether what is used and lent fits into the newest shares."""
        held = tuple(seats)
        return all(
            pool.in_use + pool.lent
            <= seats_share((pool.versions[max(pool.versions)],), held)
            for pool in self.pools.values()
        )

    def set_max_in_use(self, key: PoolKey, max_in_use: int | None) -> None:
        """Bound the permits used at once, or lift the bound."""
        pool = self.pools.get(key)
        if pool and pool.max_in_use != max_in_use:
            pool.max_in_use = max_in_use

    # -- taking and releasing

    def available(self, key: PoolKey, now: float) -> int:
        """Permits of the pool on which a request may start now."""
        pool = self.pools.get(key)
        return pool.available(now) if pool else 0

    def take(self, key: PoolKey, now: float) -> Hold | NoPermit:
        """Take a permit: an own one first, so that loans can go back."""
        pool = self.pools.get(key)
        if pool is None:
            return NoPermit.UNKNOWN_POOL
        if pool.available(now) <= 0:
            self._mark(pool, now)
            return NoPermit.ALL_IN_USE
        hold = self._hold(pool, now)
        self.groups[pool.group].in_use += 1
        self._mark(pool, now)
        return hold

    def release(self, hold: Hold, now: float) -> None:
        """Give back a permit that was taken."""
        pool = self.pools[hold.pool]
        self.groups[pool.group].in_use -= 1
        if hold.loan == _OWN:
            pool.in_use -= 1
        else:
            loan = self.loans[hold.loan]
            loan.parts[hold.pool].in_use -= 1
            loan.idle_since = now
        self._mark(pool, now)

    def refresh(self, group: GroupKey, now: float) -> None:
        """Bring the list of available pools of a group up to date."""
        for key in self.groups[group].pools:
            self._mark(self.pools[key], now)

    def refresh_pool(self, key: PoolKey, now: float) -> None:
        """Bring the listing of one pool as available up to date."""
        self._mark(self.pools[key], now)

    # -- lending

    def lend(
        self,
        loan: LoanId,
        group: GroupKey,
        count: int,
        now: float,
    ) -> LoanGrant:
        """Lend up to ``count`` idle permits, or repeat an earlier grant."""
        standing = self.lent.get(loan)
        if standing is None and loan not in self.closed:
            standing = self._new_loan(loan, group, count, now)
        counts = standing.counts if standing else {}
        return LoanGrant(
            loan.number,
            group,
            _parts(counts),
            self.loan_duration,
        )

    def renew(
        self,
        loan: LoanId,
        group: GroupKey,
        sequence: int,
        now: float,
    ) -> LoanGrant:
        """Lend for longer what is lent already, unless it is recalled."""
        standing = self.lent.get(loan)
        if standing is None or standing.recalled:
            return LoanGrant(loan.number, group, (), 0, sequence)
        standing.until = now + self.loan_duration + self.longest_run
        return LoanGrant(
            loan.number,
            group,
            _parts(standing.counts),
            self.loan_duration,
            sequence,
        )

    def apply_return(
        self,
        loan: LoanId,
        kept_parts: Iterable[LoanPart],
        now: float,
    ) -> None:
        """Count what a borrower returned; counts only ever fall."""
        standing = self.lent.get(loan)
        if standing is None:
            self._close(loan, now)
            return
        kept = {PoolKey(part.pool): part.count for part in kept_parts}
        for key, count in standing.counts.items():
            returned = count - min(count, max(0, kept.get(key, 0)))
            standing.counts[key] = count - returned
            self._unlend(key, returned, now)
        if not any(standing.counts.values()):
            self.lent.pop(loan)
            self._close(loan, now)

    # -- borrowing

    def borrow(
        self,
        grant: LoanGrant,
        lender: Incarnation,
        asked_at: float,
        now: float,
    ) -> bool:
        """Take up a granted loan; false when it came too late."""
        expires_at = asked_at + grant.duration
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
            self._mark(pool, now)
        return True

    def extend(self, grant: LoanGrant, now: float) -> None:
        """Take up a renewal that was asked for."""
        loan = self.loans.get(grant.loan)
        if loan is None:
            return
        asked_at = loan.asked_at.pop(grant.sequence, None)
        if asked_at is None:
            return
        if not grant.parts:
            loan.recalled = True
            return
        loan.expires_at = max(loan.expires_at, asked_at + grant.duration)

    def give_back(
        self,
        number: int,
        now: float,
        *,
        keep: int = 0,
    ) -> LoanReturn:
        """Return the idle permits of a loan, but for ``keep`` of them."""
        loan = self.loans[number]
        for key, part in loan.parts.items():
            kept = min(keep, part.count - part.in_use)
            returned = part.count - part.in_use - kept
            keep -= kept
            part.count -= returned
            pool = self.pools[key]
            self.groups[pool.group].borrowed -= returned
            self._mark(pool, now)
        counts = {key: part.count for key, part in loan.parts.items()}
        if not any(counts.values()):
            self._forget(loan)
        return LoanReturn(number, _parts(counts))

    # -- time

    def expire(self, now: float) -> None:
        """End the lent loans on which nothing can run any more."""
        over = [loan for loan in self.lent.values() if loan.until <= now]
        for loan in over:
            self.apply_return(loan.loan, (), now)
        late = [key for key, until in self.closed.items() if until <= now]
        for key in late:
            self.closed.pop(key)

    # -- helpers

    def _hold(self, pool: Pool, now: float) -> Hold:
        if pool.idle > 0:
            pool.in_use += 1
            return Hold(pool.key, _OWN, now + self.loan_duration)
        for loan in pool.borrowed.values():
            part = loan.parts[pool.key]
            if loan.usable(now) and part.count > part.in_use:
                part.in_use += 1
                return Hold(pool.key, loan.number, loan.expires_at)
        raise AssertionError(f'no permit of {pool.key} although available')

    def _new_loan(
        self,
        loan: LoanId,
        group: GroupKey,
        count: int,
        now: float,
    ) -> LentLoan | None:
        counts = self._collect(group, count, now)
        if not counts:
            return None
        until = now + self.loan_duration + self.longest_run
        lent = LentLoan(loan, group, until, counts)
        self.lent[loan] = lent
        return lent

    def _collect(
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
        for taken in counts:
            self._mark(self.pools[taken], now)
        return counts

    def _unlend(self, key: PoolKey, count: int, now: float) -> None:
        pool = self.pools.get(key)
        if pool and count:
            pool.lent -= count
            self.groups[pool.group].lent -= count
            self._mark(pool, now)

    def _close(self, loan: LoanId, now: float) -> None:
        self.closed[loan] = now + self.loan_duration + self.longest_run

    def _forget(self, loan: BorrowedLoan) -> None:
        self.loans.pop(loan.number)
        for key in loan.parts:
            self.pools[key].borrowed.pop(loan.number)

    def _add_pool(self, spec: PoolSpec) -> None:
        # No earlier split gave this instance anything of a new pool.
        before = PoolSpec(spec.key, spec.group, 0, 1)
        self.pools[spec.key] = Pool(
            spec.key, spec.group, {self.generation: before}
        )
        group = self.groups.setdefault(spec.group, Group(spec.group))
        group.pools.append(spec.key)

    def _is_over(self, pool: Pool) -> bool:
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

    def _reshare(self) -> None:
        for group in self.groups.values():
            group.share = 0
        for pool in self.pools.values():
            pool.share = seats_share(pool.versions.values(), self.seats)
            self.groups[pool.group].share += pool.share
            self._mark(pool, float('-inf'))

    def _mark(self, pool: Pool, now: float) -> None:
        listed = self.groups[pool.group].available
        if pool.available(now) > 0:
            listed.add(pool.key)
        else:
            listed.remove(pool.key)


def _parts(counts: Mapping[PoolKey, int]) -> tuple[LoanPart, ...]:
    return tuple(LoanPart(key, count) for key, count in counts.items() if count)
