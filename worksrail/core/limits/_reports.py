"""Reports to owners that are not answered yet."""

from dataclasses import dataclass, field
from typing import Final

from worksrail.core.limits._messages import LimitName
from worksrail.core.limits._verdicts import Ticket

# Seconds to wait for an owner's reply: twice the round trip to another region,
# and as much again for busy instances.  A lost datagram delays the callers that
# wait for it by this time.
_REPLY_TIMEOUT: Final = 0.3

Tickets = dict[LimitName, list[Ticket]]


@dataclass(slots=True)
class PendingReport:
    """A report that was sent and not answered yet."""

    sent_at: float
    """When it was sent."""

    tickets: Tickets
    """The limits that it named, and the admissions that wait for its reply."""


@dataclass(slots=True)
class PendingReports:
    """All reports that are not answered yet."""

    pending: dict[int, PendingReport] = field(default_factory=dict)
    """Reports by number."""

    count: int = 0
    """Number of reports so far."""

    def add(self, tickets: Tickets, now: float) -> int:
        """Add a report that is sent now; return its number."""
        self.count += 1
        self.pending[self.count] = PendingReport(now, tickets)
        return self.count

    def pop_tickets(self, number: int, name: LimitName) -> list[Ticket]:
        """Remove and return the admissions that waited for one limit."""
        report = self.pending.get(number)
        if report is None:
            return []
        tickets = report.tickets.pop(name, [])
        if not report.tickets:
            self.pending.pop(number)
        return tickets

    def pop_overdue(self, now: float) -> list[Tickets]:
        """Remove the reports that timed out; return what they named."""
        overdue = [
            number
            for number, report in self.pending.items()
            if now - report.sent_at > _REPLY_TIMEOUT
        ]
        return [self.pending.pop(number).tickets for number in overdue]

    def limit_names(self) -> set[LimitName]:
        """Return the limits that are named in any pending report."""
        return {
            name for report in self.pending.values() for name in report.tickets
        }
