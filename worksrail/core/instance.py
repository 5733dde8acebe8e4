"""The whole state of one instance, a slice for each part that owns it."""

import random
from dataclasses import dataclass, field

from worksrail.core.bundle import Drain, DrainKind
from worksrail.core.configuration import Configuration
from worksrail.core.identity import Endpoints, Incarnation, Place
from worksrail.core.limits import SharedLimits
from worksrail.core.membership import Membership
from worksrail.core.messages import (
    HeldSeat,
    MemberRecord,
    MemberStatus,
    Spare,
)
from worksrail.core.pacing import Pacer
from worksrail.core.permits import (
    Hold,
    Lending,
    PermitLedger,
    PoolKey,
    SeatContext,
    SeatManager,
    slot_group,
)
from worksrail.core.quarantine import Quarantine
from worksrail.core.requests import KeyMemory, RetryBudget
from worksrail.core.requests.active import ActiveRequest
from worksrail.core.routing import ServiceState, UpstreamHealth
from worksrail.core.settings import CoreSettings

_CLOCK_SKEW = 10.0


@dataclass(slots=True)
class LeaveState:
    """A planned stop, or a drain of this entry."""

    began_at: float
    """When it began."""

    exits: bool
    """Whether the process exits at its end."""

    accepts_until: float
    """Until when callers may still use a cached look-up answer."""

    done: bool = False
    """Everything has been handed on."""


@dataclass(order=True, slots=True)
class TimedRelease:
    """A permit that is held until a point in time."""

    at: float
    """When it is released."""

    hold: Hold = field(compare=False)
    """Which permit."""


