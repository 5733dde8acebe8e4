"""Affinity: which upstreams a key belongs to, equal at all entries."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

import xxhash

from worksrail.core.identity import RegionName, ServiceName
from worksrail.core.steering._catalog import Catalog, Upstream

_CACHE_LIMIT: Final = 20_000


@dataclass(frozen=True, slots=True)
class KeyRanks:
    """The order of upstreams for one key."""

    rank: dict[str, int]
    """Rank of each upstream within its region; zero is the key's own."""


@dataclass(slots=True)
class Affinity:
    """Ranks upstreams for each key by rendezvous hashing.

    Each region has a first upstream for each key, so that a key is warm near
    all of its callers and spills to an upstream that is warm as well.  An
    upstream that comes or goes only moves the keys that are its own.
    """

    generation: int = -1
    """Generation of the catalog that the ranks were made from."""

    ranks: dict[tuple[ServiceName, str], KeyRanks] = field(
        default_factory=dict
    )
    """Ranks by service and key."""

    def ranks_of(
        self,
        catalog: Catalog,
        service: ServiceName,
        key: str,
    ) -> KeyRanks:
        """The order of a service's upstreams for a key."""
        if catalog.generation != self.generation:
            self.ranks.clear()
            self.generation = catalog.generation
        known = self.ranks.get((service, key))
        if known is None:
            if len(self.ranks) >= _CACHE_LIMIT:
                self.ranks.clear()
            known = KeyRanks(_rank(catalog.usable(service), key))
            self.ranks[service, key] = known
        return known


def _rank(upstreams: Iterable[Upstream], key: str) -> dict[str, int]:
    weighed = sorted(
        upstreams, key=lambda upstream: _weight(upstream.name, key)
    )
    counts: dict[RegionName, int] = {}
    ranks: dict[str, int] = {}
    for upstream in reversed(weighed):
        position = counts.get(upstream.region, 0)
        ranks[upstream.name] = position
        counts[upstream.region] = position + 1
    return ranks


def _weight(name: str, key: str) -> int:
    return xxhash.xxh64_intdigest(f'{key}|{name}'.encode())
