"""Home regions of keys: near their callers as far as slots allow."""

from collections import Counter
from dataclasses import replace
from math import sin, tau

import msgspec
import pytest

from tests.steering.world import (
    World,
    configuration,
    contact,
    digest,
    of_type,
    route,
    settings,
    upstream,
    zone_digest,
)
from worksrail.core.identity import Incarnation
from worksrail.core.steering import KeySketch, SteeringState, reduce
from worksrail.core.steering._key_overlap import KeyOverlap
from worksrail.core.steering._region_shares import home_shares
from worksrail.core.steering.effects import SendDigest, SendUpstream
from worksrail.core.steering.events import (
    AttemptEnded,
    AttemptOutcome,
    ConfigurationRead,
    DigestReceived,
    EvacuationsRead,
    RequestArrived,
    SteeredHead,
    Ticked,
    UpstreamsChanged,
    UpstreamsListed,
)

_EVEN = {'a': 1 / 3, 'b': 1 / 3, 'c': 1 / 3}
_REGIONS = {'a1': 'a', 'b1': 'b', 'c1': 'c'}
# Seconds of an execution.
_EXECUTION = 0.1


@pytest.mark.parametrize(
    ('demand', 'capacity', 'origin', 'expected'),
    [
        (_EVEN, _EVEN, 'a', {'a': 1}),
        (_EVEN, {'a': 0.1, 'b': 0.4, 'c': 0.5}, 'b', {'b': 1}),
        (
            _EVEN,
            {'a': 0.1, 'b': 0.4, 'c': 0.5},
            'a',
            {'a': 0.3, 'b': 0.2, 'c': 0.5},
        ),
        (_EVEN, {'b': 0.5, 'c': 0.5}, 'a', {'a': 0, 'b': 0.5, 'c': 0.5}),
        ({'a': 1}, {'a': 0.25, 'b': 0.75}, 'a', {'a': 0.25, 'b': 0.75}),
        ({'a': 0, 'b': 1}, {'a': 0.5, 'b': 0.5}, 'a', {'a': 1}),
    ],
    ids=[
        'even',
        'enough slots',
        'too few slots',
        'no slots',
        'all demand',
        'no demand',
    ],
)
def test_keys_stay_in_their_region_as_far_as_slots_allow(
    demand: dict[str, float],
    capacity: dict[str, float],
    origin: str,
    expected: dict[str, float],
) -> None:
    found = home_shares(demand, capacity, origin)
    assert found == pytest.approx(expected)
    assert sum(found.values()) == pytest.approx(1)


@pytest.mark.parametrize('shares', [(0.1, 0.4, 0.5), (0.3, 0.3, 0.4)])
def test_regions_have_the_same_utilization(
    shares: tuple[float, float, float],
) -> None:
    capacity = dict(zip('abc', shares, strict=True))
    load: Counter[str] = Counter()
    for origin, asked in _EVEN.items():
        for region, share in home_shares(_EVEN, capacity, origin).items():
            load[region] += asked * share
    assert dict(load) == pytest.approx(capacity)


class _Region:
    """One entry of a region and the upstreams that its requests reach."""

    def __init__(self, zone: str, slots: dict[str, int]) -> None:
        given = replace(
            settings(zone),
            zone=zone,
            region=_REGIONS[zone],
            regions=_REGIONS,
        )
        self.now = 100.0
        self.state = SteeringState.from_settings(
            given, Incarnation(zone, 1), self.now, 7
        )
        self.zones = {
            f'{place}-{number}': place
            for place, count in slots.items()
            for number in range(count)
        }
        records = tuple(
            upstream(name, zone=place) for name, place in self.zones.items()
        )
        for event in (
            ConfigurationRead(self.now, configuration(1, (route(),)), 1),
            UpstreamsListed(self.now, records, 1),
            EvacuationsRead(self.now, frozenset(), 1),
        ):
            reduce(self.state, event)
        self.requests = 0
        self.ticks = 0

    def tick(self, seconds: float) -> None:
        """Advance time; the other regions advertise the same request rate."""
        self.now += seconds
        self.ticks += 1
        rate = self.state.arrivals.rate(self.now)
        for zone, region in _REGIONS.items():
            if zone != self.state.settings.zone:
                member = contact(zone, zone=zone, region=region, rate=rate)
                received = zone_digest(zone, [member], self.ticks)
                reduce(self.state, DigestReceived(self.now, received))
        reduce(self.state, Ticked(self.now))

    def ask(self, key: str) -> str:
        """Send a request, answer it, and return the zone of its upstream."""
        self.requests += 1
        head = SteeredHead(
            f't{self.requests}', 'orders.example', 'GET', '/read/x', 2.0, key
        )
        effects = reduce(
            self.state, RequestArrived(self.now, self.requests, head)
        )
        (sent,) = of_type(effects, SendUpstream)
        self.tick(_EXECUTION)
        reduce(
            self.state,
            AttemptEnded(
                self.now,
                self.requests,
                sent.attempt,
                AttemptOutcome.ANSWERED,
                200,
            ),
        )
        return self.zones[sent.upstream]

    def homes(self, count: int = 400) -> dict[str, str]:
        """Return the primary home of some keys."""
        state = self.state
        homes = {
            key: state.affinity.homes_of(
                state.catalog,
                state.region_shares,
                state.settings.region,
                'orders',
                key,
            )
            for key in map(str, range(count))
        }
        return {key: names[0] for key, names in homes.items()}


# Upstreams of three slots by zone: zone a1 has a tenth of the slots and a third
# of the requests.
_UNEVEN = {'a1': 2, 'b1': 8, 'c1': 10}


