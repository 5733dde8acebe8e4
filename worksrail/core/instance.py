"""The state of one instance, split by the component that owns each part."""

import random
from dataclasses import dataclass, field

from worksrail.core.availability import Backoffs
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
    """When the last cached look-up answer with this instance expires."""

    done: bool = False
    """All seats and permits have been transferred."""


@dataclass(order=True, slots=True)
class TimedRelease:
    """A permit that is held until a point in time."""

    at: float
    """When it is released."""

    hold: Hold = field(compare=False)
    """Which permit."""


@dataclass(slots=True)
class Instance:
    """The state that :func:`worksrail.core.reducer.reduce` changes."""

    who: Incarnation
    """Name and incarnation of this instance."""

    place: Place
    """Where it runs."""

    endpoints: Endpoints
    """Its addresses."""

    settings: CoreSettings
    """Times and limits."""

    rng: random.Random
    """Random generator; seeded, so that runs are reproducible."""

    membership: Membership
    """The other instances."""

    configuration: Configuration
    """The configuration in force."""

    seats: SeatManager
    """Seats held, their offers and the seat table."""

    ledger: PermitLedger
    """Accounting of permits."""

    lending: Lending
    """Borrowing and lending."""

    memory: KeyMemory
    """Executed idempotency keys."""

    limits: SharedLimits
    """Limits that all instances share."""

    pacer: Pacer
    """Rate limits that upstreams name in their answers."""

    started_at: float
    """When this incarnation started."""

    last_event_at: float
    """When the last event arrived; a long gap means the process was paused."""

    peer_slot_usage: dict[str, int] = field(default_factory=dict)
    """Slots that the region's other instances use, by service."""

    services: dict[str, ServiceState] = field(default_factory=dict)
    """Queues, budgets and averages by service."""

    health: dict[PoolKey, UpstreamHealth] = field(default_factory=dict)
    """Upstreams' health by slot pool."""

    monitored: set[PoolKey] = field(default_factory=set)
    """Upstreams whose maximum of permits in use is updated on every tick."""

    backoffs: Backoffs = field(default_factory=Backoffs)
    """Times for which upstreams want no requests, by slot pool."""

    quarantine: Quarantine = field(default_factory=Quarantine)
    """Requests that crash upstreams."""

    requests: dict[int, ActiveRequest] = field(default_factory=dict)
    """Requests in progress, by number."""

    releases: list[TimedRelease] = field(default_factory=list)
    """Heap of permits held until a point in time."""

    wall: float = 0
    """Highest wall-clock time seen; never decreases."""

    store_contact_at: float = float('-inf')
    """When the store last answered."""

    isolated: bool = False
    """Neither peers nor the store are reachable, so no permit is used."""

    isolated_since: float = 0
    """Last contact with a peer or the store before the isolation."""

    leaving: LeaveState | None = None
    """A planned stop, or a drain of this entry."""

    max_total_seats: int = 1
    """Maximum total of seats over the generations that may be in force."""

    min_region_seats: int = 0
    """Minimum of this region's seats over the generations in force."""

    settled: int = 0
    """Newest generation whose shares cover the permits in use."""

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
        """Create an instance without peers, seats or configuration."""
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
        """Lifecycle status of this instance."""
        if self.leaving:
            over = self.leaving.done and self.leaving.exits
            return MemberStatus.LEFT if over else MemberStatus.LEAVING
        joined = now - self.started_at >= self.settings.join_grace
        if joined and self.configuration.topology:
            return MemberStatus.READY
        return MemberStatus.JOINING

    def accepts(self, now: float) -> bool:
        """Whether new requests are accepted."""
        return self.leaving is None or now < self.leaving.accepts_until

    def is_drained_entry(self) -> bool:
        """Whether an operator drains this entry."""
        own = Drain(DrainKind.ENTRY, self.who.name)
        return own in self.configuration.drains

    def seat_view(self, now: float) -> SeatContext:
        """Input of the seat decisions."""
        return SeatContext(
            self.membership, self.settings, now, self.status(now)
        )

    def service_state(self, name: str) -> ServiceState:
        """State of a service, created on first use."""
        state = self.services.get(name)
        if state is None:
            state = ServiceState.from_settings(self.settings)
            self.services[name] = state
        return state

    def retry_budget(self, service: str) -> RetryBudget:
        """Retry budget of a service, updated to the seats held now."""
        budget = self.service_state(service).budget
        seats = {} if self.isolated else self._seats_in_force()
        budget.follow(seats, self.settings.saved_retries(self.max_total_seats))
        return budget

    def unavailable_until(self, key: PoolKey) -> float:
        """Until when an upstream wants no requests, by its own answers."""
        leaving_until = self.upstream_health(key).leaving_until
        return max(leaving_until, self.backoffs.end_of(key))

    def wants_requests(self, key: PoolKey, now: float) -> bool:
        """Whether an upstream has said nothing against requests now."""
        return now >= self.unavailable_until(key)

    def upstream_health(self, key: PoolKey) -> UpstreamHealth:
        """Health of an upstream, created on first use."""
        return self.health.setdefault(key, UpstreamHealth())

    def record(self, now: float) -> MemberRecord:
        """Record of this instance, as advertised in heartbeats."""
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

    def has_lost(self, service: str) -> bool:
        """Return whether no upstream of a service can be reached from here."""
        group = self.ledger.groups.get(slot_group(service))
        upstreams = len(group.pools) if group else 0
        return self.service_state(service).reach.is_lost(upstreams)

    def spares(self) -> tuple[Spare, ...]:
        """Spare capacity of this instance, by service."""
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
            if self.has_lost(name):
                # Others may borrow the permits, but send no requests here.
                free = 0
            spares.append(Spare(name, free, group.usable, idle))
        return tuple(spares)

    def _seats_in_force(self) -> dict[int, int]:
        topology = self.configuration.topology
        if topology is None:
            return {}
        count = sum(region.seats for region in topology.regions.values())
        wanted = self.seats.wanted_seats
        if self.ledger.oldest >= self.configuration.generation:
            self.max_total_seats = count
            self.min_region_seats = wanted
        # Other instances may still use the shares of an older generation.
        self.max_total_seats = max(self.max_total_seats, count)
        self.min_region_seats = min(self.min_region_seats, wanted)
        return {
            seat: epoch
            for seat, epoch in self.seats.held.items()
            if seat < self.min_region_seats
        }
