"""The retry budget of all instances together, with bundles.

In any span of time, all instances together send at most as many retries as
the retry ratio times the answers of that span, plus the token capacity of
all seats.
"""

import random
from collections.abc import Callable
from typing import Final

import pytest

from tests.retrying import REGIONS, SERVICE, RetryWorld
from worksrail.core._retrying import reported_code
from worksrail.core.effects import AnswerResult
from worksrail.core.events import CallerGone
from worksrail.core.reducer import reduce
from worksrail.core.requests import (
    ArrivalPath,
    QueuedRequest,
    RequestHead,
    RetryBudget,
)
from worksrail.core.requests.active import ActiveRequest, RequestState
from worksrail.core.results import ResultCode
from worksrail.core.settings import CoreSettings

_SETTINGS: Final = CoreSettings()
_STEP_S: Final = 0.05
_ROUNDING: Final = 1e-6
# Minimum share of failed requests that are retried, and minimum share of all
# requests that are answered, if the budget would allow every retry.
_MIN_RETRIED: Final = 0.92
_MIN_SERVED: Final = 0.99

_SHED: Final = ResultCode.UPSTREAM_SHED

Scenario = Callable[[RetryWorld], None]


def _max_tokens(entries: int) -> float:
    """Return the token capacity of all seats, at least one for each seat."""
    return max(_SETTINGS.retry_burst, entries * len(REGIONS))


def _burst_of_failures(fleet: RetryWorld) -> None:
    fleet.send_all(40, 4)
    fleet.run(4.5)
    fleet.shed(1)
    fleet.send_all(30, 1)
    fleet.run(2)


def _failures_under_load(fleet: RetryWorld) -> None:
    fleet.send_all(30, 12)
    fleet.run(8)
    fleet.shed(0.8)
    fleet.run(4)
    fleet.shed(0)
    fleet.run(2)


def _load_moves_between_instances(fleet: RetryWorld) -> None:
    for name in fleet.names:
        fleet.send(name, 100, 2)
        fleet.run(1.7)
        fleet.shed(0.8)
        fleet.run(0.4)
        fleet.shed(0)
    fleet.run(2)


def _full_region(fleet: RetryWorld) -> None:
    fleet.slow_down(5)
    fleet.shed_in_region('south')
    north = [name for name in fleet.names if name.startswith('north')]
    for name in north:
        fleet.send(name, 800 / len(north), 4)
    fleet.run(6)


def _restarts(fleet: RetryWorld) -> None:
    for _ in range(3):
        for name in fleet.names[:5]:
            fleet.send_all(20, 1)
            fleet.run(1)
            fleet.shed(1)
            fleet.send_all(20, 1)
            fleet.run(1)
            fleet.world.stop(name)
            fleet.shed(0)
            fleet.run(6)
            fleet.restart(name)
            fleet.run(3)


def _partition(fleet: RetryWorld) -> None:
    fleet.send_all(30, 40)
    fleet.run(4)
    for name in fleet.names[:2]:
        fleet.isolate(name)
    for seconds in (3, 30):
        fleet.run(seconds)
        fleet.shed(0.9)
        fleet.run(1)
        fleet.shed(0)
    fleet.reconnect()
    fleet.run(6)


def _paused_instance(fleet: RetryWorld) -> None:
    fleet.send_all(30, 12)
    for seconds in (2, 5):
        fleet.run(2)
        fleet.world.pause(fleet.names[0], seconds)
        fleet.shed(0.9)
        fleet.run(1)
        fleet.shed(0)
    fleet.run(8)


def _message_loss(fleet: RetryWorld) -> None:
    fleet.world.network.loss = 0.1
    _failures_under_load(fleet)


_SCENARIOS: Final = (
    _burst_of_failures,
    _failures_under_load,
    _load_moves_between_instances,
    _full_region,
    _restarts,
    _partition,
    _paused_instance,
    _message_loss,
)


@pytest.mark.parametrize('entries', [1, 3])
@pytest.mark.parametrize('scenario', _SCENARIOS)
def test_retries_of_all_instances_stay_within_the_budget(
    scenario: Scenario,
    entries: int,
) -> None:
    fleet = RetryWorld.start_settled(entries)
    scenario(fleet)
    assert fleet.retry_tally.retries
    assert fleet.retry_tally.excess() <= _max_tokens(entries)


