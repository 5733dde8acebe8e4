"""All budgets that one instance shares with the others."""

from collections import Counter
from dataclasses import dataclass, field

from worksrail.core.budgets._accounts import (
    PeerReport,
    PeerReports,
    ReservationBounds,
)
from worksrail.core.budgets._advertised import AdvertisedBudgets, BudgetUse
from worksrail.core.budgets._budget import (
    STARTUP_DELAY,
    BudgetBounds,
    PeerView,
    SharedBudget,
)
from worksrail.core.identity import Incarnation, ServiceName, ZoneName


@dataclass(frozen=True, slots=True)
class FleetUse:
    """Use of one budget over the whole fleet, as known to one instance."""

    total: BudgetUse
    """Use by all instances together."""

    own: int
    """Retries that this instance has reserved."""

    left: float
    """Retries that no instance has reserved; negative if the number of requests
    fell."""

    allowed: float
    """Retries that the bounds allow for the requests of all instances."""


@dataclass(slots=True)
class CountedTotals:
    """What this instance has counted since its start, by service."""

    requests: Counter[ServiceName] = field(default_factory=Counter)
    """Requests."""

    retries: Counter[ServiceName] = field(default_factory=Counter)
    """Retries that were taken from the budget and not given back."""


@dataclass(slots=True)
class SharedBudgets:
    """Retry budgets by service, each shared by all instances.

    >>> budgets = SharedBudgets.begin(BudgetBounds(0.2, 10, 0), 0)
    >>> for _ in range(100):
    ...     budgets.record_request('orders', now=10)
    >>> budgets.spend('orders', now=13)
    True
    """

    bounds: BudgetBounds
    """Retries that all instances together may send to a service."""

    known_since: float
    """Since when this instance has known all users of the budgets."""

    reports: PeerReports
    """Use by the other instances."""

    seed: int = 0
    """Seed for rounding fractional shares at random."""

    instances: int = 1
    """Number of live instances, this one included."""

    live_share: float = 1
    """Share of all known instances that are live."""

    budgets: dict[ServiceName, SharedBudget] = field(default_factory=dict)
    """This instance's part of each budget, by service."""

    reservation_bounds: ReservationBounds = field(default_factory=dict)
    """What peers may reserve before they report it, by service."""

    totals: CountedTotals = field(default_factory=CountedTotals)
    """Counts since the start, for metrics and logs."""

    @classmethod
    def begin(
        cls, bounds: BudgetBounds, known_since: float, seed: int = 0
    ) -> 'SharedBudgets':
        """Create the budgets of a new incarnation."""
        return cls(bounds, known_since, PeerReports(bounds.window), seed)

    # -- requests

    def record_request(self, service: ServiceName, now: float) -> None:
        """Count a request for a service."""
        self.totals.requests[service] += 1
        self._budget(service).record_request(now)

    def spend(
        self, service: ServiceName, now: float, *, preferred: bool = True
    ) -> bool:
        """Take one retry for a service; return false if there is none."""
        peers = self.peer_view(service, now)
        taken = self._budget(service).spend(now, peers, preferred=preferred)
        self.totals.retries[service] += taken
        return taken

    def give_back(self, service: ServiceName, now: float) -> None:
        """Return the retry that was taken last, as it was not sent."""
        self.totals.retries[service] -= 1
        self._budget(service).give_back(now)

    # -- the other instances

    def set_fleet_size(self, instances: int, known: int) -> None:
        """Set the number of live instances, and of all known ones."""
        self.instances = max(1, instances)
        self.live_share = self.instances / max(self.instances, known)

    def receive(
        self,
        who: Incarnation,
        advertised: AdvertisedBudgets,
        now: float,
        *,
        zone: ZoneName = '',
    ) -> None:
        """Store what a peer of the own zone advertises.

        With a zone: what the relay of that zone advertises for all of it.
        """
        sender = f'zone {zone}' if zone else who.name
        report = PeerReport(
            advertised, now, who, not zone, self.reservation_bounds
        )
        self.reports.store(sender, report)

    def advertise(self, now: float) -> AdvertisedBudgets:
        """Return this instance's use, and what silent ones may still use."""
        return AdvertisedBudgets(
            self._coverage(now, same_zone=True),
            {name: one.use(now) for name, one in self.budgets.items()},
            self.reports.departed(self.reports.services(), now),
        )

    def advertise_zone(self, now: float) -> AdvertisedBudgets:
        """Return the use of all instances of the zone together."""
        services = self.reports.services()
        used = {
            name: self.reports.use(name, now, same_zone=True)
            for name in services
        }
        for name, budget in self.budgets.items():
            used[name] = budget.use(now).plus(used.get(name, BudgetUse()))
        return AdvertisedBudgets(
            self._coverage(now, same_zone=True),
            {name: use for name, use in used.items() if use.has_usage()},
            self.reports.departed(services, now, far_only=True),
        )

    def peer_view(self, service: ServiceName, now: float) -> PeerView:
        """Return what is known of the peers' use of one budget."""
        return PeerView(
            self.reports.use(service, now),
            self.instances,
            self.live_share,
            self._is_complete(now),
        )

    def fleet_use(self, service: ServiceName, now: float) -> FleetUse:
        """Return the use of a budget over the fleet, for metrics and logs."""
        budget = self._budget(service)
        peers = self.peer_view(service, now)
        total = peers.use.plus(budget.use(now))
        return FleetUse(
            total,
            budget.reserved,
            budget.unreserved(now, peers),
            self.bounds.ratio * total.requests + self.bounds.extra,
        )

    # -- time

    def maintain(self, now: float) -> None:
        """Release unused reservations and drop outdated reports."""
        self.reports.prune(now)
        bounds = {}
        for service, budget in tuple(self.budgets.items()):
            if budget.is_idle(now):
                self.budgets.pop(service)
                continue
            peers = self.peer_view(service, now)
            budget.maintain(now, peers)
            bounds[service] = budget.reservation_bound(now, peers)
        self.reservation_bounds = bounds

    def handle_pause(self, now: float) -> None:
        """Handle a suspension of the process, in which it missed reports."""
        self.known_since = now
        for budget in self.budgets.values():
            budget.handle_pause(now)

    def follow(self, bounds: BudgetBounds, now: float) -> None:
        """Apply other bounds."""
        if bounds.window != self.bounds.window:
            # The counts so far are those of another window.
            self.budgets.clear()
            self.reports.window = bounds.window
            self.known_since = now
        self.bounds = bounds
        for budget in self.budgets.values():
            budget.bounds = bounds

    # -- helpers

    def _budget(self, service: ServiceName) -> SharedBudget:
        budget = self.budgets.get(service)
        if budget is None:
            budget = SharedBudget.from_bounds(self.bounds, self.seed)
            self.budgets[service] = budget
        return budget

    def _is_complete(self, now: float) -> bool:
        # Peers advertise the use of this instance's earlier incarnation only
        # after they have received the first digest of the present one.
        if now - self.known_since < STARTUP_DELAY:
            return False
        return self._coverage(now, same_zone=False) >= self.bounds.window

    def _coverage(self, now: float, *, same_zone: bool) -> float:
        own = now - self.known_since
        coverage = max(own, self.reports.coverage(now, same_zone=same_zone))
        return round(min(self.bounds.window, coverage), 1)
