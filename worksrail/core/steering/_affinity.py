"""Affinity: which upstreams a key belongs to, equal at a region's entries."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice
from math import log
from typing import Final

import xxhash

from worksrail.core.identity import RegionName, ServiceName
from worksrail.core.steering._catalog import Catalog
from worksrail.core.steering._region_shares import RegionShares, Shares
from worksrail.core.steering._ring import HASHES, Probes, Ring, probes_of

# Upstreams of each key, its own included, that it spills to.  An upstream
# remembers a limited number of keys: when keys spill anywhere, each is soon
# cold everywhere.
SPILL: Final = 2
_CACHE_LIMIT: Final = 20_000

Regions = frozenset[RegionName]
_ALL_REGIONS: Final[Regions] = frozenset()
Homes = tuple[str, ...]
"""The upstreams that a key belongs to, its own first, then those it spills to.

The order of all the others decides nothing and is not kept: for 500 keys of
395 upstreams it took 9.4 MB of an entry, this takes 0.9 MB (tracemalloc, what
500 first requests leave behind)."""


@dataclass(slots=True)
class Affinity:
    """Finds the homes of each key.

    The entries of a region find the same, so that a key is warm at one
    upstream for the callers of all of them, and spills to the same next one;
    regions that share their keys find the same as well.  An upstream that comes
    or goes only moves the keys that are its own.
    """

    generation: tuple[int, int] = (-1, -1)
    """Generations of the catalog and of the shares of regions that the homes
    were found with."""

    homes: dict[tuple[ServiceName, str, Regions], Homes] = field(
        default_factory=dict
    )
    """Homes by service, key, and the regions that may serve the request."""

    shares: dict[ServiceName, Shares] = field(default_factory=dict)
    """Share of the own region's keys that each region is home to."""

    rings: dict[tuple[ServiceName, Regions], Ring] = field(default_factory=dict)
    """Rings of the upstreams of some regions, or of all."""

    def homes_of(
        self,
        catalog: Catalog,
        region_shares: RegionShares,
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
        self._follow(catalog, region_shares)
        known = self.homes.get((service, key, regions))
        if known is None:
            if len(self.homes) >= _CACHE_LIMIT:
                self.homes.clear()
            shares = self.shares.get(service)
            if shares is None:
                shares = region_shares.present_shares(catalog, service, origin)
                self.shares[service] = shares
            known = self._find(catalog, service, key, shares, regions)
            self.homes[service, key, regions] = known
        return known

    def _follow(self, catalog: Catalog, region_shares: RegionShares) -> None:
        before = self.generation
        self.generation = (catalog.generation, region_shares.generation)
        if self.generation == before:
            return
        self.homes.clear()
        self.shares.clear()
        if catalog.generation != before[0]:
            self.rings.clear()

    def _find(
        self,
        catalog: Catalog,
        service: ServiceName,
        key: str,
        shares: Shares,
        regions: Regions,
    ) -> Homes:
        """Find a key's own upstream by nearness, then the others by slots.

        The others are not weighed by nearness, so that keys spill to regions
        with room when their own is short of it.
        """
        probes = probes_of(key)
        region = _region_of(key, shares, regions)
        near = self._ring(catalog, service, frozenset((region,)))
        own = next(near.nearest(probes), '')
        if not own:
            return ()
        others = self._others(catalog, service, regions, probes)
        spilt = (name for name in others if name != own)
        return (own, *islice(spilt, SPILL - 1))

    def _others(
        self,
        catalog: Catalog,
        service: ServiceName,
        regions: Regions,
        probes: Probes,
    ) -> Iterator[str]:
        return self._ring(catalog, service, regions).nearest(probes)

    def _ring(
        self,
        catalog: Catalog,
        service: ServiceName,
        regions: Regions,
    ) -> Ring:
        ring = self.rings.get((service, regions))
        if ring is None:
            ring = Ring.from_upstreams(
                upstream
                for upstream in catalog.usable(service)
                if not regions or upstream.region in regions
            )
            self.rings[service, regions] = ring
        return ring


def _region_of(key: str, shares: Shares, regions: Regions) -> RegionName:
    """Draw the region that a key is at home in, in proportion to its share.

    Weighted rendezvous hashing: a share that grows only draws keys to it.
    """
    allowed = {
        region: share
        for region, share in shares.items()
        if not regions or region in regions
    }
    return max(
        allowed,
        key=lambda region: (_score(key, region, allowed[region]), region),
        default='',
    )


def _score(key: str, region: RegionName, share: float) -> float:
    drawn = xxhash.xxh64_intdigest(f'{key}|{region}'.encode())
    return -share / log((drawn + 0.5) / HASHES)
