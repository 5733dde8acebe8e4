"""The other entries: liveness, readiness and the relay of each zone.

Entries of one zone exchange digests directly. One of them, the relay, sends a
digest of the whole zone to the relays of the other zones, which forward it
within theirs. Traffic between zones therefore grows with the number of zones,
not with the square of the number of entries. Two entries may both consider
themselves the relay for a while: their digests replace each other, which is
harmless.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import nlargest
from math import ceil, inf
from typing import Final

from worksrail.core._rendezvous import rendezvous_weight
from worksrail.core.identity import RegionName, ZoneName
from worksrail.core.steering._digests import Contact, EntryDigest, ZoneDigest

# Seconds without a digest after which an entry of the own zone counts as dead:
# five digests of 200 ms, so that single lost datagrams do not matter.
_DEAD_TIMEOUT: Final = 1.1
# The same for entries of other zones, which are listed in the digest of one
# relay every 400 ms: when it dies, its zone needs the time above until another
# entry takes over.
_REMOTE_DEAD_TIMEOUT: Final = 1.8
# Seconds for which a silent entry counts as one that may still serve callers,
# as an entry of a part that is cut off does.  Entries that leave say so.
_FORGET_TIMEOUT: Final = 7200.0
# Seconds of silence after which an entry is unlikely to return soon, and its
# address is tried less often.
_RECENT_WINDOW: Final = 120.0
# Number of silent addresses that a discovery digest goes to, sampled anew each
# time.
_MAX_SILENT: Final = 3
# Maximum number of addresses to keep that have been silent for longer, and the
# share of the discovery digests that go to one of them.
_MAX_REMEMBERED: Final = 64
_REMEMBERED_SHARE: Final = 0.2
# Number of entries of other zones that an uninformed entry asks at once.
_MAX_REMOTE: Final = 2
# Seconds of silence for which an entry is likely to restart.
_LOST_WINDOW: Final = 10.0
# Seconds for which a new address that has not answered receives every digest,
# and the maximum number of such addresses at once.
_NEW_ADDRESS_WINDOW: Final = 3.0
_MAX_NEW_ADDRESSES: Final = 8


@dataclass(slots=True)
class Entry:
    """Another entry, as observed by this one."""

    contact: Contact
    """State that it advertised last."""

    last_seen_at: float
    """When that state arrived."""

    number: int = 0
    """Number of its last digest; zero if only its relay reported it."""

    same_zone: bool = True
    """Whether it is in the own zone and sends its own digests."""

    def alive(self, now: float) -> bool:
        """Return whether a recent digest covers it."""
        limit = _DEAD_TIMEOUT if self.same_zone else _REMOTE_DEAD_TIMEOUT
        return now - self.last_seen_at < limit

    def accepts_requests(self, now: float) -> bool:
        """Return whether callers may be directed to it."""
        return self.contact.accepts_requests and self.alive(now)


@dataclass(slots=True)
class RemoteZone:
    """Another zone, as its relay reported it last."""

    digest: ZoneDigest
    """The last digest."""

    last_seen_at: float
    """When that digest arrived."""

    def alive(self, now: float) -> bool:
        """Return whether a digest arrived recently."""
        return now - self.last_seen_at < _REMOTE_DEAD_TIMEOUT


@dataclass(slots=True)
class Fleet:
    """All other entries that this one knows."""

    name: str
    """Name of this entry."""

    zone: ZoneName
    """Zone of this entry."""

    peer: str
    """Address at which this entry receives digests."""

    entries: dict[str, Entry] = field(default_factory=dict)
    """Known entries by name."""

    zone_entries: set[str] = field(default_factory=set)
    """Names of the entries in the own zone."""

    zones: dict[ZoneName, RemoteZone] = field(default_factory=dict)
    """The other zones."""

    weights: dict[tuple[ZoneName, str], int] = field(default_factory=dict)
    """Rendezvous weights that rank the entries of a zone for its duties."""

    addresses: dict[str, float] = field(default_factory=dict)
    """Known peer addresses, with the time each was learned."""

    seeds: tuple[str, ...] = ()
    """Peer addresses that the settings name; never forgotten."""

    def apply_digest(self, digest: EntryDigest, now: float) -> bool:
        """Apply a digest; false if it is outdated or this entry's own."""
        sender = digest.sender
        if sender.name == self.name:
            return False
        known = self.entries.get(sender.name)
        if known and known.alive(now) and not _is_newer(digest, known):
            return False
        same_zone = sender.zone == self.zone
        self.entries[sender.name] = Entry(sender, now, digest.number, same_zone)
        if same_zone:
            self.zone_entries.add(sender.name)
        self.add_address(sender.peer, now)
        for address in digest.known:
            # The sender considers the entry there alive.
            if now - self.addresses.get(address, -inf) > _RECENT_WINDOW:
                self.add_address(address, now)
        return True

    def apply_zone_digest(self, digest: ZoneDigest, now: float) -> bool:
        """Apply a zone digest of a relay; false if it is outdated."""
        known = self.zones.get(digest.zone)
        if digest.zone == self.zone:
            return False
        if known and known.digest.relay == digest.relay:
            if digest.number <= known.digest.number:
                return False
        self.zones[digest.zone] = RemoteZone(digest, now)
        for contact in digest.members:
            self.entries[contact.name] = Entry(contact, now, same_zone=False)
            self.add_address(contact.peer, now)
        if known and known.digest.relay == digest.relay:
            self._expire_unlisted(known.digest, digest, now)
        return True

    def add_address(self, address: str, now: float) -> None:
        """Remember an address at which an entry may listen."""
        if address and address != self.peer:
            self.addresses[address] = now

    def add_unknown(self, addresses: Iterable[str], now: float) -> int:
        """Remember addresses; return how many were unknown."""
        unknown = set(addresses) - self.addresses.keys() - {self.peer}
        for address in unknown:
            self.add_address(address, now)
        return len(unknown)

    def follow_seeds(self, seeds: tuple[str, ...], now: float) -> None:
        """Apply the addresses that the settings name, which may be stale."""
        self.seeds = seeds
        for address in seeds:
            self.add_address(address, now)

    def alive(self, now: float) -> list[Entry]:
        """Return the entries that are alive."""
        return [entry for entry in self.entries.values() if entry.alive(now)]

    def zone_peers(self, now: float) -> list[Contact]:
        """Return the other live entries of the own zone."""
        zone_peers = [self.entries[name] for name in sorted(self.zone_entries)]
        return [entry.contact for entry in zone_peers if entry.alive(now)]

    def entries_in_region(self, region: RegionName, now: float) -> list[str]:
        """Return the entries of a region, including recently dead ones."""
        return [
            name
            for name, entry in self.entries.items()
            if entry.contact.region == region
            and now - entry.last_seen_at <= _RECENT_WINDOW
        ]

    def remote_entries(self, now: float) -> list[Contact]:
        """Return the live entries of other zones."""
        return [
            entry.contact
            for entry in self.alive(now)
            if entry.contact.zone != self.zone
        ]

    def store_readers(
        self,
        own: Contact,
        count: int,
        now: float,
    ) -> list[Contact]:
        """Return the entries of the own region that should read the store.

        These are ``count`` entries, plus one for each of them that gets no
        answers: the store may reject some entries and serve others.
        """
        region = [
            entry.contact
            for entry in self.alive(now)
            if entry.contact.region == own.region
        ]
        first = nlargest(2 * count, (own, *region), key=self._rank)
        failing = sum(contact.store_lost for contact in first[:count])
        return first[: count + failing]

    def is_relay(self, own: Contact, now: float) -> bool:
        """Return whether this entry ranks first in its zone."""
        return not any(
            self._outranks(peer, own) for peer in self.zone_peers(now)
        )

    def relays(self, now: float) -> list[str]:
        """Return the addresses of the relays of the other zones."""
        by_zone: dict[ZoneName, Contact] = {}
        for contact in self.remote_entries(now):
            known = by_zone.get(contact.zone)
            if known is None or self._outranks(contact, known):
                by_zone[contact.zone] = contact
        return [contact.peer for contact in by_zone.values()]

    def sample_new_addresses(self, now: float, rng: random.Random) -> list[str]:
        """Sample addresses learned recently that have not answered yet."""
        known = {entry.contact.peer for entry in self.entries.values()}
        fresh = sorted(
            address
            for address, at in self.addresses.items()
            if address not in known and now - at < _NEW_ADDRESS_WINDOW
        )
        return _sample(fresh, _MAX_NEW_ADDRESSES, rng)

    def sample_remote(self, now: float, rng: random.Random) -> list[str]:
        """Sample live entries of other zones."""
        remote = sorted(contact.peer for contact in self.remote_entries(now))
        return _sample(remote, _MAX_REMOTE, rng)

    def sample_lost(self, now: float, rng: random.Random) -> list[str]:
        """Sample entries that became silent recently, and may have restarted.

        One may know no address but those of entries that are away.  Together
        the live entries try each lost one about once.
        """
        lost = sorted(
            entry.contact.peer
            for entry in self.entries.values()
            if not entry.alive(now) and now - entry.last_seen_at < _LOST_WINDOW
        )
        live = 1 + sum(entry.alive(now) for entry in self.entries.values())
        return _sample(lost, min(_MAX_SILENT, ceil(len(lost) / live)), rng)

    def sample_for_discovery(self, now: float, rng: random.Random) -> list[str]:
        """Sample silent addresses and one of another zone, for discovery.

        Silent addresses are seeds that have not answered and entries that may
        return.  Those that have been silent for long are tried now and then, as
        a part of the fleet may have been cut off; if no entry is alive, they
        are tried like the others.
        """
        known = {entry.contact.peer for entry in self.alive(now)}
        recent: list[str] = []
        remembered: list[str] = []
        for address in sorted(self.addresses.keys() - known):
            is_old = bool(known) and self._is_remembered(address, now)
            (remembered if is_old else recent).append(address)
        remote = sorted(contact.peer for contact in self.remote_entries(now))
        chosen = _sample(recent, _MAX_SILENT, rng) + _sample(remote, 1, rng)
        if remembered and rng.random() < _REMEMBERED_SHARE:
            chosen += _sample(remembered, 1, rng)
        return chosen

    def expire(self, now: float) -> tuple[list[str], list[str]]:
        """Forget old entries; return names of dead and of forgotten ones."""
        forgotten = [
            name
            for name, entry in self.entries.items()
            if now - entry.last_seen_at > _FORGET_TIMEOUT
        ]
        for name in forgotten:
            self.entries.pop(name)
            self.zone_entries.discard(name)
        if forgotten:
            self.weights.clear()
        self._forget_addresses(now)
        dead = [
            name for name, entry in self.entries.items() if not entry.alive(now)
        ]
        return dead, forgotten

    def expire_zones(self, now: float) -> list[ZoneName]:
        """Forget and return the zones from which no digest arrives any more."""
        silent = [
            zone for zone, remote in self.zones.items() if not remote.alive(now)
        ]
        for zone in silent:
            self.zones.pop(zone)
        return silent

    def _is_remembered(self, address: str, now: float) -> bool:
        """Whether an address has been silent for long."""
        return now - self.addresses[address] > _RECENT_WINDOW

    def _forget_addresses(self, now: float) -> None:
        """Forget the addresses silent for longest, beyond a maximum."""
        remembered = [
            address
            for address in self.addresses
            if self._is_remembered(address, now) and address not in self.seeds
        ]
        if len(remembered) > _MAX_REMEMBERED:
            remembered.sort(key=lambda address: self.addresses[address])
            for address in remembered[:-_MAX_REMEMBERED]:
                self.addresses.pop(address)

    def _outranks(self, one: Contact, other: Contact) -> bool:
        """Whether one entry comes before another one as their zone's relay."""
        # What a relay does not know of its zone is unknown to all other zones.
        if one.starting != other.starting:
            return other.starting
        return self._rank(one) > self._rank(other)

    def _rank(self, contact: Contact) -> tuple[bool, float, int, str]:
        # A new entry does not know the others yet and a leaving one is gone
        # soon, so both rank last. Entries with a higher capacity rank first,
        # because a small link that is full drops datagrams.
        place = (contact.zone, contact.name)
        weight = self.weights.get(place)
        if weight is None:
            weight = rendezvous_weight(f'duty|{contact.zone}', contact.name)
            self.weights[place] = weight
        return contact.accepts_requests, contact.capacity, weight, contact.name

    def _expire_unlisted(
        self, before: ZoneDigest, after: ZoneDigest, now: float
    ) -> None:
        # An entry that the same relay no longer lists is dead. A new relay may
        # not know its whole zone yet.
        named = {contact.name for contact in after.members}
        for contact in before.members:
            entry = self.entries.get(contact.name)
            if entry and contact.name not in named:
                entry.last_seen_at = min(
                    entry.last_seen_at, now - _REMOTE_DEAD_TIMEOUT
                )


def _sample(
    addresses: list[str], max_count: int, rng: random.Random
) -> list[str]:
    return rng.sample(addresses, min(max_count, len(addresses)))


def _is_newer(digest: EntryDigest, known: Entry) -> bool:
    # Incarnation numbers come from the wall clock, which may have been set back
    # between two incarnations. A lower number is therefore rejected only while
    # the known incarnation is alive.
    who = digest.sender.who
    if who.number == known.contact.who.number:
        return digest.number > known.number
    return who.number > known.contact.who.number
