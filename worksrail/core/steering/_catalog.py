"""The upstreams known from discovery."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.availability import LeavingUpstreams
from worksrail.core.identity import RegionName, ServiceName, ZoneName
from worksrail.core.steering._store_health import StoreHealth

# Default number of seconds without an answer of the store after which records
# may have expired.
_DEFAULT_EXPIRY_TIME: Final = 1.5


def incarnation_name(identifier: str, born: int) -> str:
    """Return the name of one incarnation of an upstream.

    A restarted upstream keeps its identifier but loses its state, so load,
    warmth and failures of an earlier incarnation must not be attributed to it.

    >>> incarnation_name('i-1', 0), incarnation_name('i-1', 17)
    ('i-1', 'i-1@17')
    """
    return f'{identifier}@{born}' if born else identifier


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """One upstream as discovery lists it."""

    name: str
    """Name of this incarnation."""

    service: ServiceName
    """Service it belongs to."""

    address: str
    """IP address and port."""

    zone: ZoneName
    """Availability zone."""

    slots: int
    """Number of requests it executes concurrently."""

    draining: bool
    """Whether it is shutting down and takes no new requests."""

    sequence: int
    """Sequence number of the report; increases with each one."""

    cold_time: float = 0
    """Seconds for which it remained cold when the record was written."""

    identifier: str = ''
    """Identifier shared by all its incarnations; empty if it equals the
    name."""

    born: int = 0
    """Start of this incarnation, Unix milliseconds; zero if not reported."""

    @property
    def discovery_id(self) -> str:
        """Identifier that discovery lists it under."""
        return self.identifier or self.name


@dataclass(slots=True)
class Upstream:
    """One upstream and the state derived from its records."""

    record: UpstreamRecord
    """The newest record."""

    region: RegionName
    """Region of its zone."""

    cold_until: float
    """When it becomes warm."""

    misdirected: bool = False
    """Whether another upstream answered at its address."""

    @property
    def name(self) -> str:
        """Name of this incarnation."""
        return self.record.name


_KeyPlacement = tuple[str, int, RegionName]
"""The attributes that decide which keys an upstream is responsible for."""


@dataclass(slots=True)
class Catalog:
    """All upstreams that discovery lists, and the evacuated zones.

    No upstream is removed during an outage of the store: its record may have
    expired only because its reports could not be written. An upstream that is
    still missing some time after the recovery is gone.
    """

    regions: dict[ZoneName, RegionName]
    """Region of each zone."""

    store_health: StoreHealth = field(
        default_factory=lambda: StoreHealth(_DEFAULT_EXPIRY_TIME)
    )
    """Health of the store."""

    upstreams: dict[str, Upstream] = field(default_factory=dict)
    """Upstreams by incarnation name."""

    current_incarnations: dict[str, str] = field(default_factory=dict)
    """Name of the current incarnation by identifier."""

    services: dict[ServiceName, list[Upstream]] = field(default_factory=dict)
    """Usable upstreams by service; draining and leaving ones are excluded."""

    leaving: LeavingUpstreams = field(default_factory=LeavingUpstreams)
    """Upstreams that have said in their answers that they are shutting down."""

    missing: set[str] = field(default_factory=set)
    """Names of upstreams that are no longer listed and not yet removed."""

    names: dict[ServiceName, tuple[str, ...]] = field(default_factory=dict)
    """Names of the usable upstreams by service."""

    slots: dict[ServiceName, int] = field(default_factory=dict)
    """Total slots of the usable upstreams by service."""

    evacuated: frozenset[ZoneName] = frozenset()
    """Zones whose upstreams get no requests."""

    placements: dict[ServiceName, tuple[_KeyPlacement, ...]] = field(
        default_factory=dict
    )
    """Key-relevant attributes of the upstreams in the current generation."""

    generation: int = 0
    """Incremented whenever the usable upstreams change."""

    @classmethod
    def from_regions(
        cls,
        regions: dict[ZoneName, RegionName],
        expiry_time: float,
    ) -> 'Catalog':
        """Build an empty catalog.

        Records may expire after ``expiry_time`` seconds without an answer.
        """
        return cls(regions, StoreHealth(expiry_time))

    def replace(self, records: Iterable[UpstreamRecord], now: float) -> None:
        """Apply a complete list."""
        listed = set()
        for record in records:
            listed.add(record.discovery_id)
            self._apply(record, now)
        for identifier in tuple(self.current_incarnations):
            if identifier not in listed:
                self._mark_missing(identifier, now)
        self._rebuild_index()

    def change(
        self,
        records: Iterable[UpstreamRecord],
        removed: Iterable[str],
        now: float,
    ) -> None:
        """Apply the changes since the last list or change.

        Removed upstreams are named by identifier.
        """
        for record in records:
            self._apply(record, now)
        for identifier in removed:
            self._mark_missing(identifier, now)
        self._rebuild_index()

    def evacuate(self, zones: frozenset[ZoneName]) -> None:
        """Set the evacuated zones."""
        if zones != self.evacuated:
            self.evacuated = zones
            self._rebuild_index()

    def mark_misdirected(self, name: str) -> None:
        """Exclude an upstream at whose address another one answered."""
        upstream = self.upstreams.get(name)
        if upstream and not upstream.misdirected:
            upstream.misdirected = True
            self._rebuild_index()

    def mark_leaving(self, name: str, now: float) -> bool:
        """Exclude an upstream that says that it leaves; return if that is new.

        A record that still calls it ready does not undo this.
        """
        if not self.leaving.note(name, now):
            return False
        self._rebuild_index()
        return True

    def expire(self, now: float) -> list[str]:
        """Remove and return upstreams that have been missing for too long."""
        if not self.missing or self.store_health.missing_may_reappear(now):
            return []
        gone = sorted(self.missing)
        for name in gone:
            self._drop(self.upstreams[name])
        self._rebuild_index()
        return gone

    def usable(self, service: ServiceName) -> Iterator[Upstream]:
        """Iterate over the upstreams of a service that may get requests."""
        return iter(self.services.get(service, ()))

    def current(self, identifier: str) -> Upstream | None:
        """Return the current incarnation of an upstream, if it is known."""
        return self.upstreams.get(self.current_incarnations.get(identifier, ''))

    def region_of(self, name: str) -> RegionName:
        """Return the region of an upstream; empty if it is unknown."""
        upstream = self.upstreams.get(name)
        return upstream.region if upstream else ''

    def names_of(self, service: ServiceName) -> tuple[str, ...]:
        """Return the names of a service's usable upstreams."""
        return self.names.get(service, ())

    def slots_of(self, service: ServiceName) -> int:
        """Return the total slots of a service's usable upstreams."""
        return self.slots.get(service, 0)

    def _drop(self, upstream: Upstream) -> None:
        self.upstreams.pop(upstream.name)
        self.missing.discard(upstream.name)
        self.current_incarnations.pop(upstream.record.discovery_id)

    def _apply(self, record: UpstreamRecord, now: float) -> None:
        known = self.current(record.discovery_id)
        if known and known.name != record.name:
            if record.born < known.record.born:
                # A late report of an earlier incarnation.
                return
            self._drop(known)
            known = None
        if known and record.sequence < known.record.sequence:
            # An outdated report; it only proves that the upstream is listed.
            self._unmark_missing(known)
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
        self._unmark_missing(known)

    def _unmark_missing(self, upstream: Upstream) -> None:
        self.missing.discard(upstream.name)

    def _mark_missing(self, identifier: str, now: float) -> None:
        upstream = self.current(identifier)
        if upstream is None:
            return
        if (
            upstream.record.draining
            or upstream.name in self.leaving
            or not self.store_health.missing_may_reappear(now)
        ):
            self._drop(upstream)
        else:
            self.missing.add(upstream.name)

    def _may_get_requests(self, upstream: Upstream) -> bool:
        record = upstream.record
        if record.draining or record.name in self.leaving:
            return False
        if upstream.misdirected or record.zone in self.evacuated:
            return False
        # Without a known zone, neither its distance nor the regions that may
        # use it can be determined.
        return record.zone in self.regions

    def _rebuild_index(self) -> None:
        services: dict[ServiceName, list[Upstream]] = {}
        for upstream in self.upstreams.values():
            if self._may_get_requests(upstream):
                service = upstream.record.service
                services.setdefault(service, []).append(upstream)
        placements = {
            service: tuple(_placement(upstream) for upstream in usable)
            for service, usable in services.items()
        }
        self.services = services
        if placements == self.placements:
            # Only reports have changed: key homes and derived data stay valid.
            return
        self.placements = placements
        self.names = {
            service: tuple(upstream.name for upstream in usable)
            for service, usable in services.items()
        }
        self.slots = {
            service: sum(upstream.record.slots for upstream in usable)
            for service, usable in services.items()
        }
        self.generation += 1


def _placement(upstream: Upstream) -> _KeyPlacement:
    record = upstream.record
    return upstream.name, record.slots, upstream.region
