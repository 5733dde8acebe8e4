"""How many of a region's keys have their home in each region.

Callers of a region mostly ask for keys of their own, so a key that is at home
near them is answered a long way sooner and its bytes cross no region.  But
upstreams are seldom where the requests are: a region whose callers send a
third of all requests may have a tenth of the slots.  So each region keeps as
many keys as its slots can carry, and the rest goes where slots are left over.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.identity import RegionName, ServiceName
from worksrail.core.steering._catalog import Catalog

# Change of a share that is worth moving keys for: each key that moves is
# executed cold once.  Waves of traffic that pass within a minute stay below.
_WORTH_MOVING: Final = 0.1
# Share of the keys that moves in a second at the most: the operators allow
# 0.15 of a region's requests to change region within two seconds, and callers
# and upstreams that come and go change some themselves.
_MOST_A_SECOND: Final = 0.03
# Seconds between two looks at the shares.
_INTERVAL: Final = 1.0
# What one look changes of the average demand, and how far the average of a
# region may be from what was counted on.  Waves of 0.55 in 36 s move the
# average by 0.08 at the most, a demand that has moved for good by 0.12 in ten
# seconds or so (computed, three regions).
_GAIN: Final = 0.05
_DEMAND_MOVED: Final = 0.12

# What a region without a share weighs, as a multiple of its part of the slots:
# keys have a home there only if no region with a share may serve them.
_LAST_RESORT: Final = 1e-9

Shares = dict[RegionName, float]


def spread(demand: Shares, room: Shares, origin: RegionName) -> Shares:
    """Share of the keys of one region that each region is home to.

    All regions are used alike: each keeps what its part of the room carries,
    and the excess of some goes where others leave room.  ``demand`` and
    ``room`` are shares of all requests and of all slots.

    >>> spread({'a': 0.5, 'b': 0.5}, {'a': 0.2, 'b': 0.8}, 'a')
    {'b': 0.6, 'a': 0.4}
    """
    own = demand.get(origin, 0)
    kept = min(own, room.get(origin, 0)) / own if own > 0 else 1
    if kept >= 1:
        return {origin: 1}
    left = {
        region: max(0, share - demand.get(region, 0))
        for region, share in room.items()
        if region != origin
    }
    total = sum(left.values())
    if total <= 0:
        return dict(room)
    shares = {
        region: (1 - kept) * part / total for region, part in left.items()
    }
    shares[origin] = kept
    return shares


def room_of(catalog: Catalog, service: ServiceName) -> Shares:
    """Share of a service's slots that each region has."""
    slots: Shares = {}
    for upstream in catalog.usable(service):
        count = upstream.record.slots
        slots[upstream.region] = slots.get(upstream.region, 0) + count
    return _shares(slots)


@dataclass(slots=True)
class RegionShares:
    """The shares of the own region, by service; they move slowly."""

    demand: Shares
    """Share of all requests that each region is counted on to send."""

    average: Shares
    """Share that each region has sent lately."""

    shares: dict[ServiceName, Shares] = field(default_factory=dict)
    """Share of the own region's keys that each region is home to."""

    moving: set[ServiceName] = field(default_factory=set)
    """Services whose shares are on their way."""

    generation: int = 0
    """Grows whenever shares change."""

    next_look_at: float = 0
    """When to look next."""

    @classmethod
    def from_regions(cls, regions: Iterable[RegionName]) -> 'RegionShares':
        """Begin with regions that are taken to ask alike."""
        alike = _shares(dict.fromkeys(sorted(set(regions)), 1))
        return cls(alike, alike)

    def is_due(self, now: float) -> bool:
        """Whether to look again."""
        return now >= self.next_look_at

    def observe_demand(
        self, rates: Mapping[RegionName, float], now: float
    ) -> None:
        """Take in how many requests a second each region sends."""
        self.next_look_at = now + _INTERVAL
        if sum(rates.values()) <= 0:
            return
        self.average = _between(self.average, _shares(rates), _GAIN)
        if _gap(self.demand, self.average) > _DEMAND_MOVED:
            self.demand = self.average

    def follow(
        self,
        catalog: Catalog,
        service: ServiceName,
        origin: RegionName,
        *,
        shared: bool,
    ) -> None:
        """Move the shares of a service a step towards what is best now.

        Keys that regions share have one home for all of them.
        """
        shares = self.shares.get(service)
        room = room_of(catalog, service)
        if shares is None or not room:
            return
        wanted = room if shared else spread(self.demand, room, origin)
        self._move(service, shares, wanted)

    def present_shares(
        self,
        catalog: Catalog,
        service: ServiceName,
        origin: RegionName,
    ) -> Shares:
        """Share of the own region's keys that each region with room has."""
        room = room_of(catalog, service)
        shares = self.shares.get(service)
        if shares is None:
            shares = spread(self.demand, room, origin)
            self.shares[service] = shares
        return {
            region: shares.get(region, 0) or part * _LAST_RESORT
            for region, part in room.items()
        }

    def _move(
        self,
        service: ServiceName,
        shares: Shares,
        wanted: Shares,
    ) -> None:
        gap = _gap(shares, wanted)
        if gap <= 0 or (gap < _WORTH_MOVING and service not in self.moving):
            self.moving.discard(service)
            return
        step = min(1.0, _MOST_A_SECOND * _INTERVAL / gap)
        if step < 1:
            self.moving.add(service)
        else:
            self.moving.discard(service)
        self.shares[service] = _between(shares, wanted, step)
        self.generation += 1


def _shares(amounts: Mapping[RegionName, float]) -> Shares:
    total = sum(amounts.values())
    return {region: amount / total for region, amount in amounts.items()}


def _gap(shares: Shares, wanted: Shares) -> float:
    """Share of the keys that would move."""
    return sum(
        max(0, share - shares.get(region, 0))
        for region, share in wanted.items()
    )


def _between(shares: Shares, wanted: Shares, step: float) -> Shares:
    regions = sorted(shares.keys() | wanted.keys())
    moved = {
        region: shares.get(region, 0) * (1 - step)
        + wanted.get(region, 0) * step
        for region in regions
    }
    return {region: share for region, share in moved.items() if share > 0}
