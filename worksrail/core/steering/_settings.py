"""Settings of an entry that discovers its upstreams."""

from dataclasses import dataclass, field
from math import inf
from typing import Final

from worksrail.core.budgets import BudgetBounds
from worksrail.core.identity import RegionName, ZoneName
from worksrail.core.limits import QuotaBounds

# Requests a second that one core can pass on, and the bandwidth that one of
# them uses. Rough figures from days on the users' platform; they serve to
# compare instances with each other.
_REQUESTS_PER_CORE: Final = 300
_MEGABITS_PER_REQUEST: Final = 0.1
# Share of the memory for bytes of requests and answers. The process itself,
# the copies that are being read and written, and objects around them need the
# rest.
_HELD_SHARE: Final = 0.25
_BYTES_PER_MB: Final = 1_048_576
DISCOVERY_TIME: Final = 0.5
"""Seconds during which a new entry may not have discovered all others: it
serves requests, but takes no share of limits and budgets that all entries
share, and lists no entries to callers."""


@dataclass(frozen=True, slots=True)
class SteeringBounds:
    """Bounds set by the operators; times are in seconds."""

    repeat_ratio: float = 0.2
    """Retries allowed per request of a service."""

    repeat_window: float = 10
    """Sliding window over which retries are counted."""

    repeat_extra: float = 0
    """Additional retries allowed per window, over all instances."""

    look_up_age: float = 5
    """Maximum age of a look-up answer that callers accept."""

    heartbeat: float = 1.5
    """Interval between two reports of an upstream to the store. Its record
    expires after three of them, so a shorter outage cannot make it expire."""

    grace_period: float = 6
    """Time from the stop request until the process is killed."""

    region_shift: float = 1
    """Maximum share of a region's requests that may move to another region at
    once."""

    cold_factor: float = 1
    """Request rate allowed for a cold upstream, as a multiple of its rate."""

    cold_extra: float = 1
    """Additional requests a second allowed for a cold upstream."""

    store_history: float = 30
    """Seconds for which the store usually keeps its change history."""

    quota: QuotaBounds = field(default_factory=QuotaBounds)
    """Accuracy with which quotas are enforced."""

    obeyed_share: float = 1
    """Share of their time left up to which callers obey ``Retry-After``."""

    @property
    def repeats(self) -> BudgetBounds:
        """Return the retry bounds of a service over all instances."""
        return BudgetBounds(
            self.repeat_ratio, self.repeat_window, self.repeat_extra
        )


@dataclass(frozen=True, slots=True)
class EntryAddresses:
    """IP addresses and ports on which an entry listens."""

    caller: str
    """Requests."""

    readiness: str
    """Readiness checks."""

    look_up: str
    """Look-ups of the entries to use."""

    peer: str
    """Messages from other entries."""


@dataclass(frozen=True, slots=True)
class EntryLimits:
    """Resources of the instance that limit its capacity."""

    cores: float = 1
    """Number of cores available."""

    link_mbps: float = 1000
    """Bandwidth of its link in Mbit/s."""

    memory_mb: float = inf
    """Memory that the process may use, in megabytes; infinite if unknown."""

    @property
    def max_held_bytes(self) -> float:
        """Return the bytes of requests and answers that it may hold."""
        return self.memory_mb * _HELD_SHARE * _BYTES_PER_MB


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """All settings of an entry."""

    name: str
    """Unique name of this entry."""

    zone: ZoneName
    """Availability zone it runs in."""

    region: RegionName
    """Region of the zone."""

    regions: dict[ZoneName, RegionName]
    """Region of each zone."""

    addresses: EntryAddresses
    """Addresses it listens on."""

    seeds: tuple[str, ...]
    """Peer addresses of entries to contact first; may be out of date."""

    store: str
    """Address of the object store."""

    bounds: SteeringBounds = field(default_factory=SteeringBounds)
    """Bounds set by the operators."""

    limits: EntryLimits = field(default_factory=EntryLimits)
    """Resources of the instance."""

    fingerprint_secret: str = ''
    """Secret for the fingerprints of requests, the same at all entries."""

    first_start: bool = False
    """Whether the whole system starts for the first time, without earlier
    instances."""

    @property
    def fingerprint_key(self) -> bytes:
        """Return the fingerprint secret or, by default, the zones.

        The store's address is not used, since entries may reach it differently.
        """
        zones = ','.join(sorted(self.regions))
        return (self.fingerprint_secret or zones).encode()

    @property
    def capacity(self) -> float:
        """Return the requests a second that processor and link can pass on."""
        by_cores = self.limits.cores * _REQUESTS_PER_CORE
        return min(by_cores, self.limits.link_mbps / _MEGABITS_PER_REQUEST)
