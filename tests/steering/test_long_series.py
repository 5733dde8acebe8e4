"""Events that repeat for as long as an entry runs."""

import pytest

from tests.steering.world import World, configuration, customer, route, upstream
from worksrail.core.customers import Quota
from worksrail.core.routing._health import UpstreamHealth
from worksrail.core.settings import CoreSettings
from worksrail.core.steering import RouteKind
from worksrail.core.steering._load import UpstreamLoad
from worksrail.core.steering.events import (
    AttemptOutcome,
    CallerGone,
    ConfigurationRead,
    UpstreamsListed,
)

_COUNT = 100_000


# 2 to the power of the failures in a row overflowed from the 1,024th on: the
# entry served nobody, and ended.
def test_ejection_is_bounded_after_any_number_of_failures() -> None:
    load = UpstreamLoad()
    ends = {
        load.record_failure(0) and load.ejected_until for _ in range(_COUNT)
    }
    assert max(ends) == 8


def test_own_mode_ejection_is_bounded_after_any_number_of_ejections() -> None:
    health = UpstreamHealth()
    settings = CoreSettings(ejection_time=0.5)
    for _ in range(_COUNT):
        health.eject(0, settings)
    assert health.ejected_until <= 600


_OUTCOMES = [
    AttemptOutcome.BROKE_BEFORE_ANSWER,
    AttemptOutcome.SPOILED,
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.NOT_EXECUTED,
    AttemptOutcome.NOT_CONNECTED,
    AttemptOutcome.UNPROVEN,
]


@pytest.mark.parametrize('kind', [RouteKind.IDEMPOTENT, RouteKind.AT_MOST_ONCE])
@pytest.mark.parametrize('outcome', _OUTCOMES)
def test_upstream_may_fail_any_number_of_times_in_a_row(
    outcome: AttemptOutcome, kind: RouteKind
) -> None:
    # Affinity, or an upstream that is the last one, brings them all to it.
    world = World((route(kind=kind, max_attempts=1),), (upstream('1'),))
    for _ in range(3000):
        world.now += 0.05
        number = world.ask()
        if number in world.state.requests:
            world.end(number, outcome, status=0)
    assert not world.state.requests
    assert world.state.loads.of('1').own == 0


def test_quota_may_be_denied_any_number_of_times() -> None:
    world = World(
        (route(),),
        (upstream('1', slots=9),),
        customers=[customer('mill', 'k', quota=Quota(1, 1))],
        settle=3,
    )
    for _ in range(3000):
        world.ask(key_digest=customer('mill', 'k').keys[0])
    for number in tuple(world.state.requests):
        world.end(number)
    assert not world.state.requests


def test_upstreams_and_configurations_may_be_replaced_any_number_of_times() -> (
    None
):
    world = World((route(),), (upstream('1'),))
    for number in range(2, 3000):
        name = str(number)
        listed = (upstream(name),)
        world.run(
            UpstreamsListed(world.now, listed, number),
            ConfigurationRead(world.now, configuration(number, (route(),))),
        )
        asked = world.ask()
        world.run(CallerGone(world.now, asked))
        if asked in world.state.requests:
            world.end(asked, AttemptOutcome.CANCELLED, status=0)
        world.effects.clear()
    assert not world.state.requests
    assert len(world.state.loads.loads) <= 2
