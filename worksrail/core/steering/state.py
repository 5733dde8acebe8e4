"""The whole state of an entry with discovered upstreams, by its owners."""

import random
from dataclasses import dataclass, field
from math import inf

from worksrail.core._meters import RateMeter
from worksrail.core.budgets import SharedBudgets
from worksrail.core.identity import Incarnation, RegionName, ServiceName
from worksrail.core.limits import SharedLimits
from worksrail.core.quarantine import Quarantine
from worksrail.core.steering._affinity import Affinity
from worksrail.core.steering._catalog import Catalog
from worksrail.core.steering._fleet import Fleet
from worksrail.core.steering._key_overlap import KeyOverlap
from worksrail.core.steering._load import LatencyEwma, LoadTable
from worksrail.core.steering._rate_limits import UpstreamRateLimits
from worksrail.core.steering._region_shares import RegionShares
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._routes import NotConfigured, RoutingConfiguration
from worksrail.core.steering._settings import SETTLING, EntrySettings
from worksrail.core.steering._splits import Splits
from worksrail.core.steering._store_sync import StoreSync
from worksrail.core.steering._warm_keys import WarmKeys
from worksrail.core.steering._zone_reachability import ZoneReachability
from worksrail.core.steering.events import RequestNumber
from worksrail.core.steering.kinds import StoreKind


@dataclass(frozen=True, slots=True)
class SlotUsage:
    """How much of a service's slots is in use."""

    used: float
    """Requests in flight over slots."""

    measured_at: float
    """When they were counted."""


@dataclass(slots=True)
class SteeringState:
    """What :func:`worksrail.core.steering.reduce` works on."""

    settings: EntrySettings
    """Settings; replaced when they are read again."""

    who: Incarnation
    """Name and incarnation of this entry."""

    rng: random.Random
    """Source of spread; seeded, so that runs repeat."""

    catalog: Catalog
    """Upstreams and evacuated zones."""

    fleet: Fleet
    """The other entries."""

    region_shares: RegionShares
    """Where keys of the own region are at home."""

    limits: SharedLimits
    """Limits that all entries share."""

    rates: UpstreamRateLimits
    """Limits on what single upstreams get."""

    budgets: SharedBudgets
    """Budgets of repeats that all entries share."""

    started_at: float
    """When this incarnation began."""

    last_event_at: float
    """When the last event came; a long gap means a pause."""

    configuration: RoutingConfiguration | NotConfigured = (
        NotConfigured.NEVER_READ
    )
    """The configuration in force."""

    loads: LoadTable = field(default_factory=LoadTable)
    """Load, speed and faults of upstreams."""

    reachability: ZoneReachability = field(default_factory=ZoneReachability)
    """Zones that cannot be reached."""

    key_overlap: KeyOverlap = field(default_factory=KeyOverlap)
    """Which keys regions have in common."""

    affinity: Affinity = field(default_factory=Affinity)
    """Order of upstreams by key."""

    warm_keys: WarmKeys = field(default_factory=WarmKeys)
    """Where keys are warm, and what that saves."""

    splits: Splits = field(default_factory=Splits)
    """Traffic splits."""

    usual: dict[ServiceName, LatencyEwma] = field(default_factory=dict)
    """Seconds that an execution takes at a service, over all routes."""

    longest: dict[str, float] = field(default_factory=dict)
    """Longest time that callers allowed, by route name."""

    region_rtts: dict[RegionName, LatencyEwma] = field(default_factory=dict)
    """Seconds to a region and back."""

    quarantine: Quarantine = field(default_factory=Quarantine)
    """Requests that crash upstreams."""

    requests: dict[RequestNumber, SteeredRequest] = field(default_factory=dict)
    """Requests under way."""

    store_sync: StoreSync = field(default_factory=StoreSync)
    """How far the store is known."""

    watching: bool = False
    """This entry reads the store itself."""

    listed: bool = False
    """This entry has read everything once, to begin with."""

    fetching: set[StoreKind] = field(default_factory=set)
    """Kinds that another entry is being asked for."""

    behind_since: dict[StoreKind, float] = field(default_factory=dict)
    """Since when another entry knows more of a kind."""

    told: tuple[tuple[int, ...], bool] = ((), False)
    """What the last digest told of the store: revisions by kind, and whether
    it was lost."""

    failing_kinds: set[StoreKind] = field(default_factory=set)
    """Kinds whose reading from the store fails."""

    seen: set[StoreKind] = field(default_factory=set)
    """Kinds that were read at least once."""

    dead: set[str] = field(default_factory=set)
    """Names of entries that are known but silent."""

    ready: bool = False
    """Takes requests."""

    leaving_at: float = inf
    """When the stop was requested."""

    exited: bool = False
    """The stop is complete."""

    slot_usage: dict[ServiceName, SlotUsage] = field(default_factory=dict)
    """Use of slots by service."""

    arrivals: RateMeter = field(default_factory=RateMeter)
    """Requests that come to this entry."""

    greeted: set[str] = field(default_factory=set)
    """Peer addresses of entries that were just seen; they are answered."""

    digests: int = 0
    """Digests sent."""

    next_upkeep_at: float = 0
    """When to look next at who lives and who knows more of the store."""

    next_digest_at: float = 0
    """When the next digest is due."""

    next_zone_digest_at: float = 0
    """When the next digest of the zone is due, if this entry speaks."""

    @classmethod
    def from_settings(
        cls,
        settings: EntrySettings,
        who: Incarnation,
        now: float,
        seed: int,
    ) -> 'SteeringState':
        """Begin an incarnation that knows its settings only."""
        peer = settings.addresses.peer
        fleet = Fleet(who.name, settings.zone, peer)
        fleet.add_addresses(settings.seeds, now)
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
            ),
            now,
            now,
        )

    @property
    def leaving(self) -> bool:
        """Whether a stop was requested."""
        return self.leaving_at < inf

    def settled(self, now: float) -> bool:
        """Whether this entry has had the time to hear of the others."""
        return now - self.started_at > SETTLING

    def typical_time(
        self,
        service: ServiceName,
        guess: float,
    ) -> LatencyEwma:
        """Seconds that an execution takes at a service."""
        known = self.usual.get(service)
        if known is None:
            known = LatencyEwma(guess)
            self.usual[service] = known
        return known
