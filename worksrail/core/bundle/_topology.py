"""A bundle compiled for fast decisions, with maps instead of lists."""

from collections import defaultdict
from dataclasses import dataclass, field, replace

from worksrail.core.bundle._blocks import BlockIndex, NoZone
from worksrail.core.bundle._model import (
    Bundle,
    BundleCustomer,
    Drain,
    DrainKind,
    Region,
    Service,
    ShiftCap,
    Upstream,
)
from worksrail.core.customers import Customer, CustomerTable, Quota
from worksrail.core.identity import RegionName, ServiceName, ZoneName
from worksrail.core.permits._pool import (
    PoolKey,
    PoolKind,
    PoolSpec,
    cap_group,
    cap_pool,
    slot_group,
    slot_pool,
)


@dataclass(slots=True)
class CompiledService:
    """A service with maps of its upstreams and shift caps."""

    service: Service
    """The service as it is in the bundle."""

    regional: dict[RegionName, list[Upstream]]
    """Upstreams by region."""

    caps: dict[tuple[RegionName, RegionName], ShiftCap]
    """Shift caps by source and target region."""


@dataclass(slots=True)
class Topology:
    """A bundle compiled for fast decisions.

    >>> Topology.from_bundle(Bundle('worksrail/1', 'x', (), (), ())).hosts
    {}
    """

    bundle: Bundle
    """The bundle it was compiled from, without its client blocks."""

    regions: dict[RegionName, Region]
    """Regions by name."""

    zone_regions: dict[ZoneName, RegionName]
    """Region of each zone."""

    services: dict[ServiceName, CompiledService]
    """Services by name."""

    hosts: dict[str, ServiceName]
    """Service by host name."""

    upstreams: dict[PoolKey, tuple[ServiceName, Upstream]]
    """Upstreams with their services, by the key of their slot pool."""

    blocks: BlockIndex
    """Index from caller addresses to zones."""

    customers: CustomerTable | None = None
    """Customers whose callers are served; None if callers need no key."""

    drains: frozenset[Drain] = field(default_factory=frozenset)
    """Drains in the bundle."""

    slots_cache: dict[
        tuple[ServiceName, RegionName], tuple[frozenset[Drain], int]
    ] = field(default_factory=dict)
    """Cached results of :meth:`undrained_slots`, each with its drains."""

    @classmethod
    def from_bundle(cls, bundle: Bundle) -> 'Topology':
        """Compile a bundle."""
        zone_regions = {zone.name: zone.region for zone in bundle.zones}
        services = {
            service.name: _service_view(service, zone_regions)
            for service in bundle.services
        }
        return cls(
            # The blocks are dropped, as the index replaces them.
            replace(bundle, client_blocks=()),
            {region.name: region for region in bundle.regions},
            zone_regions,
            services,
            {service.host: service.name for service in bundle.services},
            {
                slot_pool(upstream.name): (service.name, upstream)
                for service in bundle.services
                for upstream in service.upstreams
            },
            BlockIndex.from_blocks(bundle.client_blocks),
            _customers(bundle.customers),
            frozenset(bundle.drains),
        )

    def region_of_caller(
        self,
        address: str,
        default: RegionName,
    ) -> RegionName:
        """Return the home region of a caller's address, or the default."""
        zone = self.blocks.zone_of(address)
        if isinstance(zone, NoZone):
            return default
        return self.zone_regions.get(zone, default)

    def region_of_upstream(self, upstream: Upstream) -> RegionName:
        """Return the region that an upstream runs in."""
        return self.zone_regions[upstream.zone]

    def pool_specs(self, region: RegionName) -> list[PoolSpec]:
        """Return all pools that are split over the seats of a region."""
        home = self.regions.get(region)
        if home is None:
            return []
        specs = []
        for view in self.services.values():
            specs.extend(_slot_specs(view, home))
            specs.extend(_cap_specs(view, home))
        return specs

    def undrained_slots(
        self,
        service: ServiceName,
        region: RegionName,
        drains: frozenset[Drain],
    ) -> int:
        """Return the slots of a service in a region that are not drained."""
        key = (service, region)
        cached = self.slots_cache.get(key)
        if cached and cached[0] == drains:
            return cached[1]
        slots = sum(
            upstream.slots
            for upstream in self.services[service].regional.get(region, ())
            if not self.is_drained(upstream, drains)
        )
        self.slots_cache[key] = (drains, slots)
        return slots

    def is_drained(
        self,
        upstream: Upstream,
        drains: frozenset[Drain],
    ) -> bool:
        """Return whether an upstream gets no new requests."""
        own = Drain(DrainKind.UPSTREAM, upstream.name)
        zone = Drain(DrainKind.ZONE, upstream.zone)
        return bool(drains & {own, zone})


def _customers(listed: tuple[BundleCustomer, ...]) -> CustomerTable | None:
    if not listed:
        return None
    return CustomerTable.from_customers(
        Customer(one.name, one.keys, quota=_quota(one)) for one in listed
    )


def _quota(customer: BundleCustomer) -> Quota | None:
    quota = customer.quota
    return Quota(quota.rate, quota.burst) if quota else None


def _service_view(
    service: Service,
    zone_regions: dict[ZoneName, RegionName],
) -> CompiledService:
    regional: dict[RegionName, list[Upstream]] = defaultdict(list)
    for upstream in service.upstreams:
        regional[zone_regions[upstream.zone]].append(upstream)
    caps = {(cap.source, cap.target): cap for cap in service.shift_caps}
    return CompiledService(service, dict(regional), caps)


def _slot_specs(view: CompiledService, home: Region) -> list[PoolSpec]:
    group = slot_group(view.service.name)
    return [
        PoolSpec(slot_pool(upstream.name), group, upstream.slots, home.seats)
        for upstream in view.regional.get(home.name, ())
    ]


def _cap_specs(view: CompiledService, home: Region) -> list[PoolSpec]:
    specs = []
    for (source, target), cap in view.caps.items():
        if target != home.name:
            continue
        flight = cap_pool(PoolKind.FLIGHT, view.service.name, source)
        rate = cap_pool(PoolKind.RATE, view.service.name, source)
        specs.append(
            PoolSpec(flight, cap_group(flight), cap.in_flight, home.seats)
        )
        specs.append(PoolSpec(rate, cap_group(rate), cap.rate, home.seats))
    return specs
