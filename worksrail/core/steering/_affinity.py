"""Affinity: which upstreams a key belongs to, equal at a region's entries."""

from dataclasses import dataclass, field
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


@dataclass(frozen=True, slots=True)
class KeyOrder:
    """The order of some upstreams for one key."""

    ranks: dict[str, int]
    """Rank of each upstream; zero is the key's own."""

    homes: tuple[str, ...]
    """Upstreams that the key belongs to or spills to."""


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

    orders: dict[tuple[ServiceName, str], KeyOrder] = field(
        default_factory=dict
    )
    """Orders by service and key."""

    weights: dict[ServiceName, Shares] = field(default_factory=dict)
    """Weight of a slot in each region, by service."""

    def order_of(
        self,
        catalog: Catalog,
        nearness: Nearness,
        origin: RegionName,
        service: ServiceName,
        key: str,
    ) -> KeyOrder:
        """The order of a service's upstreams for a key."""
        generation = (catalog.generation, nearness.generation)
        if generation != self.generation:
            self.orders.clear()
            self.weights.clear()
            self.generation = generation
        known = self.orders.get((service, key))
        if known is None:
            if len(self.orders) >= _CACHE_LIMIT:
                self.orders.clear()
            weights = self.weights.get(service)
            if weights is None:
                weights = nearness.weights(catalog, service, origin)
                self.weights[service] = weights
            known = _rank(tuple(catalog.usable(service)), weights, key)
            self.orders[service, key] = known
        return known


def _rank(
    upstreams: tuple[Upstream, ...],
    weights: Shares,
    key: str,
) -> KeyOrder:
    """Order upstreams: the key's own by nearness, then the others by slots.

    The others are not weighed by nearness, so that keys spill to regions with
    room when their own is short of it.
    """
    scores = {
        upstream.name: rendezvous_score(
            upstream.name, upstream.record.slots, key
        )
        for upstream in upstreams
    }
    near = {
        upstream.name: scores[upstream.name] * weights[upstream.region]
        for upstream in upstreams
    }
    own = max(near, key=lambda name: (near[name], scores[name]), default='')
    ordered = sorted(
        scores,
        key=lambda name: (name == own, scores[name]),
        reverse=True,
    )
    ranks = {name: rank for rank, name in enumerate(ordered)}
    return KeyOrder(ranks, tuple(ordered[:SPILL]))


def rendezvous_score(name: str, weight: float, key: str) -> float:
    """Score of an upstream for a key; the highest owns it.

    Weighted rendezvous hashing: each upstream owns a share of the keys in
    proportion to its weight.
    """
    drawn = xxhash.xxh64_intdigest(f'{key}|{name}'.encode())
    return -weight / log((drawn + 0.5) / _HASHES)
