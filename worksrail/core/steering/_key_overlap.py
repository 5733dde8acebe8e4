"""Estimates how many keys the regions have in common.

The best home for a key that one region requests is near that region.  If all
regions request a key, a home in each of them would mean one cold execution and
one cache slot in each.  So entries advertise a bottom-k sketch of the keys
that their callers request: the keys with the smallest hashes.  The overlap of
two sketches estimates the overlap of the two sets of keys.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

import xxhash

from worksrail.core.identity import RegionName, ServiceName

# Hashes in a sketch: eight are enough to tell an overlap of a quarter from
# none.
_SKETCH_SIZE: Final = 8
# Seconds after which a key or sketch that was not seen again is dropped.
_SKETCH_TTL: Final = 15.0
# Minimum share of keys in common for regions to share their keys.
_MIN_OVERLAP: Final = 0.25

Sketch = tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ReportedSketch:
    """Sketch of one service's keys, as an entry or a zone advertised it."""

    region: RegionName
    """Region whose callers request the keys."""

    hashes: Sketch
    """The smallest hashes in ascending order."""

    received_at: float
    """When it was received."""


@dataclass(slots=True)
class KeyOverlap:
    """Sketches of this entry's keys and of those that peers advertised."""

    own: dict[ServiceName, dict[int, float]] = field(default_factory=dict)
    """Smallest hashes of this entry's keys, with the time of last request."""

    reported: dict[ServiceName, dict[str, ReportedSketch]] = field(
        default_factory=dict
    )
    """Received sketches by service, then by the entry or zone they are of."""

    def record_key(self, service: ServiceName, key: str, now: float) -> None:
        """Record that a caller of this entry requested a key."""
        hashed = xxhash.xxh32_intdigest(key.encode())
        seen = self.own.setdefault(service, {})
        if hashed not in seen and len(seen) >= _SKETCH_SIZE:
            if hashed > max(seen):
                return
            seen.pop(max(seen))
        seen[hashed] = now

    def set_sketch(
        self,
        source: str,
        region: RegionName,
        service: ServiceName,
        hashes: Sketch,
        now: float,
    ) -> None:
        """Store the sketch that another entry or a zone advertised."""
        reported = self.reported.setdefault(service, {})
        reported[source] = ReportedSketch(region, hashes, now)

    def sketch(
        self,
        service: ServiceName,
        sources: Iterable[str],
        now: float,
    ) -> Sketch:
        """Return the sketch of this entry's keys merged with some sources'."""
        hashes = self._own_hashes(service, now)
        reported = self.reported.get(service, {})
        for source in reported.keys() & set(sources):
            hashes.update(reported[source].hashes)
        return _smallest(hashes)

    def is_shared(
        self,
        service: ServiceName,
        origin: RegionName,
        now: float,
    ) -> bool:
        """Whether other regions request the keys of the own region as well."""
        local = self._own_hashes(service, now)
        remote: set[int] = set()
        reported = self.reported.get(service, {})
        for source, sketch in tuple(reported.items()):
            if now - sketch.received_at > _SKETCH_TTL:
                reported.pop(source)
                continue
            known = local if sketch.region == origin else remote
            known.update(sketch.hashes)
        union = _smallest(local | remote)
        overlap = local & remote & set(union)
        return bool(union) and len(overlap) >= _MIN_OVERLAP * len(union)

    def _own_hashes(self, service: ServiceName, now: float) -> set[int]:
        seen = self.own.get(service, {})
        for hashed, at in tuple(seen.items()):
            if now - at > _SKETCH_TTL:
                seen.pop(hashed)
        return set(seen)


def _smallest(hashes: set[int]) -> Sketch:
    return tuple(sorted(hashes)[:_SKETCH_SIZE])
