"""What is known about upstreams from discovery."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.identity import RegionName, ServiceName, ZoneName
from worksrail.core.steering._store_health import StoreHealth

# Seconds without an answer of the store from which entries may lapse, where no
# operators' bound is given.
_LAPSE_TIME: Final = 1.5


def incarnation_name(identifier: str, born: int) -> str:
    """Name of one life of an upstream.

    An upstream may start again under its identifier.  It remembers nothing
    then, so all that is known or told of its earlier life, as load, warmth or
    failures, must not be taken for this one's.

    >>> incarnation_name('i-1', 0), incarnation_name('i-1', 17)
    ('i-1', 'i-1@17')
    """
    return f'{identifier}@{born}' if born else identifier


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """One upstream as discovery lists it."""

    name: str
    """Name of this life of the upstream."""

    service: ServiceName
    """Service it belongs to."""

    address: str
    """IP number and port."""

    zone: ZoneName
    """Availability zone."""

    slots: int
    """Requests it executes at once."""

    draining: bool
    """It will end soon and takes no new requests."""

    sequence: int
    """Grows with each report of the upstream."""

    cold_time: float = 0
    """Seconds for which it stayed cold when the record was written."""

    identifier: str = ''
    """Identifier over all its lives; empty if that is its name."""

    born: int = 0
    """When this life began, Unix milliseconds; zero if it does not say."""

    @property
    def discovery_id(self) -> str:
        """Identifier that discovery lists it under."""
        return self.identifier or self.name


@dataclass(slots=True)
class Upstream:
    """One upstream, with what this entry made of its records."""

    record: UpstreamRecord
    """The newest record."""

    region: RegionName
    """Region of its zone."""

    cold_until: float
    """When it is warm."""

    misdirected: bool = False
    """Another upstream answered at its address."""

    @property
    def name(self) -> str:
        """Identifier of this life of the upstream."""
        return self.record.name


_Place = tuple[str, int, RegionName]
"""What decides which keys belong to an upstream."""


@dataclass(slots=True)
class Catalog:
    """All upstreams that discovery lists, and the zones being evacuated.

    While the store is away, nothing is removed: entries may lapse only
    because their reports did not reach it.  What is still missing some time
    after its return is gone.
    """

    regions: dict[ZoneName, RegionName]
    """Region of each zone."""

    store_health: StoreHealth = field(
        default_factory=lambda: StoreHealth(_LAPSE_TIME)
    )
    """Whether the store has been away."""

    upstreams: dict[str, Upstream] = field(default_factory=dict)
    """Upstreams by the names of their lives."""

    current_incarnations: dict[str, str] = field(default_factory=dict)
    """Name of the present life by identifier."""

    services: dict[ServiceName, list[Upstream]] = field(default_factory=dict)
    """Usable upstreams by service; draining ones are left out."""

    missing: set[str] = field(default_factory=set)
    """Names of upstreams that are listed no more and not gone yet."""

    names: dict[ServiceName, tuple[str, ...]] = field(default_factory=dict)
    """Names of the usable upstreams by service."""

    slots: dict[ServiceName, int] = field(default_factory=dict)
    """Their slots together."""

    evacuated: frozenset[ZoneName] = frozenset()
    """Zones whose upstreams get nothing."""

    places: dict[ServiceName, tuple[_Place, ...]] = field(default_factory=dict)
    """What the present generation was made of."""

    generation: int = 0
    """Grows whenever the usable upstreams change."""

    @classmethod
    def from_regions(
        cls,
        regions: dict[ZoneName, RegionName],
        lapse_time: float,
    ) -> 'Catalog':
        """An empty catalog; entries may lapse after some seconds."""
        return cls(regions, StoreHealth(lapse_time))

    def replace(self, records: Iterable[UpstreamRecord], now: float) -> None:
        """Take in a complete list."""
        listed = set()
        for record in records:
            listed.add(record.discovery_id)
            self._take(record, now)
        for identifier in tuple(self.current_incarnations):
            if identifier not in listed:
                self._miss(identifier, now)
        self._index()

    def change(
        self,
        records: Iterable[UpstreamRecord],
        removed: Iterable[str],
        now: float,
    ) -> None:
        """Take in what has changed since the last list or change.

        What was removed is named by identifier.
        """
        for record in records:
            self._take(record, now)
        for identifier in removed:
            self._miss(identifier, now)
        self._index()

    def evacuate(self, zones: frozenset[ZoneName]) -> None:
        """Take in the zones that are to be left alone."""
        if zones != self.evacuated:
            self.evacuated = zones
            self._index()

    def mark_misdirected(self, name: str) -> None:
        """Another upstream answered at the address of this one."""
        upstream = self.upstreams.get(name)
        if upstream and not upstream.misdirected:
            upstream.misdirected = True
            self._index()

    def expire(self, now: float) -> list[str]:
        """Remove what has been missing for too long; gives the names."""
        if not self.missing or self.store_health.keeps_missing(now):
            return []
        gone = sorted(self.missing)
        for name in gone:
            self._drop(self.upstreams[name])
        self._index()
        return gone

    def usable(self, service: ServiceName) -> Iterator[Upstream]:
        """Upstreams of a service that may get requests."""
        return iter(self.services.get(service, ()))

    def listed(self, identifier: str) -> Upstream | None:
        """The present life of an upstream, if it is known."""
        return self.upstreams.get(self.current_incarnations.get(identifier, ''))

    def region_of(self, name: str) -> RegionName:
        """Region of an upstream; empty if it is not known."""
        upstream = self.upstreams.get(name)
        return upstream.region if upstream else ''

    def names_of(self, service: ServiceName) -> tuple[str, ...]:
        """Names of the upstreams of a service that may get requests."""
        return self.names.get(service, ())

    def slots_of(self, service: ServiceName) -> int:
        """Slots of these together."""
        return self.slots.get(service, 0)

    def _drop(self, upstream: Upstream) -> None:
        self.upstreams.pop(upstream.name)
        self.missing.discard(upstream.name)
        self.current_incarnations.pop(upstream.record.discovery_id)

    def _take(self, record: UpstreamRecord, now: float) -> None:
        known = self.listed(record.discovery_id)
        if known and known.name != record.name:
            if record.born < known.record.born:
                # A late report of an earlier life.
                return
            self._drop(known)
            known = None
        if known and record.sequence < known.record.sequence:
            # An older report; it only proves that the entry is listed.
            self._find_again(known)
            return
        cold_until = now + record.cold_time
        if known is None:
            region = self.regions.get(record.zone, '')
            known = Upstream(record, region, cold_until)
            self.upstreams[record.name] = known
            self.current_incarnations[record.discovery_id] = record.name
            return
        if record.address != known.record.address:
            known.misdirected = False
        if record.cold_time != known.record.cold_time:
            known.cold_until = cold_until
        known.record = record
        self._find_again(known)

    def _find_again(self, upstream: Upstream) -> None:
        self.missing.discard(upstream.name)

    def _miss(self, identifier: str, now: float) -> None:
        upstream = self.listed(identifier)
        if upstream is None:
            return
        if upstream.record.draining or not self.store_health.keeps_missing(now):
            self._drop(upstream)
        else:
            self.missing.add(upstream.name)

    def _index(self) -> None:
        services: dict[ServiceName, list[Upstream]] = {}
        for upstream in self.upstreams.values():
            record = upstream.record
            if record.draining or upstream.misdirected:
                continue
            if record.zone not in self.regions:
                # Nobody can say how far away it is, or who may use it.
                continue
            if record.zone not in self.evacuated:
                services.setdefault(record.service, []).append(upstream)
        places = {
            service: tuple(_place(upstream) for upstream in usable)
            for service, usable in services.items()
        }
        self.services = services
        if places == self.places:
            # Only reports have changed: homes of keys and the like stay.
            return
        self.places = places
        self.names = {
            service: tuple(upstream.name for upstream in usable)
            for service, usable in services.items()
        }
        self.slots = {
            service: sum(upstream.record.slots for upstream in usable)
            for service, usable in services.items()
        }
        self.generation += 1


def _place(upstream: Upstream) -> _Place:
    record = upstream.record
    return upstream.name, record.slots, upstream.region
