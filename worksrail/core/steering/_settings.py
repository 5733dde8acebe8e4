"""Settings of an entry that finds its upstreams by discovery."""

from dataclasses import dataclass, field

from worksrail.core.identity import RegionName, ZoneName


@dataclass(frozen=True, slots=True)
class SteeringBounds:
    """Bounds that the operators set; times in seconds."""

    repeat_ratio: float = 0.2
    """Repeats allowed for each request of a service."""

    repeat_window: float = 10
    """Sliding window over which repeats are counted."""

    repeat_extra: float = 0
    """Repeats allowed besides, over all instances and each window."""

    look_up_age: float = 5
    """Longest age of a look-up answer that callers honour."""

    grace_period: float = 6
    """Time from the request to stop until the process is killed."""

    region_shift: float = 1
    """Share of a region's requests that may change region at once."""


@dataclass(frozen=True, slots=True)
class EntryAddresses:
    """Where an entry listens; IP number and port each."""

    caller: str
    """Requests."""

    readiness: str
    """Readiness checks."""

    look_up: str
    """Look-ups: which entries to use."""

    peer: str
    """Messages of other entries."""


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Everything an entry learns from its settings."""

    name: str
    """Unique name of this entry."""

    zone: ZoneName
    """Availability zone it runs in."""

    region: RegionName
    """Region of the zone."""

    regions: dict[ZoneName, RegionName]
    """Region of each zone."""

    addresses: EntryAddresses
    """Where it listens."""

    seeds: tuple[str, ...]
    """Peer addresses of entries to ask first; may be out of date."""

    store: str
    """Address of the object store."""

    bounds: SteeringBounds = field(default_factory=SteeringBounds)
    """Operators' bounds."""
