"""Maps affinity keys to home upstreams, alike at all entries of a region."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice
from math import log
from typing import Final

import xxhash

from worksrail.core.identity import RegionName, ServiceName
from worksrail.core.steering._catalog import Catalog
from worksrail.core.steering._region_shares import RegionShares, Shares
from worksrail.core.steering._ring import HASH_SPACE, Probes, Ring, probes_of
from worksrail.core.steering._warm_keys import MIN_HOMES

_MAX_CACHED_KEYS: Final = 20_000

Regions = frozenset[RegionName]
_ALL_REGIONS: Final[Regions] = frozenset()
Homes = tuple[str, ...]
"""Names of the home upstreams of a key: the primary one, then those that it
spills to.  An upstream caches a limited number of keys: if keys spilled to any
upstream, each would soon be cold everywhere.

The order of the other upstreams is not needed and not kept: for 500 keys and
395 upstreams it takes 9.4 MB of memory, the homes alone take 0.9 MB."""


@dataclass(slots=True)
class Affinity:
    """Computes and caches the home upstreams of each key.

    All entries of a region compute the same homes, so that a key is warm at
    the same upstreams whichever entry a caller uses; regions that share their
    keys also compute the same.  Adding or removing an upstream moves only the
    keys whose home it is.
    """

    generation: tuple[int, int] = (-1, -1)
    """Generations of the catalog and of the region shares that the cached
    homes were computed from."""

    homes: dict[tuple[ServiceName, str, Regions, int], Homes] = field(
        default_factory=dict
    )
    """Homes by service, key, the regions that may serve the request, and the
    maximum number of homes."""

    shares: dict[ServiceName, Shares] = field(default_factory=dict)
    """Share of the own region's keys whose home is in each region, by
    service."""

    rings: dict[tuple[ServiceName, Regions], Ring] = field(default_factory=dict)
    """Hash rings by service and regions; no regions means all of them."""

    def homes_of(
        self,
        catalog: Catalog,
        region_shares: RegionShares,
        origin: RegionName,
        service: ServiceName,
        key: str,
        regions: Regions = _ALL_REGIONS,
        count: int = MIN_HOMES,
    ) -> Homes:
        """Return at most ``count`` home upstreams of a key at a service.

        If only some regions may serve a request, its key has its homes in
        these regions: otherwise it would have no home at any allowed upstream
        and would be executed cold at one after the other.
        """
        self._invalidate(catalog, region_shares)
        homes = self.homes.get((service, key, regions, count))
        if homes is None:
            if len(self.homes) >= _MAX_CACHED_KEYS:
                self.homes.clear()
            shares = self.shares.get(service)
            if shares is None:
                shares = region_shares.current_shares(catalog, service, origin)
                self.shares[service] = shares
            found = self._find(catalog, service, key, shares, regions)
            homes = tuple(islice(found, count))
            self.homes[service, key, regions, count] = homes
        return homes

    def _invalidate(
        self, catalog: Catalog, region_shares: RegionShares
    ) -> None:
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
    ) -> Iterator[str]:
        """Find the primary home in the key's home region, then the others.

        The others are drawn from all regions by slots alone, so that keys
        spill to regions with free slots when their own has none.
        """
        probes = probes_of(key)
        region = _home_region(key, shares, regions)
        region_ring = self._ring(catalog, service, frozenset((region,)))
        primary = next(region_ring.nearest(probes), '')
        if not primary:
            return
        yield primary
        for name in self._others(catalog, service, regions, probes):
            if name != primary:
                yield name

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


def _home_region(key: str, shares: Shares, regions: Regions) -> RegionName:
    """Pick the home region of a key, in proportion to the regions' shares.

    Weighted rendezvous hashing: if the share of a region grows, keys move only
    to that region.
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
    hashed = xxhash.xxh64_intdigest(f'{key}|{region}'.encode())
    return -share / log((hashed + 0.5) / HASH_SPACE)
