"""What the other instances use of shared budgets, as they told it."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import repeat
from math import ceil
from typing import Final

from worksrail.core.budgets._advertised import (
    REQUEST_PARTS,
    AdvertisedBudgets,
    BudgetUse,
    Sum,
    total,
)
from worksrail.core.budgets._sliding_count import TOLD_PARTS
from worksrail.core.identity import Incarnation, ServiceName

# Seconds within which news of an instance reaches all others, as a rule: a
# digest in its zone, one to the other zones and one within these.
NEWS_TIME: Final = 0.9
# Seconds without news after which what an instance used is told for it.
_GONE_AFTER: Final = 2.0
# Seconds that a repeat may take to its upstream.
TRAVEL_TIME: Final = 0.3
_NOTHING: Final = BudgetUse()


@dataclass(frozen=True, slots=True)
class Room:
    """What any instance may have reserved unheard, when it was heard last."""

    by_load: float
    """Repeats for each request a second of its own."""

    by_wanting: float
    """Repeats besides for each of them, if it wants more."""

    def unheard(self, use: BudgetUse) -> float:
        """What a teller may have reserved since it told its use."""
        return use.load * self.by_load + use.wanting * self.by_wanting


_NO_ROOM: Final = Room(0, 0)
_NOBODY: Final = Incarnation('', 0)
Rooms = Mapping[ServiceName, Room]


@dataclass(slots=True)
class Account:
    """What one teller said last."""

    told: AdvertisedBudgets
    """Its words."""

    received_at: float
    """When they came."""

    who: Incarnation = _NOBODY
    """The instance that said them, in which life of it."""

    near: bool = True
    """It is an instance of the own zone."""

    rooms: Rooms = field(default_factory=dict)
    """What it may have reserved since, by service."""

    replaced: bool = False
    """Another one tells under its name, and knows less of the past."""

    def is_silent(self, now: float, limit: float = NEWS_TIME) -> bool:
        """Whether nothing was heard of it for some time."""
        return self.replaced or now - self.received_at > limit

    def covered(self, now: float) -> float:
        """Seconds for which it has known who else uses the budgets."""
        return self.told.covered + now - self.received_at

    def use(self, service: ServiceName, window: float, now: float) -> BudgetUse:
        """What it uses of a budget by now, as far as that is known.

        A silent one may have sent what it had reserved just afterwards.
        """
        use = self.told.used.get(service, _NOTHING)
        age = now - self.received_at
        if not self.is_silent(now):
            return use
        # Parts that lie in the window in part count as sent, not as come.
        past = int(TOLD_PARTS * max(0, age - TRAVEL_TIME) / window)
        sent = sum(use.sent[max(0, TOLD_PARTS - past) :])
        later = ceil(TOLD_PARTS * age / window)
        came = (*repeat(0, later), *use.came)[:REQUEST_PARTS]
        unheard = self.rooms.get(service, _NO_ROOM).unheard(use)
        return BudgetUse(
            came,
            use.reserved - sent + unheard,
        )


@dataclass(slots=True)
class Accounts:
    """What all other instances use, by who tells of it.

    >>> accounts = Accounts(window=10)
    >>> told = AdvertisedBudgets(9, {'orders': BudgetUse(reserved=3)})
    >>> accounts.take('one', Account(told, received_at=0))
    >>> accounts.use('orders', now=0.1).reserved
    3
    """

    window: float
    """Seconds in which requests and repeats are counted."""

    by_teller: dict[str, Account] = field(default_factory=dict)
    """The last words of each teller."""

    def take(self, teller: str, account: Account) -> None:
        """Take in what a teller says.

        One that knows less of the past than the teller before, under the same
        name, does not replace what that one said.  While that is fresh, and not
        of an earlier life, it is one that has not met its zone yet.
        """
        now = account.received_at
        known = self.by_teller.get(teller)
        if known and self._knows_more(known, account):
            if not known.is_silent(now, _GONE_AFTER):
                if not _has_restarted(known, account):
                    return
            known.replaced = True
            self.by_teller[f'{teller} until {now}'] = known
        self.by_teller[teller] = account

    def forget(self, now: float) -> None:
        """Drop what cannot matter any more."""
        longest = max(self.window, NEWS_TIME) + TRAVEL_TIME
        for teller, account in tuple(self.by_teller.items()):
            if now - account.received_at > longest:
                self.by_teller.pop(teller)

    def services(self) -> set[ServiceName]:
        """Services whose budgets somebody uses."""
        return {
            service
            for account in self.by_teller.values()
            for service in account.told.used | account.told.gone
        }

    def use(
        self, service: ServiceName, now: float, *, near: bool = False
    ) -> BudgetUse:
        """What all of them use of a budget, or those of the own zone."""
        fresh, silent, inherited = Sum(), Sum(), _NOTHING
        for account in self._tellers(near=near):
            if account.is_silent(now):
                silent.add(account.use(service, self.window, now))
                continue
            used = account.told.used.get(service)
            if used:
                fresh.add(used)
            gone = account.told.gone.get(service)
            if gone and gone.reserved > inherited.reserved:
                inherited = gone
        # Others may know of instances that were gone before this one began.
        fresh.add(max(silent.use(), inherited, key=_reserved))
        return fresh.use()

    def gone(
        self,
        services: Iterable[ServiceName],
        now: float,
        *,
        far_only: bool = False,
    ) -> dict[ServiceName, BudgetUse]:
        """What those that are silent for long may still use."""
        silent = [
            account
            for account in self.by_teller.values()
            if account.is_silent(now, _GONE_AFTER)
            and not (far_only and account.near)
        ]
        uses = {
            service: total(one.use(service, self.window, now) for one in silent)
            for service in services
        }
        return {name: use for name, use in uses.items() if use.reserved}

    def covered(self, now: float, *, near: bool = False) -> float:
        """Seconds back to which any teller that can be heard knows."""
        heard = [
            account.covered(now)
            for account in self._tellers(near=near)
            if not account.is_silent(now)
        ]
        return max(heard, default=0)

    def _tellers(self, *, near: bool) -> list[Account]:
        accounts = self.by_teller.values()
        return [one for one in accounts if one.near or not near]

    def _knows_more(self, known: Account, account: Account) -> bool:
        if known.near and _has_restarted(known, account):
            return True
        covered = min(self.window, known.covered(account.received_at))
        return covered > account.told.covered + NEWS_TIME


def _has_restarted(known: Account, account: Account) -> bool:
    before, after = known.who, account.who
    return before.name == after.name and before.number != after.number


def _reserved(use: BudgetUse) -> float:
    return use.reserved
