"""Use of shared budgets by all other instances, from what they advertise."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.budgets._advertised import (
    AdvertisedBudgets,
    BudgetUse,
    ToldUse,
    UseSum,
    total_use,
)
from worksrail.core.budgets._report import (
    NO_USE,
    PROPAGATION_TIME,
    TRANSIT_TIME,
    PeerReport,
)
from worksrail.core.identity import Incarnation, ServiceName, ZoneName

# Seconds of silence after which an instance's use is advertised on its behalf,
# to instances of an earlier release.
_DEPARTED_AFTER: Final = 2.0
_ZONE_PREFIX: Final = 'zone '
# Sender of the own zone's use before all of its instances restarted.
_OWN_ZONE_BEFORE: Final = 'own zone before'


@dataclass(slots=True)
class PeerReports:
    """Use by all other instances, by the sender that advertised it.

    Senders are the incarnations in the own zone, and the other zones as a
    whole.  Each is counted once, whoever tells of it.

    >>> reports = PeerReports(window=10)
    >>> advertised = AdvertisedBudgets(9, {'orders': BudgetUse(reserved=3)})
    >>> reports.store('one', PeerReport(advertised, received_at=0))
    >>> reports.use('orders', now=0.1).reserved
    3
    """

    window: float
    """Seconds in which requests and retries are counted."""

    own: str = ''
    """Name of this instance as a sender."""

    zone: ZoneName = ''
    """Zone of this instance."""

    by_sender: dict[str, PeerReport] = field(default_factory=dict)
    """Latest report of each sender."""

    # -- what others send

    def store(self, sender: str, report: PeerReport) -> None:
        """Store the report of a sender.

        That of a zone whose relay does not know all of its zone does not
        replace what an informed one has reported.
        """
        known = self.by_sender.get(sender)
        is_better = report.same_zone or self._is_informed(report)
        if is_better or known is None or not self._is_informed(known):
            self.by_sender[sender] = report
        elif _has_other_number(known.who, report.who):
            known.ended = True

    def end_earlier(self, who: Incarnation) -> None:
        """Mark other incarnations of the same name as ended."""
        for report in self.by_sender.values():
            if report.same_zone and _has_other_number(report.who, who):
                report.ended = True

    def merge(
        self, told: Iterable[ToldUse], now: float, *, with_before: bool
    ) -> None:
        """Store what an instance of the own zone tells of others.

        What is known of a sender from itself, or from a later report, stays.
        With ``with_before``, what the own zone has used before it restarted is
        taken over as well.
        """
        left_out = {self.own, zone_sender(self.zone)}
        if not with_before:
            left_out.add(_OWN_ZONE_BEFORE)
        for one in told:
            if one.sender not in left_out:
                self._merge_one(one, one.sender, now)

    def drop_before(self, told: Iterable[ToldUse]) -> None:
        """Drop the use of the own zone before it restarted.

        An instance that knows all lives of the zone has told of them, but not
        of that.
        """
        if all(one.sender != _OWN_ZONE_BEFORE for one in told):
            self.by_sender.pop(_OWN_ZONE_BEFORE, None)

    def has_informed_peer(self) -> bool:
        """Whether an instance of the own zone knows all users."""
        return any(
            report.same_zone
            and not report.by_peer
            and self._is_informed(report)
            for report in self.by_sender.values()
        )

    def merge_zones(self, told: Iterable[ToldUse], now: float) -> bool:
        """Store what an instance of another zone tells of whole zones.

        Return whether it includes all use of the own zone so far.  If another
        instance speaks for the own zone now, only that one knows.
        """
        own_zone = zone_sender(self.zone)
        knows_own_zone = True
        for one in told:
            if one.sender == own_zone:
                knows_own_zone = one.ended
                if one.ended:
                    self._merge_one(one, _OWN_ZONE_BEFORE, now)
            elif one.sender.startswith(_ZONE_PREFIX):
                self._merge_one(one, one.sender, now)
        return knows_own_zone

    def prune(self, now: float) -> None:
        """Drop reports that are too old to matter."""
        longest = max(self.window, PROPAGATION_TIME) + TRANSIT_TIME
        for sender, report in tuple(self.by_sender.items()):
            if now - report.received_at > longest:
                self.by_sender.pop(sender)

    # -- use

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
        fresh, silent, departed = UseSum(), UseSum(), NO_USE
        for report in self._reports(same_zone=same_zone):
            if report.is_silent(now):
                silent.add(report.use(service, self.window, now))
                continue
            used = report.advertised.used.get(service)
            if used:
                fresh.add(used)
            if report.advertised.told is None:
                of_others = report.advertised.departed.get(service, NO_USE)
                departed = max(departed, of_others, key=_reserved)
        # Peers of an earlier release tell only a sum of those that ended, some
        # of which may be known here as well.
        fresh.add(max(silent.use(), departed, key=_reserved))
        return fresh.use()

    # -- what others are told

    def tell_all(self, now: float) -> tuple[ToldUse, ...]:
        """Return the use of all senders, for instances that are new."""
        told = (
            report.tell(sender, now)
            for sender, report in self.by_sender.items()
            if report.same_zone or self._is_informed(report)
        )
        return tuple(one for one in told if one.used)

    def tell_ended(
        self, now: float, *, with_all: bool = False
    ) -> tuple[ToldUse, ...]:
        """Return the use of senders that are silent by now.

        Without ``with_all`` only that of those not returned before.
        """
        told = []
        for sender, report in self.by_sender.items():
            if report.is_silent(now) and (with_all or not report.is_told):
                report.is_told = True
                told.append(report.tell(sender, now))
        return tuple(one for one in told if one.used)

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

    # -- helpers

    def _reports(self, *, same_zone: bool) -> list[PeerReport]:
        reports = self.by_sender.values()
        return [
            report for report in reports if report.same_zone or not same_zone
        ]

    def _is_informed(self, report: PeerReport) -> bool:
        return report.advertised.coverage >= self.window

    def _merge_one(self, told: ToldUse, sender: str, now: float) -> None:
        received_at = now - told.age
        if self._is_outdated(sender, received_at, now):
            return
        self.by_sender[sender] = PeerReport(
            AdvertisedBudgets(self.window, told.used, told=()),
            received_at,
            same_zone=not sender.startswith(_ZONE_PREFIX),
            ended=told.ended,
            by_peer=True,
        )

    def _is_outdated(self, sender: str, received_at: float, now: float) -> bool:
        """Whether a report that others received at a time adds nothing."""
        known = self.by_sender.get(sender)
        if known is None or not (known.same_zone or self._is_informed(known)):
            return now - received_at > self.window + TRANSIT_TIME
        # The same report reaches others a little earlier or later.
        return (
            not known.is_silent(now)
            or received_at <= known.received_at + TRANSIT_TIME
        )


def zone_sender(zone: ZoneName) -> str:
    """Return the sender name of a whole zone."""
    return f'{_ZONE_PREFIX}{zone}'


def _has_other_number(before: Incarnation, after: Incarnation) -> bool:
    return before.name == after.name and before.number != after.number


def _reserved(use: BudgetUse) -> float:
    return use.reserved
