"""All shared limits at one entry: as their user and as their owner."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.identity import Incarnation, InstanceName
from worksrail.core.limits._accounts import UNREACHABLE_SHARE, Account
from worksrail.core.limits._bucket import SharedLimit
from worksrail.core.limits._members import Members, Owners
from worksrail.core.limits._messages import (
    LimitHandover,
    LimitMessage,
    LimitName,
    LimitReply,
    LimitReport,
    LimitStatus,
    forward_part,
)
from worksrail.core.limits._owner import LimitOwner
from worksrail.core.limits._reports import PendingReports, Tickets
from worksrail.core.limits._verdicts import (
    ADMITTED,
    WAITING,
    Addressed,
    Admission,
    LimitOutput,
    Settled,
    Ticket,
    Verdict,
)

# Seconds after a denial in which the owner is not asked again.  Otherwise the
# entries of a large fleet would send it a datagram for each refusal.
_DENIAL_BACKOFF: Final = 0.2


@dataclass(slots=True)
class SharedLimits:
    """Admits requests within limits that all entries share.

    >>> limits = SharedLimits.begin(Incarnation('one', 1), '127.0.0.1:1', 0)
    >>> limits.admit('quota of nobody', 1, now=0).admission.name
    'ADMITTED'
    """

    who: Incarnation
    """This entry."""

    peer: str
    """Address of this entry for messages."""

    owners: Owners
    """Owners of the limits."""

    seeds: tuple[str, ...] = ()
    """Addresses of entries to ask before any members are known."""

    limits: Mapping[LimitName, SharedLimit] = field(default_factory=dict)
    """The limits in force."""

    members_known: bool = False
    """Whether the members have been set at least once."""

    unanswered: list[tuple[LimitName, Ticket]] = field(default_factory=list)
    """Admissions that no seed answered; they wait for the members."""

    owned: LimitOwner = field(default_factory=LimitOwner)
    """The limits that this entry owns."""

    accounts: dict[LimitName, Account] = field(default_factory=dict)
    """Accounts of the limits that this entry has used."""

    reports: PendingReports = field(default_factory=PendingReports)
    """Reports that are not answered yet."""

    outputs: list[LimitOutput] = field(default_factory=list)
    """Outputs since they were last taken."""

    @classmethod
    def begin(
        cls,
        who: Incarnation,
        peer: str,
        now: float,
        seeds: tuple[str, ...] = (),
    ) -> 'SharedLimits':
        """Create the limits of an incarnation that knows no members yet."""
        return cls(who, peer, Owners(now), seeds)

    def take_outputs(self) -> list[LimitOutput]:
        """Return and clear the messages to send and the verdicts to apply."""
        outputs = self.outputs
        self.outputs = []
        return outputs

    # -- configuration and members

    def follow(
        self,
        limits: Mapping[LimitName, SharedLimit],
        now: float,
    ) -> None:
        """Apply the limits of a new configuration."""
        self.limits = limits
        self.owned.follow(limits, now)
        for name in self.accounts.keys() - limits.keys():
            self.accounts.pop(name)

    def update_members(self, members: Members, now: float) -> None:
        """Set the live members; limits move to their new owners."""
        if self.members_known and members == self.owners.members:
            return
        self.owned.reserve(
            round(UNREACHABLE_SHARE * members.unreachable_share, 2), now
        )
        before = self.owners.assigned
        if self.owners.replace(members, now):
            self._reset_moved_accounts(before, now)
            self._hand_over(now)
        if not self.members_known:
            self.members_known = True
            self._readmit_unanswered(now)

    def handle_pause(self, now: float) -> None:
        """Handle a suspension of the process: peers own its limits by now."""
        self.owned.limits.clear()
        self.owners.since = now

    # -- requests

    def admit(self, name: LimitName, ticket: Ticket, now: float) -> Verdict:
        """Admit a request within a limit, deny it, or ask the owner first."""
        limit = self.limits.get(name)
        if limit is None:
            return ADMITTED
        if not self.members_known:
            return self._admit_via_seed(name, limit, ticket, now)
        if not self.owners.members.trusted:
            return self._admit_from_allowance(name, limit, now)
        owner = self.owners.owner_of(name)
        if owner == self.who.name:
            return self._admit_as_owner(name, limit, now)
        if self._account(name).allowance:
            return self._admit_from_allowance(name, limit, now)
        return self._admit_with_owner(owner, name, limit, ticket, now)

    def give_back(self, name: LimitName) -> None:
        """Return an admission that was not used."""
        if name in self.limits:
            self._account(name).used -= 1

    def tick(self, now: float) -> None:
        """Report admissions and handle reports that timed out."""
        for tickets in self.reports.pop_overdue(now):
            self._handle_timeout(tickets, now)
        if not self.members_known:
            return
        by_owner: dict[InstanceName, dict[LimitName, int]] = {}
        for name in self._unreported():
            owner = self.owners.owner_of(name)
            used = self._account(name).take_used()
            by_owner.setdefault(owner, {})[name] = used
        for owner, counts in by_owner.items():
            self._report(owner, counts, now)

    # -- messages

    def receive(self, message: LimitMessage, now: float) -> None:
        """Process a message of another entry."""
        if isinstance(message, LimitReport):
            self._serve(message, now)
        elif isinstance(message, LimitReply):
            self._apply_reply(message, now)
        else:
            for name, level in message.levels.items():
                limit = self.limits.get(name)
                if limit:
                    self.owned.take_over(name, limit, level, now)

    # -- changes of owners

    def _reset_moved_accounts(
        self,
        before: Mapping[LimitName, InstanceName],
        now: float,
    ) -> None:
        for name, account in self.accounts.items():
            if self.owners.owner_of(name) != before.get(name):
                account.drop_allowance()
                account.denied_until = now

    def _hand_over(self, now: float) -> None:
        moved: dict[InstanceName, list[LimitName]] = {}
        for name in self.owned.limits:
            owner = self.owners.owner_of(name)
            if owner and owner != self.who.name:
                moved.setdefault(owner, []).append(name)
        for successor, names in moved.items():
            levels = self.owned.hand_over(names, now)
            peer = self.owners.members.peers[successor]
            self._send(peer, LimitHandover(levels))

    # -- ways to admit

    def _admit_via_seed(
        self,
        name: LimitName,
        limit: SharedLimit,
        ticket: Ticket,
        now: float,
    ) -> Verdict:
        """Ask a seed before any owner is known.

        The seed knows the owners or acts as the owner itself.  All entries that
        just started ask the same one.  If each admitted a single request
        without asking, 67 that restart together would exceed a small quota.
        """
        seed = self.seeds[0] if self.seeds else self.peer
        if seed == self.peer:
            return self._admit_as_owner(name, limit, now)
        self._request(name, ticket, seed, now)
        return WAITING

    def _admit_as_owner(
        self,
        name: LimitName,
        limit: SharedLimit,
        now: float,
    ) -> Verdict:
        account = self._account(name)
        status = self._serve_owned(name, limit, account.take_used(), 1, now)
        if status.granted:
            account.use_meter.note(now)
            return ADMITTED
        return Verdict(Admission.DENIED, status.wait)

    def _admit_with_owner(
        self,
        owner: InstanceName,
        name: LimitName,
        limit: SharedLimit,
        ticket: Ticket,
        now: float,
    ) -> Verdict:
        """Admit while the owner reports plenty, or ask it."""
        account = self._account(name)
        if not owner or account.may_admit(limit):
            account.record_admission(now)
            return ADMITTED
        if now < account.denied_until:
            return Verdict(Admission.DENIED, account.wait(now))
        self._request(name, ticket, self.owners.members.peers[owner], now)
        return WAITING

    def _admit_from_allowance(
        self,
        name: LimitName,
        limit: SharedLimit,
        now: float,
    ) -> Verdict:
        """Admit from the allowance while the owner cannot be reached."""
        known = self.owners.members.known
        allowance = self._account(name).ensure_allowance(limit, known, now)
        if allowance.take(1, now):
            return ADMITTED
        return Verdict(Admission.DENIED, allowance.next_token_in(now))

    def _readmit_unanswered(self, now: float) -> None:
        unanswered = self.unanswered
        self.unanswered = []
        for name, ticket in unanswered:
            verdict = self.admit(name, ticket, now)
            if verdict.admission is not Admission.WAITING:
                self._settle([ticket], verdict)

    # -- reports, as the user of a limit

    def _unreported(self) -> list[LimitName]:
        under_way = self.reports.limit_names()
        return [
            name
            for name, account in self.accounts.items()
            if (account.used or account.probing) and name not in under_way
        ]

    def _request(
        self,
        name: LimitName,
        ticket: Ticket,
        peer: str,
        now: float,
    ) -> None:
        used = {name: self._account(name).take_used()}
        number = self.reports.add({name: [ticket]}, now)
        self._send(
            peer, LimitReport(self.who, self.peer, number, used, {name: 1})
        )

    def _report(
        self,
        owner: InstanceName,
        used: dict[LimitName, int],
        now: float,
    ) -> None:
        peer = self.owners.members.peers.get(owner)
        if owner == self.who.name:
            for name, count in used.items():
                self._serve_owned(name, self.limits[name], count, 0, now)
        elif peer:
            number = self.reports.add({name: [] for name in used}, now)
            self._send(peer, LimitReport(self.who, self.peer, number, used, {}))

    def _handle_timeout(self, tickets: Tickets, now: float) -> None:
        """Decide without the owner, which did not reply in time.

        The unanswered report is not sent again: what owners reserve for
        unreachable entries covers its admissions.
        """
        for name, waiting in tickets.items():
            limit = self.limits.get(name)
            if limit is None:
                self._settle(waiting, ADMITTED)
            elif self.members_known:
                known = self.owners.members.known
                self._account(name).ensure_allowance(limit, known, now)
                for ticket in waiting:
                    verdict = self._admit_from_allowance(name, limit, now)
                    self._settle([ticket], verdict)
            else:
                self.unanswered.extend((name, ticket) for ticket in waiting)

    def _apply_reply(self, reply: LimitReply, now: float) -> None:
        for name, status in reply.statuses.items():
            tickets = self.reports.pop_tickets(reply.number, name)
            granted = tickets[: status.granted]
            denied = Verdict(Admission.DENIED, status.wait)
            self._settle(granted, ADMITTED)
            self._settle(tickets[status.granted :], denied)
            if name in self.limits:
                account = self._account(name)
                account.apply_status(status, len(granted), _DENIAL_BACKOFF, now)

    # -- reports, as the owner

    def _serve(self, report: LimitReport, now: float) -> None:
        statuses: dict[LimitName, LimitStatus] = {}
        to_forward: dict[InstanceName, set[LimitName]] = {}
        for name in report.used.keys() | report.wanted.keys():
            owner = self.owners.owner_of(name)
            if owner in {self.who.name, ''} or report.forwarded:
                statuses[name] = self._status(report, name, now)
            else:
                to_forward.setdefault(owner, set()).add(name)
        if statuses:
            self._send(report.peer, LimitReply(report.number, statuses))
        for other_owner, names in to_forward.items():
            peer = self.owners.members.peers[other_owner]
            self._send(peer, forward_part(report, names))

    def _status(
        self,
        report: LimitReport,
        name: LimitName,
        now: float,
    ) -> LimitStatus:
        used = report.used.get(name, 0)
        wanted = report.wanted.get(name, 0)
        limit = self.limits.get(name)
        if limit is None:
            # One of the two entries has an older configuration.
            return LimitStatus(wanted, ample=True, wait=0)
        return self._serve_owned(name, limit, used, wanted, now)

    def _serve_owned(
        self,
        name: LimitName,
        limit: SharedLimit,
        used: int,
        wanted: int,
        now: float,
    ) -> LimitStatus:
        since = self.owners.since
        if self.owners.owner_of(name) not in {self.who.name, ''}:
            # The sender considers this entry the owner, since an unknown time.
            since = now
        return self.owned.serve(name, limit, used, wanted, since=since, now=now)

    # -- helpers

    def _account(self, name: LimitName) -> Account:
        account = self.accounts.get(name)
        if account is None:
            account = Account()
            self.accounts[name] = account
        return account

    def _settle(self, tickets: Iterable[Ticket], verdict: Verdict) -> None:
        self.outputs.extend(Settled(ticket, verdict) for ticket in tickets)

    def _send(self, peer: str, message: LimitMessage) -> None:
        self.outputs.append(Addressed(peer, message))
