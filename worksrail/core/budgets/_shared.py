"""All budgets that one instance shares with the others."""

from dataclasses import dataclass, field

from worksrail.core.budgets._accounts import Account, Accounts, Rooms
from worksrail.core.budgets._advertised import AdvertisedBudgets, BudgetUse
from worksrail.core.budgets._budget import (
    FIRST_NEWS,
    BudgetBounds,
    Others,
    SharedBudget,
)
from worksrail.core.identity import Incarnation, ServiceName, ZoneName


@dataclass(frozen=True, slots=True)
class FleetUse:
    """How much of one budget is in use, as one instance knows."""

    total: BudgetUse
    """What all instances use together."""

    own: int
    """Repeats that this one has reserved."""

    left: float
    """Repeats that nobody has reserved; below zero if requests became fewer."""


@dataclass(slots=True)
class SharedBudgets:
    """Budgets of repeats, by service, that all instances share.

    >>> budgets = SharedBudgets.begin(BudgetBounds(0.2, 10, 0), 0)
    >>> for _ in range(100):
    ...     budgets.record_request('orders', now=10)
    >>> budgets.spend('orders', now=13)
    True
    """

    bounds: BudgetBounds
    """What all instances together may repeat for a service."""

    covered_from: float
    """Since when this instance has known who uses the budgets."""

    accounts: Accounts
    """What the others use."""

    seed: int = 0
    """Seed of the rounding of small shares."""

    instances: int = 1
    """How many instances live, this one included."""

    heard: float = 1
    """Share of all known instances that live."""

    budgets: dict[ServiceName, SharedBudget] = field(default_factory=dict)
    """This instance's side, by service."""

    rooms: Rooms = field(default_factory=dict)
    """What the others may reserve unheard, by service."""

    @classmethod
    def begin(
        cls, bounds: BudgetBounds, covered_from: float, seed: int = 0
    ) -> 'SharedBudgets':
        """Begin an incarnation that knows what others used since a time."""
        return cls(bounds, covered_from, Accounts(bounds.window), seed)

    # -- requests

    def record_request(self, service: ServiceName, now: float) -> None:
        """Count a request for a service."""
        self._budget(service).record_request(now)

    def spend(
        self, service: ServiceName, now: float, *, preferred: bool = True
    ) -> bool:
        """Take one repeat to a service; false when there is none."""
        others = self.others(service, now)
        return self._budget(service).spend(now, others, preferred=preferred)

    def give_back(self, service: ServiceName, now: float) -> None:
        """The repeat that was taken last was not sent."""
        self._budget(service).give_back(now)

    # -- the other instances

    def set_fleet_size(self, instances: int, known: int) -> None:
        """Take in how many instances live, of how many that are known."""
        self.instances = max(1, instances)
        self.heard = self.instances / max(self.instances, known)

    def receive(
        self,
        who: Incarnation,
        told: AdvertisedBudgets,
        now: float,
        *,
        zone: ZoneName = '',
    ) -> None:
        """Take in what an instance of the own zone tells.

        Or what the speaker of another zone tells of that zone.
        """
        teller = f'zone {zone}' if zone else who.name
        account = Account(told, now, who, not zone, self.rooms)
        self.accounts.take(teller, account)

    def advertise(self, now: float) -> AdvertisedBudgets:
        """What this instance uses, and what the silent ones may use."""
        return AdvertisedBudgets(
            self._covered(now, near=True),
            {name: one.use(now) for name, one in self.budgets.items()},
            self.accounts.gone(self.accounts.services(), now),
        )

    def advertise_zone(self, now: float) -> AdvertisedBudgets:
        """What all instances of the zone use together."""
        services = self.accounts.services()
        used = {
            name: self.accounts.use(name, now, near=True) for name in services
        }
        for name, budget in self.budgets.items():
            used[name] = budget.use(now).plus(used.get(name, BudgetUse()))
        return AdvertisedBudgets(
            self._covered(now, near=True),
            {name: use for name, use in used.items() if use.is_any()},
            self.accounts.gone(services, now, far_only=True),
        )

    def others(self, service: ServiceName, now: float) -> Others:
        """What is known of the others at one service."""
        return Others(
            self.accounts.use(service, now),
            self.instances,
            self.heard,
            self._is_covered(now),
        )

    def fleet_use(self, service: ServiceName, now: float) -> FleetUse:
        """How much of a budget is in use, to be shown."""
        budget = self._budget(service)
        others = self.others(service, now)
        return FleetUse(
            others.use.plus(budget.use(now)),
            budget.reserved,
            budget.left(now, others),
        )

    # -- time

    def maintain(self, now: float) -> None:
        """Give back what is not used; forget what can't matter any more."""
        self.accounts.forget(now)
        rooms = {}
        for service, budget in tuple(self.budgets.items()):
            if budget.is_idle(now):
                self.budgets.pop(service)
                continue
            others = self.others(service, now)
            budget.maintain(now, others)
            rooms[service] = budget.room(now, others)
        self.rooms = rooms

    def handle_pause(self, now: float) -> None:
        """The process stood still: what others did meanwhile is unknown."""
        self.covered_from = now
        for budget in self.budgets.values():
            budget.handle_pause(now)

    def follow(self, bounds: BudgetBounds, now: float) -> None:
        """Go on with other bounds."""
        if bounds.window != self.bounds.window:
            # What was counted so far was counted in another window.
            self.budgets.clear()
            self.accounts.window = bounds.window
            self.covered_from = now
        self.bounds = bounds
        for budget in self.budgets.values():
            budget.bounds = bounds

    # -- parts of these

    def _budget(self, service: ServiceName) -> SharedBudget:
        budget = self.budgets.get(service)
        if budget is None:
            budget = SharedBudget.from_bounds(self.bounds, self.seed)
            self.budgets[service] = budget
        return budget

    def _is_covered(self, now: float) -> bool:
        # What an earlier life of this instance used comes from others, after
        # they have heard of this one.
        if now - self.covered_from < FIRST_NEWS:
            return False
        return self._covered(now, near=False) >= self.bounds.window

    def _covered(self, now: float, *, near: bool) -> float:
        own = now - self.covered_from
        covered = max(own, self.accounts.covered(now, near=near))
        return round(min(self.bounds.window, covered), 1)
