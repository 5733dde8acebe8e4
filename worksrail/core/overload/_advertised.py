"""Demand for the slots of a service, as instances advertise it."""

from collections.abc import Iterable, Iterator, Mapping
from heapq import nlargest
from typing import Final

import msgspec

from worksrail.core.customers import CustomerName
from worksrail.core.identity import ServiceName
from worksrail.core.overload._shares import CustomerDemand, DemandKey

# Resolution: demands are advertised in thousandths of a slot.
_STEPS_PER_SLOT: Final = 1000


class AdvertisedDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand of one priority at one service, in thousandths of a slot."""

    service: ServiceName
    """The service."""

    priority: int
    """The priority; zero is the most urgent."""

    customers: dict[CustomerName, int] = {}
    """Demand by customer, of those with the most demand; requests without a
    customer have an empty name."""

    rest: int = 0
    """Demand of all other customers together."""

    rest_count: int = 0
    """Number of these other customers."""


def encode_demand(
    service: ServiceName,
    demands: Mapping[DemandKey, CustomerDemand],
    max_customers: int,
) -> Iterator[AdvertisedDemand]:
    """Yield what to advertise of a service, for each priority.

    Only the ``max_customers`` with the most demand are named.
    """
    named = {
        key: _steps(demand.slots)
        for key, demand in demands.items()
        if demand.count == 1
    }
    largest = set(nlargest(max_customers, named, key=lambda key: named[key]))
    for priority in sorted({key.priority for key in demands}):
        customers = {
            key.customer: steps
            for key, steps in named.items()
            if key.priority == priority and key in largest and steps
        }
        unnamed = [
            demand
            for key, demand in demands.items()
            if key.priority == priority and key not in largest
        ]
        rest = _steps(sum(demand.slots for demand in unnamed))
        count = sum(demand.count for demand in unnamed)
        if customers or rest:
            yield AdvertisedDemand(service, priority, customers, rest, count)


def decode_demand(
    advertised: Iterable[AdvertisedDemand],
) -> dict[ServiceName, dict[DemandKey, CustomerDemand]]:
    """Return advertised demand in slots, by service; negatives are ignored."""
    found: dict[ServiceName, dict[DemandKey, CustomerDemand]] = {}
    for one in advertised:
        demands = found.setdefault(one.service, {})
        for customer, steps in one.customers.items():
            demands[DemandKey(one.priority, customer)] = CustomerDemand(
                max(0, steps) / _STEPS_PER_SLOT
            )
        if one.rest > 0:
            demands[DemandKey.of_rest(one.priority)] = CustomerDemand(
                one.rest / _STEPS_PER_SLOT, count=max(1, one.rest_count)
            )
    return found


def _steps(slots: float) -> int:
    return round(slots * _STEPS_PER_SLOT)
