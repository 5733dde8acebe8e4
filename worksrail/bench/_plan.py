"""Which entries a deployment on loopback addresses has, and where."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from worksrail.core.bundle import Bundle, BundleFaults, parse_bundle

EXAMPLES: Final = Path(__file__).resolve().parents[2] / 'examples'


@dataclass(frozen=True, slots=True)
class EntryPlan:
    """One entry instance."""

    name: str
    """Its name."""

    zone: str
    """Availability zone."""

    region: str
    """Region."""

    host: str
    """IP number it listens on."""

    base_port: int
    """First of its four ports."""

    def address(self, offset: int) -> str:
        """IP number and one of its ports."""
        return f'{self.host}:{self.base_port + offset}'

    @property
    def caller(self) -> str:
        """Address for callers."""
        return self.address(0)

    @property
    def operator(self) -> str:
        """Address for operators."""
        return self.address(1)

    @property
    def peer(self) -> str:
        """Address for messages."""
        return self.address(2)

    @property
    def passing(self) -> str:
        """Address for passed requests."""
        return self.address(3)


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """What a fleet consists of."""

    bundle: Bundle
    """Its first bundle."""

    text: str
    """Text of the bundle."""

    entries: tuple[EntryPlan, ...]
    """Entry instances."""

    store: str
    """Address of the platform stand-in."""

    admin: dict[str, str]
    """Admin address of the upstreams of each zone."""

    folder: Path
    """Folder for logs and plan files."""

    service_times: dict[str, float]
    """Median execution time by service."""

    flags: dict[str, str] = field(default_factory=dict)
    """More flags for the daemons."""

    cold: tuple[float, int] = (1, 0)
    """Cold factor and requests until warm."""

    @classmethod
    def from_example(
        cls,
        deployment: str,
        folder: Path,
        service_times: dict[str, float],
        *,
        entries_per_region: int = 3,
        base_port: int = 8000,
        flags: dict[str, str] | None = None,
        cold: tuple[float, int] = (1, 0),
        text: str | None = None,
    ) -> 'FleetPlan':
        """Plan for one of the example deployments."""
        source = text or (EXAMPLES / f'{deployment}.yaml').read_text()
        bundle = parse_bundle(source)
        if isinstance(bundle, BundleFaults):
            raise ValueError(bundle.faults)
        prefix = _prefix(bundle)
        zones = [zone.name for zone in bundle.zones]
        return cls(
            bundle,
            source,
            _entries(bundle, prefix, entries_per_region, base_port),
            f'{prefix}.250.1:{base_port - 1000}',
            {
                zone: f'{prefix}.250.2:{base_port - 900 + index}'
                for index, zone in enumerate(zones)
            },
            folder,
            service_times,
            flags or {},
            cold,
        )


def _prefix(bundle: Bundle) -> str:
    first = bundle.services[0].upstreams[0].address
    return '.'.join(first.split('.')[:2])


def _entries(
    bundle: Bundle,
    prefix: str,
    count: int,
    base_port: int,
) -> tuple[EntryPlan, ...]:
    entries = []
    for number, region in enumerate(bundle.regions):
        zones = [
            zone.name for zone in bundle.zones if zone.region == region.name
        ]
        for index in range(count):
            zone = zones[index % len(zones)]
            entries.append(
                EntryPlan(
                    f'{zone}-{index // len(zones) + 1}',
                    zone,
                    region.name,
                    f'{prefix}.{200 + number}.{index + 1}',
                    base_port,
                )
            )
    return tuple(entries)
