"""Compares ways to keep limits that upstreams name: ``make policies``.

Each way is played on the same loads with the same seeds; a tenth of the
datagrams is lost.  A cell gives the most that an upstream got in 4 s over what
its limit allows, the share of all limits that was used, and how many of the
requests were served.
"""

import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from itertools import product
from typing import Final

from tests.steering.limiting_world import (
    STABLE,
    Demand,
    LimitingWorld,
    allowed,
)
from worksrail.core._rendezvous import rendezvous_weight
from worksrail.core.limits import Members, TokenBucket
from worksrail.core.pacing import ALL_REGIONS, Pacer, Permission

_ZONES: Final = ('a1', 'a2', 'b1', 'b2', 'c1', 'c2')
_REGIONS: Final = {zone: zone[0] for zone in _ZONES}
_NINE: Final = {'a1': 2, 'a2': 1, 'b1': 2, 'b2': 1, 'c1': 2, 'c2': 1}
_SIXTY: Final = dict.fromkeys(_ZONES, 10)
_UPSTREAMS: Final = 12
_KEYS: Final = 120
_SEEDS: Final = (1, 2, 3)
_SECONDS: Final = 12


@dataclass(frozen=True, slots=True)
class Load:
    """What happens in a play."""

    zones: dict[str, int]
    """Entries of each zone."""

    asked: float
    """Requests a second."""

    limit: float
    """Limit that is named."""

    limited: int = _UPSTREAMS
    """Upstreams that name it."""

    entries: tuple[str, ...] = ()
    """Entries that callers use; empty means all."""


_LOADS: Final = {
    '9 entries, 12 of 12 name 5': Load(_NINE, 150, 5),
    '9 entries, 3 of 12 name 5': Load(_NINE, 150, 5, 3),
    'the same, callers at one entry': Load(_NINE, 150, 5, 3, ('a1-0',)),
    '60 entries, 3 of 12 name 0.5': Load(_SIXTY, 150, 0.5, 3),
    '60 entries, 12 of 12 name 20': Load(_SIXTY, 300, 20),
}


class _NothingKept(Pacer):
    """As it was: no limit is read."""

    def permission(self, upstream: str, now: float) -> Permission:
        """Grant everything."""
        return Permission.GRANTED

    obtain = permission


@dataclass(slots=True)
class _Buckets(Pacer):
    """Each entry keeps some rate for itself, without a word."""

    buckets: dict[str, TokenBucket] = field(default_factory=dict)
    """Buckets by upstream."""

    def permission(self, upstream: str, now: float) -> Permission:
        """Grant while the own bucket has a token."""
        rate = self.limits.rate_of(upstream)
        if rate is None:
            return Permission.GRANTED
        bucket = self.buckets.get(upstream)
        if bucket is None:
            bucket = TokenBucket(1, 1, 1, now)
            self.buckets[upstream] = bucket
        own = max(1e-6, rate * self.share(upstream))
        bucket.resize(own, max(1, own * 0.2), now)
        bucket.fill(now)
        granted = bucket.level >= 1
        return Permission.GRANTED if granted else Permission.DENIED

    obtain = permission

    def record_sent(self, upstream: str, now: float) -> None:
        """Take a token."""
        if self.is_limited(upstream):
            self.buckets[upstream].spend(1, now)

    def share(self, upstream: str) -> float:
        """Share of the rate that this entry takes."""
        return 1

    @property
    def others(self) -> Members:
        """All entries that live."""
        return self.groups.get(ALL_REGIONS, Members({}, 1))


class _EqualShares(_Buckets):
    """Each entry takes an equal part."""

    def share(self, upstream: str) -> float:
        """One part of as many as there are entries."""
        return 1 / max(1, len(self.others.peers))


class _FewSharers(_Buckets):
    """A few entries share an upstream, the others leave it alone."""

    def share(self, upstream: str) -> float:
        """One part of three, for three entries."""
        chosen = sorted(
            self.others.peers,
            key=lambda entry: rendezvous_weight(upstream, entry),
        )[:3]
        return 1 / len(chosen) if self.name in chosen else 0


_WAYS: Final[dict[str, type[Pacer]]] = {
    'no limit is read': _NothingKept,
    'each entry keeps the limit': _Buckets,
    'equal shares': _EqualShares,
    'three sharers': _FewSharers,
    'tokens of one issuer': Pacer,
}


class _World(LimitingWorld):
    way: type[Pacer] = Pacer

    def start(self, name: str) -> None:
        super().start(name)
        rates = self.states[name].rates
        old = rates.named
        rates.named = self.way(old.name, old.peer, old.region, old.region_of)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What came of one play."""

    excess: float
    """Most in 4 s over what is allowed."""

    used: float
    """Share of the limits that was used."""

    served: int
    """Requests with a success."""

    asked: int
    """All requests."""


def play(way: str, load_name: str, seed: int) -> Outcome:
    """One play."""
    load = _LOADS[load_name]
    _World.way = _WAYS[way]
    world = _World(
        load.zones,
        _REGIONS,
        0.1,
        upstreams=_UPSTREAMS,
        demand=Demand(load.asked, load.entries, _KEYS),
        seed=seed,
    )
    names = world.names[: load.limited]
    world.wait(2)
    world.limit(load.limit, *names)
    world.wait(STABLE)
    begin, before = world.now, world.codes.copy()
    world.wait(_SECONDS)
    codes = world.codes - before
    used = sum(world.reached(name, begin) for name in names)
    return Outcome(
        max(map(world.worst, names)) / allowed(load.limit),
        used / (load.limit * len(names) * _SECONDS),
        codes['OK'],
        codes.total(),
    )


def table(processes: int) -> Iterator[str]:
    """Lines of a Markdown table, a way a row."""
    plays = list(product(_WAYS, _LOADS, _SEEDS))
    with ProcessPoolExecutor(processes) as pool:
        results = list(pool.map(play, *zip(*plays, strict=True)))
    found = dict(zip(plays, results, strict=True))
    yield f'| way | {" | ".join(_LOADS)} |'
    yield '|---' * (len(_LOADS) + 1) + '|'
    for way in _WAYS:
        cells = [
            _cell([found[way, load, seed] for seed in _SEEDS])
            for load in _LOADS
        ]
        yield f'| {way} | {" | ".join(cells)} |'


def _cell(plays: list[Outcome]) -> str:
    worst = max(one.excess for one in plays)
    used = sum(one.used for one in plays) / len(plays)
    served = sum(one.served for one in plays)
    asked = sum(one.asked for one in plays)
    return f'{worst:.2f}; {used:.2f}; {served} of {asked}'


def _main(processes: int) -> None:
    for line in table(processes):
        sys.stdout.write(line + '\n')


if __name__ == '__main__':
    _main(int(sys.argv[1]) if len(sys.argv) > 1 else 4)
