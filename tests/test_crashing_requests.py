"""Requests that crash upstreams, with the upstreams of a bundle."""

import pytest

from worksrail.bench.world import Outcome, Traffic, World, WorldPlan
from worksrail.core._dispatching import dispatch_waiting
from worksrail.core.bundle import Bundle, parse_bundle
from worksrail.core.effects import AnswerResult, SendUpstream
from worksrail.core.events import PassEnded
from worksrail.core.quarantine import Crash
from worksrail.core.reducer import reduce
from worksrail.core.requests import QueuedRequest, RequestHead
from worksrail.core.requests.active import ActiveRequest, RequestState
from worksrail.core.results import ResultCode
from worksrail.core.settings import CoreSettings

_FAULTY = '/faulty'
_ZONES = {'north-a': 'north', 'south-a': 'south'}
_SLOTS = 4
_SETTLING_S = 8.0
_STEP_S = 0.05
# Seconds after which the caller of the faulty request retries.
_CALLER_RETRY_S = 0.2
# Crashes after which a request is held; seconds after that from which the
# number of crashes is limited; maximum number of crashes from then on.
_CRASHES_TO_HOLD = 3
_GRACE_S = 4.0
_MAX_LATER_CRASHES = 3
# Maximum share of unrelated requests that are held, and minimum share of them
# that are served.
_MAX_HELD_SHARE = 0.05
_MIN_SERVED_SHARE = 0.95


def _bundle(upstreams: int) -> Bundle:
    lines = [
        'format: worksrail/1',
        'name: crashing',
        'answer_age: 1',
        'regions:',
        *(
            f'  - {{name: {region}, seats: 3, headroom: 0.1}}'
            for region in _ZONES.values()
        ),
        'zones:',
        *(
            f'  - {{name: {zone}, region: {region}}}'
            for zone, region in _ZONES.items()
        ),
        'services:',
        '  - name: orders',
        '    host: orders.example',
        '    deadline: 3',
        '    upstreams:',
    ]
    for number in range(upstreams):
        zone = sorted(_ZONES)[number % len(_ZONES)]
        lines.append(
            f'      - {{name: orders-{number}, zone: {zone}, slots: {_SLOTS}, '
            f'address: "127.30.1.{number + 1}:9300"}}'
        )
    bundle = parse_bundle('\n'.join(lines))
    assert isinstance(bundle, Bundle), bundle
    return bundle


def _world(entries: int, upstreams: int, seed: int) -> World:
    plan = WorldPlan(
        _bundle(upstreams),
        CoreSettings(),
        {'orders': 0.05},
        entries_per_region=entries,
        seed=seed,
    )
    world = World.from_plan(plan)
    world.run_until(_SETTLING_S)
    world.crashing.add(_FAULTY)
    return world


def _crashes(world: World) -> list[float]:
    return sorted(
        at for one in world.upstreams.values() for at in one.crashed_at
    )


def _repeat_faulty_request(world: World, seconds: float) -> list[Outcome]:
    """Send a faulty request repeatedly; return its outcomes."""
    end = world.clock.now + seconds
    world.load(Traffic('orders', 'north', 20, end))
    asked = [_send_faulty_request(world)]
    while world.clock.now < end:
        world.run_until(world.clock.now + _STEP_S)
        ended_at = asked[-1].ended_at
        if (
            ended_at is not None
            and world.clock.now - ended_at >= _CALLER_RETRY_S
        ):
            asked.append(_send_faulty_request(world))
    return asked


def _send_faulty_request(world: World) -> Outcome:
    return world.callers.request('orders', 'north', path=_FAULTY)


# Entries in each region, upstreams, seed.
_FLEETS = ((1, 6, 1), (3, 8, 2), (3, 24, 3))


@pytest.mark.parametrize(('entries', 'upstreams', 'seed'), _FLEETS)
def test_request_that_crashed_three_upstreams_crashes_few_more(
    entries: int,
    upstreams: int,
    seed: int,
) -> None:
    world = _world(entries, upstreams, seed)
    _repeat_faulty_request(world, 20)
    crashes = _crashes(world)
    held_from = crashes[_CRASHES_TO_HOLD - 1]
    later = [at for at in crashes if at > held_from + _GRACE_S]
    assert len(later) <= _MAX_LATER_CRASHES


def test_held_request_is_refused_at_once() -> None:
    held = [
        one
        for one in _repeat_faulty_request(_world(3, 8, 1), 12)
        if one.code is ResultCode.REQUEST_HELD
    ]
    assert held
    assert not [one for one in held if one.executions or not one.retry_after]
    assert max(one.latency for one in held) < _STEP_S


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_other_requests_are_served(seed: int) -> None:
    world = _world(3, 24, seed)
    faulty = {one.trace for one in _repeat_faulty_request(world, 20)}
    ended = [one for one in world.log.outcomes.values() if one.code]
    unrelated = [one for one in ended if one.trace not in faulty]
    held = [one for one in unrelated if one.code is ResultCode.REQUEST_HELD]
    assert len(held) <= len(unrelated) * _MAX_HELD_SHARE
    assert (
        sum(one.is_ok for one in unrelated)
        >= len(unrelated) * _MIN_SERVED_SHARE
    )


def test_request_held_by_another_instance_is_not_retried() -> None:
    world = _world(3, 8, 1)
    process = world.live()[0]
    head = RequestHead('t', 'orders.example', 'GET', _FAULTY, '')
    active = ActiveRequest(
        999, head, 'orders', 'north', world.clock.now + 2, idempotent=True
    )
    active.state = RequestState.PASSED
    process.instance.requests[active.number] = active
    ended = PassEnded(
        world.clock.now, active.number, ResultCode.REQUEST_HELD, 12
    )
    effects = reduce(process.instance, ended)
    (answer,) = (one for one in effects if isinstance(one, AnswerResult))
    assert (answer.code, answer.retry_after) == (ResultCode.REQUEST_HELD, 12)
    assert not [one for one in effects if isinstance(one, SendUpstream)]


def test_request_held_while_it_is_queued_is_not_sent() -> None:
    world = _world(3, 8, 1)
    instance, now = world.live()[0].instance, world.clock.now
    head = RequestHead('t', 'orders.example', 'GET', _FAULTY, '')
    active = ActiveRequest(
        999, head, 'orders', 'north', now + 2, idempotent=True
    )
    active.state, active.fingerprint = RequestState.WAITING, 7
    instance.requests[active.number] = active
    instance.service_state('orders').queue.put(QueuedRequest(999, now + 2))
    for number in range(_CRASHES_TO_HOLD):
        crash = Crash(str(number), instance.quarantine.begin(7, now))
        instance.quarantine.record_crash(7, crash, now)
    effects = list(dispatch_waiting(instance, 'orders', now))
    (answer,) = (one for one in effects if isinstance(one, AnswerResult))
    assert answer.code is ResultCode.REQUEST_HELD
    assert not [one for one in effects if isinstance(one, SendUpstream)]
