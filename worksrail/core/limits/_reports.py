"""Reports to owners that were not answered yet."""

from dataclasses import dataclass, field
from typing import Final

from worksrail.core.limits._messages import LimitName
from worksrail.core.limits._verdicts import Ticket

# Seconds within which an owner answers: twice the way to another region and
# back, and as much again for busy instances.  A datagram that was lost costs
# the callers who wait for it this time.
_ANSWER_TIME: Final = 0.3

Tickets = dict[LimitName, list[Ticket]]


@dataclass(slots=True)
class Report:
    """A report that was sent and not answered yet."""

    sent_at: float
    """When it was sent."""

    tickets: Tickets
    """The limits that it named, and the wishes that wait for its answer."""


@dataclass(slots=True)
class Reports:
    """All reports under way."""

    pending: dict[int, Report] = field(default_factory=dict)
    """Reports by number."""

    count: int = 0
    """Reports so far."""

    def begin(self, tickets: Tickets, now: float) -> int:
        """Note a report that is sent now; gives its number."""
        self.count += 1
        self.pending[self.count] = Report(now, tickets)
        return self.count

    def answer(self, number: int, name: LimitName) -> list[Ticket]:
        """The wishes that waited for the word on one limit."""
        report = self.pending.get(number)
        if report is None:
            return []
        tickets = report.tickets.pop(name, [])
        if not report.tickets:
            self.pending.pop(number)
        return tickets

    def take_overdue(self, now: float) -> list[Tickets]:
        """What was named by reports that nobody answered in time."""
        overdue = [
            number
            for number, report in self.pending.items()
            if now - report.sent_at > _ANSWER_TIME
        ]
        return [self.pending.pop(number).tickets for number in overdue]

    def named(self) -> set[LimitName]:
        """Limits that some report under way has named."""
        return {
            name for report in self.pending.values() for name in report.tickets
        }
