"""The complete state of an entry with discovered upstreams."""

import random
from dataclasses import dataclass, field
from math import inf

from worksrail.core._meters import RateMeter
from worksrail.core.budgets import SharedBudgets
from worksrail.core.identity import Incarnation, RegionName, ServiceName
from worksrail.core.limits import SharedLimits
from worksrail.core.overload import (
    DemandTable,
    OwnShare,
    Promises,
    RetrySchedule,
    RouteDeadlines,
    SlotTime,
    UsualUsage,
)
from worksrail.core.quarantine import Quarantine
from worksrail.core.steering._affinity import Affinity
from worksrail.core.steering._catalog import Catalog
from worksrail.core.steering._fleet import Fleet
from worksrail.core.steering._key_overlap import KeyOverlap
from worksrail.core.steering._load import LatencyEwma, LoadTable
from worksrail.core.steering._paths import PathMonitor
from worksrail.core.steering._rate_limits import UpstreamRateLimits
from worksrail.core.steering._region_shares import RegionShares
from worksrail.core.steering._request import ActiveRequests
from worksrail.core.steering._routes import NotConfigured, RoutingConfiguration
from worksrail.core.steering._service_load import ServiceLoad
from worksrail.core.steering._settings import DISCOVERY_TIME, EntrySettings
from worksrail.core.steering._splits import Splits
from worksrail.core.steering._stop_account import StopAccount
from worksrail.core.steering._store_sync import StoreSync
from worksrail.core.steering._warm_keys import WarmKeys
from worksrail.core.steering.kinds import StoreKind


@dataclass(frozen=True, slots=True)
class SlotUsage:
    """Utilization of a service's slots."""

    used: float
    """Requests in flight divided by slots."""

    measured_at: float
    """When they were counted."""


@dataclass(slots=True)
class DiscoverySchedule:
    """When addresses of other entries are read from the store."""

    next_read_at: float = 0
    """When the next read is due."""

    reading: bool = False
    """Whether a read is in progress."""

    reads_alone: int = 0
    """Number of reads since other entries were known."""


