"""Tests of upstreams that restart under the same identifier."""

from typing import Any

import pytest

from tests.steering.world import World, of_type, route, upstream
from worksrail.core.steering import (
    Catalog,
    RouteKind,
    StoreUpdate,
    UpstreamRecord,
    incarnation_name,
    store_update_since,
)
from worksrail.core.steering.effects import (
    AnswerResult,
    CancelAttempt,
    DropConnections,
    SendUpstream,
)
from worksrail.core.steering.events import (
    AttemptOutcome,
    DigestReceived,
    UpstreamsChanged,
    UpstreamsListed,
)
from worksrail.core.steering.kinds import StoreKind

_ROUTES = (route('read'), route('write', kind=RouteKind.AT_MOST_ONCE))


def incarnation(identifier: str, born: int, **changes: Any) -> UpstreamRecord:
    """Create the record of one incarnation of an upstream."""
    named = {'identifier': identifier, 'born': born} | changes
    address = f'10.0.0.1:{identifier}'
    return upstream(
        incarnation_name(identifier, born), **({'address': address} | named)
    )


def _apply_change(
    world: World, *records: UpstreamRecord, **update: Any
) -> list[Any]:
    return world.run(
        UpstreamsChanged(world.now, records, update.get('removed', ()), 2)
    )


@pytest.mark.parametrize(
    ('records', 'expected'),
    [
        ([incarnation('1', 10), incarnation('1', 20)], '1@20'),
        # A later incarnation counts, even if its reports have lower numbers.
        (
            [
                incarnation('1', 10, sequence=90),
                incarnation('1', 20, sequence=1),
            ],
            '1@20',
        ),
        # A late report of an earlier incarnation changes nothing.
        ([incarnation('1', 20), incarnation('1', 10, sequence=90)], '1@20'),
        ([incarnation('1', 20), incarnation('1', 10, draining=True)], '1@20'),
        ([incarnation('1', 0), incarnation('1', 20)], '1@20'),
    ],
)
@pytest.mark.parametrize('listed', [True, False])
def test_latest_incarnation_counts(
    records: list[UpstreamRecord], expected: str, listed: bool
) -> None:
    catalog = Catalog({'a1': 'a'})
    for record in records:
        if listed:
            catalog.replace([record], 0)
        else:
            catalog.change([record], (), 0)
    assert list(catalog.upstreams) == [expected]
    assert [one.name for one in catalog.usable('orders')] == [expected]


@pytest.mark.parametrize('gone', ['removed', 'not listed', 'lapsed'])
def test_incarnation_ends_with_its_record(gone: str) -> None:
    catalog = Catalog({'a1': 'a'})
    catalog.replace([incarnation('1', 10), incarnation('2', 10)], 0)
    if gone == 'removed':
        catalog.change((), ['1'], 0)
    elif gone == 'not listed':
        catalog.replace([incarnation('2', 10)], 0)
    else:
        catalog.store_health.record_answer(0)
        catalog.store_health.record_call(0.5)
        catalog.store_health.record_own_answer(10)
        catalog.replace([incarnation('2', 10)], 10.1)
        assert len(catalog.upstreams) == 2
        for at in range(11, 21):
            catalog.store_health.record_answer(at)
        assert catalog.expire(20) == ['1@10']
    assert list(catalog.upstreams) == ['2@10']
    assert list(catalog.current_incarnations) == ['2']


def test_restarted_upstream_starts_with_a_clean_record() -> None:
    world = World(_ROUTES, [incarnation('1', 10)])
    for _ in range(3):
        world.end(world.ask(), AttemptOutcome.BROKE_BEFORE_ANSWER)
        world.wait(0.2)
    before = world.state.loads.of('1@10')
    before.record_speed(20, world.now)
    assert before.ejected_until > world.now
    _apply_change(world, incarnation('1', 20))
    after = world.state.loads.of('1@20')
    assert after.ejected_until == 0
    assert after.current_slowness(world.now) == 1
    assert world.sent(world.ask()) == ['1']


