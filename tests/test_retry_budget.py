"""The retry budget of all instances together, with bundles.

In any span, all instances together send again at most the ratio of what is
answered in that span, and what may be saved up over all seats.
"""

import random
from collections.abc import Callable
from typing import Final

import pytest

from tests.retrying import REGIONS, SERVICE, RetryingWorld
from worksrail.core._retrying import reported_code
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
_STEP: Final = 0.05
_ROUNDING: Final = 1e-6
# Share of the wanted retries that are sent while fewer are wanted than earned.
_USED: Final = 0.92
# Share of the requests beside that which get an answer.
_SERVED: Final = 0.99

_SHED: Final = ResultCode.UPSTREAM_SHED

Story = Callable[[RetryingWorld], None]


def _allowed(entries: int) -> float:
    """Retries that all instances may have saved up, one a seat at least."""
    return max(_SETTINGS.retry_burst, entries * len(REGIONS))


def _all_at_once(fleet: RetryingWorld) -> None:
    fleet.send_all(40, 4)
    fleet.run(4.5)
    fleet.shed(1)
    fleet.send_all(30, 1)
    fleet.run(2)


def _late(fleet: RetryingWorld) -> None:
    fleet.send_all(30, 12)
    fleet.run(8)
    fleet.shed(0.8)
    fleet.run(4)
    fleet.shed(0)
    fleet.run(2)


def _load_moves(fleet: RetryingWorld) -> None:
    for name in fleet.names:
        fleet.send(name, 100, 2)
        fleet.run(1.7)
        fleet.shed(0.8)
        fleet.run(0.4)
        fleet.shed(0)
    fleet.run(2)


def _region_is_full(fleet: RetryingWorld) -> None:
    fleet.slow_down(5)
    fleet.shed_in('south')
    north = [name for name in fleet.names if name.startswith('north')]
    for name in north:
        fleet.send(name, 800 / len(north), 4)
    fleet.run(6)


def _stops(fleet: RetryingWorld) -> None:
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


def _cuts(fleet: RetryingWorld) -> None:
    fleet.send_all(30, 40)
    fleet.run(4)
    for name in fleet.names[:2]:
        fleet.cut_off(name)
    for seconds in (3, 30):
        fleet.run(seconds)
        fleet.shed(0.9)
        fleet.run(1)
        fleet.shed(0)
    fleet.join_again()
    fleet.run(6)


def _freezes(fleet: RetryingWorld) -> None:
    fleet.send_all(30, 12)
    for seconds in (2, 5):
        fleet.run(2)
        fleet.world.pause(fleet.names[0], seconds)
        fleet.shed(0.9)
        fleet.run(1)
        fleet.shed(0)
    fleet.run(8)


def _loses_messages(fleet: RetryingWorld) -> None:
    fleet.world.network.loss = 0.1
    _late(fleet)


_STORIES: Final = (
    _all_at_once,
    _late,
    _load_moves,
    _region_is_full,
    _stops,
    _cuts,
    _freezes,
    _loses_messages,
)


@pytest.mark.parametrize('entries', [1, 3])
@pytest.mark.parametrize('story', _STORIES)
def test_retries_of_all_instances_stay_in_the_budget(
    story: Story,
    entries: int,
) -> None:
    fleet = RetryingWorld.begin(entries)
    story(fleet)
    assert fleet.tally.retries
    assert fleet.tally.excess() <= _allowed(entries)


@pytest.mark.parametrize('story', [_all_at_once, _late])
def test_retries_of_a_large_fleet_stay_in_the_budget(story: Story) -> None:
    fleet = RetryingWorld.begin(20, slots=40)
    story(fleet)
    assert fleet.tally.retries
    assert fleet.tally.excess() <= _allowed(20)


def test_instances_beyond_the_seats_add_nothing_to_the_budget() -> None:
    fleet = RetryingWorld.begin(5, seats=2)
    _all_at_once(fleet)
    assert fleet.tally.retries
    assert fleet.tally.excess() <= _allowed(2)


def test_fresh_instances_begin_with_an_empty_budget() -> None:
    fleet = RetryingWorld.begin(3)
    fleet.shed(1)
    fleet.send_all(30, 1)
    fleet.run(2)
    assert not fleet.tally.retries


def _saved(fleet: RetryingWorld) -> float:
    """Retries that all instances could have saved up by now."""
    budgets = [
        process.instance.retry_budget(SERVICE) for process in fleet.world.live()
    ]
    return sum(one.each * len(one.seats) for one in budgets)


def _most_saved(fleet: RetryingWorld, seconds: float) -> float:
    most = 0.0
    for _ in range(int(seconds / _STEP)):
        fleet.run(_STEP)
        most = max(most, _saved(fleet))
    return most