@pytest.mark.parametrize('scenario', [_burst_of_failures, _failures_under_load])
def test_retries_of_a_large_fleet_stay_within_the_budget(
    scenario: Scenario,
) -> None:
    fleet = RetryWorld.start_settled(20, slots=40)
    scenario(fleet)
    assert fleet.retry_tally.retries
    assert fleet.retry_tally.excess() <= _max_tokens(20)


def test_instances_beyond_the_seats_add_nothing_to_the_budget() -> None:
    fleet = RetryWorld.start_settled(5, seats=2)
    _burst_of_failures(fleet)
    assert fleet.retry_tally.retries
    assert fleet.retry_tally.excess() <= _max_tokens(2)


def test_fresh_instances_begin_with_an_empty_budget() -> None:
    fleet = RetryWorld.start_settled(3)
    fleet.shed(1)
    fleet.send_all(30, 1)
    fleet.run(2)
    assert not fleet.retry_tally.retries


def _token_capacity(fleet: RetryWorld) -> float:
    """Return the token capacity of all live instances."""
    budgets = [
        process.instance.retry_budget(SERVICE) for process in fleet.world.live()
    ]
    return sum(one.max_per_seat * len(one.seats) for one in budgets)


def _max_capacity(fleet: RetryWorld, seconds: float) -> float:
    maximum = 0.0
    for _ in range(int(seconds / _STEP_S)):
        fleet.run(_STEP_S)
        maximum = max(maximum, _token_capacity(fleet))
    return maximum


@pytest.mark.parametrize(('before', 'after'), [(3, 1), (1, 3), (3, 6)])
@pytest.mark.parametrize('disconnected', [0, 2])
def test_change_of_the_number_of_seats_adds_no_capacity(
    before: int,
    after: int,
    disconnected: int,
) -> None:
    fleet = RetryWorld.start_settled(3, seats=before)
    maximum = max(_max_tokens(before), _max_tokens(after)) + _ROUNDING
    for name in fleet.names:
        if name.endswith(
            tuple(str(1 + number) for number in range(disconnected))
        ):
            fleet.isolate(name)
    fleet.change_seats(after)
    assert _max_capacity(fleet, 3.5) <= maximum
    fleet.reconnect()
    assert _max_capacity(fleet, 20) <= maximum


def test_disconnected_instance_gets_no_capacity_of_seats_of_others() -> None:
    fleet = RetryWorld.start_settled(3)
    fleet.isolate(fleet.names[0])
    fleet.world.store.hidden.add(fleet.names[0])
    assert _max_capacity(fleet, 60) <= _max_tokens(3) + _ROUNDING
    fleet.reconnect()
    assert _max_capacity(fleet, 60) <= _max_tokens(3) + _ROUNDING
    assert _token_capacity(fleet) >= _max_tokens(3) - _ROUNDING


@pytest.mark.parametrize('entries', [1, 3])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_retries_are_sent_while_the_budget_allows_them(
    entries: int,
    seed: int,
) -> None:
    fleet = RetryWorld.start_settled(entries, seed=seed)
    fleet.send_all(40, 4)
    fleet.run(2)
    fleet.shed_at_random(0.08, 20)
    fleet.send_all(40, 20)
    fleet.run(24)
    retry_tally = fleet.retry_tally
    assert retry_tally.retries >= _MIN_RETRIED * (
        retry_tally.retries + fleet.denied()
    )
    assert fleet.world.log.share(SERVICE) >= _MIN_SERVED


def test_retry_that_is_not_allowed_soon_is_refused_at_once() -> None:
    fleet = RetryWorld.start_settled(3)
    fleet.send_all(40, 4)
    fleet.run(5)
    fleet.shed(1)
    fleet.send_all(30, 2)
    fleet.run(4)
    outcomes = fleet.world.log.outcomes.values()
    assert all(one.code for one in outcomes)
    refused = [one.latency for one in outcomes if not one.is_ok]
    assert max(refused) < 0.7
    assert sum(one > 0.05 for one in refused) < 0.1 * len(refused)


