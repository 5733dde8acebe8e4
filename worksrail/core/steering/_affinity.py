"""Affinity: which upstreams a key belongs to, equal at a region's entries."""

from dataclasses import dataclass, field
from heapq import nlargest
from math import log
from typing import Final

import xxhash

from worksrail.core.identity import RegionName, ServiceName
from worksrail.core.steering._catalog import Catalog, Upstream
from worksrail.core.steering._nearness import Nearness, Shares

# Upstreams of each key, its own included, that it spills to.  An upstream
# remembers a limited number of keys: when keys spill anywhere, each is soon
# cold everywhere.
SPILL: Final = 2
_CACHE_LIMIT: Final = 20_000
# Hashes are whole numbers of 64 bits; so many there are.
_HASHES: Final = float('18446744073709551616')


Regions = frozenset[RegionName]
_ALL_REGIONS: Final[Regions] = frozenset()
Homes = tuple[str, ...]
"""The upstreams that a key belongs to, its own first, then those it spills to.

The order of all the others decides nothing and is not kept: for 500 keys of
395 upstreams it took 9.4 MB of an entry, this takes 0.9 MB (tracemalloc, what
500 first requests leave behind)."""


@dataclass(slots=True)
class Affinity:
    """Ranks upstreams for each key by rendezvous hashing.

    The entries of a region get the same order, so that a key is warm at one
    upstream for the callers of all of them, and spills to the same next one;
    regions that share their keys get the same as well.  An upstream that comes
    or goes only moves the keys that are its own.
    """

    generation: tuple[int, int] = (-1, -1)
    """Generations of the catalog and of the shares of regions that the ranks
    were made from."""

    homes: dict[tuple[ServiceName, str, Regions], Homes] = field(
        default_factory=dict
    )
    """Homes by service, key, and the regions that may serve the request."""

    weights: dict[ServiceName, Shares] = field(default_factory=dict)
    """Weight of a slot in each region, by service."""

    def homes_of(
        self,
        catalog: Catalog,
        nearness: Nearness,
        origin: RegionName,
        service: ServiceName,
        key: str,
        regions: Regions = _ALL_REGIONS,
    ) -> Homes:
        """The upstreams of a service that a key belongs to.

        Where only some regions may serve a request, its key belongs to
        upstreams of these: it would be a stranger at all of them otherwise,
        and executed cold at one after the other.
        """
        generation = (catalog.generation, nearness.generation)
        if generation != self.generation:
            self.homes.clear()
            self.weights.clear()
            self.generation = generation
        known = self.homes.get((service, key, regions))
        if known is None:
            if len(self.homes) >= _CACHE_LIMIT:
                self.homes.clear()
            weights = self.weights.get(service)
            if weights is None:
                weights = nearness.weights(catalog, service, origin)
                self.weights[service] = weights
            usable = tuple(
                upstream
                for upstream in catalog.usable(service)
                if not regions or upstream.region in regions
            )
            known = _draw(usable, weights, key)
            self.homes[service, key, regions] = known
        return known


def _draw(
    upstreams: tuple[Upstream, ...],
    weights: Shares,
    key: str,
) -> Homes:
    """Draw a key's own upstream by nearness, then the others by slots.

    The others are not weighed by nearness, so that keys spill to regions with
    room when their own is short of it.
    """
    scores = {
        upstream.name: rendezvous_score(
            upstream.record.listed_as, upstream.record.slots, key
        )
        for upstream in upstreams
    }
    near = {
        upstream.name: scores[upstream.name] * weights[upstream.region]
        for upstream in upstreams
    }
    own = max(near, key=lambda name: (near[name], scores[name]), default='')
    return tuple(
        nlargest(SPILL, scores, key=lambda name: (name == own, scores[name]))
    )


def rendezvous_score(name: str, weight: float, key: str) -> float:
    """Score of an upstream for a key; the highest owns it.

    Weighted rendezvous hashing: each upstream owns a share of the keys in
    proportion to its weight.
    """
    drawn = xxhash.xxh64_intdigest(f'{key}|{name}'.encode())
    return -weight / log((drawn + 0.5) / _HASHES)
