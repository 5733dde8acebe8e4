"""Rate limits of upstreams at one instance, as token user and as issuer."""

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

# Seconds to wait for an issuer's answer, in the own region and in another one:
# several round trips.
_NEAR_TIMEOUT: Final = 0.08
_FAR_TIMEOUT: Final = 0.2
# Seconds between updates of the possible issuers.
_GROUP_UPDATE_INTERVAL: Final = 0.5

ALL_REGIONS: Final = ''
"""Group of the instances of all regions."""


@unique
class Permission(Enum):
    """Whether a request may go to an upstream now."""

    GRANTED = 'it may be sent at once'
    TOKEN_NEEDED = 'a token has to be asked for first'
    DENIED = 'there is no token for it now'


@dataclass(slots=True)
class _PendingRequest:
    expires_at: float
    upstreams: tuple[str, ...]


@dataclass(slots=True)
class Pacer:
    """Enforces the limits that upstreams name, over all instances.

    Each upstream has one issuer among the live instances of its region, chosen
    by rendezvous hashing.  A request may be sent only with a token of the
    issuer; tokens that are not used soon are returned.
    """

    name: InstanceName
    """Name of this instance."""

    peer: str
    """Address of this instance for messages."""

    region: RegionName
    """Region of this instance."""

    region_of: Callable[[str], RegionName]
    """Region of an upstream; empty if it is not known."""

    limits: NamedLimits = field(default_factory=NamedLimits)
    """Limits that upstreams named."""

    groups: Mapping[RegionName, Members] = field(default_factory=dict)
    """Instances that may issue tokens, by region."""

    issuer: TokenIssuer = field(default_factory=TokenIssuer)
    """Issues the tokens that this instance is responsible for."""

    stocks: dict[str, TokenStock] = field(default_factory=dict)
    """Tokens that this instance holds, by upstream."""

    asked: dict[int, _PendingRequest] = field(default_factory=dict)
    """Token requests that are not answered yet, by number."""

    in_demand: set[str] = field(default_factory=set)
    """Upstreams whose tokens are needed and not requested yet."""

    used: int = 0
    """Requests sent with a token since the last ``take_used``."""

    next_group_update_at: float = 0
    """When to update the possible issuers next."""

    numbered: int = 0
    """Number of token requests so far."""

    issuers: dict[str, InstanceName] = field(default_factory=dict)
    """Cached issuers among the present groups, by upstream."""

    # -- requests

    @property
    def has_limits(self) -> bool:
        """Whether any upstream has recently named a limit."""
        return bool(self.limits.observations)

    def rate_of(self, upstream: str) -> float | None:
        """Return the rate that an upstream accepts; None without a limit."""
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
        if self._is_remote(upstream) and now < stock.scarce_until:
            return Permission.DENIED
        return Permission.TOKEN_NEEDED

    def add_demand(self, upstream: str) -> None:
        """Count a request that would be sent there if it had a token."""
        self._stock(upstream).wanted += 1
        self.in_demand.add(upstream)

    def wait(self, upstream: str, now: float) -> float:
        """Return the seconds until the issuer expects to have a token."""
        return max(0, self._stock(upstream).retry_at - now)

    def record_sent(self, upstream: str, now: float) -> None:
        """Use a token for a request that is sent."""
        if self.is_limited(upstream):
            self.used += 1
            self._stock(upstream).spend(now)

    def take_used(self) -> int:
        """Return and reset the number of requests sent with a token."""
        used = self.used
        self.used = 0
        return used

    def obtain(self, upstream: str, now: float) -> Permission:
        """Obtain a token if needed, and return whether a request may be sent.

        If this instance is the issuer, it issues the token at once.  Otherwise
        the request has to wait for the issuer.
        """
        found = self.permission(upstream, now)
        stock = self._stock(upstream)
        if found is Permission.TOKEN_NEEDED:
            if self._issuer_of(upstream) != self.name:
                self.add_demand(upstream)
                return found
            stock.apply_share(self._issue(upstream, 1, 0, now), now)
            return self.permission(upstream, now)
        return found

    # -- issuers and upstreams

    def is_group_update_due(self, now: float) -> bool:
        """Whether to update the possible issuers."""
        return now >= self.next_group_update_at

    def follow(
        self,
        groups: Mapping[RegionName, Members],
        now: float,
    ) -> None:
        """Set the instances that may issue tokens."""
        self.next_group_update_at = now + _GROUP_UPDATE_INTERVAL
        if groups == self.groups:
            return
        self.groups = groups
        self.issuers.clear()
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
        """Handle a suspension of the process: others issue tokens by now."""
        self.issuer.owned.clear()
        self.stocks.clear()
        self.in_demand.clear()
        self.asked.clear()

    # -- messages

    def make_requests(
        self,
        now: float,
        *,
        for_all: bool = True,
    ) -> Iterator[AddressedRequest]:
        """Yield requests for the tokens that are needed.

        With ``for_all``, also request tokens in advance and return unused ones.
        """
        wanted: dict[InstanceName, dict[str, int]] = {}
        unused: dict[InstanceName, dict[str, int]] = {}
        names = tuple(self.stocks) if for_all else sorted(self.in_demand)
        self.in_demand.clear()
        for upstream in names:
            stock = self._stock(upstream)
            issuer = self._issuer_of(upstream)
            if not issuer or not self.is_limited(upstream):
                stock.clear()
                continue
            returned = stock.pop_unused(now)
            if returned:
                unused.setdefault(issuer, {})[upstream] = returned
            count = stock.tokens_to_request(now)
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
        """Issue tokens for the upstreams whose issuer is this instance."""
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
            request.number, shares, self._known_limits(request.wanted, now)
        )

    def receive_grant(self, grant: TokenGrant, now: float) -> tuple[str, ...]:
        """Apply a grant; return the upstreams whose tokens were requested.

        A grant that comes too late is ignored: another instance may be the
        issuer by now.
        """
        asked = self.asked.pop(grant.number, None)
        if asked is None:
            return ()
        for upstream, share in grant.shares.items():
            self._stock(upstream).apply_share(share, now)
        return asked.upstreams

    def expire_requests(self, now: float) -> tuple[str, ...]:
        """Return the upstreams whose issuers did not answer in time."""
        overdue = [
            number
            for number, asked in self.asked.items()
            if now >= asked.expires_at
        ]
        silent = [
            upstream
            for number in overdue
            for upstream in self.asked.pop(number).upstreams
        ]
        for upstream in silent:
            self._stock(upstream).record_timeout(now)
        return tuple(silent)

    # -- helpers

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
            self._known_limits(wanted, now),
        )
        if wanted:
            near = any(not self._is_remote(upstream) for upstream in wanted)
            timeout = _NEAR_TIMEOUT if near else _FAR_TIMEOUT
            self.asked[request.number] = _PendingRequest(
                now + timeout, tuple(wanted)
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
            # The two instances disagree on the issuer: no tokens are issued
            # until they agree.
            return TokenShare(0, _FAR_TIMEOUT if wanted else 0)
        reachable_share = 1 - self._group_of(upstream).unreachable_share
        return self.issuer.issue(
            upstream, rate * reachable_share, wanted, unused, now
        )

    def _known_limits(
        self,
        upstreams: Iterable[str],
        now: float,
    ) -> tuple[AdvertisedLimit, ...]:
        limits = (self.limits.snapshot(upstream, now) for upstream in upstreams)
        return tuple(one for one in limits if one)

    def _is_remote(self, upstream: str) -> bool:
        return self.region_of(upstream) != self.region

    def _group_of(self, upstream: str) -> Members:
        group = self.groups.get(self.region_of(upstream))
        if group and group.peers:
            return group
        return self.groups.get(ALL_REGIONS, Members({}, 1))

    def _issuer_of(self, upstream: str) -> InstanceName:
        issuer = self.issuers.get(upstream)
        if issuer is None:
            peers = self._group_of(upstream).peers
            issuer = rendezvous(f'pace|{upstream}', peers)
            self.issuers[upstream] = issuer
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
    advertised: Iterable[AdvertisedLimit],
    known: Container[str],
    now: float,
) -> Iterator[LimitChange]:
    """Merge the limits that a peer advertises of upstreams known here."""
    for one in advertised:
        if one.upstream in known:
            change = pacer.limits.receive(one, now)
            if change:
                yield change
