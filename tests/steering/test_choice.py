"""The choice of the upstream for a request."""

import pickle
from collections import Counter

import pytest

from tests.steering.world import World, digest, route, upstream
from worksrail.core.steering import Catalog, RouteKind, ServiceWeight
from worksrail.core.steering._ring import Ring, probes_of
from worksrail.core.steering.events import (
    AttemptOutcome,
    DigestReceived,
    EvacuationsRead,
    UpstreamsChanged,
)

_SIX = tuple(upstream(str(name)) for name in range(6))


def _answers(world: World, count: int, key: str = '', gap: float = 0.1) -> str:
    """Return the upstreams of successive requests, one at a time."""
    names = []
    for _ in range(count):
        number = world.ask(key=key)
        names += world.sent(number)
        world.wait(gap)
        world.end(number)
    return ''.join(names)


def test_key_stays_at_its_upstream() -> None:
    world = World((), _SIX)
    assert len(set(_answers(world, 10, 'k'))) == 1


def test_keys_spread_over_upstreams() -> None:
    world = World((), _SIX)
    used = {_answers(world, 1, f'k{number}') for number in range(60)}
    assert len(used) == len(_SIX)


def test_all_entries_agree_on_a_key() -> None:
    first = World((), _SIX)
    second = World((), tuple(reversed(_SIX)), name='two')
    for number in range(20):
        key = f'k{number}'
        assert _answers(first, 1, key) == _answers(second, 1, key)


def test_keys_of_other_upstreams_stay_when_one_goes() -> None:
    world = World((), _SIX)
    keys = [f'k{number}' for number in range(40)]
    before = {key: _answers(world, 1, key) for key in keys}
    world.run(UpstreamsChanged(world.now, (), ('3',)))
    after = {key: _answers(world, 1, key) for key in keys}
    moved = {key for key in keys if before[key] != after[key]}
    assert moved == {key for key in keys if before[key] == '3'}


@pytest.mark.parametrize('count', [40, 400])
def test_memory_for_a_key_does_not_grow_with_the_upstreams(
    count: int,
) -> None:
    # The order of all 395 upstreams for each of 500 keys took 9.4 MB.
    world = World((), tuple(upstream(f'i-{name:08x}') for name in range(count)))
    for number in range(30):
        _answers(world, 1, f'k{number}', gap=0.05)
    kept = world.state.affinity.homes
    assert len(kept) == 30
    assert pickle.dumps(kept).count(b'i-') <= 60


def _ring(slots: dict[str, int]) -> Ring:
    records = [upstream(name, slots=count) for name, count in slots.items()]
    catalog = Catalog({'a1': 'a'})
    catalog.replace(records, 0)
    return Ring.from_upstreams(catalog.usable('orders'))


def _owners(ring: Ring, keys: int) -> dict[str, str]:
    probes = {str(key): probes_of(str(key)) for key in range(keys)}
    return {key: next(ring.nearest(found)) for key, found in probes.items()}


def test_keys_are_spread_in_proportion_to_slots() -> None:
    slots = {str(name): 3 for name in range(20)}
    slots |= {f'large-{name}': 9 for name in range(20)}
    owners = Counter(_owners(_ring(slots), 8000).values())
    large = sum(owners[name] for name in slots if name.startswith('large'))
    assert 2.6 < large / (8000 - large) < 3.4
    # With a single probe the busiest would have several times its part.
    busiest = max(owners[name] / slots[name] for name in slots)
    assert busiest < 1.4 * 8000 / sum(slots.values())


@pytest.mark.parametrize('count', [1, 2, 5, 60])
def test_ring_moves_only_the_keys_of_a_removed_upstream(count: int) -> None:
    slots = {str(name): 1 + name % 5 for name in range(count)}
    before = _owners(_ring(slots), 500)
    without = {name: slots[name] for name in slots if name != '0'}
    if not without:
        assert list(_ring(without).nearest(probes_of('k'))) == []
        return
    after = _owners(_ring(without), 500)
    moved = {key for key in before if before[key] != after[key]}
    assert moved == {key for key in before if before[key] == '0'}


@pytest.mark.parametrize('count', [1, 3, 40])
def test_ring_yields_every_upstream_once(count: int) -> None:
    slots = {str(name): 2 for name in range(count)}
    names = list(_ring(slots).nearest(probes_of('k')))
    assert sorted(names) == sorted(slots)


def test_load_advertised_by_other_entries_counts() -> None:
    pair = (upstream('1'), upstream('2'))
    world = World((route(affinity=False),), pair)
    busy = _answers(world, 1)
    world.run(DigestReceived(world.now, digest('two', in_flight={busy: 3})))
    assert _answers(world, 1) != busy


def test_load_of_a_silent_entry_is_dropped() -> None:
    world = World((), _SIX)
    world.run(DigestReceived(world.now, digest('two', in_flight={'1': 3})))
    assert world.state.loads.of('1').in_flight == 3
    world.wait(1.5)
    assert world.state.loads.of('1').in_flight == 0


