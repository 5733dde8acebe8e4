"""Both sides of all named limits at one instance."""

from collections.abc import (
    Callable,
    Container,
    Iterable,
    Iterator,
    Mapping,
)
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

from worksrail.core._rendezvous import rendezvous
from worksrail.core.identity import InstanceName, RegionName
from worksrail.core.limits import Members
from worksrail.core.pacing._advertised import AdvertisedLimit
from worksrail.core.pacing._issuer import TokenIssuer
from worksrail.core.pacing._messages import (
    AddressedRequest,
    TokenGrant,
    TokenRequest,
    TokenShare,
)
from worksrail.core.pacing._named_limits import LimitChange, NamedLimits
from worksrail.core.pacing._stock import TokenStock

# Seconds in which an issuer's answer is awaited, in the own region and in
# another one: the way there and back fits in several times.
_NEAR_ANSWER: Final = 0.08
_FAR_ANSWER: Final = 0.2
# Seconds between two looks at who may issue tokens.
_LOOK_INTERVAL: Final = 0.5

ALL_REGIONS: Final = ''
"""Group of the instances of all regions."""


@unique
class Permission(Enum):
    """Whether a request may go to an upstream now."""

    GRANTED = 'it may be sent at once'
    TOKEN_NEEDED = 'a token has to be asked for first'
    DENIED = 'there is no token for it now'


@dataclass(slots=True)
class _Asked:
    give_up_at: float
    upstreams: tuple[str, ...]


