"""Metrics of an entry."""

import pytest

from tests.steering.world import World, route, upstream
from worksrail.core.budgets import AdvertisedBudgets, BudgetUse
from worksrail.core.identity import Incarnation
from worksrail.core.pacing import NamedLimit
from worksrail.core.quarantine import Crash
from worksrail.core.steering import ServiceWeight, SteeringBounds
from worksrail.core.steering.effects import Decision, DecisionKind
from worksrail.core.steering.events import AttemptOutcome, ReportedLoad
from worksrail.daemon.steered._metrics import SteeringMetrics


def _refused(customer: str, result: str = 'QUOTA_REACHED') -> Decision:
    return Decision(
        DecisionKind.REQUEST_REFUSED, result, 1, (('customer', customer),)
    )


def _refusals_by_customer(metrics: SteeringMetrics) -> dict[str, float]:
    return {
        sample.labels['customer']: sample.value
        for family in metrics.over_quota.collect()
        for sample in family.samples
        if sample.name.endswith('_total')
    }


def test_refusals_are_counted_by_customer() -> None:
    metrics = SteeringMetrics.create()
    for customer in ('a', 'b', 'a'):
        metrics.count(_refused(customer))
    metrics.count(_refused('a', 'QUEUE_FULL'))
    assert _refusals_by_customer(metrics) == {'a': 2, 'b': 1}


@pytest.mark.parametrize('count', [51, 2000])
def test_number_of_customer_series_is_limited(count: int) -> None:
    metrics = SteeringMetrics.create()
    for number in range(count):
        metrics.count(_refused(f'c{number}'))
    series = _refusals_by_customer(metrics)
    assert len(series) == 51
    assert series['others'] == count - 50
    assert sum(series.values()) == count


def test_undecodable_objects_are_counted_by_kind() -> None:
    metrics = SteeringMetrics.create()
    metrics.count_unusable('upstreams')
    (family,) = metrics.unusable.collect()
    assert [
        (sample.labels, sample.value)
        for sample in family.samples
        if sample.name.endswith('_total')
    ] == [({'kind': 'upstreams'}, 1)]


def test_held_requests_are_exported() -> None:
    world = World((route('read'),), [upstream('1')])
    for number in range(3):
        crash = Crash(str(number), world.state.quarantine.begin(7, world.now))
        world.state.quarantine.record_crash(7, crash, world.now)
    metrics = SteeringMetrics.create()
    exported = metrics.render(world.state, world.now, 0).decode()
    assert 'worksrail_requests_held 1.0' in exported


def test_named_limits_are_exported() -> None:
    world = World((route('read'),), [upstream('1'), upstream('2')])
    world.state.rates.named.limits.note('1', NamedLimit(5, world.now))
    metrics = SteeringMetrics.create()
    text = metrics.render(world.state, world.now, 0).decode()
    assert 'worksrail_limited_upstreams{service="orders"} 1.0' in text
    assert 'worksrail_named_limit_per_second{service="orders"} 5.0' in text


@pytest.mark.parametrize(
    ('extra', 'reserved', 'counted'),
    [
        (100, 5, 'worksrail_repeats_total{service="orders"} 1.0'),
        (
            0,
            4,
            'worksrail_repeats_denied_total{reason="budget",service="orders"}',
        ),
    ],
)
def test_retries_and_reservations_of_all_entries_are_exported(
    extra: float, reserved: int, counted: str
) -> None:
    bounds = SteeringBounds(repeat_ratio=0, repeat_extra=extra)
    world = World(
        (route('read'),), [upstream('1'), upstream('2')], bounds=bounds
    )
    metrics = SteeringMetrics.create()
    advertised = AdvertisedBudgets(
        10, {'orders': BudgetUse((0, 0, 0, 0, 50), reserved=4)}
    )
    world.state.budgets.receive(Incarnation('two', 1), advertised, world.now)
    number = world.ask()
    for effect in world.end(number, AttemptOutcome.NOT_EXECUTED):
        if isinstance(effect, Decision):
            metrics.count(effect)
    exported = metrics.render(world.state, world.now, 0).decode()
    by_all = f'worksrail_repeats_reserved_by_all{{service="orders"}} {reserved}'
    assert by_all in exported
    assert 'worksrail_requests_of_all{service="orders"} 50.0' in exported
    assert counted in exported