def test_load_reported_for_earlier_incarnation_is_ignored() -> None:
    world = World(_ROUTES, [incarnation('1', 10)])
    from tests.steering.world import digest

    world.run(DigestReceived(world.now, digest('two', 1, {'1@10': 9})))
    assert world.state.loads.of('1@10').in_flight == 9
    _apply_change(world, incarnation('1', 20))
    world.run(DigestReceived(world.now, digest('two', 2, {'1@10': 9})))
    assert world.state.loads.of('1@20').in_flight == 0


def test_restarted_upstream_is_cold_and_keeps_its_rate() -> None:
    world = World(
        _ROUTES, [incarnation('1', 10), incarnation('2', 10)], cold_rate=1
    )
    _apply_change(world, incarnation('1', 20, cold_time=3))
    assert world.state.catalog.upstreams['1@20'].cold_until > world.now
    numbers = [world.ask() for _ in range(12)]
    sent = [world.sent(number) for number in numbers]
    assert sent.count(['1']) <= 1


@pytest.mark.parametrize(
    ('name', 'elsewhere'),
    [('read', True), ('write', False)],
)
def test_requests_at_earlier_incarnation_end_at_once(
    name: str, elsewhere: bool
) -> None:
    world = World(_ROUTES, [incarnation('1', 10)])
    number = world.ask(name)
    effects = _apply_change(world, incarnation('1', 20), incarnation('2', 10))
    assert CancelAttempt(number, 1) in effects
    assert DropConnections('10.0.0.1:1') in effects
    ended = world.end(number, AttemptOutcome.CANCELLED)
    if elsewhere:
        assert of_type(ended, SendUpstream)
        return
    # It may have been executed before the upstream ended.
    (answer,) = of_type(ended, AnswerResult)
    assert answer.code.certainty.value == 'unknown'


def test_requests_at_other_upstreams_continue() -> None:
    world = World(_ROUTES, [incarnation('2', 10)])
    world.ask()
    effects = _apply_change(world, incarnation('1', 10))
    assert not of_type(effects, CancelAttempt)
    assert not of_type(
        _apply_change(world, incarnation('1', 20)), CancelAttempt
    )


def test_requests_at_removed_upstream_may_finish() -> None:
    world = World(_ROUTES, [incarnation('1', 10)])
    world.ask()
    effects = _apply_change(world, removed=('1',))
    assert not of_type(effects, CancelAttempt)
    assert not of_type(effects, DropConnections)


def test_upstream_is_addressed_by_its_identifier() -> None:
    world = World(_ROUTES, [incarnation('1', 10)])
    assert world.sent(world.ask()) == ['1']


def test_keys_keep_their_upstreams_over_a_restart() -> None:
    records = [incarnation(str(number), 10) for number in range(6)]
    world = World(_ROUTES, records)
    keys = [f'k{number}' for number in range(30)]
    before = [world.sent(world.ask(key=key)) for key in keys]
    again = [incarnation(str(number), 20) for number in range(6)]
    world.run(UpstreamsListed(world.now, tuple(again), 2))
    world.wait(2)
    after = [world.sent(world.ask(key=key)) for key in keys]
    same = sum(one == other for one, other in zip(before, after, strict=True))
    assert same > 0.8 * len(keys)


def test_restart_is_passed_from_entry_to_entry() -> None:
    sender, other = (World(_ROUTES, [incarnation('1', 10)]) for _ in range(2))
    _apply_change(sender, incarnation('1', 20))
    update = store_update_since(
        sender.state, StoreKind.UPSTREAMS, 1, sender.now
    )
    assert update == StoreUpdate(2, records=(incarnation('1', 20),))
    _apply_change(other, *update.records, removed=update.removed)
    assert list(other.state.catalog.upstreams) == ['1@20']
    _apply_change(sender, removed=('1',))
    update = store_update_since(
        sender.state, StoreKind.UPSTREAMS, 1, sender.now
    )
    assert update.removed == ('1',)
    _apply_change(other, *update.records, removed=update.removed)
    assert not other.state.catalog.upstreams


def test_upstream_in_unknown_zone_gets_no_requests() -> None:
    world = World(_ROUTES, [upstream('1', zone='z9')])
    assert not world.sent(world.ask())
