"""The choice of an upstream against weighing every one."""

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from tests.steering.world import World, route, upstream
from worksrail.core.steering import RouteKind
from worksrail.core.steering import _choosing as choosing
from worksrail.core.steering._choosing import Choice, choose

_ZONES = ('a1', 'a2', 'b1')
_UPSTREAMS = st.lists(
    st.fixed_dictionaries(
        {
            'zone': st.sampled_from(_ZONES),
            'slots': st.integers(1, 9),
            'own': st.integers(0, 12),
            'others': st.integers(0, 12),
            'slowness': st.floats(0.25, 30),
            'ejected': st.booleans(),
            'cold': st.booleans(),
        }
    ),
    min_size=1,
    max_size=12,
)
_KINDS = st.sampled_from(list(RouteKind))


def _world(described: list[dict[str, Any]], kind: RouteKind) -> World:
    records = [
        upstream(
            f'u{number}',
            zone=one['zone'],
            slots=one['slots'],
            cold_time=30 if one['cold'] else 0,
        )
        for number, one in enumerate(described)
    ]
    world = World((route(kind=kind),), records, cold_rate=5)
    for number, one in enumerate(described):
        load = world.state.loads.of(f'u{number}')
        load.own, load.others = one['own'], one['others']
        load.slowness, load.slowness_at = one['slowness'], world.now
        load.owing_since = world.now
        load.ejected_until = world.now + 9 if one['ejected'] else 0
    return world


@given(_UPSTREAMS, _KINDS, st.sampled_from(['', 'k', 'other']))
def test_choice_is_the_same_as_when_every_upstream_is_weighed(
    described: list[dict[str, Any]], kind: RouteKind, key: str
) -> None:
    world = _world(described, kind)
    number = world.ask(key=key, time_left=20.0)
    if number not in world.state.requests:
        return
    request = world.state.requests[number]
    # What the request itself has changed is taken back.
    world.state.loads.of(request.upstream).own -= 1
    world.state.rates.cold.last_sent.clear()
    chosen = choose(world.state, request, world.now)
    scale = choosing._Scale.from_request(world.state, request, world.now)
    naive = choosing._best_of_all(scale)
    if naive is None:
        assert not isinstance(chosen, Choice)
        return
    least = choosing.patience(request, naive.work, world.now)
    if not isinstance(chosen, Choice):
        assert naive.wait > least
    elif chosen.cost != naive.cost:
        # The best has too long a queue: the other home of the key has none.
        assert naive.wait > least
        assert chosen.upstream.name in scale.homes
        assert chosen.wait < naive.wait
