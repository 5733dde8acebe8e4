"""Planned drains: their effect on capacity, and the requests in flight."""

from dataclasses import dataclass

from worksrail.core.bundle import Drain, DrainKind, Topology
from worksrail.core.identity import RegionName, ServiceName
from worksrail.core.instance import Instance
from worksrail.core.requests.active import RequestState


@dataclass(frozen=True, slots=True)
class DrainImpact:
    """Effect of a drain on one service in one region."""

    service: ServiceName
    """Name of the service."""

    region: RegionName
    """Name of the region."""

    slots: int
    """Slots that accept requests now."""

    slots_after: int
    """Slots that would accept requests after the drain."""

    in_use: int
    """Slots in use now, as last reported by the entries."""

    bound_after: int
    """Slots that may be used after the drain, without the headroom."""

    outflow: int
    """Concurrent requests that shift caps allow to other regions."""

    @property
    def fits(self) -> bool:
        """Whether the remaining capacity covers the current load."""
        return self.in_use <= self.bound_after + self.outflow


@dataclass(frozen=True, slots=True)
class Remaining:
    """Requests still in flight at a drained upstream."""

    upstream: str
    """Name of the upstream."""

    in_flight: int
    """Requests from this entry that it is still running."""


def is_known_target(instance: Instance, drain: Drain) -> bool:
    """Whether the target of a drain exists."""
    topology = instance.configuration.topology
    if topology is None:
        return False
    if drain.kind is DrainKind.ZONE:
        return drain.name in topology.zone_regions
    if drain.kind is DrainKind.UPSTREAM:
        return any(
            upstream.name == drain.name
            for _, upstream in topology.upstreams.values()
        )
    known = {instance.who.name, *instance.membership.members}
    return drain.name in known


def plan_drain(
    instance: Instance,
    drain: Drain,
    now: float,
) -> tuple[DrainImpact, ...]:
    """Compute the effect of a drain on each service and region it affects."""
    topology = instance.configuration.topology
    if topology is None:
        return ()
    usage = _usage(instance, now)
    figures = [
        _impact(instance, topology, drain, place, usage.get(place, 0))
        for place in _places(topology)
    ]
    return tuple(
        figure for figure in figures if figure.slots != figure.slots_after
    )


def remaining_work(instance: Instance) -> tuple[Remaining, ...]:
    """Count the requests from this entry that run at drained upstreams."""
    topology = instance.configuration.topology
    if topology is None:
        return ()
    drains = instance.configuration.drains
    counts: dict[str, int] = {}
    for active in instance.requests.values():
        if active.state is not RequestState.SENT or active.upstream is None:
            continue
        if active.upstream not in topology.upstreams:
            continue
        _, upstream = topology.upstreams[active.upstream]
        if topology.is_drained(upstream, drains):
            counts[upstream.name] = counts.get(upstream.name, 0) + 1
    return tuple(
        Remaining(name, count) for name, count in sorted(counts.items())
    )


def _places(topology: Topology) -> list[tuple[ServiceName, RegionName]]:
    return [
        (name, region)
        for name, view in topology.services.items()
        for region in view.regional
    ]


def _impact(
    instance: Instance,
    topology: Topology,
    drain: Drain,
    place: tuple[ServiceName, RegionName],
    in_use: int,
) -> DrainImpact:
    service, region = place
    drains = instance.configuration.drains
    after = topology.undrained_slots(service, region, drains | {drain})
    headroom = topology.regions[region].headroom
    caps = topology.services[service].caps
    return DrainImpact(
        service,
        region,
        topology.undrained_slots(service, region, drains),
        after,
        in_use,
        int(after * (1 - headroom)),
        sum(
            cap.in_flight
            for (source, _), cap in caps.items()
            if source == region
        ),
    )


def _usage(
    instance: Instance,
    now: float,
) -> dict[tuple[ServiceName, RegionName], int]:
    records = [
        *instance.membership.live(now, instance.settings),
        instance.record(now),
    ]
    usage: dict[tuple[ServiceName, RegionName], int] = {}
    for record in records:
        for spare in record.spares:
            key = (spare.service, record.place.region)
            used = spare.usable - spare.idle
            usage[key] = usage.get(key, 0) + used
    return usage