def test_request_of_a_disconnected_caller_is_not_retried() -> None:
    fleet = RetryWorld.start_settled(1)
    instance, now = fleet.world.live()[0].instance, fleet.world.clock.now
    head = RequestHead('t', 'orders.example', 'GET', '/', '')
    active = ActiveRequest(1, head, SERVICE, 'north', now + 2, idempotent=True)
    active.state, active.failed_with = RequestState.WAITING_FOR_BUDGET, _SHED
    instance.requests[active.number] = active
    retries = instance.service_state(SERVICE).retries
    retries.put(QueuedRequest(active.number, now + 1))
    effects = reduce(instance, CallerGone(now, active.number))
    assert not instance.requests
    assert retries.pop() is None
    # What its exchange holds is given back with the answer to nobody.
    assert [one for one in effects if isinstance(one, AnswerResult)]


def _full_budget(seats: dict[int, int], max_per_seat: float) -> RetryBudget:
    budget = RetryBudget(1)
    budget.follow(seats, max_per_seat)
    for now in range(10):
        budget.record_success(now)
    assert budget.tokens == max_per_seat * len(seats)
    return budget


# Seats held afterwards, maximum per seat, and the tokens that remain of six.
_SEAT_CHANGES: Final[tuple[tuple[dict[int, int], float, float], ...]] = (
    ({0: 1, 1: 1}, 3, 6),
    ({0: 1}, 3, 3),
    ({}, 3, 0),
    ({0: 2, 1: 1}, 3, 3),
    ({0: 1, 2: 1}, 3, 3),
    ({0: 1, 1: 1}, 1, 2),
    ({0: 1, 1: 1}, 9, 6),
)


@pytest.mark.parametrize(('seats', 'max_per_seat', 'remaining'), _SEAT_CHANGES)
def test_tokens_are_kept_for_the_seats_that_are_kept(
    seats: dict[int, int],
    max_per_seat: float,
    remaining: float,
) -> None:
    budget = _full_budget({0: 1, 1: 1}, 3)
    budget.follow(seats, max_per_seat)
    assert budget.tokens == remaining


@pytest.mark.parametrize(
    ('passing', 'failed_with', 'code', 'expected'),
    [
        (ArrivalPath.SHIFTED, _SHED, ResultCode.NO_SLOT, _SHED),
        (ArrivalPath.SHIFTED, None, ResultCode.NO_SLOT, ResultCode.NO_SLOT),
        (ArrivalPath.DIRECT, _SHED, ResultCode.NO_SLOT, ResultCode.NO_SLOT),
        (
            ArrivalPath.SHIFTED,
            _SHED,
            ResultCode.REQUEST_HELD,
            ResultCode.REQUEST_HELD,
        ),
        (
            ArrivalPath.SHIFTED,
            _SHED,
            ResultCode.UPSTREAM_BROKE,
            ResultCode.UPSTREAM_BROKE,
        ),
    ],
)
def test_passing_instance_receives_the_failure_of_the_upstream(
    passing: ArrivalPath,
    failed_with: ResultCode | None,
    code: ResultCode,
    expected: ResultCode,
) -> None:
    head = RequestHead('t', 'orders.example', 'GET', '/', '', passing=passing)
    active = ActiveRequest(1, head, SERVICE, 'north', 3, idempotent=True)
    active.failed_with = failed_with
    assert reported_code(active, code) is expected


def _transfer_seat(
    holders: list[dict[int, int]],
    rng: random.Random,
) -> None:
    old_holder, new_holder = rng.sample(holders, 2)
    if old_holder:
        seat = rng.choice(sorted(old_holder))
        new_holder[seat] = old_holder.pop(seat) + 1


@pytest.mark.parametrize('seed', range(20))
def test_tokens_are_not_transferred_with_seats(seed: int) -> None:
    rng = random.Random(seed)
    holders: list[dict[int, int]] = [{0: 1, 1: 1}, {2: 1}, {}]
    budgets = [RetryBudget(0.1) for _ in holders]
    largest = current = 0.0
    for now in range(4000):
        if rng.random() < 0.05:
            _transfer_seat(holders, rng)
        chosen = rng.randrange(len(holders))
        budget = budgets[chosen]
        budget.follow(holders[chosen], 2)
        if now % 400 < 200:
            budget.record_success(now)
            current -= budget.ratio
        else:
            current += budget.spend()
        current = max(0.0, current)
        largest = max(largest, current)
    assert largest <= 2 * 3
