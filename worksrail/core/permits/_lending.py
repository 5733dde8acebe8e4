"""When to borrow, when to lend, and when to give back.

An instance asks the others of its region for permits when its own run low,
ahead of need where it can.  It lends what it does not need itself, going by
its own recent peak; so the share of its seats stays its guaranteed minimum,
as in the elastic quotas of the paper named in ``docs/design/permits.md``.
What is lent is recalled when the lender itself runs short.
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
    """A message of the lending protocol and who shall get it."""

    receiver: Incarnation
    """Who shall get it."""

    message: LoanRequest | LoanGrant | LoanReturn | LoanRecall
    """What to say."""


@dataclass(frozen=True, slots=True)
class Lender:
    """Another instance of the region, as a possible lender."""

    who: Incarnation
    """Which instance."""

    idle: int | None
    """Idle permits it told of last; None when it tells nothing."""


@dataclass(slots=True)
class OpenAsk:
    """A loan request without an answer."""

    lender: Incarnation
    """Who was asked."""

    group: GroupKey
    """For which group."""

    asked_at: float
    """When."""


@dataclass(slots=True)
class Demand:
    """Recent need for the permits of a group."""

    peak: int = 0
    """Most permits in use in this window."""

    before: int = 0
    """Most permits in use in the window before."""

    shortage: int = 0
    """Requests that wait for a permit."""

    refused: dict[str, float] = field(default_factory=dict)
    """Lenders that had nothing, and until when not to ask them."""

    @property
    def recent_peak(self) -> int:
        """Most permits in use in the last two windows."""
        return max(self.peak, self.before)


@dataclass(slots=True)
class Lending:
    """The borrowing and lending decisions of one instance."""

    settings: CoreSettings
    """Times of the protocol."""

    ledger: PermitLedger
    """Where the permits are counted."""

    asks: dict[int, OpenAsk] = field(default_factory=dict)
    """Loan requests without an answer."""

    last_loan: int = 0
    """Number of the last loan asked for."""

    demands: dict[GroupKey, Demand] = field(default_factory=dict)
    """Recent need by group."""

    window_ends_at: float = 0
    """When the window of the peaks ends."""

    # -- need

    def record_use(self, key: GroupKey) -> None:
        """Count the permits in use toward the peak."""
        demand = self.demand(key)
        demand.peak = max(demand.peak, self.ledger.groups[key].in_use)

    def set_shortage(self, key: GroupKey, waiting: int) -> None:
        """Set how many requests wait for a permit."""
        self.demand(key).shortage = waiting

    def demand(self, key: GroupKey) -> Demand:
        """Recent need for the permits of a group."""
        return self.demands.setdefault(key, Demand())

    def wanted(self, key: GroupKey) -> int:
        """How many permits to borrow now; zero when there are enough."""
        group = self.ledger.groups.get(key)
        if group is None:
            return 0
        demand = self.demand(key)
        if demand.shortage:
            return demand.shortage + _low_water(group)
        free = group.usable - group.in_use
        growing = demand.peak >= demand.before and demand.peak > 0
        low = _low_water(group)
        return low if growing and free < low else 0

    # -- borrowing

    def request_loan(
        self,
        key: GroupKey,
        lenders: Iterable[Lender],
        now: float,
    ) -> Iterator[LoanMessage]:
        """Ask one lender for permits, if some are wanted."""
        wanted = self.wanted(key)
        if not wanted or self._is_asking(key):
            return
        lender = self._choose(self.demand(key), lenders, now)
        if lender is None:
            return
        self.last_loan += 1
        self.asks[self.last_loan] = OpenAsk(lender, key, now)
        yield LoanMessage(lender, LoanRequest(self.last_loan, key, wanted))

    def on_grant(
        self,
        grant: LoanGrant,
        sender: Incarnation,
        now: float,
    ) -> Iterator[LoanMessage]:
        """Take up a grant or a renewal; return what came too late."""
        if grant.sequence:
            self.ledger.extend(grant, now)
            return
        # An ask is answered once: a repeated grant finds it closed, so
        # what has been returned meanwhile is not used again.
        ask = self.asks.get(grant.loan)
        if ask is None or ask.lender != sender:
            return
        self.asks.pop(grant.loan)
        demand = self.demand(ask.group)
        if not grant.parts:
            demand.refused[sender.name] = now + self.settings.loan_idle / 2
            return
        if not self.ledger.borrow(grant, sender, ask.asked_at, now):
            yield LoanMessage(sender, LoanReturn(grant.loan, ()))

    def on_recall(
        self,
        recall: LoanRecall,
        sender: Incarnation,
        now: float,
    ) -> Iterator[LoanMessage]:
        """Return what is idle of a recalled loan, the rest when it ends."""
        loan = self.ledger.loans.get(recall.loan)
        if loan and loan.lender == sender:
            loan.recalled = True
            yield self._return(loan, now)

    def on_release(self, number: int, now: float) -> Iterator[LoanMessage]:
        """Return permits of an ended loan as soon as they are free."""
        loan = self.ledger.loans.get(number)
        if loan and not loan.usable(now):
            yield self._return(loan, now)

    # -- lending

    def on_request(
        self,
        request: LoanRequest,
        sender: Incarnation,
        now: float,
        *,
        leaving: bool = False,
    ) -> LoanMessage:
        """Lend what the own recent peak leaves free, or renew a loan."""
        loan = LoanId(sender, request.loan)
        key = GroupKey(request.group)
        if request.sequence:
            grant = self.ledger.renew(loan, key, request.sequence, now)
        else:
            spare = self.lendable(key, leaving=leaving)
            count = min(request.count, spare)
            grant = self.ledger.lend(loan, key, count, now)
        return LoanMessage(sender, grant)

    def lendable(self, key: GroupKey, *, leaving: bool = False) -> int:
        """Permits that may be lent now."""
        group = self.ledger.groups.get(key)
        if group is None:
            return 0
        idle = group.usable - group.in_use
        if leaving:
            return max(0, idle)
        demand = self.demand(key)
        if demand.shortage:
            return 0
        # Half of the way back to the recent peak: the whole way keeps idle
        # what others wait for, none sends loans to and fro.
        reserve = max(0, demand.recent_peak - group.in_use) // 2
        return max(0, idle - reserve)

    # -- time

    def tick(self, now: float) -> Iterator[LoanMessage]:
        """Renew, return, recall and forget what is due."""
        self._turn_window(now)
        self.ledger.expire(now)
        late = now - self.settings.ask_timeout
        overdue = [
            number for number, ask in self.asks.items() if ask.asked_at <= late
        ]
        for number in overdue:
            ask = self.asks.pop(number)
            refused = self.demand(ask.group).refused
            refused[ask.lender.name] = now + self.settings.loan_duration
            yield LoanMessage(ask.lender, LoanReturn(number, ()))
        for loan in tuple(self.ledger.loans.values()):
            yield from self._tend(loan, now)
        yield from self._recalls()

    def return_all_loans(self, now: float) -> Iterator[LoanMessage]:
        """Return everything idle and use no loan again."""
        for loan in tuple(self.ledger.loans.values()):
            loan.recalled = True
            yield self._return(loan, now)

    def mark_all_recalled(self) -> None:
        """Renew nothing that is lent; it all comes back in time."""
        for lent in self.ledger.lent.values():
            lent.recalled = True

    # -- helpers

    def _is_asking(self, key: GroupKey) -> bool:
        return any(ask.group == key for ask in self.asks.values())

    def _choose(
        self,
        demand: Demand,
        lenders: Iterable[Lender],
        now: float,
    ) -> Incarnation | None:
        fit = [
            lender
            for lender in lenders
            if demand.refused.get(lender.who.name, now) <= now
            and lender.idle != 0
        ]
        if not fit:
            return None
        best = max(fit, key=lambda one: (one.idle or 0, one.who.name))
        return best.who

    def _turn_window(self, now: float) -> None:
        if now < self.window_ends_at:
            return
        self.window_ends_at = now + self.settings.loan_idle
        for key, demand in self.demands.items():
            group = self.ledger.groups.get(key)
            demand.before = demand.peak
            demand.peak = group.in_use if group else 0

    def _tend(self, loan: BorrowedLoan, now: float) -> Iterator[LoanMessage]:
        if not loan.usable(now):
            if _idle_permits(loan):
                yield self._return(loan, now)
            return
        group = self.ledger.groups[loan.group]
        demand = self.demand(loan.group)
        if loan.in_use:
            loan.idle_since = now
        elif now - loan.idle_since >= self.settings.loan_idle:
            if not demand.shortage:
                yield self._return(loan, now)
                return
        unneeded = group.usable - demand.recent_peak - _low_water(group)
        idle = _idle_permits(loan)
        if unneeded > 0 and idle > 0 and not demand.shortage:
            keep = max(0, idle - unneeded)
            yield self._return(loan, now, keep=keep)
        yield from self._renewal(loan, now)

    def _renewal(self, loan: BorrowedLoan, now: float) -> Iterator[LoanMessage]:
        if loan.number not in self.ledger.loans:
            return
        half = self.settings.loan_duration / 2
        asked = loan.asked_at.get(loan.sequence)
        waiting = asked is not None and (
            now - asked < self.settings.ask_timeout
        )
        if loan.expires_at - now < half and not waiting:
            loan.sequence += 1
            loan.asked_at[loan.sequence] = now
            yield LoanMessage(
                loan.lender,
                LoanRequest(loan.number, loan.group, 0, loan.sequence),
            )

    def _return(
        self,
        loan: BorrowedLoan,
        now: float,
        *,
        keep: int = 0,
    ) -> LoanMessage:
        message = self.ledger.give_back(loan.number, now, keep=keep)
        return LoanMessage(loan.lender, message)

    def _recalls(self) -> Iterator[LoanMessage]:
        for lent in self.ledger.lent.values():
            short = self.demand(lent.group).shortage
            if short and not lent.recalled:
                lent.recalled = True
                yield LoanMessage(
                    lent.loan.borrower, LoanRecall(lent.loan.number)
                )


def _low_water(group: Group) -> int:
    # A tenth of what is usable, so that a loan's round trip is not on a
    # request's way.
    return 1 + group.usable // 10


def _idle_permits(loan: BorrowedLoan) -> int:
    return sum(part.count for part in loan.parts.values()) - loan.in_use
