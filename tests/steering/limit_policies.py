"""Compare policies for limits that upstreams advertise: ``make policies``.

Each policy is simulated in the same scenarios with the same seeds; a tenth of
the datagrams is lost.  A cell gives the maximum number of requests to an
upstream in 4 s, relative to what its limit allows, the used share of all
limits, and how many of the requests were served.
"""

import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from itertools import product
from typing import Final

from tests.steering.limiting_world import (
    GRACE_S,
    Demand,
    LimitingWorld,
    max_allowed,
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
_MEASURED_S: Final = 12


@dataclass(frozen=True, slots=True)
class Scenario:
    """Fleet, load and limits of a simulation."""

    zones: dict[str, int]
    """Number of entries in each zone."""

    asked: float
    """Requests per second."""

    limit: float
    """Limit that upstreams advertise."""

    limited: int = _UPSTREAMS
    """Number of upstreams that advertise it."""

    entries: tuple[str, ...] = ()
    """Entries that callers use; empty means all."""


_SCENARIOS: Final = {
    '9 entries, limit 5 at 12 of 12': Scenario(_NINE, 150, 5),
    '9 entries, limit 5 at 3 of 12': Scenario(_NINE, 150, 5, 3),
    'the same, callers at one entry': Scenario(_NINE, 150, 5, 3, ('a1-0',)),
    '60 entries, limit 0.5 at 3 of 12': Scenario(_SIXTY, 150, 0.5, 3),
    '60 entries, limit 20 at 12 of 12': Scenario(_SIXTY, 300, 20),
}


class _Unlimited(Pacer):
    """Policy that ignores all limits."""

    def permission(self, upstream: str, now: float) -> Permission:
        """Grant everything."""
        return Permission.GRANTED

    obtain = permission


@dataclass(slots=True)
class _FullLimitPerEntry(Pacer):
    """Policy with a token bucket per entry, without messages between entries.

    Each entry uses the full limit.
    """

    buckets: dict[str, TokenBucket] = field(default_factory=dict)
    """Buckets by upstream."""

    def permission(self, upstream: str, now: float) -> Permission:
        """Grant if the bucket of this entry has a token."""
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
        """Return the share of the limit that this entry uses."""
        return 1

    @property
    def others(self) -> Members:
        """All live entries."""
        return self.groups.get(ALL_REGIONS, Members({}, 1))


class _EqualSharePerEntry(_FullLimitPerEntry):
    """Policy in which each entry uses an equal share of the limit."""

    def share(self, upstream: str) -> float:
        """Return an equal share for each entry."""
        return 1 / max(1, len(self.others.peers))


class _ThreeSharers(_FullLimitPerEntry):
    """Policy in which three entries share the limit of an upstream.

    The other entries send it no requests.
    """

    def share(self, upstream: str) -> float:
        """Return a third for three entries, zero for the others."""
        chosen = sorted(
            self.others.peers,
            key=lambda entry: rendezvous_weight(upstream, entry),
        )[:3]
        return 1 / len(chosen) if self.name in chosen else 0


_POLICIES: Final[dict[str, type[Pacer]]] = {
    'limits ignored': _Unlimited,
    'full limit per entry': _FullLimitPerEntry,
    'equal shares': _EqualSharePerEntry,
    'three sharers': _ThreeSharers,
    'tokens of one issuer': Pacer,
}


class _World(LimitingWorld):
    policy: type[Pacer] = Pacer

    def start(self, name: str) -> None:
        super().start(name)
        rates = self.states[name].rates
        old = rates.named
        rates.named = self.policy(old.name, old.peer, old.region, old.region_of)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a simulation."""

    excess: float
    """Maximum of requests in 4 s, relative to what the limit allows."""

    used: float
    """Share of the limits that was used."""

    served: int
    """Number of successful requests."""

    asked: int
    """Number of requests."""


def simulate(policy: str, scenario_name: str, seed: int) -> Outcome:
    """Simulate a policy in a scenario."""
    scenario = _SCENARIOS[scenario_name]
    _World.policy = _POLICIES[policy]
    world = _World(
        scenario.zones,
        _REGIONS,
        0.1,
        upstreams=_UPSTREAMS,
        demand=Demand(scenario.asked, scenario.entries, _KEYS),
        seed=seed,
    )
    names = world.names[: scenario.limited]
    world.wait(2)
    world.set_limit(scenario.limit, *names)
    world.wait(GRACE_S)
    begin, before = world.now, world.codes.copy()
    world.wait(_MEASURED_S)
    codes = world.codes - before
    used = sum(world.count_sends(name, begin) for name in names)
    return Outcome(
        max(map(world.max_in_window, names)) / max_allowed(scenario.limit),
        used / (scenario.limit * len(names) * _MEASURED_S),
        codes['OK'],
        codes.total(),
    )


def table(processes: int) -> Iterator[str]:
    """Yield the lines of a Markdown table with a row for each policy."""
    runs = list(product(_POLICIES, _SCENARIOS, _SEEDS))
    with ProcessPoolExecutor(processes) as pool:
        results = list(pool.map(simulate, *zip(*runs, strict=True)))
    results_by_run = dict(zip(runs, results, strict=True))
    yield f'| policy | {" | ".join(_SCENARIOS)} |'
    yield '|---' * (len(_SCENARIOS) + 1) + '|'
    for policy in _POLICIES:
        cells = [
            _cell([results_by_run[policy, scenario, seed] for seed in _SEEDS])
            for scenario in _SCENARIOS
        ]
        yield f'| {policy} | {" | ".join(cells)} |'


def _cell(runs: list[Outcome]) -> str:
    excess = max(one.excess for one in runs)
    used = sum(one.used for one in runs) / len(runs)
    served = sum(one.served for one in runs)
    asked = sum(one.asked for one in runs)
    return f'{excess:.2f}; {used:.2f}; {served} of {asked}'


def _main(processes: int) -> None:
    for line in table(processes):
        sys.stdout.write(line + '\n')


if __name__ == '__main__':
    _main(int(sys.argv[1]) if len(sys.argv) > 1 else 4)
