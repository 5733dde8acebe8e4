"""Both sides of all shared limits at one entry."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.identity import Incarnation, InstanceName
from worksrail.core.limits._accounts import SILENT_SHARE, Account
from worksrail.core.limits._bucket import SharedLimit
from worksrail.core.limits._members import Members, Owners
from worksrail.core.limits._messages import (
    LimitHandover,
    LimitMessage,
    LimitName,
    LimitReply,
    LimitReport,
    LimitStatus,
    part_of,
)
from worksrail.core.limits._owner import LimitOwner
from worksrail.core.limits._reports import Reports, Tickets
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

# Seconds for which a denied limit is not asked for again: the entries of a
# large fleet would send their owner a datagram for each refusal otherwise.
_ASK_PAUSE: Final = 0.2


@dataclass(slots=True)
class SharedLimits:
    """Admits within limits that all entries share.

    >>> limits = SharedLimits.begin(Incarnation('one', 1), '127.0.0.1:1', 0)
    >>> limits.admit('quota of nobody', 1, now=0).admission.name
    'ADMITTED'
    """

    who: Incarnation
    """This entry."""

    peer: str
    """Its address for messages."""

    owners: Owners
    """Who owns which limit."""

    seeds: tuple[str, ...] = ()
    """Addresses of entries to turn to before others are known."""

    limits: Mapping[LimitName, SharedLimit] = field(default_factory=dict)
    """The limits in force."""

    joined: bool = False
    """The members were told at least once."""

    parked: list[tuple[LimitName, Ticket]] = field(default_factory=list)
    """Wishes that no seed has answered; they wait for the members."""

    owned: LimitOwner = field(default_factory=LimitOwner)
    """The limits that this entry owns."""

    accounts: dict[LimitName, Account] = field(default_factory=dict)
    """This entry's side of the limits that it has used."""

    reports: Reports = field(default_factory=Reports)
    """Reports under way."""

    outputs: list[LimitOutput] = field(default_factory=list)
    """What is to be done since they were taken last."""

    @classmethod
    def begin(
        cls,
        who: Incarnation,
        peer: str,
        now: float,
        seeds: tuple[str, ...] = (),
    ) -> 'SharedLimits':
        """Begin an incarnation that knows nobody."""
        return cls(who, peer, Owners(now), seeds)

    def take_outputs(self) -> list[LimitOutput]:
        """Messages to send and verdicts to follow; each is given once."""
        outputs = self.outputs
        self.outputs = []
        return outputs

    # -- what changes from outside

    def follow(
        self,
        limits: Mapping[LimitName, SharedLimit],
        now: float,
    ) -> None:
        """Bring the limits of a new configuration into force."""
        self.limits = limits
        self.owned.follow(limits, now)
        for name in self.accounts.keys() - limits.keys():
            self.accounts.pop(name)

    def update_members(self, members: Members, now: float) -> None:
        """Take in who lives; limits move to their new owners."""
        if self.joined and members == self.owners.members:
            return
        self.owned.reserve(round(SILENT_SHARE * members.silent_share, 2), now)
        before = self.owners.drawn
        if self.owners.replace(members, now):
            self._follow_owners(before, now)
            self._hand_over(now)
        if not self.joined:
            self.joined = True
            self._unpark(now)

    def handle_pause(self, now: float) -> None:
        """The process stood still: others own its limits by now."""
        self.owned.limits.clear()
        self.owners.since = now

    # -- requests

    def admit(self, name: LimitName, ticket: Ticket, now: float) -> Verdict:
        """Admit something within a limit, deny it, or ask the owner first."""
        limit = self.limits.get(name)
        if limit is None:
            return ADMITTED
        if not self.joined:
            return self._admit_fresh(name, limit, ticket, now)
        if not self.owners.members.trusted:
            return self._admit_alone(name, limit, now)
        owner = self.owners.owner_of(name)
        if owner == self.who.name:
            return self._admit_owned(name, limit, now)
        if self._account(name).allowance:
            return self._admit_alone(name, limit, now)
        return self._admit_of(owner, name, limit, ticket, now)

    def give_back(self, name: LimitName) -> None:
        """What was admitted was not used after all."""
        if name in self.limits:
            self._account(name).used -= 1

    def tick(self, now: float) -> None:
        """Report what was admitted; give up on owners that are silent."""
        for tickets in self.reports.take_overdue(now):
            self._give_up(tickets, now)
        if not self.joined:
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
        """Take in what another entry tells."""
        if isinstance(message, LimitReport):
            self._serve(message, now)
        elif isinstance(message, LimitReply):
            self._take_reply(message, now)
        else:
            for name, level in message.levels.items():
                limit = self.limits.get(name)
                if limit:
                    self.owned.take_over(name, limit, level, now)

    # -- who owns what

    def _follow_owners(
        self,
        before: Mapping[LimitName, InstanceName],
        now: float,
    ) -> None:
        for name, account in self.accounts.items():
            if self.owners.owner_of(name) != before.get(name):
                account.end_silence()
                account.denied_until = now

    def _hand_over(self, now: float) -> None:
        heirs: dict[InstanceName, list[LimitName]] = {}
        for name in self.owned.limits:
            heir = self.owners.owner_of(name)
            if heir and heir != self.who.name:
                heirs.setdefault(heir, []).append(name)
        for successor, names in heirs.items():
            levels = self.owned.hand_over(names, now)
            peer = self.owners.members.peers[successor]
            self._send(peer, LimitHandover(levels))

    # -- ways to admit

    def _admit_fresh(
        self,
        name: LimitName,
        limit: SharedLimit,
        ticket: Ticket,
        now: float,
    ) -> Verdict:
        """Ask a seed before the owners are known: it knows them, or begins.

        All fresh entries ask the same one.  If each admitted a single request
        unasked, 67 that restart together would break a small quota.
        """
        seed = self.seeds[0] if self.seeds else self.peer
        if seed == self.peer:
            return self._admit_owned(name, limit, now)
        self._ask(name, ticket, seed, now)
        return WAITING

    def _admit_owned(
        self,
        name: LimitName,
        limit: SharedLimit,
        now: float,
    ) -> Verdict:
        account = self._account(name)
        standing = self._own_standing(name, limit, account.take_used(), 1, now)
        if standing.granted:
            account.usual.note(now)
            return ADMITTED
        return Verdict(Admission.DENIED, standing.wait)

    def _admit_of(
        self,
        owner: InstanceName,
        name: LimitName,
        limit: SharedLimit,
        ticket: Ticket,
        now: float,
    ) -> Verdict:
        """Admit while another entry's word is that much is left, or ask it."""
        account = self._account(name)
        if not owner or account.may_admit(limit):
            account.note_used(now)
            return ADMITTED
        if now < account.denied_until:
            return Verdict(Admission.DENIED, account.wait(now))
        self._ask(name, ticket, self.owners.members.peers[owner], now)
        return WAITING

    def _admit_alone(
        self,
        name: LimitName,
        limit: SharedLimit,
        now: float,
    ) -> Verdict:
        """Admit without the owner's word, and try the owner again."""
        known = self.owners.members.known
        allowance = self._account(name).begin_silence(limit, known, now)
        if allowance.take(1, now):
            return ADMITTED
        return Verdict(Admission.DENIED, allowance.next_token_in(now))

    def _unpark(self, now: float) -> None:
        parked = self.parked
        self.parked = []
        for name, ticket in parked:
            verdict = self.admit(name, ticket, now)
            if verdict.admission is not Admission.WAITING:
                self._settle([ticket], verdict)

    # -- reports, as the entry that uses a limit

    def _unreported(self) -> list[LimitName]:
        under_way = self.reports.named()
        return [
            name
            for name, account in self.accounts.items()
            if (account.used or account.probing) and name not in under_way
        ]

    def _ask(
        self,
        name: LimitName,
        ticket: Ticket,
        peer: str,
        now: float,
    ) -> None:
        used = {name: self._account(name).take_used()}
        number = self.reports.begin({name: [ticket]}, now)
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
                self._own_standing(name, self.limits[name], count, 0, now)
        elif peer:
            number = self.reports.begin({name: [] for name in used}, now)
            self._send(peer, LimitReport(self.who, self.peer, number, used, {}))

    def _give_up(self, tickets: Tickets, now: float) -> None:
        """Go on without the owner's word.

        What was reported in vain is covered by what owners leave to entries
        that they cannot hear.
        """
        for name, waiting in tickets.items():
            limit = self.limits.get(name)
            if limit is None:
                self._settle(waiting, ADMITTED)
            elif self.joined:
                known = self.owners.members.known
                self._account(name).begin_silence(limit, known, now)
                for ticket in waiting:
                    verdict = self._admit_alone(name, limit, now)
                    self._settle([ticket], verdict)
            else:
                self.parked.extend((name, ticket) for ticket in waiting)

    def _take_reply(self, reply: LimitReply, now: float) -> None:
        for name, standing in reply.standings.items():
            tickets = self.reports.answer(reply.number, name)
            granted = tickets[: standing.granted]
            denied = Verdict(Admission.DENIED, standing.wait)
            self._settle(granted, ADMITTED)
            self._settle(tickets[standing.granted :], denied)
            if name in self.limits:
                account = self._account(name)
                account.take_standing(standing, len(granted), _ASK_PAUSE, now)

    # -- reports, as the owner

    def _serve(self, report: LimitReport, now: float) -> None:
        standings: dict[LimitName, LimitStatus] = {}
        elsewhere: dict[InstanceName, set[LimitName]] = {}
        for name in report.used.keys() | report.wanted.keys():
            owner = self.owners.owner_of(name)
            if owner in {self.who.name, ''} or report.forwarded:
                standings[name] = self._standing(report, name, now)
            else:
                elsewhere.setdefault(owner, set()).add(name)
        if standings:
            self._send(report.peer, LimitReply(report.number, standings))
        for other, names in elsewhere.items():
            peer = self.owners.members.peers[other]
            self._send(peer, part_of(report, names))

    def _standing(
        self,
        report: LimitReport,
        name: LimitName,
        now: float,
    ) -> LimitStatus:
        used = report.used.get(name, 0)
        wanted = report.wanted.get(name, 0)
        limit = self.limits.get(name)
        if limit is None:
            # A configuration that is not known to both yet.
            return LimitStatus(wanted, ample=True, wait=0)
        return self._own_standing(name, limit, used, wanted, now)

    def _own_standing(
        self,
        name: LimitName,
        limit: SharedLimit,
        used: int,
        wanted: int,
        now: float,
    ) -> LimitStatus:
        since = self.owners.since
        if self.owners.owner_of(name) not in {self.who.name, ''}:
            # Others take it for the owner; it can't know since when.
            since = now
        return self.owned.serve(name, limit, used, wanted, since=since, now=now)

    # -- parts of these

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
