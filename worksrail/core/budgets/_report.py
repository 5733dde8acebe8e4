"""The latest report of another instance on its use of shared budgets."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import repeat
from math import ceil
from typing import Final

from worksrail.core.budgets._advertised import (
    REQUEST_PARTS,
    AdvertisedBudgets,
    BudgetUse,
    ToldUse,
)
from worksrail.core.budgets._sliding_count import ADVERTISED_PARTS
from worksrail.core.identity import Incarnation, ServiceName

# Seconds within which a change at one instance normally reaches all others: one
# digest in its zone, one to the other zones and one within these.
PROPAGATION_TIME: Final = 0.9
# Seconds that a retry may take to reach its upstream.
TRANSIT_TIME: Final = 0.3
NO_USE: Final = BudgetUse()


@dataclass(frozen=True, slots=True)
class ReservationBound:
    """Upper bound of what an instance may have reserved since its report."""

    per_load: float
    """Retries for each request per second of its own load."""

    per_constrained_load: float
    """Additional retries for each of them if it needs more."""

    def max_unreported(self, use: BudgetUse) -> float:
        """Return how much a sender may have reserved since it reported."""
        return (
            use.load * self.per_load
            + use.constrained_load * self.per_constrained_load
        )


_ZERO_BOUND: Final = ReservationBound(0, 0)
_UNKNOWN_SENDER: Final = Incarnation('', 0)
ReservationBounds = Mapping[ServiceName, ReservationBound]


@dataclass(slots=True)
class PeerReport:
    """Latest advertisement of one sender."""

    advertised: AdvertisedBudgets
    """Its content."""

    received_at: float
    """When it was received, here or by the peer that told of it."""

    who: Incarnation = _UNKNOWN_SENDER
    """The instance that sent it, and its incarnation; unknown if a peer told
    of it."""

    same_zone: bool = True
    """Whether the sender is an instance of the own zone."""

    reservation_bounds: ReservationBounds = field(default_factory=dict)
    """What the sender may have reserved since, by service."""

    ended: bool = False
    """Whether the sender is known to have ended, or was silent at the peer that
    told of it."""

    by_peer: bool = False
    """Whether a peer told of it."""

    is_told: bool = False
    """Whether its end was told to others."""

    def is_silent(self, now: float, limit: float = PROPAGATION_TIME) -> bool:
        """Whether the sender has been silent for some time."""
        return self.ended or now - self.received_at > limit

    def use(self, service: ServiceName, window: float, now: float) -> BudgetUse:
        """Return the sender's present use of a budget, as far as known.

        A silent sender may have sent all it had reserved right after its
        report.
        """
        use = self.advertised.used.get(service, NO_USE)
        age = now - self.received_at
        if not self.is_silent(now):
            return use
        if age > window + TRANSIT_TIME:
            return NO_USE
        # A part that overlaps the window's edge counts for retries, but not for
        # requests.
        past = int(ADVERTISED_PARTS * max(0, age - TRANSIT_TIME) / window)
        sent = sum(use.sent[max(0, ADVERTISED_PARTS - past) :])
        later = ceil(ADVERTISED_PARTS * age / window)
        arrived = (*repeat(0, later), *use.arrived)[:REQUEST_PARTS]
        unreported = self._max_unreported(service, use)
        return BudgetUse(arrived, use.reserved - sent + unreported)

    def tell(self, sender: str, now: float) -> ToldUse:
        """Return what others have to know of the sender."""
        ended = self.is_silent(now)
        used = {
            service: self._last_use(service, use) if ended else use
            for service, use in self.advertised.used.items()
            if use.has_usage()
        }
        return ToldUse(sender, round(now - self.received_at, 2), used, ended)

    def _last_use(self, service: ServiceName, use: BudgetUse) -> BudgetUse:
        reserved = use.reserved + self._max_unreported(service, use)
        return BudgetUse(use.arrived, reserved, sent=use.sent)

    def _max_unreported(self, service: ServiceName, use: BudgetUse) -> float:
        bound = self.reservation_bounds.get(service, _ZERO_BOUND)
        return bound.max_unreported(use)
