"""All budgets that one instance shares with the others."""

from collections import Counter
from dataclasses import dataclass, field
from math import floor, inf
from typing import Final

from worksrail.core.budgets._advertised import (
    AdvertisedBudgets,
    BudgetUse,
    ToldUse,
)
from worksrail.core.budgets._budget import (
    STARTUP_DELAY,
    BudgetBounds,
    PeerView,
    SharedBudget,
)
from worksrail.core.budgets._peer_reports import PeerReports, zone_sender
from worksrail.core.budgets._report import PeerReport, ReservationBound
from worksrail.core.identity import Incarnation, ServiceName, ZoneName

# Seconds between two updates of what peers may reserve for services that have
# no requests here.
_IDLE_BOUND_INTERVAL: Final = 0.5


@dataclass(frozen=True, slots=True)
class FleetUse:
    """Use of one budget over the whole fleet, as known to one instance."""

    total: BudgetUse
    """Use by all instances together."""

    own: int
    """Retries that this instance has reserved."""

    requests: float
    """Requests of all instances that allow retries, each counted once."""

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
    """Since when this instance has known all users of the budgets, from their
    own reports or from what peers told it."""

    started_at: float
    """When it started, or resumed after a suspension."""

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

    reservation_bounds: dict[ServiceName, ReservationBound] = field(
        default_factory=dict
    )
    """What peers may reserve before they report it, by service."""

    bounded_at: float = -inf
    """When those of services without own requests were updated."""

    totals: CountedTotals = field(default_factory=CountedTotals)
    """Counts since the start, for metrics and logs."""

    @classmethod
    def begin(
        cls,
        bounds: BudgetBounds,
        known_since: float,
        seed: int = 0,
        who: Incarnation | None = None,
        zone: ZoneName = '',
    ) -> 'SharedBudgets':
        """Create the budgets of a new incarnation."""
        own = who.label if who else ''
        reports = PeerReports(bounds.window, own, zone)
        return cls(bounds, known_since, known_since, reports, seed)

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
        sender = zone_sender(zone) if zone else who.label
        report = PeerReport(
            advertised, now, who, not zone, dict(self.reservation_bounds)
        )
        if not zone:
            self.reports.end_earlier(who)
            self._merge(advertised, now)
        self.reports.store(sender, report)
        # Instances of an earlier release tell what they know in each report.
        if advertised.told is None or (advertised.tells_all and not zone):
            self._know_like(advertised, now)

    def receive_from_afar(
        self, advertised: AdvertisedBudgets, now: float
    ) -> None:
        """Store what an instance of another zone tells of all zones."""
        if self.is_informed(now) or not self._tells_all(advertised):
            return
        # Instances of the own zone know its lives one by one.
        is_new = now - self.started_at < STARTUP_DELAY
        if is_new or self.reports.has_informed_peer():
            return
        if self.reports.merge_zones(advertised.told or (), now):
            self._know_like(advertised, now)

    def advertise(
        self, now: float, *, with_ended: bool = True, with_all: bool = False
    ) -> AdvertisedBudgets:
        """Return this instance's use, and what it knows of others.

        Without ``with_ended``, those that ended are told only once; with
        ``with_all``, everything is told to instances that are new.
        """
        told = self.reports.tell_ended(now, with_all=with_ended)
        if with_all:
            own_zone = zone_sender(self.reports.zone)
            zone_use = ToldUse(own_zone, 0, self._zone_use(now))
            told = (*self.reports.tell_all(now), zone_use)
        return AdvertisedBudgets(
            self._coverage(now),
            self._own_use(now),
            self.reports.departed(self.reports.services(), now),
            told,
            with_all,
        )

    def advertise_zone(self, now: float) -> AdvertisedBudgets:
        """Return the use of all instances of the zone together."""
        services = self.reports.services()
        return AdvertisedBudgets(
            self._coverage(now),
            self._zone_use(now),
            self.reports.departed(services, now, far_only=True),
            (),
        )

    def is_informed(self, now: float) -> bool:
        """Whether all users of the budgets within the window are known."""
        return self._coverage(now) >= self.bounds.window

    def is_starting(self, now: float) -> bool:
        """Whether this instance may not know, or be known to, all others."""
        is_new = now - self.started_at < STARTUP_DELAY
        return is_new or not self.is_informed(now)

    def peer_view(self, service: ServiceName, now: float) -> PeerView:
        """Return what is known of the peers' use of one budget."""
        return PeerView(
            self.reports.use(service, now),
            self.instances,
            self.live_share,
            not self.is_starting(now),
        )

    def fleet_use(self, service: ServiceName, now: float) -> FleetUse:
        """Return the use of a budget over the fleet, for metrics and logs."""
        budget = self._budget(service)
        peers = self.peer_view(service, now)
        total = peers.use.plus(budget.use(now))
        requests = total.requests - budget.double_counted(peers)
        return FleetUse(
            total,
            budget.reserved,
            requests,
            budget.unreserved(now, peers),
            self.bounds.ratio * requests + self.bounds.extra,
        )

    # -- time

    def maintain(self, now: float) -> None:
        """Release unused reservations and drop outdated reports."""
        self.reports.prune(now)
        for service, budget in tuple(self.budgets.items()):
            if budget.is_idle(now):
                self.budgets.pop(service)
                continue
            peers = self.peer_view(service, now)
            budget.maintain(now, peers)
            self.reservation_bounds[service] = budget.reservation_bound(
                now, peers
            )
        if now - self.bounded_at >= _IDLE_BOUND_INTERVAL:
            self.bounded_at = now
            self._bound_idle_services(now)

    def handle_pause(self, now: float) -> None:
        """Handle a suspension of the process, in which it missed reports."""
        self.known_since = now
        self.started_at = now
        for budget in self.budgets.values():
            budget.handle_pause(now)

    def follow(self, bounds: BudgetBounds, now: float) -> None:
        """Apply other bounds."""
        if bounds.window != self.bounds.window:
            # The counts so far are those of another window.
            self.budgets.clear()
            self.reports.window = bounds.window
            self.known_since = now
            self.started_at = now
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

    def _bound_idle_services(self, now: float) -> None:
        """Bound what peers may reserve for services without own requests.

        Such an instance may be the relay that speaks for its zone.
        """
        used = self.reports.services()
        kept = used | self.budgets.keys()
        for service in self.reservation_bounds.keys() - kept:
            self.reservation_bounds.pop(service)
        for service in used - self.budgets.keys():
            budget = SharedBudget.from_bounds(self.bounds, self.seed)
            peers = self.peer_view(service, now)
            bound = budget.reservation_bound(now, peers)
            self.reservation_bounds[service] = bound

    def _own_use(self, now: float) -> dict[ServiceName, BudgetUse]:
        uses = {name: one.use(now) for name, one in self.budgets.items()}
        return {name: use for name, use in uses.items() if use.has_usage()}

    def _zone_use(self, now: float) -> dict[ServiceName, BudgetUse]:
        used = {
            name: self.reports.use(name, now, same_zone=True)
            for name in self.reports.services()
        }
        for name, use in self._own_use(now).items():
            used[name] = use.plus(used.get(name, BudgetUse()))
        return {name: use for name, use in used.items() if use.has_usage()}

    def _merge(self, advertised: AdvertisedBudgets, now: float) -> None:
        told = advertised.told or ()
        if self._tells_all(advertised):
            self.reports.drop_before(told)
        is_new = not self.is_informed(now)
        self.reports.merge(told, now, with_before=is_new)

    def _tells_all(self, advertised: AdvertisedBudgets) -> bool:
        """Whether a sender tells of all users, and knows them."""
        is_informed = advertised.coverage >= self.bounds.window
        return is_informed and advertised.tells_all

    def _know_like(self, advertised: AdvertisedBudgets, now: float) -> None:
        """Know all users for as long as a peer, which has told them."""
        self.known_since = min(self.known_since, now - advertised.coverage)

    def _coverage(self, now: float) -> float:
        coverage = now - self.known_since
        if coverage >= self.bounds.window:
            return self.bounds.window
        # Rounded down: others take it over, and tell it to this one again.
        return floor(10 * coverage) / 10
