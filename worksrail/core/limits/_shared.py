"""Both sides of all shared limits at one entry."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

from worksrail.core._rendezvous import rendezvous
from worksrail.core.identity import Incarnation, InstanceName
from worksrail.core.limits._accounts import (
    SILENT_SHARE,
    Account,
)
from worksrail.core.limits._bucket import SharedLimit, TokenBucket
from worksrail.core.limits._messages import (
    LimitHandover,
    LimitMessage,
    LimitName,
    LimitReply,
    LimitReport,
    LimitStanding,
)
from worksrail.core.limits._owner import LimitOwner

# Seconds within which an owner answers: twice the way to another region and
# back, and as much again for busy instances.  A datagram that was lost costs
# the callers who wait for it this time.
_ANSWER_TIME: Final = 0.3
# Seconds for which a denied limit is not asked for again: the entries of a
# large fleet would send their owner a datagram for each refusal otherwise.
_ASK_PAUSE: Final = 0.2
# Share of the entries that were heard of from which an entry trusts its view
# of who lives: one that hears fewer is cut off itself, and must not take all
# limits for its own.
_TRUSTED_VIEW: Final = 0.25

Ticket = int
"""Names an admission that waits for the owner's word; its user's choice."""


@unique
class Admission(Enum):
    """What became of a wish to admit something."""

    ADMITTED = 'it may go on'
    WAITING = 'the owner of the limit was asked'
    DENIED = 'the limit is reached'


@dataclass(frozen=True, slots=True)
class Verdict:
    """The answer to a wish to admit something."""

    admission: Admission
    """What became of it."""

    wait: float = 0
    """Seconds after which another try finds a token, if it was denied."""


@dataclass(frozen=True, slots=True)
class Settled:
    """A wish that waited has its verdict."""

    ticket: Ticket
    """The wish."""

    verdict: Verdict
    """Admitted or denied."""


@dataclass(frozen=True, slots=True)
class Addressed:
    """A message to another entry."""

    peer: str
    """Its address."""

    message: LimitMessage
    """What to tell it."""


LimitOutput = Settled | Addressed


@dataclass(frozen=True, slots=True)
class Members:
    """The entries among which limits have their owners."""

    peers: Mapping[InstanceName, str]
    """Addresses of the entries that live and take requests, by name; the own
    one among them if it does."""

    known: int
    """Entries that were heard of, the silent ones and the own one included."""

    @property
    def silent_share(self) -> float:
        """Share of all entries that cannot be heard."""
        return max(0, 1 - len(self.peers) / max(1, self.known))

    @property
    def trusted(self) -> bool:
        """Whether so many are heard that the own view can be right."""
        return len(self.peers) >= self.known * _TRUSTED_VIEW


@dataclass(slots=True)
class _Asked:
    """A report that was sent and not answered yet."""

    sent_at: float
    tickets: dict[LimitName, list[Ticket]]


_ADMITTED: Final = Verdict(Admission.ADMITTED)
_WAITING: Final = Verdict(Admission.WAITING)


@dataclass(slots=True)
class SharedLimits:
    """Admits within limits that all entries share.

    >>> limits = SharedLimits(Incarnation('one', 1), '127.0.0.1:1', 0)
    >>> limits.admit('quota of nobody', 1, now=0).admission.name
    'ADMITTED'
    """

    who: Incarnation
    """This entry."""

    peer: str
    """Its address for messages."""

    members_since: float
    """Since when the members are the same; first, when this entry began."""

    seeds: tuple[str, ...] = ()
    """Addresses of entries to turn to before others are known."""

    limits: Mapping[LimitName, SharedLimit] = field(default_factory=dict)
    """The limits in force."""

    members: Members = field(default_factory=lambda: Members({}, 1))
    """Who may own them."""

    joined: bool = False
    """The members were told at least once."""

    parked: list[tuple[LimitName, Ticket]] = field(default_factory=list)
    """Wishes that no seed has answered; they wait for the members."""

    owner: LimitOwner = field(default_factory=LimitOwner)
    """The limits that this entry owns."""

    accounts: dict[LimitName, Account] = field(default_factory=dict)
    """This entry's side of the limits that it has used."""

    owners: dict[LimitName, InstanceName] = field(default_factory=dict)
    """Owners that were drawn among the members."""

    asked: dict[int, _Asked] = field(default_factory=dict)
    """Reports under way, by number."""

    reports: int = 0
    """Reports sent so far."""

    outputs: list[LimitOutput] = field(default_factory=list)
    """What is to be done since they were taken last."""

    def take_outputs(self) -> list[LimitOutput]:
        """Messages to send and verdicts to follow; each is given once."""
        outputs = self.outputs
        self.outputs = []
        return outputs

    # -- what changes from outside

    def follow(
        self, limits: Mapping[LimitName, SharedLimit], now: float
    ) -> None:
        """Bring the limits of a new configuration into force."""
        self.limits = limits
        self.owner.follow(limits, now)
        for name in self.accounts.keys() - limits.keys():
            self.accounts.pop(name)

    def join(self, members: Members, now: float) -> None:
        """Take in who lives; limits move to their new owners."""
        if self.joined and members == self.members:
            return
        self.owner.reserve(round(SILENT_SHARE * members.silent_share, 2), now)
        if members.peers.keys() != self.members.peers.keys():
            self.members_since = now
            self._move(members, now)
        self.members = members
        if not self.joined:
            self.joined = True
            self._unpark(now)

    # -- requests

    def admit(self, name: LimitName, ticket: Ticket, now: float) -> Verdict:
        """Admit something within a limit, deny it, or ask the owner first."""
        limit = self.limits.get(name)
        if limit is None:
            return _ADMITTED
        if not self.joined:
            return self._admit_fresh(name, limit, ticket, now)
        account = self._account(name)
        if not self.members.trusted or account.allowance:
            account.probing = True
            return self._admit_alone(account, limit, now)
        owner = self._owner_of(name)
        if owner == self.who.name:
            return self._admit_owned(name, limit, now)
        if account.ample or not owner:
            return _admit_unasked(account, now)
        if now < account.denied_until:
            wait = max(account.denied_until, account.retry_at) - now
            return Verdict(Admission.DENIED, wait)
        self._ask(name, ticket, self.members.peers[owner], now)
        return _WAITING

    def give_back(self, name: LimitName) -> None:
        """What was admitted was not used after all."""
        if name in self.limits:
            self._account(name).used -= 1

    def tick(self, now: float) -> None:
        """Report what was admitted; give up on owners that are silent."""
        overdue = [
            number
            for number, asked in self.asked.items()
            if now - asked.sent_at > _ANSWER_TIME
        ]
        for number in overdue:
            self._give_up(self.asked.pop(number), now)
        if not self.joined:
            return
        by_owner: dict[InstanceName, dict[LimitName, int]] = {}
        for name in self._unreported():
            account = self.accounts[name]
            owner = self._owner_of(name)
            by_owner.setdefault(owner, {})[name] = account.take_used()
            account.probing = False
        for owner, used in by_owner.items():
            self._report(owner, used, now)

    def note_pause(self, now: float) -> None:
        """The process stood still: others own its limits by now."""
        self.owner.owned.clear()
        self.members_since = now

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
                    self.owner.take_over(name, limit, level, now)

    # -- parts of these

    def _unreported(self) -> list[LimitName]:
        under_way = {
            name for asked in self.asked.values() for name in asked.tickets
        }
        return [
            name
            for name, account in self.accounts.items()
            if (account.used or account.probing) and name not in under_way
        ]

    def _account(self, name: LimitName) -> Account:
        account = self.accounts.get(name)
        if account is None:
            account = Account()
            self.accounts[name] = account
        return account

    def _owner_of(self, name: LimitName) -> InstanceName:
        owner = self.owners.get(name)
        if owner is None:
            owner = rendezvous(f'limit|{name}', self.members.peers)
            self.owners[name] = owner
        return owner

    def _move(self, members: Members, now: float) -> None:
        before = self.owners
        self.members = members
        self.owners = {}
        for name, account in self.accounts.items():
            if self._owner_of(name) != before.get(name):
                account.end_silence()
                account.denied_until = now
        successors: dict[InstanceName, list[LimitName]] = {}
        for owned in self.owner.owned:
            successor = self._owner_of(owned)
            if successor and successor != self.who.name:
                successors.setdefault(successor, []).append(owned)
        for heir, names in successors.items():
            levels = self.owner.hand_over(names, now)
            self._send(members.peers[heir], LimitHandover(levels))

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
        return _WAITING

    def _unpark(self, now: float) -> None:
        parked = self.parked
        self.parked = []
        for name, ticket in parked:
            verdict = self.admit(name, ticket, now)
            if verdict.admission is not Admission.WAITING:
                self._settle([ticket], verdict)

    def _admit_owned(
        self,
        name: LimitName,
        limit: SharedLimit,
        now: float,
    ) -> Verdict:
        account = self._account(name)
        used = account.take_used()
        standing = self._own_standing(name, limit, used, 1, now)
        if standing.granted:
            account.usual.note(now)
            return _ADMITTED
        return Verdict(Admission.DENIED, standing.wait)

    def _admit_alone(
        self,
        account: Account,
        limit: SharedLimit,
        now: float,
    ) -> Verdict:
        allowance = self._allowance(account, limit, now)
        if allowance.take(1, now):
            return _ADMITTED
        return Verdict(Admission.DENIED, allowance.next_token_in(now))

    def _allowance(
        self,
        account: Account,
        limit: SharedLimit,
        now: float,
    ) -> TokenBucket:
        return account.begin_silence(limit, self.members.known, now)

    def _own_standing(
        self,
        name: LimitName,
        limit: SharedLimit,
        used: int,
        wanted: int,
        now: float,
    ) -> LimitStanding:
        return self.owner.serve(
            name, limit, used, wanted, since=self.members_since, now=now
        )

    def _ask(
        self,
        name: LimitName,
        ticket: Ticket,
        peer: str,
        now: float,
    ) -> None:
        used = self._account(name).take_used()
        number = self._next_report(now, {name: [ticket]})
        report = LimitReport(
            self.who, self.peer, number, {name: used}, {name: 1}
        )
        self._send(peer, report)

    def _report(
        self,
        owner: InstanceName,
        used: dict[LimitName, int],
        now: float,
    ) -> None:
        if owner == self.who.name or owner not in self.members.peers:
            for name, count in used.items():
                self._account_for(name, count, now)
            return
        number = self._next_report(now, {name: [] for name in used})
        report = LimitReport(self.who, self.peer, number, used, {})
        self._send(self.members.peers[owner], report)

    def _account_for(self, name: LimitName, used: int, now: float) -> None:
        limit = self.limits.get(name)
        if limit and self._owner_of(name) == self.who.name:
            self._own_standing(name, limit, used, 0, now)

    def _next_report(
        self,
        now: float,
        tickets: dict[LimitName, list[Ticket]],
    ) -> int:
        self.reports += 1
        self.asked[self.reports] = _Asked(now, tickets)
        return self.reports

    def _give_up(self, asked: _Asked, now: float) -> None:
        for name, tickets in asked.tickets.items():
            limit = self.limits.get(name)
            if limit is None:
                self._settle(tickets, _ADMITTED)
                continue
            if not self.joined:
                self.parked.extend((name, ticket) for ticket in tickets)
                continue
            account = self._account(name)
            # What was reported in vain is covered by what owners leave to
            # entries they cannot hear.
            self._allowance(account, limit, now)
            account.probing = True
            for ticket in tickets:
                verdict = self._admit_alone(account, limit, now)
                self._settle([ticket], verdict)

    def _serve(self, report: LimitReport, now: float) -> None:
        standings: dict[LimitName, LimitStanding] = {}
        elsewhere: dict[InstanceName, set[LimitName]] = {}
        for name in report.used.keys() | report.wanted.keys():
            owner = self._owner_of(name)
            if owner in {self.who.name, ''} or report.forwarded:
                standings[name] = self._standing(report, name, now)
            else:
                elsewhere.setdefault(owner, set()).add(name)
        if standings:
            self._send(report.peer, LimitReply(report.number, standings))
        for heir, names in elsewhere.items():
            self._send(self.members.peers[heir], _part_of(report, names))

    def _standing(
        self,
        report: LimitReport,
        name: LimitName,
        now: float,
    ) -> LimitStanding:
        used, wanted = report.used.get(name, 0), report.wanted.get(name, 0)
        limit = self.limits.get(name)
        if limit is None:
            # A configuration that is not known to both yet.
            return LimitStanding(wanted, ample=True, wait=0)
        return self._own_standing(name, limit, used, wanted, now)

    def _take_reply(self, reply: LimitReply, now: float) -> None:
        asked = self.asked.get(reply.number)
        for name, standing in reply.standings.items():
            if name not in self.limits:
                continue
            account = self._account(name)
            account.end_silence()
            account.ample = standing.ample
            if standing.wait:
                account.retry_at = now + standing.wait
                account.denied_until = now + min(_ASK_PAUSE, standing.wait)
            if asked:
                tickets = asked.tickets.pop(name, [])
                self._settle_by(standing, account, tickets, now)
        if asked and not asked.tickets:
            self.asked.pop(reply.number)

    def _settle_by(
        self,
        standing: LimitStanding,
        account: Account,
        tickets: list[Ticket],
        now: float,
    ) -> None:
        granted = tickets[: standing.granted]
        for _ in granted:
            account.usual.note(now)
        self._settle(granted, _ADMITTED)
        denied = Verdict(Admission.DENIED, standing.wait)
        self._settle(tickets[standing.granted :], denied)

    def _settle(self, tickets: Iterable[Ticket], verdict: Verdict) -> None:
        self.outputs.extend(Settled(ticket, verdict) for ticket in tickets)

    def _send(self, peer: str, message: LimitMessage) -> None:
        self.outputs.append(Addressed(peer, message))


def _admit_unasked(account: Account, now: float) -> Verdict:
    account.used += 1
    account.usual.note(now)
    return _ADMITTED


def _part_of(report: LimitReport, names: set[LimitName]) -> LimitReport:
    return LimitReport(
        report.sender,
        report.peer,
        report.number,
        dict(_among(report.used, names)),
        dict(_among(report.wanted, names)),
        forwarded=True,
    )


def _among(
    counts: Mapping[LimitName, int],
    names: set[LimitName],
) -> Iterator[tuple[LimitName, int]]:
    return ((name, counts[name]) for name in names & counts.keys())