@dataclass(slots=True)
class Pacer:
    """Keeps the limits that upstreams name, over all instances.

    Each upstream has one issuer among the instances of its region that live,
    drawn by rendezvous hashing.  A request may be sent with a token of it only;
    tokens that are not used soon are returned.
    """

    name: InstanceName
    """This instance."""

    peer: str
    """Where others reach it."""

    region: RegionName
    """Where it runs."""

    region_of: Callable[[str], RegionName]
    """Region of an upstream; empty if it is not known."""

    limits: NamedLimits = field(default_factory=NamedLimits)
    """What upstreams named."""

    groups: Mapping[RegionName, Members] = field(default_factory=dict)
    """Instances that may issue tokens, by region."""

    issuer: TokenIssuer = field(default_factory=TokenIssuer)
    """Tokens that this instance issues."""

    stocks: dict[str, TokenStock] = field(default_factory=dict)
    """Tokens that this instance holds, by upstream."""

    asked: dict[int, _Asked] = field(default_factory=dict)
    """Requests for tokens that were not answered yet, by number."""

    wanting: set[str] = field(default_factory=set)
    """Upstreams whose tokens are wanted and were not asked for yet."""

    used: int = 0
    """Requests that were sent with a token since this was taken last."""

    next_look_at: float = 0
    """When to look next at who may issue tokens."""

    numbered: int = 0
    """Requests for tokens so far."""

    drawn: dict[str, InstanceName] = field(default_factory=dict)
    """Issuers that were drawn among the present groups, by upstream."""

    # -- requests

    @property
    def has_limits(self) -> bool:
        """Whether any upstream has named a limit lately."""
        return bool(self.limits.beliefs)

    def rate_of(self, upstream: str) -> float | None:
        """Requests a second that an upstream takes; None for no limit."""
        return self.limits.rate_of(upstream)

    def is_limited(self, upstream: str) -> bool:
        """Whether an upstream names a limit."""
        return self.limits.rate_of(upstream) is not None

    def permission(self, upstream: str, now: float) -> Permission:
        """Whether a request may go to an upstream."""
        if not self.is_limited(upstream):
            return Permission.GRANTED
        stock = self._stock(upstream)
        if stock.tokens:
            return Permission.GRANTED
        if now < stock.paused_until or not self._issuer_of(upstream):
            return Permission.DENIED
        if self._is_far(upstream) and now < stock.scarce_until:
            return Permission.DENIED
        return Permission.TOKEN_NEEDED

    def add_demand(self, upstream: str) -> None:
        """A request would have gone there with a token."""
        self._stock(upstream).wanted += 1
        self.wanting.add(upstream)

    def wait(self, upstream: str, now: float) -> float:
        """Seconds until its issuer expects to have a token."""
        return max(0, self._stock(upstream).retry_at - now)

    def record_sent(self, upstream: str, now: float) -> None:
        """A request is sent."""
        if self.is_limited(upstream):
            self.used += 1
            self._stock(upstream).spend(now)

    def take_used(self) -> int:
        """Requests that were sent with a token; each is given once."""
        used = self.used
        self.used = 0
        return used

    def obtain(self, upstream: str, now: float) -> Permission:
        """The same, with a token that this instance issues itself if it may.

        A request that needs another one's has to wait.
        """
        found = self.permission(upstream, now)
        stock = self._stock(upstream)
        if found is Permission.TOKEN_NEEDED:
            if self._issuer_of(upstream) != self.name:
                self.add_demand(upstream)
                return found
            stock.take(self._issue(upstream, 1, 0, now), now)
            return self.permission(upstream, now)
        return found

    # -- what changes from outside

    def is_group_update_due(self, now: float) -> bool:
        """Whether to look at who may issue tokens."""
        return now >= self.next_look_at

    def follow(
        self,
        groups: Mapping[RegionName, Members],
        now: float,
    ) -> None:
        """Take in who may issue tokens."""
        self.next_look_at = now + _LOOK_INTERVAL
        if groups == self.groups:
            return
        self.groups = groups
        self.drawn.clear()
        owned = {
            upstream
            for upstream in self.issuer.owned
            if self._issuer_of(upstream) == self.name
        }
        self.issuer.keep_only(owned)

    def forget(self, known: Container[str], now: float) -> None:
        """Drop upstreams that are gone."""
        self.limits.forget(known, now)
        self.issuer.keep_only(known)
        for upstream in tuple(self.stocks):
            if upstream not in known:
                self.stocks.pop(upstream)

    def handle_pause(self) -> None:
        """The process stood still: tokens are old, others issue by now."""
        self.issuer.owned.clear()
        self.stocks.clear()
        self.wanting.clear()
        self.asked.clear()

    # -- messages

    def make_requests(
        self,
        now: float,
        *,
        for_all: bool = True,
    ) -> Iterator[AddressedRequest]:
        """Ask for what is wanted.

        For all upstreams, ask in advance too, and return what was not used.
        """
        wanted: dict[InstanceName, dict[str, int]] = {}
        unused: dict[InstanceName, dict[str, int]] = {}
        names = tuple(self.stocks) if for_all else sorted(self.wanting)
        self.wanting.clear()
        for upstream in names:
            stock = self._stock(upstream)
            issuer = self._issuer_of(upstream)
            if not issuer or not self.is_limited(upstream):
                stock.clear()
                continue
            returned = stock.take_unused(now)
            if returned:
                unused.setdefault(issuer, {})[upstream] = returned
            count = stock.to_ask(now)
            stock.wanted = 0
            if count:
                wanted.setdefault(issuer, {})[upstream] = count
        for receiver in sorted(wanted.keys() | unused.keys()):
            request = self._request(
                wanted.get(receiver, {}), unused.get(receiver, {}), now
            )
            if receiver == self.name:
                self.receive_grant(self.serve(request, now), now)
            else:
                yield AddressedRequest(self._peer_of(receiver), request)

    def serve(self, request: TokenRequest, now: float) -> TokenGrant:
        """Issue tokens, if this instance is who issues them."""
        shares = {
            upstream: self._issue(
                upstream,
                request.wanted.get(upstream, 0),
                request.unused.get(upstream, 0),
                now,
            )
            for upstream in sorted(
                request.wanted.keys() | request.unused.keys()
            )
        }
        return TokenGrant(
            request.number, shares, self._told(request.wanted, now)
        )

    def receive_grant(self, grant: TokenGrant, now: float) -> tuple[str, ...]:
        """Take in a grant; gives the upstreams that were asked for.

        One that comes too late is left alone: a successor may issue by now.
        """
        asked = self.asked.pop(grant.number, None)
        if asked is None:
            return ()
        for upstream, share in grant.shares.items():
            self._stock(upstream).take(share, now)
        return asked.upstreams

    def expire_requests(self, now: float) -> tuple[str, ...]:
        """Upstreams whose issuers did not answer in time."""
        overdue = [
            number
            for number, asked in self.asked.items()
            if now >= asked.give_up_at
        ]
        silent = [
            upstream
            for number in overdue
            for upstream in self.asked.pop(number).upstreams
        ]
        for upstream in silent:
            self._stock(upstream).note_silence(now)
        return tuple(silent)

    # -- parts of these

    def _request(
        self,
        wanted: dict[str, int],
        unused: dict[str, int],
        now: float,
    ) -> TokenRequest:
        self.numbered += 1
        request = TokenRequest(
            self.name,
            self.peer,
            self.numbered,
            wanted,
            unused,
            self._told(wanted, now),
        )
        if wanted:
            near = any(not self._is_far(upstream) for upstream in wanted)
            answer_time = _NEAR_ANSWER if near else _FAR_ANSWER
            self.asked[request.number] = _Asked(
                now + answer_time, tuple(wanted)
            )
        return request

    def _issue(
        self,
        upstream: str,
        wanted: int,
        unused: int,
        now: float,
    ) -> TokenShare:
        rate = self.limits.rate_of(upstream)
        if rate is None:
            return TokenShare(wanted, 0)
        if self._issuer_of(upstream) != self.name:
            # The sender takes another instance for the issuer than this one
            # does: until they agree nobody issues.
            return TokenShare(0, _FAR_ANSWER if wanted else 0)
        heard = 1 - self._group_of(upstream).unreachable_share
        return self.issuer.issue(upstream, rate * heard, wanted, unused, now)

    def _told(
        self,
        upstreams: Iterable[str],
        now: float,
    ) -> tuple[AdvertisedLimit, ...]:
        told = (self.limits.tell(upstream, now) for upstream in upstreams)
        return tuple(one for one in told if one)

    def _is_far(self, upstream: str) -> bool:
        return self.region_of(upstream) != self.region

    def _group_of(self, upstream: str) -> Members:
        group = self.groups.get(self.region_of(upstream))
        if group and group.peers:
            return group
        return self.groups.get(ALL_REGIONS, Members({}, 1))

    def _issuer_of(self, upstream: str) -> InstanceName:
        issuer = self.drawn.get(upstream)
        if issuer is None:
            peers = self._group_of(upstream).peers
            issuer = rendezvous(f'pace|{upstream}', peers)
            self.drawn[upstream] = issuer
        return issuer

    def _peer_of(self, name: InstanceName) -> str:
        return self.groups[ALL_REGIONS].peers[name]

    def _stock(self, upstream: str) -> TokenStock:
        stock = self.stocks.get(upstream)
        if stock is None:
            stock = TokenStock()
            self.stocks[upstream] = stock
        return stock


def receive_limits(
    pacer: Pacer,
    told: Iterable[AdvertisedLimit],
    known: Container[str],
    now: float,
) -> Iterator[LimitChange]:
    """Take in what another instance tells of upstreams that are known here."""
    for one in told:
        if one.upstream in known:
            change = pacer.limits.take(one, now)
            if change:
                yield change
