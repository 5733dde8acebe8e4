"""The digests that entries exchange about themselves and their zones."""

from typing import Final

import msgspec

from worksrail.core.availability import AdvertisedBackoff
from worksrail.core.budgets import AdvertisedBudgets
from worksrail.core.identity import (
    Incarnation,
    RegionName,
    ServiceName,
    ZoneName,
)
from worksrail.core.overload import AdvertisedDemand, AdvertisedPromise
from worksrail.core.pacing import AdvertisedLimit
from worksrail.core.quarantine import AdvertisedCrashes
from worksrail.core.steering.kinds import StoreKind

_KINDS: Final = tuple(StoreKind)


class Contact(msgspec.Struct, frozen=True, array_like=True):
    """Identity, addresses and capacity that an entry advertises."""

    who: Incarnation
    """Name and incarnation."""

    zone: ZoneName
    """Availability zone it runs in."""

    region: RegionName
    """Region of the zone."""

    peer: str
    """Address for digests."""

    caller: str
    """Address for requests."""

    ready: bool
    """Whether it accepts requests."""

    leaving: bool
    """Whether it is stopping."""

    capacity: float
    """Requests a second that its processor and link can pass on."""

    rate: float
    """Recent rate of arriving requests, per second."""

    revisions: tuple[int, ...]
    """Store revision up to which it knows each kind of object, in the order of
    :class:`StoreKind`."""

    store_lost: bool = False
    """Whether its reads from the store currently fail."""

    unreachable: tuple[ServiceName, ...] = ()
    """Services of which it reaches no upstream."""

    isolated: bool = False
    """Whether it reaches no upstream at all."""

    takes_requests: bool = False
    """Whether other entries may pass requests to it; earlier releases do not
    know such requests."""

    starting: bool = False
    """Whether it started so recently that it may not know its whole zone."""

    @property
    def name(self) -> str:
        """Return the name of the entry."""
        return self.who.name

    @property
    def accepts_requests(self) -> bool:
        """Return whether callers may be directed to it."""
        return self.ready and not self.leaving

    def revision(self, kind: StoreKind) -> int:
        """Return the store revision up to which it knows a kind."""
        return self.revisions[_KINDS.index(kind)]


class KeySketch(msgspec.Struct, frozen=True, array_like=True):
    """A sketch of the keys that callers use with one service."""

    service: ServiceName = ''
    """The service; digests rotate through them. Empty if there is no sketch."""

    hashes: tuple[int, ...] = ()
    """The smallest hashes of its keys."""


class EntryDigest(msgspec.Struct, frozen=True, array_like=True, tag='entry'):
    """Digest that an entry sends to its own zone several times a second."""

    sender: Contact
    """The sending entry."""

    number: int
    """Sequence number of the digest within the incarnation."""

    in_flight: dict[str, int]
    """Its requests in flight, by upstream."""

    known: tuple[str, ...]
    """A sample of peer addresses, from which receivers discover other
    entries."""

    keys: KeySketch = KeySketch()
    """Sketch of its callers' keys."""

    store_age: int | None = None
    """Tenths of a second since the last known answer of the store to any
    entry."""

    store_return: int | None = None
    """Tenths of a second since the store recovered from an outage, as long as
    upstreams may still reappear from it."""

    crashes: tuple[AdvertisedCrashes, ...] = ()
    """Requests under which upstreams crashed."""

    limits: tuple[AdvertisedLimit, ...] = ()
    """Limits that upstreams advertised."""

    budgets: AdvertisedBudgets = AdvertisedBudgets()
    """Use of the retry budgets."""

    leaving: tuple[str, ...] = ()
    """Upstreams that say in their answers that they are shutting down."""

    backoffs: tuple[AdvertisedBackoff, ...] = ()
    """Backoffs that upstreams have lately asked entries for."""

    demand: tuple[AdvertisedDemand, ...] = ()
    """Demand for services that are short of slots; sent now and then."""

    promises: tuple[AdvertisedPromise, ...] = ()
    """Requests refused lately, and when they were asked to come back."""


class ZoneDigest(msgspec.Struct, frozen=True, array_like=True, tag='zone'):
    """Digest that the relay of a zone sends to the relays of other zones."""

    relay: Incarnation
    """The relay of the zone."""

    zone: ZoneName
    """The zone."""

    number: int
    """Sequence number of the digest."""

    members: tuple[Contact, ...]
    """Live entries of the zone, including the relay."""

    in_flight: dict[str, int]
    """Requests in flight of all members, by upstream."""

    forwarded: bool = False
    """Whether it was already forwarded within the receiving zone."""

    keys: KeySketch = KeySketch()
    """Sketch of the keys of all members' callers."""

    store_age: int | None = None
    """Tenths of a second since the last known answer of the store to any
    entry."""

    store_return: int | None = None
    """Tenths of a second since the store recovered from an outage, as long as
    upstreams may still reappear from it."""

    crashes: tuple[AdvertisedCrashes, ...] = ()
    """Requests under which upstreams crashed."""

    limits: tuple[AdvertisedLimit, ...] = ()
    """Limits that upstreams advertised."""

    budgets: AdvertisedBudgets = AdvertisedBudgets()
    """Use of the retry budgets."""

    leaving: tuple[str, ...] = ()
    """Upstreams that say in their answers that they are shutting down."""

    backoffs: tuple[AdvertisedBackoff, ...] = ()
    """Backoffs that upstreams have lately asked entries for."""

    demand: tuple[AdvertisedDemand, ...] = ()
    """Demand for services that are short of slots; sent now and then."""

    promises: tuple[AdvertisedPromise, ...] = ()
    """Requests refused lately, and when they were asked to come back."""


Digest = EntryDigest | ZoneDigest
