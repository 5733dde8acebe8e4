"""Affinity: which upstreams a key belongs to, equal at all entries."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import log
from typing import Final

import xxhash

from worksrail.core.identity import RegionName, ServiceName
from worksrail.core.steering._catalog import Catalog, Upstream

# Upstreams of each key, its own included, that it spills to.  An upstream
# remembers a limited number of keys: when keys spill anywhere, each is soon
# cold everywhere.
SPILL: Final = 2
_CACHE_LIMIT: Final = 20_000
# Hashes are whole numbers of 64 bits; so many there are.
_HASHES: Final = float('18446744073709551616')


@dataclass(frozen=True, slots=True)
class KeyOrder:
    """The order of some upstreams for one key."""

    ranks: dict[str, int]
    """Rank of each upstream; zero is the key's own."""

    homes: tuple[str, ...]
    """Upstreams that the key belongs to or spills to."""


@dataclass(frozen=True, slots=True)
class KeyOrders:
    """The orders of upstreams for one key."""

    everywhere: KeyOrder
    """Ranks among all."""

    by_region: KeyOrder
    """Ranks within each region."""


@dataclass(slots=True)
class Affinity:
    """Ranks upstreams for each key by rendezvous hashing.

    All entries get the same order, so that a key is warm at one upstream for
    the callers of all of them, and spills to the same next one.  An upstream
    that comes or goes only moves the keys that are its own.
    """

    generation: int = -1
    """Generation of the catalog that the ranks were made from."""

    orders: dict[tuple[ServiceName, str], KeyOrders] = field(
        default_factory=dict
    )
    """Orders by service and key."""

    def orders_of(
        self,
        catalog: Catalog,
        service: ServiceName,
        key: str,
    ) -> KeyOrders:
        """The order of a service's upstreams for a key."""
        if catalog.generation != self.generation:
            self.orders.clear()
            self.generation = catalog.generation
        known = self.orders.get((service, key))
        if known is None:
            if len(self.orders) >= _CACHE_LIMIT:
                self.orders.clear()
            known = _rank(catalog.usable(service), key)
            self.orders[service, key] = known
        return known


def _rank(upstreams: Iterable[Upstream], key: str) -> KeyOrders:
    weighed = sorted(
        upstreams,
        key=lambda upstream: rendezvous_score(
            upstream.name, upstream.record.slots, key
        ),
        reverse=True,
    )
    counts: dict[RegionName, int] = {}
    by_region: dict[str, int] = {}
    for upstream in weighed:
        position = counts.get(upstream.region, 0)
        by_region[upstream.name] = position
        counts[upstream.region] = position + 1
    everywhere = {upstream.name: rank for rank, upstream in enumerate(weighed)}
    return KeyOrders(_order(everywhere), _order(by_region))


def _order(ranks: dict[str, int]) -> KeyOrder:
    homes = tuple(name for name, rank in ranks.items() if rank < SPILL)
    return KeyOrder(ranks, homes)


def rendezvous_score(name: str, weight: float, key: str) -> float:
    """Score of an upstream for a key; the highest owns it.

    Weighted rendezvous hashing: each upstream owns a share of the keys in
    proportion to its weight.
    """
    drawn = xxhash.xxh64_intdigest(f'{key}|{name}'.encode())
    return -weight / log((drawn + 0.5) / _HASHES)