@pytest.mark.parametrize(
    'change',
    [
        UpstreamsChanged(0, (upstream('1', draining=True, sequence=2),), ()),
        UpstreamsChanged(0, (), ('1',)),
        EvacuationsRead(0, frozenset({'a1'})),
    ],
    ids=['draining', 'gone', 'evacuated'],
)
def test_unusable_upstream_gets_no_requests(change: object) -> None:
    other = upstream('2', zone='a2')
    world = World((), (upstream('1'), other))
    world.run(type(change)(world.now, *_arguments(change)))
    assert set(_answers(world, 8)) == {'2'}


def _arguments(change: object) -> tuple[object, ...]:
    if isinstance(change, EvacuationsRead):
        return (change.zones,)
    assert isinstance(change, UpstreamsChanged)
    return change.records, change.removed


def test_repeat_is_not_sent_to_an_upstream_that_is_draining_by_then() -> None:
    trio = tuple(upstream(name) for name in ('1', '2', '3'))
    world = World((), trio)
    number = world.ask()
    (first,) = world.sent(number)
    left = next(name for name in ('1', '2', '3') if name != first)
    world.run(
        UpstreamsChanged(
            world.now, (upstream(left, draining=True, sequence=2),), ()
        )
    )
    world.end(number, AttemptOutcome.NOT_EXECUTED)
    assert left not in world.sent(number)
    assert len(world.sent(number)) == 2


def test_misdirected_upstream_gets_no_further_requests() -> None:
    world = World((), (upstream('1'), upstream('2')))
    number = world.ask()
    (wrong,) = world.sent(number)
    world.end(number, AttemptOutcome.OTHER_UPSTREAM)
    assert wrong not in set(_answers(world, 6))


def test_request_stays_within_the_allowed_regions() -> None:
    abroad = upstream('9', zone='b1')
    near = upstream('1', slots=1)
    world = World((route(regions=frozenset({'b'})),), (near, abroad))
    assert set(_answers(world, 5)) == {'9'}


def test_download_prefers_its_region() -> None:
    world = World(
        (route(kind=RouteKind.DOWNLOAD),),
        tuple(
            upstream(str(number), zone='b1' if number % 2 else 'a1')
            for number in range(6)
        ),
    )
    used = {_answers(world, 1, f'k{number}') for number in range(30)}
    assert used <= {'0', '2', '4'}


def test_split_keeps_its_weights() -> None:
    parts = (ServiceWeight('orders', 3), ServiceWeight('stock', 1))
    world = World(
        (route(parts=parts),),
        (upstream('1', slots=90), upstream('9', service='stock', slots=90)),
    )
    counts = Counter(world.sent(world.ask())[0] for _ in range(80))
    assert counts == {'1': 60, '9': 20}


def test_failing_upstream_is_ejected_then_tried_again() -> None:
    world = World((route(max_attempts=1),), (upstream('1'), upstream('2')))
    bad = world.sent(world.ask(key='k'))[0]
    world.end(world.requests, AttemptOutcome.BROKE_BEFORE_ANSWER)
    for _ in range(2):
        world.ask(key='k')
        world.end(world.requests, AttemptOutcome.BROKE_BEFORE_ANSWER)
    assert bad not in _answers(world, 4, 'k', gap=0.2)
    world.wait(2)
    assert bad in _answers(world, 4, 'k', gap=0.2)


def test_last_upstream_is_used_even_if_it_fails() -> None:
    world = World((route(max_attempts=1),), (upstream('1'),))
    for _ in range(6):
        number = world.ask()
        assert world.sent(number) == ['1']
        world.end(number, AttemptOutcome.BROKE_BEFORE_ANSWER)


def test_slow_upstream_temporarily_loses_its_keys() -> None:
    world = World((), _SIX)
    own = _answers(world, 1, 'k')
    for _ in range(6):
        number = world.ask(key='k')
        world.wait(1.9)
        # The slow one answers, not a second one that was asked meanwhile.
        world.end(number, attempt=1)
    assert own not in _answers(world, 2, 'k')


def test_first_executions_of_keys_do_not_count_as_slowness() -> None:
    # A new service executes every key cold once.  If that counted as slowness,
    # keys would move to upstreams where they are cold again.
    world = World((route(target_latency=0.4),), _SIX)
    cold = 0.6
    used = set()
    for number in range(60):
        request = world.ask(key=f'k{number}')
        used.update(world.sent(request))
        world.wait(cold)
        world.end(request)
    assert len(used) == len(_SIX)
    for name in used:
        assert world.state.loads.of(name).slowness == 1


def test_executions_of_evicted_keys_do_not_count_as_slowness() -> None:
    # An upstream with a small cache may have evicted a key that it served a
    # moment ago: the next execution takes as long as one with a cold key, which
    # does not mean that the upstream is slow.
    world = World((route(target_latency=0.4),), _SIX)
    own = _answers(world, 1, 'k', gap=0.18)
    for taken in (0.18, 0.55, 0.55, 0.55, 0.55):
        assert _answers(world, 1, 'k', gap=taken) == own
    assert world.state.loads.of(own).current_slowness(world.now) < 1.1


