"""Whether regions ask for the same keys.

Keys that only one region asks for are best at home near it.  A key that all
regions ask for would then be executed cold once in each, and take up memory
in each.  Entries tell a sketch of the keys they see: the few whose hashes are
smallest.  Two sets of keys share about as many of all as their sketches do.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

import xxhash

from worksrail.core.identity import RegionName, ServiceName

# Hashes in a sketch: eight tell a quarter in common from none at all.
_SIZE: Final = 8
# Seconds after which a key that was not seen again is left out.
_MEMORY: Final = 15.0
# Share of keys in common from which regions share their keys.
_IN_COMMON: Final = 0.25

Sketch = tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ToldSketch:
    """Sketch of one service's keys, as a zone or an entry told it."""

    region: RegionName
    """Region that the keys are asked for in."""

    hashes: Sketch
    """The smallest hashes, in order."""

    told_at: float
    """When it was told."""


@dataclass(slots=True)
class KeyOverlap:
    """Sketches of the own keys and of what others told."""

    own: dict[ServiceName, dict[int, float]] = field(default_factory=dict)
    """Smallest hashes of own keys with the time they were last seen."""

    told: dict[ServiceName, dict[str, ToldSketch]] = field(default_factory=dict)
    """Sketches by service and by who told them."""

    def record_key(self, service: ServiceName, key: str, now: float) -> None:
        """A caller of this entry asked for a key."""
        hashed = xxhash.xxh32_intdigest(key.encode())
        seen = self.own.setdefault(service, {})
        if hashed not in seen and len(seen) >= _SIZE:
            if hashed > max(seen):
                return
            seen.pop(max(seen))
        seen[hashed] = now

    def set_sketch(
        self,
        teller: str,
        region: RegionName,
        service: ServiceName,
        hashes: Sketch,
        now: float,
    ) -> None:
        """Take in a sketch that another entry, or a zone, told."""
        told = self.told.setdefault(service, {})
        told[teller] = ToldSketch(region, hashes, now)

    def sketch(
        self,
        service: ServiceName,
        tellers: Iterable[str],
        now: float,
    ) -> Sketch:
        """Sketch of the own keys and of those that some others told."""
        hashes = self._own_hashes(service, now)
        told = self.told.get(service, {})
        for teller in told.keys() & set(tellers):
            hashes.update(told[teller].hashes)
        return _smallest(hashes)

    def is_shared(
        self,
        service: ServiceName,
        origin: RegionName,
        now: float,
    ) -> bool:
        """Whether other regions ask for the own region's keys as well."""
        near = self._own_hashes(service, now)
        far: set[int] = set()
        told = self.told.get(service, {})
        for teller, sketch in tuple(told.items()):
            if now - sketch.told_at > _MEMORY:
                told.pop(teller)
                continue
            known = near if sketch.region == origin else far
            known.update(sketch.hashes)
        union = _smallest(near | far)
        common = near & far & set(union)
        return bool(union) and len(common) >= _IN_COMMON * len(union)

    def _own_hashes(self, service: ServiceName, now: float) -> set[int]:
        seen = self.own.get(service, {})
        for hashed, at in tuple(seen.items()):
            if now - at > _MEMORY:
                seen.pop(hashed)
        return set(seen)


def _smallest(hashes: set[int]) -> Sketch:
    return tuple(sorted(hashes)[:_SIZE])
