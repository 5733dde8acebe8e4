"""Demand for the slots of services, measured here and advertised by others."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import exp, inf
from typing import Final

from worksrail.core.customers import CustomerName
from worksrail.core.identity import ServiceName
from worksrail.core.overload._advertised import (
    AdvertisedDemand,
    decode_demand,
    encode_demand,
)
from worksrail.core.overload._shares import (
    CustomerDemand,
    DemandKey,
    SlotShares,
)

# Time constant of the moving average of demand, seconds.
_TIME_CONSTANT: Final = 1.0
# Seconds for which advertised demand counts: more than two advertisements,
# each of which may be lost.
_REPORT_TTL: Final = 2.5
# Demand in slots below which a customer is forgotten.
_MIN_DEMAND: Final = 0.001
# Maximum number of customers that an instance and a zone name at one service.
_MAX_CUSTOMERS: Final = 24
_MAX_ZONE_CUSTOMERS: Final = 48
# Seconds for which computed shares are used.
_SHARES_TTL: Final = 0.1

_Demands = dict[DemandKey, CustomerDemand]


@dataclass(slots=True)
class DemandMeter:
    """An exponential moving average of slots in demand.

    >>> meter = DemandMeter()
    >>> for tenth in range(100):
    ...     meter.add(0.2, now=tenth / 10)
    >>> round(meter.slots(now=9.9), 1)
    2.1
    """

    smoothed: float = 0
    """Slots, as of ``updated_at``."""

    updated_at: float = 0
    """When the last request was added."""

    def add(self, seconds: float, now: float) -> None:
        """Add a request that would occupy a slot for some seconds."""
        self.smoothed = self.slots(now) + seconds / _TIME_CONSTANT
        self.updated_at = now

    def slots(self, now: float) -> float:
        """Return the slots in demand."""
        return self.smoothed * exp((self.updated_at - now) / _TIME_CONSTANT)


@dataclass(frozen=True, slots=True)
class DemandReport:
    """Demand that an instance or zone has advertised."""

    demands: dict[ServiceName, _Demands]
    """Demand by service."""

    received_at: float
    """When it arrived."""


@dataclass(frozen=True, slots=True)
class CachedShares:
    """Shares of a service, as computed last."""

    shares: SlotShares
    """The shares."""

    computed_at: float
    """When they were computed."""


@dataclass(slots=True)
class DemandTable:
    """Demand for the slots of all services, by priority and customer.

    Own demand is measured.  That of others is what each instance of the own
    zone and each other zone advertised last, so nothing counts twice.
    """

    own: dict[ServiceName, dict[DemandKey, DemandMeter]] = field(
        default_factory=dict
    )
    """Demand that arrives here."""

    reports: dict[str, DemandReport] = field(default_factory=dict)
    """Demand of others, by instance of the own zone or by other zone."""

    cached: dict[ServiceName, CachedShares] = field(default_factory=dict)
    """Shares by service."""

    advertised_at: float = -inf
    """When the own demand was advertised last."""

    zone_advertised_at: float = -inf
    """When the demand of the own zone was advertised last."""

    # -- own demand

    def record(
        self,
        service: ServiceName,
        key: DemandKey,
        seconds: float,
        now: float,
    ) -> None:
        """Add a request that would occupy a slot for some seconds."""
        meters = self.own.setdefault(service, {})
        meter = meters.get(key)
        if meter is None:
            meter = DemandMeter()
            meters[key] = meter
        meter.add(seconds, now)

    def own_demand(self, service: ServiceName, now: float) -> _Demands:
        """Return the demand that arrives here."""
        meters = self.own.get(service, {})
        return {
            key: CustomerDemand(meter.slots(now))
            for key, meter in meters.items()
        }

    # -- others

    def receive(
        self,
        source: str,
        advertised: Iterable[AdvertisedDemand],
        max_slots: Callable[[ServiceName], float],
        now: float,
    ) -> None:
        """Replace the demand that an instance or zone advertised.

        It counts up to ``max_slots`` of each service, so that a wrong figure
        does bounded harm.
        """
        demands = {
            service: _limited(found, max_slots(service))
            for service, found in decode_demand(advertised).items()
        }
        if not demands:
            # Advertised now and then only; what was advertised expires.
            return
        self.reports[source] = DemandReport(demands, now)

    def forget(self, source: str) -> None:
        """Drop the demand of an instance or zone that is gone."""
        self.reports.pop(source, None)

    def forget_others(self) -> None:
        """Drop what others advertised, as it aged during a suspension."""
        self.reports.clear()

    # -- sums

    def demand_of(self, service: ServiceName, now: float) -> _Demands:
        """Return the demand that arrives at all instances."""
        return self._sum(service, self.reports, now)

    def services(self) -> set[ServiceName]:
        """Return the services for which there is demand anywhere."""
        advertised = (report.demands for report in self.reports.values())
        return set(self.own).union(*advertised)

    def current_shares(
        self, service: ServiceName, now: float
    ) -> SlotShares | None:
        """Return the shares of a service, or None if they are outdated."""
        cached = self.cached.get(service)
        if cached is None or now - cached.computed_at > _SHARES_TTL:
            return None
        return cached.shares

    def update_shares(
        self,
        service: ServiceName,
        slots: float,
        weight_of: Callable[[CustomerName], float],
        now: float,
    ) -> SlotShares:
        """Compute how the slots of a service are shared."""
        demands = self.demand_of(service, now)
        shares = SlotShares.from_demand(demands, slots, weight_of)
        self.cached[service] = CachedShares(shares, now)
        return shares

    # -- advertisements

    def advertise(
        self, services: Iterable[ServiceName], now: float
    ) -> tuple[AdvertisedDemand, ...]:
        """Return the own demand for some services."""
        return tuple(
            advertised
            for service in services
            for advertised in encode_demand(
                service, self.own_demand(service, now), _MAX_CUSTOMERS
            )
        )

    def advertise_zone(
        self,
        services: Iterable[ServiceName],
        peers: Iterable[str],
        now: float,
    ) -> tuple[AdvertisedDemand, ...]:
        """Return the demand of this instance and its zone's other ones."""
        members = [name for name in peers if name in self.reports]
        return tuple(
            advertised
            for service in services
            for advertised in encode_demand(
                service, self._sum(service, members, now), _MAX_ZONE_CUSTOMERS
            )
        )

    def prune(self, now: float) -> None:
        """Forget demand that has ended, here and at others."""
        for service, meters in tuple(self.own.items()):
            for key, meter in tuple(meters.items()):
                if meter.slots(now) < _MIN_DEMAND:
                    meters.pop(key)
            if not meters:
                self.own.pop(service)
                self.cached.pop(service, None)
        for source, report in tuple(self.reports.items()):
            if now - report.received_at > _REPORT_TTL:
                self.forget(source)

    def _sum(
        self, service: ServiceName, sources: Iterable[str], now: float
    ) -> _Demands:
        total = self.own_demand(service, now)
        for source in sources:
            found = self.reports[source].demands.get(service, {})
            for key, demand in found.items():
                known = total.get(key)
                total[key] = _merged(known, demand) if known else demand
        return total


def _merged(one: CustomerDemand, other: CustomerDemand) -> CustomerDemand:
    # Mostly the same customers are left unnamed by each source.
    return CustomerDemand(one.slots + other.slots, max(one.count, other.count))


def _limited(demands: _Demands, max_slots: float) -> _Demands:
    total = sum(demand.slots for demand in demands.values())
    if total <= max_slots:
        return demands
    factor = max_slots / total
    return {
        key: CustomerDemand(demand.slots * factor, demand.count)
        for key, demand in demands.items()
    }
