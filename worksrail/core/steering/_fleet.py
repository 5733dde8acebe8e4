"""The other entries: who lives, who is ready, what they have in flight."""

from dataclasses import dataclass, field
from typing import Final

import msgspec

from worksrail.core.identity import Incarnation, RegionName, ZoneName

# Seconds without a digest after which an entry counts as dead: five digests
# of 200 ms, so that single lost datagrams do not matter.
_DEAD_AFTER: Final = 1.1
# A dead entry is told of us for this long, so that it finds the others again
# when it returns at the same address while the store is away.
_REMEMBER: Final = 120.0


class EntryDigest(msgspec.Struct, frozen=True, array_like=True):
    """What an entry tells the others some times a second."""

    who: Incarnation
    """Name and incarnation of the sender."""

    number: int
    """Grows with each digest of the incarnation."""

    zone: ZoneName
    """Availability zone of the sender."""

    region: RegionName
    """Region of the sender."""

    peer: str
    """Address for digests."""

    caller: str
    """Address for requests."""

    ready: bool
    """Whether it takes requests."""

    leaving: bool
    """Whether it is stopping."""

    version: int
    """Version of the configuration in force there; zero: none."""

    in_flight: dict[str, int]
    """Its requests in flight, by upstream."""

    known: dict[str, str]
    """Peer addresses of the entries it knows, by name."""


@dataclass(slots=True)
class Entry:
    """Another entry, as this one knows it."""

    digest: EntryDigest
    """Its last digest."""

    heard_at: float
    """When that came."""

    def alive(self, now: float) -> bool:
        """Whether it was heard lately."""
        return now - self.heard_at < _DEAD_AFTER

    def takes_requests(self, now: float) -> bool:
        """Whether callers may be sent there."""
        digest = self.digest
        return digest.ready and not digest.leaving and self.alive(now)


@dataclass(slots=True)
class Fleet:
    """All other entries that this one has heard of."""

    name: str
    """Name of this entry."""

    peer: str
    """Address of this entry for digests."""

    entries: dict[str, Entry] = field(default_factory=dict)
    """Entries that were heard, by name."""

    addresses: dict[str, float] = field(default_factory=dict)
    """Peer addresses to write to, with the time they were learned."""

    def take(self, digest: EntryDigest, now: float) -> bool:
        """Take in a digest; false if it is an older one, or our own."""
        name = digest.who.name
        if name == self.name:
            return False
        known = self.entries.get(name)
        if known and known.alive(now) and not _follows(digest, known.digest):
            return False
        self.entries[name] = Entry(digest, now)
        self.learn(digest.peer, now)
        for address in digest.known.values():
            self.addresses.setdefault(address, now)
        return True

    def learn(self, address: str, now: float) -> None:
        """Remember an address at which an entry may be."""
        if address and address != self.peer:
            self.addresses[address] = now

    def alive(self, now: float) -> list[Entry]:
        """Entries that were heard lately."""
        return [entry for entry in self.entries.values() if entry.alive(now)]

    def sharers(self, region: RegionName) -> int:
        """Entries of a region, this one and recently dead ones included."""
        return 1 + sum(
            entry.digest.region == region for entry in self.entries.values()
        )

    def receivers(self, now: float, *, everyone: bool) -> list[str]:
        """Addresses that a digest goes to.

        Silent addresses are written to as well, only not every time.
        """
        near = {entry.digest.peer for entry in self.alive(now)}
        if everyone:
            near.update(self.addresses)
        near.discard(self.peer)
        return sorted(near)

    def expire(self, now: float) -> tuple[list[str], list[str]]:
        """Names of entries that just died, and of forgotten ones."""
        forgotten = [
            name
            for name, entry in self.entries.items()
            if now - entry.heard_at > _REMEMBER
        ]
        for name in forgotten:
            self.entries.pop(name)
        for address, at in tuple(self.addresses.items()):
            if now - at > _REMEMBER:
                self.addresses.pop(address)
        dead = [
            name for name, entry in self.entries.items() if not entry.alive(now)
        ]
        return dead, forgotten


def _follows(digest: EntryDigest, known: EntryDigest) -> bool:
    # Incarnations are numbered by the wall clock, which may have been set
    # back between two lives; a live entry only is protected by its number.
    if digest.who.number == known.who.number:
        return digest.number > known.number
    return digest.who.number > known.who.number
