"""The other entries: who lives, who is ready, who speaks for a zone.

Entries of one zone tell each other directly.  One of them, the speaker, tells
the speakers of the other zones what its zone has in flight; these pass it on
within theirs.  What crosses zones so grows with the zones, not with the
square of the entries.  Two entries may both take themselves for the speaker:
their digests replace each other, which is harmless.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import nlargest
from typing import Final

from worksrail.core._rendezvous import rendezvous_weight
from worksrail.core.identity import RegionName, ZoneName
from worksrail.core.steering._digests import Contact, EntryDigest, ZoneDigest

# Seconds without a digest after which an entry of the own zone counts as
# dead: five digests of 200 ms, so that single lost datagrams do not matter.
_DEAD_AFTER: Final = 1.1
# The same for entries of other zones, which one speaker tells of every 400 ms:
# when it dies, its zone needs the time above until another one speaks.
_FAR_DEAD_AFTER: Final = 1.8
# Seconds for which a dead entry is told of us, so that it finds the others
# again when it returns at the same address while the store is away.
_REMEMBER: Final = 120.0
# Silent addresses that a digest of discovery goes to, drawn anew each time.
_DRAWN: Final = 3
# Seconds for which an address that was just learned, and has not answered, is
# written to with every digest; and how many such addresses at once.
_GREETING: Final = 3.0
_GREETED: Final = 8


@dataclass(slots=True)
class Entry:
    """Another entry, as this one knows it."""

    contact: Contact
    """What it told last."""

    received_at: float
    """When that came."""

    number: int = 0
    """Number of its last digest; zero if only its speaker told of it."""

    near: bool = True
    """It is of the own zone and tells of itself."""

    def alive(self, now: float) -> bool:
        """Whether it was heard lately."""
        limit = _DEAD_AFTER if self.near else _FAR_DEAD_AFTER
        return now - self.received_at < limit

    def takes_requests(self, now: float) -> bool:
        """Whether callers may be sent there."""
        return self.contact.takes_requests and self.alive(now)


@dataclass(slots=True)
class FarZone:
    """Another zone, as its speaker told last."""

    digest: ZoneDigest
    """The last digest."""

    received_at: float
    """When that came."""

    def alive(self, now: float) -> bool:
        """Whether it was heard lately."""
        return now - self.received_at < _FAR_DEAD_AFTER


@dataclass(slots=True)
class Fleet:
    """All other entries that this one has heard of."""

    name: str
    """Name of this entry."""

    zone: ZoneName
    """Zone of this entry."""

    peer: str
    """Address of this entry for digests."""

    entries: dict[str, Entry] = field(default_factory=dict)
    """Entries that were heard of, by name."""

    near: set[str] = field(default_factory=set)
    """Those of the own zone."""

    zones: dict[ZoneName, FarZone] = field(default_factory=dict)
    """The other zones."""

    weights: dict[tuple[ZoneName, str], int] = field(default_factory=dict)
    """Weights of entries for the duties of their zones."""

    addresses: dict[str, float] = field(default_factory=dict)
    """Peer addresses to write to, with the time they were learned."""

    def take(self, digest: EntryDigest, now: float) -> bool:
        """Take in a digest; false if it is an older one, or our own."""
        sender = digest.sender
        if sender.name == self.name:
            return False
        known = self.entries.get(sender.name)
        if known and known.alive(now) and not _follows(digest, known):
            return False
        near = sender.zone == self.zone
        self.entries[sender.name] = Entry(sender, now, digest.number, near)
        if near:
            self.near.add(sender.name)
        self.learn(sender.peer, now)
        for address in digest.known:
            if address != self.peer:
                self.addresses.setdefault(address, now)
        return True

    def take_zone(self, digest: ZoneDigest, now: float) -> bool:
        """Take in what a speaker tells; false if it is an older digest."""
        known = self.zones.get(digest.zone)
        if digest.zone == self.zone:
            return False
        if known and known.digest.relay == digest.relay:
            if digest.number <= known.digest.number:
                return False
        self.zones[digest.zone] = FarZone(digest, now)
        for contact in digest.members:
            self.entries[contact.name] = Entry(contact, now, near=False)
            self.learn(contact.peer, now)
        if known and known.digest.relay == digest.relay:
            self._bury(known.digest, digest, now)
        return True

    def learn(self, address: str, now: float) -> None:
        """Remember an address at which an entry may be."""
        if address and address != self.peer:
            self.addresses[address] = now

    def add_addresses(self, addresses: Iterable[str], now: float) -> None:
        """Remember addresses at which entries may be."""
        for address in addresses:
            self.learn(address, now)

    def alive(self, now: float) -> list[Entry]:
        """Entries that were heard lately."""
        return [entry for entry in self.entries.values() if entry.alive(now)]

    def zone_peers(self, now: float) -> list[Contact]:
        """Other entries of the own zone that live."""
        zone_peers = [self.entries[name] for name in sorted(self.near)]
        return [entry.contact for entry in zone_peers if entry.alive(now)]

    def entries_in_region(self, region: RegionName) -> list[str]:
        """Entries of a region, recently dead ones included."""
        return [
            name
            for name, entry in self.entries.items()
            if entry.contact.region == region
        ]

    def far(self, now: float) -> list[Contact]:
        """Entries of other zones that live."""
        return [
            entry.contact
            for entry in self.alive(now)
            if entry.contact.zone != self.zone
        ]

    def store_readers(
        self,
        own: Contact,
        usual: int,
        now: float,
    ) -> list[Contact]:
        """Entries of the own region that shall read the store.

        A usual number of them, and one more for each of these that the store
        does not answer: it may turn some entries away and serve others.
        """
        region = [
            entry.contact
            for entry in self.alive(now)
            if entry.contact.region == own.region
        ]
        first = nlargest(2 * usual, (own, *region), key=self._duty_order)
        failing = sum(contact.store_lost for contact in first[:usual])
        return first[: usual + failing]

    def is_relay(self, own: Contact, now: float) -> bool:
        """Whether this entry speaks for its zone: the first of its duties."""
        return not any(
            self._precedes(mate, own) for mate in self.zone_peers(now)
        )

    def relays(self, now: float) -> list[str]:
        """Addresses of the speakers of the other zones."""
        by_zone: dict[ZoneName, Contact] = {}
        for contact in self.far(now):
            known = by_zone.get(contact.zone)
            if known is None or self._precedes(contact, known):
                by_zone[contact.zone] = contact
        return [contact.peer for contact in by_zone.values()]

    def newcomers(self, now: float, rng: random.Random) -> list[str]:
        """Some addresses that were learned lately and not heard yet."""
        heard = {entry.contact.peer for entry in self.entries.values()}
        fresh = sorted(
            address
            for address, at in self.addresses.items()
            if address not in heard and now - at < _GREETING
        )
        return _draw(fresh, _GREETED, rng)

    def distant(self, now: float, rng: random.Random) -> list[str]:
        """A few silent addresses, and one of another zone, for discovery.

        Silent are seeds that have not answered, and entries that may return.
        """
        heard = {entry.contact.peer for entry in self.alive(now)}
        silent = sorted(self.addresses.keys() - heard)
        far = sorted(contact.peer for contact in self.far(now))
        return _draw(silent, _DRAWN, rng) + _draw(far, 1, rng)

    def expire(self, now: float) -> tuple[list[str], list[str]]:
        """Names of entries that are dead, and of forgotten ones."""
        forgotten = [
            name
            for name, entry in self.entries.items()
            if now - entry.received_at > _REMEMBER
        ]
        for name in forgotten:
            self.entries.pop(name)
            self.near.discard(name)
        if forgotten:
            self.weights.clear()
        for address, at in tuple(self.addresses.items()):
            if now - at > _REMEMBER:
                self.addresses.pop(address)
        dead = [
            name for name, entry in self.entries.items() if not entry.alive(now)
        ]
        return dead, forgotten

    def silent_zones(self, now: float) -> list[ZoneName]:
        """Zones that nothing is heard of any more; they are forgotten."""
        silent = [
            zone for zone, far in self.zones.items() if not far.alive(now)
        ]
        for zone in silent:
            self.zones.pop(zone)
        return silent

    def _precedes(self, one: Contact, other: Contact) -> bool:
        return self._duty_order(one) > self._duty_order(other)

    def _duty_order(self, contact: Contact) -> tuple[bool, float, int, str]:
        # A fresh entry knows nobody yet, and one that leaves is gone soon:
        # they come after all others.  Large entries come first: datagrams
        # are lost where a small link is full.
        place = (contact.zone, contact.name)
        weight = self.weights.get(place)
        if weight is None:
            weight = rendezvous_weight(f'duty|{contact.zone}', contact.name)
            self.weights[place] = weight
        return contact.takes_requests, contact.capacity, weight, contact.name

    def _bury(self, before: ZoneDigest, after: ZoneDigest, now: float) -> None:
        # Who is named no more by the same speaker is dead.  Another speaker
        # may not know its whole zone yet.
        named = {contact.name for contact in after.members}
        for contact in before.members:
            entry = self.entries.get(contact.name)
            if entry and contact.name not in named:
                entry.received_at = min(
                    entry.received_at, now - _FAR_DEAD_AFTER
                )


def _draw(addresses: list[str], most: int, rng: random.Random) -> list[str]:
    return rng.sample(addresses, min(most, len(addresses)))


def _follows(digest: EntryDigest, known: Entry) -> bool:
    # Incarnations are numbered by the wall clock, which may have been set
    # back between two lives; a live entry only is protected by its number.
    who = digest.sender.who
    if who.number == known.contact.who.number:
        return digest.number > known.number
    return who.number > known.contact.who.number
