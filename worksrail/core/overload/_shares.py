"""The order in which requests get the slots of a service that is short of them.

More urgent priorities go first.  Within a priority, slots are shared among
customers in proportion to their weights, and what one does not use is left to
the others (weighted max-min fairness).  A request has a *position*: the demand
that goes before it, over the slots.  Requests at positions below one fit into
the slots.

Each instance computes positions by itself.  A request draws its place within
the demand of its customer at random, so instances that know the same demand
admit the right amount together without a message for each request.
"""

from bisect import bisect_right
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from itertools import accumulate
from typing import Final, NamedTuple

from worksrail.core.customers import CustomerName

# Factor by which the demand of more urgent priorities is taken to be higher
# where it comes before a request: it varies by about that within the time of an
# execution, and is known to about that.
_HEADROOM: Final = 1.3
# Stands for the customers that are not named one by one.
_REST: Final = '\0rest'


class DemandKey(NamedTuple):
    """What demand is counted by at one service."""

    priority: int
    """Priority; zero is the most urgent."""

    customer: CustomerName
    """Customer; empty for requests without one."""

    @classmethod
    def of_rest(cls, priority: int) -> 'DemandKey':
        """Return the key of the customers that are not named one by one."""
        return cls(priority, _REST)


@dataclass(frozen=True, slots=True)
class CustomerDemand:
    """Demand of a customer, or of several that are not named one by one."""

    slots: float
    """Slots that its requests would occupy on average."""

    count: int = 1
    """Number of customers."""


@dataclass(frozen=True, slots=True)
class _Levels:
    """The customers of one priority, ordered by demand over weight.

    A *level* is the same share of slots, per weight, for each of them.
    """

    max_levels: tuple[float, ...]
    """Demand over weight of each, ascending."""

    demand_below: tuple[float, ...]
    """Sum of the demands before each, and of all."""

    weight_above: tuple[float, ...]
    """Sum of the weights from each on; zero after the last."""

    @classmethod
    def from_demands(cls, demands: list[tuple[float, float]]) -> '_Levels':
        """Order pairs of demand and weight."""
        ordered = sorted(demands, key=lambda pair: pair[0] / pair[1])
        weights = accumulate(
            (weight for _, weight in reversed(ordered)), initial=0
        )
        return cls(
            tuple(demand / weight for demand, weight in ordered),
            tuple(accumulate((demand for demand, _ in ordered), initial=0)),
            tuple(reversed(tuple(weights))),
        )

    def demand_at(self, level: float) -> float:
        """Return the slots used if each customer gets at most a level."""
        index = bisect_right(self.max_levels, level)
        return self.demand_below[index] + level * self.weight_above[index]


@dataclass(frozen=True, slots=True)
class SlotShares:
    """How the slots of one service are shared.

    >>> shares = SlotShares.from_demand(
    ...     {
    ...         DemandKey(0, 'a'): CustomerDemand(2),
    ...         DemandKey(0, 'b'): CustomerDemand(6),
    ...     },
    ...     slots=8,
    ...     weight_of=lambda customer: 1,
    ... )
    >>> shares.position(DemandKey(0, 'a'), 0.5)
    0.25
    >>> shares.position(DemandKey(0, 'b'), 0.5)
    0.625
    """

    slots: float
    """Slots of the service."""

    total: float
    """Demand over the slots."""

    before: dict[int, float]
    """Demand in slots of all more urgent priorities, by priority."""

    levels: dict[int, _Levels]
    """Customers by priority."""

    max_levels: dict[DemandKey, float]
    """Demand over weight."""

    @classmethod
    def from_demand(
        cls,
        demands: Mapping[DemandKey, CustomerDemand],
        slots: float,
        weight_of: Callable[[CustomerName], float],
    ) -> 'SlotShares':
        """Order the demand for the slots of a service.

        Those not named one by one weigh as much as the average customer of
        their priority for each of them.
        """
        before: dict[int, float] = {}
        levels: dict[int, _Levels] = {}
        max_levels: dict[DemandKey, float] = {}
        total: float = 0
        for priority in sorted({key.priority for key in demands}):
            of_priority = {
                key: demand
                for key, demand in demands.items()
                if key.priority == priority
            }
            weights = _weights(of_priority, weight_of)
            before[priority] = total * _HEADROOM
            levels[priority] = _Levels.from_demands(
                [
                    (demand.slots, weights[key])
                    for key, demand in of_priority.items()
                ]
            )
            max_levels.update(
                (key, demand.slots / weights[key])
                for key, demand in of_priority.items()
            )
            total += sum(demand.slots for demand in of_priority.values())
        slots = max(slots, 1)
        return cls(slots, total / slots, before, levels, max_levels)

    def position(self, key: DemandKey, draw: float) -> float:
        """Return the position of a request.

        ``draw`` from 0 to 1 is its place within the demand of its customer.
        """
        levels = self.levels.get(key.priority)
        if levels is None:
            return self._demand_before(key.priority) / self.slots
        max_level = self.max_levels.get(key)
        if max_level is None:
            max_level = self.max_levels.get(DemandKey.of_rest(key.priority), 0)
        ahead = self.before[key.priority] + levels.demand_at(draw * max_level)
        return ahead / self.slots

    def _demand_before(self, priority: int) -> float:
        # No demand of this priority is known; that of the next less urgent
        # one comes after the same demand.
        less_urgent = [one for one in self.before if one > priority]
        if less_urgent:
            return self.before[min(less_urgent)]
        return self.total * self.slots


def _weights(
    demands: Mapping[DemandKey, CustomerDemand],
    weight_of: Callable[[CustomerName], float],
) -> dict[DemandKey, float]:
    named = {
        key: weight_of(key.customer) for key in demands if key.customer != _REST
    }
    average = sum(named.values()) / len(named) if named else 1
    return {
        key: named.get(key, average * demand.count)
        for key, demand in demands.items()
    }
