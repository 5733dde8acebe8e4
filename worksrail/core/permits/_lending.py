"""When to borrow permits, when to lend them and when to return them.

An instance requests permits from another one of its region when few of its
own are free, if possible before it runs out.  It lends permits that it does
not need, judging by its recent peak, and recalls loans when requests wait for
permits.  The share of its seats thus remains its guaranteed minimum, as in
the elastic quotas of the paper cited in ``docs/design/permits.md``.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from worksrail.core.identity import Incarnation
from worksrail.core.messages import (
    LoanGrant,
    LoanRecall,
    LoanRequest,
    LoanReturn,
)
from worksrail.core.permits._holdings import Group
from worksrail.core.permits._ledger import PermitLedger
from worksrail.core.permits._loans import BorrowedLoan, LoanId
from worksrail.core.permits._pool import GroupKey
from worksrail.core.settings import CoreSettings


@dataclass(frozen=True, slots=True)
class LoanMessage:
    """A message of the lending protocol with its receiver."""

    receiver: Incarnation
    """Instance that it is sent to."""

    message: LoanRequest | LoanGrant | LoanReturn | LoanRecall
    """The message."""


@dataclass(frozen=True, slots=True)
class Lender:
    """Another instance of the region, as a possible lender."""

    who: Incarnation
    """The instance."""

    idle: int | None
    """Idle permits that it last advertised; None if it advertised nothing."""


@dataclass(slots=True)
class PendingRequest:
    """A loan request that awaits its answer."""

    lender: Incarnation
    """Instance that the request was sent to."""

    group: GroupKey
    """Group of pools whose permits were requested."""

    requested_at: float
    """When the request was sent."""


@dataclass(slots=True)
class Demand:
    """Recent demand for the permits of a group."""

    peak: int = 0
    """Maximum of permits in use in the current window."""

    previous_peak: int = 0
    """Maximum of permits in use in the previous window."""

    shortage: int = 0
    """Number of requests that wait for a permit."""

    backoff_until: dict[str, float] = field(default_factory=dict)
    """Until when no permits are requested from a lender, by its name."""

    @property
    def recent_peak(self) -> int:
        """Maximum of permits in use in the current and previous window."""
        return max(self.peak, self.previous_peak)


@dataclass(slots=True)
class Lending:
    """The borrowing and lending decisions of one instance."""

    settings: CoreSettings
    """Durations and timeouts of the protocol."""

    ledger: PermitLedger
    """The permits of this instance."""

    pending: dict[int, PendingRequest] = field(default_factory=dict)
    """Pending loan requests by number of the loan."""

    last_number: int = 0
    """Number of the last loan that was requested."""

    demands: dict[GroupKey, Demand] = field(default_factory=dict)
    """Recent demand by group."""

    window_ends_at: float = 0
    """When the current window of the peaks ends."""

    # -- demand

    def note_use(self, key: GroupKey) -> None:
        """Update the peak with the permits in use."""
        demand = self.demand(key)
        demand.peak = max(demand.peak, self.ledger.groups[key].in_use)

    def note_shortage(self, key: GroupKey, waiting: int) -> None:
        """Set the number of requests that wait for a permit."""
        self.demand(key).shortage = waiting

    def demand(self, key: GroupKey) -> Demand:
        """Return the recent demand for the permits of a group."""
        return self.demands.setdefault(key, Demand())

    def wanted(self, key: GroupKey) -> int:
        """Return how many permits to borrow now; zero if there are enough."""
        group = self.ledger.groups.get(key)
        if group is None:
            return 0
        demand = self.demand(key)
        if demand.shortage:
            return demand.shortage + _low_water(group)
        free = group.usable - group.in_use
        growing = demand.peak >= demand.previous_peak and demand.peak > 0
        low = _low_water(group)
        return low if growing and free < low else 0

    # -- borrowing

    def ask(
        self,
        key: GroupKey,
        lenders: Iterable[Lender],
        now: float,
    ) -> Iterator[LoanMessage]:
        """Request permits from one lender, if some are wanted."""
        wanted = self.wanted(key)
        if not wanted or self._has_pending(key):
            return
        lender = self._choose_lender(self.demand(key), lenders, now)
        if lender is None:
            return
        self.last_number += 1
        self.pending[self.last_number] = PendingRequest(lender, key, now)
        yield LoanMessage(lender, LoanRequest(self.last_number, key, wanted))

    def on_grant(
        self,
        grant: LoanGrant,
        sender: Incarnation,
        now: float,
    ) -> Iterator[LoanMessage]:
        """Add a granted loan or a renewal; return a grant that is too late."""
        if grant.sequence:
            self.ledger.extend(grant, now)
            return
        # A duplicate grant matches no pending request: permits that have
        # been returned since the first one are not used again.
        request = self.pending.get(grant.loan)
        if request is None or request.lender != sender:
            return
        self.pending.pop(grant.loan)
        demand = self.demand(request.group)
        if not grant.parts:
            demand.backoff_until[sender.name] = (
                now + self.settings.loan_idle / 2
            )
            return
        if not self.ledger.borrow(grant, sender, request.requested_at, now):
            yield LoanMessage(sender, LoanReturn(grant.loan, ()))

    def on_recall(
        self,
        recall: LoanRecall,
        sender: Incarnation,
        now: float,
    ) -> Iterator[LoanMessage]:
        """Return the idle permits of a recalled loan, the others on release."""
        loan = self.ledger.loans.get(recall.loan)
        if loan and loan.lender == sender:
            loan.recalled = True
            yield self._return_idle(loan, now)

    def on_release(self, number: int, now: float) -> Iterator[LoanMessage]:
        """Return permits of an ended loan as soon as they are idle."""
        loan = self.ledger.loans.get(number)
        if loan and not loan.usable(now):
            yield self._return_idle(loan, now)

    # -- lending

    def on_request(
        self,
        request: LoanRequest,
        sender: Incarnation,
        now: float,
        *,
        leaving: bool = False,
    ) -> LoanMessage:
        """Renew a loan, or lend permits that the recent peak leaves idle."""
        loan_id = LoanId(sender, request.loan)
        key = GroupKey(request.group)
        if request.sequence:
            grant = self.ledger.renew(loan_id, key, request.sequence, now)
        else:
            spare = self.lendable(key, leaving=leaving)
            count = min(request.count, spare)
            grant = self.ledger.lend(loan_id, key, count, now)
        return LoanMessage(sender, grant)

    def lendable(self, key: GroupKey, *, leaving: bool = False) -> int:
        """Return the number of permits that may be lent now."""
        group = self.ledger.groups.get(key)
        if group is None:
            return 0
        idle = group.usable - group.in_use
        if leaving:
            return max(0, idle)
        demand = self.demand(key)
        if demand.shortage:
            return 0
        # Reserve half of the distance to the recent peak: all of it would
        # hold back permits that peers wait for, and without a reserve loans
        # would be granted and recalled in turn.
        reserve = max(0, demand.recent_peak - group.in_use) // 2
        return max(0, idle - reserve)

    # -- time

    def tick(self, now: float) -> Iterator[LoanMessage]:
        """Renew, return, recall and expire the loans that are due."""
        self._start_window(now)
        self.ledger.expire(now)
        sent_before = now - self.settings.ask_timeout
        overdue = [
            number
            for number, request in self.pending.items()
            if request.requested_at <= sent_before
        ]
        for number in overdue:
            request = self.pending.pop(number)
            backoff = self.demand(request.group).backoff_until
            backoff[request.lender.name] = now + self.settings.loan_duration
            yield LoanMessage(request.lender, LoanReturn(number, ()))
        for loan in tuple(self.ledger.loans.values()):
            yield from self._maintain(loan, now)
        yield from self._recall()

    def return_all_loans(self, now: float) -> Iterator[LoanMessage]:
        """Return all idle borrowed permits; no loan is used again."""
        for loan in tuple(self.ledger.loans.values()):
            loan.recalled = True
            yield self._return_idle(loan, now)

    def recall_everything(self) -> None:
        """Stop renewing lent loans, so that each ends with its duration."""
        for lent in self.ledger.lent.values():
            lent.recalled = True

    # -- helpers

    def _has_pending(self, key: GroupKey) -> bool:
        return any(one.group == key for one in self.pending.values())

    def _choose_lender(
        self,
        demand: Demand,
        lenders: Iterable[Lender],
        now: float,
    ) -> Incarnation | None:
        candidates = [
            lender
            for lender in lenders
            if demand.backoff_until.get(lender.who.name, now) <= now
            and lender.idle != 0
        ]
        if not candidates:
            return None
        best = max(candidates, key=lambda one: (one.idle or 0, one.who.name))
        return best.who

    def _start_window(self, now: float) -> None:
        if now < self.window_ends_at:
            return
        self.window_ends_at = now + self.settings.loan_idle
        for key, demand in self.demands.items():
            group = self.ledger.groups.get(key)
            demand.previous_peak = demand.peak
            demand.peak = group.in_use if group else 0

    def _maintain(
        self, loan: BorrowedLoan, now: float
    ) -> Iterator[LoanMessage]:
        if not loan.usable(now):
            if _idle_permits(loan):
                yield self._return_idle(loan, now)
            return
        group = self.ledger.groups[loan.group]
        demand = self.demand(loan.group)
        if loan.in_use:
            loan.idle_since = now
        elif now - loan.idle_since >= self.settings.loan_idle:
            if not demand.shortage:
                yield self._return_idle(loan, now)
                return
        unneeded = group.usable - demand.recent_peak - _low_water(group)
        idle = _idle_permits(loan)
        if unneeded > 0 and idle > 0 and not demand.shortage:
            keep = max(0, idle - unneeded)
            yield self._return_idle(loan, now, keep=keep)
        yield from self._renew(loan, now)

    def _renew(self, loan: BorrowedLoan, now: float) -> Iterator[LoanMessage]:
        if loan.number not in self.ledger.loans:
            return
        half = self.settings.loan_duration / 2
        asked = loan.requested_at.get(loan.sequence)
        pending = asked is not None and (
            now - asked < self.settings.ask_timeout
        )
        if loan.expires_at - now < half and not pending:
            loan.sequence += 1
            loan.requested_at[loan.sequence] = now
            yield LoanMessage(
                loan.lender,
                LoanRequest(loan.number, loan.group, 0, loan.sequence),
            )

    def _return_idle(
        self,
        loan: BorrowedLoan,
        now: float,
        *,
        keep: int = 0,
    ) -> LoanMessage:
        message = self.ledger.return_idle(loan.number, now, keep=keep)
        return LoanMessage(loan.lender, message)

    def _recall(self) -> Iterator[LoanMessage]:
        for lent in self.ledger.lent.values():
            shortage = self.demand(lent.group).shortage
            if shortage and not lent.recalled:
                lent.recalled = True
                yield LoanMessage(
                    lent.loan_id.borrower, LoanRecall(lent.loan_id.number)
                )


def _low_water(group: Group) -> int:
    # With a tenth of the usable permits free, a loan arrives before requests
    # have to wait for its round trip.
    return 1 + group.usable // 10


def _idle_permits(loan: BorrowedLoan) -> int:
    return sum(part.count for part in loan.parts.values()) - loan.in_use
