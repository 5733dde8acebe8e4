"""What entries tell each other: of themselves, and of their zones."""

from typing import Final

import msgspec

from worksrail.core.budgets import AdvertisedBudgets
from worksrail.core.identity import (
    Incarnation,
    RegionName,
    ServiceName,
    ZoneName,
)
from worksrail.core.pacing import AdvertisedLimit
from worksrail.core.quarantine import AdvertisedCrashes
from worksrail.core.steering.kinds import StoreKind

_KINDS: Final = tuple(StoreKind)


class Contact(msgspec.Struct, frozen=True, array_like=True):
    """Who an entry is, where it is reached, and what it takes."""

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
    """Whether it takes requests."""

    leaving: bool
    """Whether it is stopping."""

    capacity: float
    """Requests a second that its processor and link can pass on."""

    rate: float
    """Requests a second that came to it lately."""

    revisions: tuple[int, ...]
    """Revision of the store up to which it knows each kind of object, in
    the order of :class:`StoreKind`."""

    store_lost: bool = False
    """Whether it reads the store and gets no answers."""

    @property
    def name(self) -> str:
        """Name of the entry."""
        return self.who.name

    @property
    def takes_requests(self) -> bool:
        """Whether callers may be sent there."""
        return self.ready and not self.leaving

    def revision(self, kind: StoreKind) -> int:
        """Revision of the store up to which it knows a kind."""
        return self.revisions[_KINDS.index(kind)]


class KeySketch(msgspec.Struct, frozen=True, array_like=True):
    """A sketch of the keys that callers ask for at one service."""

    service: ServiceName = ''
    """The service; a digest tells one of them in turn, or none."""

    hashes: tuple[int, ...] = ()
    """The smallest hashes of its keys."""


class EntryDigest(msgspec.Struct, frozen=True, array_like=True, tag='entry'):
    """What an entry tells its own zone some times a second."""

    sender: Contact
    """The entry itself."""

    number: int
    """Grows with each digest of the incarnation."""

    in_flight: dict[str, int]
    """Its requests in flight, by upstream."""

    known: tuple[str, ...]
    """Peer addresses of other entries, for those that know few."""

    keys: KeySketch = KeySketch()
    """Sketch of its callers' keys."""

    store_age: int | None = None
    """Tenths of a second since the store is known to have answered anybody."""

    store_return: int | None = None
    """Tenths of a second since it came back from an outage, if upstreams may
    still return from that."""

    crashes: tuple[AdvertisedCrashes, ...] = ()
    """Requests under which upstreams crashed."""

    limits: tuple[AdvertisedLimit, ...] = ()
    """Limits that upstreams named."""

    budgets: AdvertisedBudgets = AdvertisedBudgets()
    """How much of the budgets of repeats is in use."""


class ZoneDigest(msgspec.Struct, frozen=True, array_like=True, tag='zone'):
    """What the speaker of a zone tells the other zones' entries."""

    relay: Incarnation
    """The entry that speaks for its zone."""

    zone: ZoneName
    """The zone."""

    number: int
    """Grows with each digest of the speaker."""

    members: tuple[Contact, ...]
    """Entries of the zone that live, the speaker included."""

    in_flight: dict[str, int]
    """Requests of all its members in flight, by upstream."""

    passed_on: bool = False
    """It came to this zone before, and was passed on within it."""

    keys: KeySketch = KeySketch()
    """Sketch of the keys that callers of all its members ask for."""

    store_age: int | None = None
    """Tenths of a second since the store is known to have answered anybody."""

    store_return: int | None = None
    """Tenths of a second since it came back from an outage, if upstreams may
    still return from that."""

    crashes: tuple[AdvertisedCrashes, ...] = ()
    """Requests under which upstreams crashed."""

    limits: tuple[AdvertisedLimit, ...] = ()
    """Limits that upstreams named."""

    budgets: AdvertisedBudgets = AdvertisedBudgets()
    """How much of the budgets of repeats is in use."""


Digest = EntryDigest | ZoneDigest