def test_upstreams_that_leave_or_back_off_are_counted() -> None:
    world = World(upstreams=[upstream(f'u{number}') for number in range(3)])
    metrics = SteeringMetrics.create()
    world.state.rates.backoffs.note('u0', 5, world.now)
    for name, usable in (('u1', 2), ('u2', 1), ('u0', 0)):
        world.state.catalog.mark_leaving(name, world.now)
        text = metrics.render(world.state, world.now, 0).decode()
        assert f'worksrail_upstreams{{service="orders"}} {usable}.0' in text
    assert 'worksrail_leaving_upstreams{service="orders"} 3.0' in text
    assert 'worksrail_upstream_backoffs{service="orders"} 1.0' in text


def test_paces_and_full_queues_are_counted_by_service() -> None:
    world = World([route(affinity=False)], [upstream('u0'), upstream('u1')])
    metrics = SteeringMetrics.create()
    world.end(
        world.ask(),
        AttemptOutcome.NOT_EXECUTED,
        status=503,
        load=ReportedLoad(3, 8, 3, 2.5),
        replayable=False,
    )
    world.wait(0.5)
    text = metrics.render(world.state, world.now, 0).decode()
    assert 'worksrail_stated_paces{service="orders"} 1.0' in text
    assert 'worksrail_stated_pace_age_seconds{service="orders"} 0.5' in text
    for _ in range(2):
        # What was counted once is not counted again.
        text = metrics.render(world.state, world.now, 0).decode()
        name = 'worksrail_full_queue_rejections_total'
        assert f'{name}{{service="orders"}} 1.0' in text


@pytest.mark.parametrize(
    ('priority', 'label'),
    [(0, '0'), (7, '7'), (8, 'others'), (10**6, 'others')],
)
def test_requests_are_counted_by_priority(priority: int, label: str) -> None:
    """Served and refused requests, with a bounded number of series."""
    world = World(
        (route('read', priority=priority), route('other', priority=1)),
        [upstream('1', slots=1)],
    )
    metrics = SteeringMetrics.create()
    world.end(world.ask())
    for _ in range(20):
        world.ask()
    for effect in world.effects:
        if isinstance(effect, Decision):
            metrics.count(effect)
    text = metrics.render(world.state, world.now, 0).decode()
    series = f'{{priority="{label}",service="orders"}}'
    assert f'worksrail_served_total{series} 1.0' in text
    assert f'worksrail_refused_total{series}' in text
    assert 'worksrail_slot_demand{service="orders"}' in text


# Bytes that a collector which cuts long answers still reads.
_CUT = 4096


def test_cut_metrics_still_hold_the_counts_of_the_retry_budget() -> None:
    names = [f'service-{number}' for number in range(2)]
    parts = tuple(ServiceWeight(name, 1) for name in names)
    world = World((route('read', parts=parts),), [upstream('1')])
    metrics = SteeringMetrics.create()
    for name in names:
        world.state.budgets.record_request(name, world.now)
        for kind in (
            DecisionKind.REQUEST_SENT,
            DecisionKind.REQUEST_REPEATED,
            DecisionKind.REPEAT_DENIED,
        ):
            metrics.count(Decision(kind, 'budget', 1, (('service', name),)))
    cut = metrics.render(world.state, world.now, 0).decode()[:_CUT]
    labels = 'reason="budget",service="service-1"'
    for name in ('requests', 'first_sends', 'repeats'):
        assert f'worksrail_{name}_total{{service="service-1"}} 1.0' in cut
    assert f'worksrail_repeats_denied_total{{{labels}}} 1.0' in cut
    for name in ('reserved', 'reserved_by_all', 'allowed'):
        assert f'worksrail_repeats_{name}{{service="service-1"}}' in cut
    assert 'worksrail_requests_of_all{service="service-1"}' in cut


def test_requests_are_counted_once_however_often_metrics_are_read() -> None:
    world = World((route('read'),), [upstream('1')])
    metrics = SteeringMetrics.create()
    for asked in (1, 2):
        world.ask()
        for _ in range(2):
            text = metrics.render(world.state, world.now, 0).decode()
            expected = f'worksrail_requests_total{{service="orders"}} {asked}.0'
            assert expected in text