def test_callers_are_served_in_their_region() -> None:
    # If homes followed slots alone, a third of the requests would stay in their
    # region.  Here all requests of two regions do, and as many of the third
    # region as its tenth of the slots can serve.
    served: Counter[str] = Counter()
    near = 0
    for zone in _REGIONS:
        entry = _Region(zone, _UNEVEN)
        for number in range(300):
            place = entry.ask(f'{zone}-{number}')
            served[place] += 1
            near += place == zone
    assert near / 900 > 0.7
    for zone, count in _UNEVEN.items():
        assert served[zone] / 900 == pytest.approx(count / 20, abs=0.04)


def test_entries_of_a_region_agree_on_a_key() -> None:
    one = _Region('a1', _UNEVEN)
    two = _Region('a1', _UNEVEN)
    for _ in range(5):
        one.ask('k')
        two.tick(1.0)
    assert one.homes() == two.homes()


def _moved(before: dict[str, str], after: dict[str, str]) -> float:
    changed = sum(before[key] != after[key] for key in before)
    return changed / len(before)


def test_homes_move_gradually_when_demand_changes() -> None:
    # A region may move at most 0.15 of its requests within two seconds.
    entry = _Region('a1', _UNEVEN)
    before = entry.homes()
    entry.state.region_shares.demand = {'a': 0.05, 'b': 0.05, 'c': 0.9}
    total = 0.0
    for _ in range(20):
        entry.tick(1.0)
        entry.tick(1.0)
        entry.state.region_shares.demand = {'a': 0.05, 'b': 0.05, 'c': 0.9}
        after = entry.homes()
        assert _moved(before, after) < 0.12
        total += _moved(before, after)
        before = after
    assert total > 0.6
    assert {home[0] for home in before.values()} == {'a'}


def test_region_without_upstreams_is_served_by_other_regions() -> None:
    entry = _Region('b1', _UNEVEN)
    assert {home[0] for home in entry.homes().values()} == {'b'}
    gone = tuple(name for name in entry.zones if name.startswith('b1'))
    reduce(entry.state, UpstreamsChanged(entry.now, (), gone))
    homes = Counter(home[0] for home in entry.homes().values())
    assert set(homes) == {'a', 'c'}
    # In proportion to their slots, which are two to ten.
    assert homes['c'] / homes['a'] > 3


def test_waves_of_demand_move_no_homes() -> None:
    entry = _Region('a1', _UNEVEN)
    before = entry.homes()
    for second in range(72):
        swing = sin(tau * second / 36) * 0.55 / 3
        entry.state.region_shares.observe_demand(
            {'a': 1 / 3 + swing, 'b': 1 / 3 - swing, 'c': 1 / 3}, entry.now
        )
        entry.tick(1.0)
        assert entry.homes() == before


def _sketches(near: range, far: range) -> KeyOverlap:
    key_overlap = KeyOverlap()
    other = KeyOverlap()
    for number in near:
        key_overlap.record_key('orders', f'k{number}', 1)
    for number in far:
        other.record_key('orders', f'k{number}', 1)
    hashes = other.sketch('orders', [], 1)
    key_overlap.set_sketch('zone b1', 'b', 'orders', hashes, 1)
    return key_overlap


@pytest.mark.parametrize(
    ('far', 'shared'),
    [
        (range(200, 400), False),
        (range(200), True),
        (range(100, 300), True),
        (range(198, 400), False),
    ],
    ids=['disjoint', 'the same', 'half the same', 'a few the same'],
)
def test_shared_keys_are_detected(
    far: range,
    shared: bool,
) -> None:
    key_overlap = _sketches(range(200), far)
    assert key_overlap.is_shared('orders', 'a', 2) is shared
    assert not key_overlap.is_shared('stock', 'a', 2)


def test_sketch_that_is_no_longer_advertised_expires() -> None:
    key_overlap = _sketches(range(200), range(200))
    assert not key_overlap.is_shared('orders', 'a', 40)
    assert not key_overlap.reported['orders']


def test_shared_keys_get_the_same_home_in_all_regions() -> None:
    entry = _Region('a1', _UNEVEN)
    other = _Region('b1', _UNEVEN)
    assert entry.homes() != other.homes()
    for second in range(40):
        for one, region in ((entry, 'b'), (other, 'a')):
            one.ask(f'k{second % 4}')
            hashes = one.state.key_overlap.sketch('orders', [], one.now)
            one.state.key_overlap.set_sketch(
                'z', region, 'orders', hashes, one.now
            )
            one.tick(1.0)
    assert entry.homes() == other.homes()


def test_sketches_are_taken_from_digests() -> None:
    world = World((route(),), (upstream('1'),))
    sketch = KeySketch('orders', (1, 2, 3))
    world.run(
        DigestReceived(
            world.now, msgspec.structs.replace(digest('two'), keys=sketch)
        ),
        DigestReceived(
            world.now,
            msgspec.structs.replace(
                zone_digest('far', [contact('far', zone='b1', region='b')]),
                keys=sketch,
            ),
        ),
    )
    assert world.state.key_overlap.sketch('orders', ['two'], world.now) == (
        1,
        2,
        3,
    )
    assert world.state.key_overlap.is_shared('orders', 'a', world.now)


def test_entry_advertises_a_sketch_of_its_keys() -> None:
    world = World((route(),), (upstream('1', slots=50),))
    for number in range(20):
        world.ask(key=f'k{number}')
    sent = [
        effect.digest.keys for effect in of_type(world.wait(2.5), SendDigest)
    ]
    (keys,) = {one for one in sent if one.service}
    assert keys.service == 'orders'
    assert keys.hashes == world.state.key_overlap.sketch(
        'orders', [], world.now
    )
    assert len(keys.hashes) == 8
    # Most digests carry no sketch, since the shared keys change slowly.
    assert sum(bool(one.service) for one in sent) <= len(sent) / 4