@dataclass(slots=True)
class Instance:
    """The state that :func:`worksrail.core.reducer.reduce` works on."""

    who: Incarnation
    """Name and incarnation of this instance."""

    place: Place
    """Where it runs."""

    endpoints: Endpoints
    """Its addresses."""

    settings: CoreSettings
    """Times and limits."""

    rng: random.Random
    """Source of spread; seeded, so that runs repeat exactly."""

    membership: Membership
    """The other instances."""

    configuration: Configuration
    """The configuration in force."""

    seats: SeatManager
    """Seats held."""

    ledger: PermitLedger
    """Permits counted."""

    lending: Lending
    """Borrowing and lending."""

    memory: KeyMemory
    """Executed idempotency keys."""

    limits: SharedLimits
    """Limits that all instances share."""

    pacer: Pacer
    """Limits that upstreams name in their answers."""

    started_at: float
    """When this incarnation began."""

    last_event_at: float
    """When the last event came; a long gap means a pause."""

    region_use: dict[str, int] = field(default_factory=dict)
    """Slots that the region's other instances use, by service."""

    services: dict[str, ServiceState] = field(default_factory=dict)
    """Queues, budgets and averages by service."""

    health: dict[PoolKey, UpstreamHealth] = field(default_factory=dict)
    """Upstreams' health by slot pool."""

    attention: set[PoolKey] = field(default_factory=set)
    """Upstreams whose ceiling changes with time."""

    quarantine: Quarantine = field(default_factory=Quarantine)
    """Requests that crash upstreams."""

    requests: dict[int, ActiveRequest] = field(default_factory=dict)
    """Requests that are not ended."""

    releases: list[TimedRelease] = field(default_factory=list)
    """Heap of permits held until a point in time."""

    wall: float = 0
    """Highest wall-clock time seen; it never goes back."""

    store_contact_at: float = float('-inf')
    """When the store last answered."""

    resting: bool = False
    """Isolated: no permit is used."""

    isolated_since: float = 0
    """When anybody was last heard before the isolation."""

    leaving: LeaveState | None = None
    """A planned stop, or a drain of this entry."""

    all_seats: int = 1
    """Most seats of all regions by a generation that may be in force."""

    own_seats: int = 0
    """Fewest seats of this region by a generation that may be in force."""

    settled: int = 0
    """Newest generation whose shares the permits fit into."""

    next_heartbeat_at: float = 0
    """When the next round of heartbeats is due."""

    next_seat_write_at: float = 0
    """When the seat table may be written again."""

    @classmethod
    def from_settings(
        cls,
        who: Incarnation,
        place: Place,
        endpoints: Endpoints,
        settings: CoreSettings,
        *,
        now: float,
        seed: int,
    ) -> 'Instance':
        """A fresh instance that knows nobody and holds nothing."""
        ledger = PermitLedger(settings.loan_duration, settings.longest_run)
        retention = settings.ticket_age + _CLOCK_SKEW
        configuration = Configuration()
        return cls(
            who,
            place,
            endpoints,
            settings,
            random.Random(seed),
            Membership(who, place.region),
            configuration,
            SeatManager(who, place.region, now),
            ledger,
            Lending(settings, ledger),
            KeyMemory(settings.key_limit, retention),
            SharedLimits.begin(who, who.name, now),
            Pacer(who.name, who.name, place.region, configuration.region_of),
            now,
            now,
        )

    def status(self, now: float) -> MemberStatus:
        """How far this instance is in its life."""
        if self.leaving:
            over = self.leaving.done and self.leaving.exits
            return MemberStatus.LEFT if over else MemberStatus.LEAVING
        joined = now - self.started_at >= self.settings.join_grace
        if joined and self.configuration.topology:
            return MemberStatus.READY
        return MemberStatus.JOINING

    def accepts(self, now: float) -> bool:
        """Whether new requests are taken."""
        return self.leaving is None or now < self.leaving.accepts_until

    def is_drained_entry(self) -> bool:
        """Whether an operator drains this entry."""
        own = Drain(DrainKind.ENTRY, self.who.name)
        return own in self.configuration.drains

    def seat_view(self, now: float) -> SeatContext:
        """What the seat decisions look at."""
        return SeatContext(
            self.membership, self.settings, now, self.status(now)
        )

    def service_state(self, name: str) -> ServiceState:
        """Running state of a service."""
        state = self.services.get(name)
        if state is None:
            state = ServiceState.from_settings(self.settings)
            self.services[name] = state
        return state

    def retry_budget(self, service: str) -> RetryBudget:
        """What may be retried of a service, on the seats held now."""
        budget = self.service_state(service).budget
        seats = {} if self.resting else self._seats_in_force()
        budget.follow(seats, self.settings.saved_retries(self.all_seats))
        return budget

    def upstream_health(self, key: PoolKey) -> UpstreamHealth:
        """Health of an upstream."""
        return self.health.setdefault(key, UpstreamHealth())

    def record(self, now: float) -> MemberRecord:
        """What this instance says about itself."""
        seats = tuple(
            HeldSeat(seat, epoch)
            for seat, epoch in sorted(self.seats.held.items())
        )
        return MemberRecord(
            self.who,
            self.membership.counter,
            self.place,
            self.endpoints,
            self.status(now),
            self.configuration.generation,
            self.configuration.digest,
            self.settled,
            self.configuration.drain_revision,
            seats,
            self.spares(),
            round(self.configuration.applied_after, 3),
        )

    def spares(self) -> tuple[Spare, ...]:
        """What this instance could still serve, by service."""
        topology = self.configuration.topology
        if topology is None or self.leaving:
            return ()
        region = topology.regions.get(self.place.region)
        headroom = region.headroom if region else 0
        spares = []
        for name in topology.services:
            group = self.ledger.groups.get(slot_group(name))
            if group is None:
                continue
            bound = int(group.usable * (1 - headroom))
            idle = max(0, group.usable - group.in_use)
            free = max(0, bound - group.in_use)
            spares.append(Spare(name, free, group.usable, idle))
        return tuple(spares)

    def _seats_in_force(self) -> dict[int, int]:
        topology = self.configuration.topology
        if topology is None:
            return {}
        count = sum(region.seats for region in topology.regions.values())
        wanted = self.seats.wanted_seats
        if self.ledger.oldest >= self.configuration.generation:
            self.all_seats = count
            self.own_seats = wanted
        # Others may still work by an older split.
        self.all_seats = max(self.all_seats, count)
        self.own_seats = min(self.own_seats, wanted)
        return {
            seat: epoch
            for seat, epoch in self.seats.held.items()
            if seat < self.own_seats
        }
