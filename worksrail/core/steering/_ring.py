"""A ring of hashes: which upstream is nearest to a key.

Multi-probe consistent hashing (Appleton and O'Reilly, 2015): each upstream has
a point for each of its slots, a key is looked for from several places, and the
point that follows closest on one of them owns it.  A look-up takes as long as
the logarithm of the points; to score every upstream for every key, as plain
rendezvous hashing does, takes 3 ms of an entry for each key at 600 upstreams.
"""

from bisect import bisect_left
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final

import xxhash

from worksrail.core.steering._catalog import Upstream

# Places from which a key is looked for: with 21 the busiest upstream of many
# has 1.05 times its part of the keys, with one several times (the paper).
_PROBES: Final = 21
# Hashes are whole numbers of 64 bits; so many there are.
HASHES: Final = 2 ** (8 * 8)

Probes = tuple[int, ...]


def probes_of(key: str) -> Probes:
    """Places on the ring from which a key is looked for."""
    encoded = key.encode()
    return tuple(
        xxhash.xxh64_intdigest(encoded, seed) for seed in range(_PROBES)
    )


@dataclass(frozen=True, slots=True)
class Ring:
    """The points of some upstreams, in order."""

    points: list[int]
    """All points."""

    owners: dict[int, str]
    """Name of the upstream that a point belongs to."""

    @classmethod
    def from_upstreams(cls, upstreams: Iterable[Upstream]) -> 'Ring':
        """Give each upstream a point for each slot."""
        owners: dict[int, str] = {}
        for upstream in upstreams:
            record = upstream.record
            for slot in range(record.slots):
                # An upstream keeps its points when it starts again.
                place = f'{record.discovery_id}|{slot}'.encode()
                owners[xxhash.xxh64_intdigest(place)] = upstream.name
        return cls(sorted(owners), owners)

    def nearest(self, probes: Probes) -> Iterator[str]:
        """Names of upstreams, the nearest first; each comes once."""
        if not self.points:
            return
        told: set[str] = set()
        for _, index in sorted(self._after(probe) for probe in probes):
            name = self.owners[self.points[index]]
            if name not in told:
                told.add(name)
                yield name
        # Few upstreams: what no place led to follows in the order of the ring.
        for point in self.points:
            name = self.owners[point]
            if name not in told:
                told.add(name)
                yield name

    def _after(self, probe: int) -> tuple[int, int]:
        """How far the next point is, and its index."""
        index = bisect_left(self.points, probe) % len(self.points)
        return (self.points[index] - probe) % HASHES, index
