"""The share of a region's keys whose home is in each region.

Each region mostly requests keys of its own, so a key whose home is near its
callers is answered much sooner and its bytes stay within the region.  But the
upstreams are seldom where the requests come from: a region that sends a third
of all requests may have a tenth of the slots.  So each region keeps as many of
its keys as its slots can serve, and the rest goes to regions with spare slots.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.identity import RegionName, ServiceName
from worksrail.core.steering._catalog import Catalog

# Minimum share of the keys for which a move is started: each key that moves is
# executed cold once.  Waves of traffic that pass within a minute stay below.
_MIN_MOVE: Final = 0.1
# Maximum share of the keys that moves in a second: the operators allow 0.15 of
# a region's requests to change region within two seconds, and callers and
# upstreams that come and go account for some of that.
_MAX_MOVED_PER_SECOND: Final = 0.03
# Seconds between two updates of the shares.
_UPDATE_INTERVAL: Final = 1.0
# Weight of an update in the average demand, and the difference between the
# average and the demand in use from which the latter is replaced.  Waves of
# 0.55 with a period of 36 s move the average by at most 0.08, a lasting change
# of demand moves it by 0.12 in about ten seconds.
_EWMA_WEIGHT: Final = 0.05
_DEMAND_THRESHOLD: Final = 0.12

# Weight of a region without a share, as a multiple of its share of the slots:
# keys have a home there only if no region with a share may serve them.
_LAST_RESORT_WEIGHT: Final = 1e-9

Shares = dict[RegionName, float]


def home_shares(demand: Shares, capacity: Shares, origin: RegionName) -> Shares:
    """Compute the share of one region's keys whose home is in each region.

    Utilization is the same in all regions: each region keeps the keys that its
    slots can serve, and the excess goes to regions with spare slots.
    ``demand`` and ``capacity`` are shares of all requests and of all slots.

    >>> home_shares({'a': 0.5, 'b': 0.5}, {'a': 0.2, 'b': 0.8}, 'a')
    {'b': 0.6, 'a': 0.4}
    """
    own = demand.get(origin, 0)
    kept = min(own, capacity.get(origin, 0)) / own if own > 0 else 1
    if kept >= 1:
        return {origin: 1}
    spare = {
        region: max(0, share - demand.get(region, 0))
        for region, share in capacity.items()
        if region != origin
    }
    total = sum(spare.values())
    if total <= 0:
        return dict(capacity)
    shares = {
        region: (1 - kept) * part / total for region, part in spare.items()
    }
    shares[origin] = kept
    return shares


def capacity_shares(catalog: Catalog, service: ServiceName) -> Shares:
    """Return the share of a service's slots that is in each region."""
    slots: Shares = {}
    for upstream in catalog.usable(service):
        count = upstream.record.slots
        slots[upstream.region] = slots.get(upstream.region, 0) + count
    return _shares(slots)


@dataclass(slots=True)
class RegionShares:
    """The home shares of the own region by service, changed gradually."""

    demand: Shares
    """Share of all requests that each region sends; base of the shares."""

    average: Shares
    """Moving average of the share of requests that each region sends."""

    shares: dict[ServiceName, Shares] = field(default_factory=dict)
    """Share of the own region's keys whose home is in each region."""

    moving: set[ServiceName] = field(default_factory=set)
    """Services whose shares are moving towards their target."""

    generation: int = 0
    """Increases whenever shares change."""

    next_update_at: float = 0
    """When the next update is due."""

    @classmethod
    def from_regions(cls, regions: Iterable[RegionName]) -> 'RegionShares':
        """Start with the same demand in all regions."""
        equal = _shares(dict.fromkeys(sorted(set(regions)), 1))
        return cls(equal, equal)

    def is_due(self, now: float) -> bool:
        """Whether an update is due."""
        return now >= self.next_update_at

    def observe_demand(
        self, rates: Mapping[RegionName, float], now: float
    ) -> None:
        """Add a sample of the requests a second that each region sends."""
        self.next_update_at = now + _UPDATE_INTERVAL
        if sum(rates.values()) <= 0:
            return
        self.average = _interpolate(self.average, _shares(rates), _EWMA_WEIGHT)
        if _moved_share(self.demand, self.average) > _DEMAND_THRESHOLD:
            self.demand = self.average

    def follow(
        self,
        catalog: Catalog,
        service: ServiceName,
        origin: RegionName,
        *,
        shared: bool,
    ) -> None:
        """Move the shares of a service one step towards their target.

        Keys that several regions request have the same home for all of them,
        so the target is then the share of the slots alone.
        """
        shares = self.shares.get(service)
        capacity = capacity_shares(catalog, service)
        if shares is None or not capacity:
            return
        target = (
            capacity if shared else home_shares(self.demand, capacity, origin)
        )
        self._move(service, shares, target)

    def current_shares(
        self,
        catalog: Catalog,
        service: ServiceName,
        origin: RegionName,
    ) -> Shares:
        """Return the share of the own region's keys in each region with slots.

        Regions without a share get a tiny weight, as a last resort.
        """
        capacity = capacity_shares(catalog, service)
        shares = self.shares.get(service)
        if shares is None:
            shares = home_shares(self.demand, capacity, origin)
            self.shares[service] = shares
        return {
            region: shares.get(region, 0) or part * _LAST_RESORT_WEIGHT
            for region, part in capacity.items()
        }

    def _move(
        self,
        service: ServiceName,
        shares: Shares,
        target: Shares,
    ) -> None:
        moved = _moved_share(shares, target)
        if moved <= 0 or (moved < _MIN_MOVE and service not in self.moving):
            self.moving.discard(service)
            return
        step = min(1.0, _MAX_MOVED_PER_SECOND * _UPDATE_INTERVAL / moved)
        if step < 1:
            self.moving.add(service)
        else:
            self.moving.discard(service)
        self.shares[service] = _interpolate(shares, target, step)
        self.generation += 1


def _shares(amounts: Mapping[RegionName, float]) -> Shares:
    total = sum(amounts.values())
    return {region: amount / total for region, amount in amounts.items()}


def _moved_share(shares: Shares, target: Shares) -> float:
    """Return the share of the keys that would move to another region."""
    return sum(
        max(0, share - shares.get(region, 0))
        for region, share in target.items()
    )


def _interpolate(shares: Shares, target: Shares, step: float) -> Shares:
    regions = sorted(shares.keys() | target.keys())
    between = {
        region: shares.get(region, 0) * (1 - step)
        + target.get(region, 0) * step
        for region in regions
    }
    return {region: share for region, share in between.items() if share > 0}