@pytest.mark.parametrize(('before', 'after'), [(3, 1), (1, 3), (3, 6)])
@pytest.mark.parametrize('cut', [0, 2])
def test_change_of_the_number_of_seats_adds_nothing(
    before: int,
    after: int,
    cut: int,
) -> None:
    fleet = RetryingWorld.begin(3, seats=before)
    most = max(_allowed(before), _allowed(after)) + _ROUNDING
    for name in fleet.names:
        if name.endswith(tuple(str(1 + number) for number in range(cut))):
            fleet.cut_off(name)
    fleet.change_seats(after)
    assert _most_saved(fleet, 3.5) <= most
    fleet.join_again()
    assert _most_saved(fleet, 20) <= most


def test_instance_that_is_cut_off_saves_nothing_on_seats_of_others() -> None:
    fleet = RetryingWorld.begin(3)
    fleet.cut_off(fleet.names[0])
    fleet.world.store.hidden.add(fleet.names[0])
    assert _most_saved(fleet, 60) <= _allowed(3) + _ROUNDING
    fleet.join_again()
    assert _most_saved(fleet, 60) <= _allowed(3) + _ROUNDING
    assert _saved(fleet) >= _allowed(3) - _ROUNDING


@pytest.mark.parametrize('entries', [1, 3])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_retries_are_sent_while_the_budget_earns_them(
    entries: int,
    seed: int,
) -> None:
    fleet = RetryingWorld.begin(entries, seed=seed)
    fleet.send_all(40, 4)
    fleet.run(2)
    fleet.shed_at_random(0.08, 20)
    fleet.send_all(40, 20)
    fleet.run(24)
    tally = fleet.tally
    assert tally.retries >= _USED * (tally.retries + fleet.denied())
    assert fleet.world.log.share(SERVICE) >= _SERVED


def test_retry_that_is_not_earned_soon_is_refused_at_once() -> None:
    fleet = RetryingWorld.begin(3)
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


def test_request_whose_caller_went_is_not_sent_again() -> None:
    fleet = RetryingWorld.begin(1)
    instance, now = fleet.world.live()[0].instance, fleet.world.clock.now
    head = RequestHead('t', 'orders.example', 'GET', '/', '')
    active = ActiveRequest(1, head, SERVICE, 'north', now + 2, idempotent=True)
    active.state, active.failed_with = RequestState.WAITING_FOR_BUDGET, _SHED
    instance.requests[active.number] = active
    retries = instance.service_state(SERVICE).retries
    retries.put(QueuedRequest(active.number, now + 1))
    reduce(instance, CallerGone(now, active.number))
    assert not instance.requests
    assert retries.pop() is None


def _full(seats: dict[int, int], each: float) -> RetryBudget:
    budget = RetryBudget(1)
    budget.follow(seats, each)
    for now in range(10):
        budget.record_success(now)
    assert budget.tokens == each * len(seats)
    return budget


# Seats held afterwards, and the retries that are left of six.
_HANDED_ON: Final[tuple[tuple[dict[int, int], float, float], ...]] = (
    ({0: 1, 1: 1}, 3, 6),
    ({0: 1}, 3, 3),
    ({}, 3, 0),
    ({0: 2, 1: 1}, 3, 3),
    ({0: 1, 2: 1}, 3, 3),
    ({0: 1, 1: 1}, 1, 2),
    ({0: 1, 1: 1}, 9, 6),
)


@pytest.mark.parametrize(('seats', 'each', 'left'), _HANDED_ON)
def test_saved_retries_stay_on_the_seats_that_stay(
    seats: dict[int, int],
    each: float,
    left: float,
) -> None:
    budget = _full({0: 1, 1: 1}, 3)
    budget.follow(seats, each)
    assert budget.tokens == left


@pytest.mark.parametrize(
    ('passing', 'failed_with', 'code', 'told'),
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
def test_whoever_passed_a_request_on_hears_that_an_upstream_had_it(
    passing: ArrivalPath,
    failed_with: ResultCode | None,
    code: ResultCode,
    told: ResultCode,
) -> None:
    head = RequestHead('t', 'orders.example', 'GET', '/', '', passing=passing)
    active = ActiveRequest(1, head, SERVICE, 'north', 3, idempotent=True)
    active.failed_with = failed_with
    assert reported_code(active, code) is told


def _hand_on(
    holders: list[dict[int, int]],
    rng: random.Random,
) -> None:
    giver, taker = rng.sample(holders, 2)
    if giver:
        seat = rng.choice(sorted(giver))
        taker[seat] = giver.pop(seat) + 1


@pytest.mark.parametrize('seed', range(20))
def test_saved_retries_do_not_go_from_hand_to_hand(seed: int) -> None:
    rng = random.Random(seed)
    holders: list[dict[int, int]] = [{0: 1, 1: 1}, {2: 1}, {}]
    budgets = [RetryBudget(0.1) for _ in holders]
    worst = current = 0.0
    for now in range(4000):
        if rng.random() < 0.05:
            _hand_on(holders, rng)
        chosen = rng.randrange(len(holders))
        budget = budgets[chosen]
        budget.follow(holders[chosen], 2)
        if now % 400 < 200:
            budget.record_success(now)
            current -= budget.ratio
        else:
            current += budget.spend()
        current = max(0.0, current)
        worst = max(worst, current)
    assert worst <= 2 * 3