def test_execution_times_without_keys_are_measured() -> None:
    world = World((route(affinity=False, target_latency=0.4),), _SIX)
    _answers(world, 40, gap=0.3)
    times = world.state.warm_keys.times_of(route(affinity=False), 'orders')
    assert times.warm.typical == pytest.approx(0.3, abs=0.02)


@pytest.mark.parametrize(('others', 'most'), [(0, 15), (2, 6)])
def test_cold_upstream_gets_its_rate_over_all_entries(
    others: int, most: int
) -> None:
    cold = upstream('1', cold_time=30, slots=99)
    world = World((), (cold,), cold_rate=14)
    for name in range(others):
        world.run(DigestReceived(world.now, digest(f'other{name}')))
    begin = world.now
    count = 0
    while world.now < begin + 1:
        number = world.ask(time_left=2.0)
        count += len(world.sent(number))
        world.now += 0.01
    assert 1 < count <= most


def test_cold_upstream_of_another_region_gets_no_requests() -> None:
    cold = upstream('1', cold_time=30, zone='b1')
    world = World((), (cold,), cold_rate=14)
    assert not world.sent(world.ask())


def test_key_spills_to_one_other_upstream() -> None:
    # Found in the scenario scale-1 of tally-ja: when keys spilled to any
    # upstream, all upstreams evicted the keys whose home they were.
    world = World((), _SIX)
    used = set()
    for _ in range(8):
        used.update(world.sent(world.ask(key='k')))
    assert len(used) == 2


@pytest.mark.parametrize(
    ('elsewhere', 'stays'), [(0, False), (1, False), (2, True), (3, True)]
)
def test_key_stays_at_its_upstream_while_slots_are_scarce(
    elsewhere: int, stays: bool
) -> None:
    # A cold execution occupies a slot several times as long as a warm one:
    # while slots are scarce everywhere, queueing at the warm upstream serves
    # more requests.
    world = World((), _SIX)
    own = _answers(world, 1, 'k')
    busy = {str(name): elsewhere for name in range(6)} | {own: 6}
    world.run(DigestReceived(world.now, digest('two', in_flight=busy)))
    # This is a retry after a refusal, so it may queue for its target latency.
    number = world.ask(key='k', time_left=1.7)
    assert (world.sent(number) == [own]) is stays


def test_upstream_that_fails_some_requests_loses_its_keys() -> None:
    # There are never three consecutive failures, so it is not ejected.
    world = World((), (upstream('1'), upstream('2')))
    bad = world.sent(world.ask(key='k'))[0]
    world.end(world.requests)
    chosen = ''
    for number in range(40):
        world.wait(0.2)
        chosen = world.sent(world.ask(key='k'))[0]
        world.wait(0.15)
        failed = chosen == bad and number % 2
        world.end(world.requests, status=500 if failed else 200)
        if chosen != bad:
            break
    assert chosen != bad


def test_single_failure_moves_no_key() -> None:
    world = World((), (upstream('1'), upstream('2')))
    home = world.sent(world.ask(key='k'))[0]
    world.end(world.requests, status=500)
    assert _answers(world, 4, 'k', gap=0.2) == home * 4


def test_key_stays_where_its_repeat_was_executed() -> None:
    world = World((), (upstream('1'), upstream('2')))
    number = world.ask(key='k')
    world.end(number, AttemptOutcome.NOT_EXECUTED)
    _, other = world.sent(number)
    world.wait(0.18)
    world.end(number)
    assert _answers(world, 1, 'k') == other


def test_single_rejection_moves_no_key() -> None:
    world = World((route(max_attempts=1),), (upstream('1'), upstream('2')))
    home = world.sent(world.ask(key='k'))[0]
    world.end(world.requests, AttemptOutcome.NOT_EXECUTED)
    assert _answers(world, 4, 'k', gap=0.2) == home * 4


def test_keys_return_to_an_upstream_that_no_longer_rejects() -> None:
    world = World((route(max_attempts=1),), (upstream('1'), upstream('2')))
    home = _answers(world, 1, 'k', gap=0.18)
    moved = False
    while not moved and world.requests < 10:
        number = world.ask(key='k')
        moved = home not in world.sent(number)
        outcome = AttemptOutcome.ANSWERED
        world.end(number, outcome if moved else AttemptOutcome.NOT_EXECUTED)
    assert moved
    world.wait(20)
    assert _answers(world, 4, 'k', gap=0.2) == home * 4


def test_keys_stay_at_their_homes_while_all_upstreams_reject() -> None:
    world = World((route(max_attempts=1),), _SIX)
    used = set()
    for _ in range(60):
        used.update(world.sent(world.ask(key='k')))
        world.end(world.requests, AttemptOutcome.NOT_EXECUTED)
        world.wait(0.05)
    assert len(used) <= 2
