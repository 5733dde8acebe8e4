"""Use of shared budgets by the other instances, from what they advertise."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import repeat
from math import ceil
from typing import Final

from worksrail.core.budgets._advertised import (
    REQUEST_PARTS,
    AdvertisedBudgets,
    BudgetUse,
    UseSum,
    total_use,
)
from worksrail.core.budgets._sliding_count import ADVERTISED_PARTS
from worksrail.core.identity import Incarnation, ServiceName

# Seconds within which a change at one instance normally reaches all others: one
# digest in its zone, one to the other zones and one within these.
PROPAGATION_TIME: Final = 0.9
# Seconds of silence after which an instance's use is advertised on its behalf.
_DEPARTED_AFTER: Final = 2.0
# Seconds that a retry may take to reach its upstream.
TRANSIT_TIME: Final = 0.3
_NO_USE: Final = BudgetUse()


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
    """When it was received."""

    who: Incarnation = _UNKNOWN_SENDER
    """The instance that sent it, and its incarnation."""

    same_zone: bool = True
    """Whether the sender is an instance of the own zone."""

    reservation_bounds: ReservationBounds = field(default_factory=dict)
    """What the sender may have reserved since, by service."""

    superseded: bool = False
    """Whether another sender, which covers less of the past, now uses the same
    name."""

    def is_silent(self, now: float, limit: float = PROPAGATION_TIME) -> bool:
        """Whether the sender has been silent for some time."""
        return self.superseded or now - self.received_at > limit

    def coverage(self, now: float) -> float:
        """Return for how long the sender has known all users, in seconds."""
        return self.advertised.coverage + now - self.received_at

    def use(self, service: ServiceName, window: float, now: float) -> BudgetUse:
        """Return the sender's present use of a budget, as far as known.

        A silent sender may have sent all it had reserved right after its
        report.
        """
        use = self.advertised.used.get(service, _NO_USE)
        age = now - self.received_at
        if not self.is_silent(now):
            return use
        # A part that overlaps the window's edge counts for retries, but not for
        # requests.
        past = int(ADVERTISED_PARTS * max(0, age - TRANSIT_TIME) / window)
        sent = sum(use.sent[max(0, ADVERTISED_PARTS - past) :])
        later = ceil(ADVERTISED_PARTS * age / window)
        arrived = (*repeat(0, later), *use.arrived)[:REQUEST_PARTS]
        unreported = self.reservation_bounds.get(
            service, _ZERO_BOUND
        ).max_unreported(use)
        return BudgetUse(
            arrived,
            use.reserved - sent + unreported,
        )


@dataclass(slots=True)
class PeerReports:
    """Use by all other instances, by the sender that advertised it.

    >>> reports = PeerReports(window=10)
    >>> advertised = AdvertisedBudgets(9, {'orders': BudgetUse(reserved=3)})
    >>> reports.store('one', PeerReport(advertised, received_at=0))
    >>> reports.use('orders', now=0.1).reserved
    3
    """

    window: float
    """Seconds in which requests and retries are counted."""

    by_sender: dict[str, PeerReport] = field(default_factory=dict)
    """Latest report of each sender."""

    def store(self, sender: str, report: PeerReport) -> None:
        """Store the report of a sender.

        A report that covers less of the past than the previous one under the
        same name does not replace it.  If the previous one is recent and not
        of an earlier incarnation, the new report is ignored: its sender has
        not yet received the state of its zone.
        """
        now = report.received_at
        known = self.by_sender.get(sender)
        if known and self._covers_more(known, report):
            if not known.is_silent(now, _DEPARTED_AFTER):
                if not _has_restarted(known, report):
                    return
            known.superseded = True
            self.by_sender[f'{sender} until {now}'] = known
        self.by_sender[sender] = report

    def prune(self, now: float) -> None:
        """Drop reports that are too old to matter."""
        longest = max(self.window, PROPAGATION_TIME) + TRANSIT_TIME
        for sender, report in tuple(self.by_sender.items()):
            if now - report.received_at > longest:
                self.by_sender.pop(sender)

    def services(self) -> set[ServiceName]:
        """Return the services whose budgets are in use by peers."""
        return {
            service
            for report in self.by_sender.values()
            for service in report.advertised.used | report.advertised.departed
        }

    def use(
        self, service: ServiceName, now: float, *, same_zone: bool = False
    ) -> BudgetUse:
        """Return the use of a budget by all peers, or by those of the zone."""
        fresh, silent, inherited = UseSum(), UseSum(), _NO_USE
        for report in self._reports(same_zone=same_zone):
            if report.is_silent(now):
                silent.add(report.use(service, self.window, now))
                continue
            used = report.advertised.used.get(service)
            if used:
                fresh.add(used)
            departed = report.advertised.departed.get(service)
            if departed and departed.reserved > inherited.reserved:
                inherited = departed
        # Peers may know of instances that departed before this one started.
        fresh.add(max(silent.use(), inherited, key=_reserved))
        return fresh.use()

    def departed(
        self,
        services: Iterable[ServiceName],
        now: float,
        *,
        far_only: bool = False,
    ) -> dict[ServiceName, BudgetUse]:
        """Return the use that may be left of senders silent for long."""
        silent = [
            report
            for report in self.by_sender.values()
            if report.is_silent(now, _DEPARTED_AFTER)
            and not (far_only and report.same_zone)
        ]
        uses = {
            service: total_use(
                one.use(service, self.window, now) for one in silent
            )
            for service in services
        }
        return {name: use for name, use in uses.items() if use.reserved}

    def coverage(self, now: float, *, same_zone: bool = False) -> float:
        """Return the longest coverage of any sender that is not silent."""
        coverages = [
            report.coverage(now)
            for report in self._reports(same_zone=same_zone)
            if not report.is_silent(now)
        ]
        return max(coverages, default=0)

    def _reports(self, *, same_zone: bool) -> list[PeerReport]:
        reports = self.by_sender.values()
        return [
            report for report in reports if report.same_zone or not same_zone
        ]

    def _covers_more(self, known: PeerReport, report: PeerReport) -> bool:
        if known.same_zone and _has_restarted(known, report):
            return True
        coverage = min(self.window, known.coverage(report.received_at))
        return coverage > report.advertised.coverage + PROPAGATION_TIME


def _has_restarted(known: PeerReport, report: PeerReport) -> bool:
    before, after = known.who, report.who
    return before.name == after.name and before.number != after.number


def _reserved(use: BudgetUse) -> float:
    return use.reserved