@dataclass(slots=True)
class SteeringState:
    """The state that :func:`worksrail.core.steering.reduce` works on."""

    settings: EntrySettings
    """Settings; replaced when they are reloaded."""

    who: Incarnation
    """Name and incarnation of this entry."""

    rng: random.Random
    """Source of randomness; seeded, so that runs are reproducible."""

    catalog: Catalog
    """Upstreams and evacuated zones."""

    fleet: Fleet
    """The other entries."""

    region_shares: RegionShares
    """Distribution of the own region's keys over the regions."""

    limits: SharedLimits
    """Limits shared by all entries."""

    rates: UpstreamRateLimits
    """Rate limits of single upstreams."""

    budgets: SharedBudgets
    """Retry budgets shared by all entries."""

    started_at: float
    """When this incarnation started."""

    last_event_at: float
    """When the last event occurred; a long gap means a suspension."""

    configuration: RoutingConfiguration | NotConfigured = (
        NotConfigured.NEVER_READ
    )
    """The configuration in force."""

    loads: LoadTable = field(default_factory=LoadTable)
    """Load, speed and failures of upstreams."""

    paths: PathMonitor = field(default_factory=PathMonitor)
    """Services and zones that this entry can reach."""

    key_overlap: KeyOverlap = field(default_factory=KeyOverlap)
    """Overlap of the keys that regions use."""

    affinity: Affinity = field(default_factory=Affinity)
    """Order of upstreams by key."""

    warm_keys: WarmKeys = field(default_factory=WarmKeys)
    """Where keys are warm, and how much time that saves."""

    splits: Splits = field(default_factory=Splits)
    """Traffic splits."""

    typical_times: dict[ServiceName, LatencyEwma] = field(default_factory=dict)
    """Typical execution time of a service in seconds, over all routes."""

    deadlines: dict[str, RouteDeadlines] = field(default_factory=dict)
    """Times that callers allow, by route name."""

    own_share: OwnShare = field(default_factory=OwnShare)
    """Share of this entry in the requests of all entries."""

    usual_usage: dict[ServiceName, UsualUsage] = field(default_factory=dict)
    """Share of slots that is usually in use, by service."""

    promises: Promises = field(default_factory=Promises)
    """Refused requests that may come back."""

    known_returns: int = 0
    """Number of requests known to come back when they were told to."""

    retries: dict[ServiceName, RetrySchedule] = field(default_factory=dict)
    """When refused callers were asked to come back, by service."""

    region_rtts: dict[RegionName, LatencyEwma] = field(default_factory=dict)
    """Round-trip time to a region in seconds."""

    quarantine: Quarantine = field(default_factory=Quarantine)
    """Requests that crash upstreams."""

    requests: ActiveRequests = field(default_factory=dict)
    """Active requests."""

    store_sync: StoreSync = field(default_factory=StoreSync)
    """Store revisions that this entry knows."""

    watching: bool = False
    """Whether this entry reads the store itself."""

    has_listed: bool = False
    """Whether this entry has made its initial read of the store."""

    fetching: set[StoreKind] = field(default_factory=set)
    """Kinds that are being fetched from another entry."""

    behind_since: dict[StoreKind, float] = field(default_factory=dict)
    """Since when another entry has known a later revision of a kind."""

    advertised_store_state: tuple[tuple[int, ...], bool] = ((), False)
    """Store state in the last digest: revisions by kind, and whether reads
    failed."""

    failing_kinds: set[StoreKind] = field(default_factory=set)
    """Kinds that currently cannot be read from the store."""

    kinds_read: set[StoreKind] = field(default_factory=set)
    """Kinds that were read at least once."""

    dead_entries: set[str] = field(default_factory=set)
    """Names of known entries that are dead."""

    ready: bool = False
    """Whether this entry accepts requests."""

    leaving_at: float = inf
    """When the stop was requested."""

    exited: bool = False
    """Whether the stop is complete."""

    stop_account: StopAccount = field(default_factory=StopAccount)
    """What became of requests since the stop was requested."""

    demand: DemandTable = field(default_factory=DemandTable)
    """Demand for slots by service, priority and customer."""

    slot_times: dict[tuple[str, ServiceName], SlotTime] = field(
        default_factory=dict
    )
    """Seconds in a slot by route name and service."""

    service_loads: dict[ServiceName, ServiceLoad] = field(default_factory=dict)
    """Load of services whose slots requests compete for."""

    slot_usage: dict[ServiceName, SlotUsage] = field(default_factory=dict)
    """Utilization of slots by service."""

    arrivals: RateMeter = field(default_factory=RateMeter)
    """Rate of requests that arrive at this entry."""

    passed_arrivals: RateMeter = field(default_factory=RateMeter)
    """Rate of requests that other entries pass to this one."""

    next_probe_at: float = 0
    """When upstreams that cannot be reached are probed next."""

    probing_until: float = 0
    """Until when upstreams that were missed are probed."""

    discovery: DiscoverySchedule = field(default_factory=DiscoverySchedule)
    """When addresses of other entries are read from the store."""

    pending_replies: set[str] = field(default_factory=set)
    """Peer addresses of newly seen entries, which the next digest answers."""

    digests: int = 0
    """Number of digests sent."""

    next_upkeep_at: float = 0
    """When liveness and store state are checked next."""

    next_digest_at: float = 0
    """When the next digest is due."""

    next_zone_digest_at: float = 0
    """When the next zone digest is due, if this entry is the relay."""

    @classmethod
    def from_settings(
        cls,
        settings: EntrySettings,
        who: Incarnation,
        now: float,
        seed: int,
    ) -> 'SteeringState':
        """Start an incarnation that knows only its settings."""
        peer = settings.addresses.peer
        fleet = Fleet(who.name, settings.zone, peer)
        fleet.follow_seeds(settings.seeds, now)
        catalog = Catalog.from_regions(
            settings.regions, settings.bounds.heartbeat
        )
        return cls(
            settings,
            who,
            random.Random(seed),
            catalog,
            fleet,
            RegionShares.from_regions(settings.regions.values()),
            SharedLimits.begin(who, peer, now, settings.seeds),
            UpstreamRateLimits.begin(settings, catalog),
            SharedBudgets.begin(
                settings.bounds.repeats,
                -inf if settings.first_start else now,
                seed,
                who,
                settings.zone,
            ),
            now,
            now,
        )

    @property
    def leaving(self) -> bool:
        """Return whether a stop was requested."""
        return self.leaving_at < inf

    def settled(self, now: float) -> bool:
        """Return whether this entry has had time to discover the others."""
        return now - self.started_at > DISCOVERY_TIME

    def typical_time(
        self,
        service: ServiceName,
        guess: float,
    ) -> LatencyEwma:
        """Return the typical execution time of a service in seconds."""
        known = self.typical_times.get(service)
        if known is None:
            known = LatencyEwma(guess)
            self.typical_times[service] = known
        return known
