"""What a world consists of."""

from dataclasses import dataclass

from worksrail.core.bundle import Bundle
from worksrail.core.identity import Place
from worksrail.core.settings import CoreSettings


@dataclass(frozen=True, slots=True)
class WorldPlan:
    """What a world consists of."""

    bundle: Bundle
    """The first bundle."""

    settings: CoreSettings
    """Times and limits of the instances."""

    service_times: dict[str, float]
    """Median execution time by service."""

    entries_per_region: int = 3
    """Entry instances of each region."""

    seed: int = 1
    """Seed of everything random."""

    tick: float = 0.05
    """Seconds between two ticks of an instance."""

    cold: tuple[float, int] = (1, 0)
    """Cold factor of upstreams and executions until they are warm."""

    queue_limit: int = 16
    """Requests that wait at an upstream before it sheds."""


def places_of(plan: WorldPlan) -> list[tuple[str, Place]]:
    """Names and places of the entries of a plan."""
    places: list[tuple[str, Place]] = []
    for region in plan.bundle.regions:
        zones = [
            zone.name
            for zone in plan.bundle.zones
            if zone.region == region.name
        ]
        for index in range(plan.entries_per_region):
            zone = zones[index % len(zones)]
            name = f'{zone}-{index // len(zones) + 1}'
            places.append((name, Place(zone, region.name)))
    return places
