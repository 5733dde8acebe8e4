"""The choice of an upstream against weighing every one."""

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from tests.steering.world import HOST, World, route, upstream
from worksrail.core.pacing import NamedLimit
from worksrail.core.steering import RouteKind
from worksrail.core.steering import _choosing as choosing
from worksrail.core.steering._choosing import Choice, choose
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering.events import SteeredHead

_ZONES = ('a1', 'a2', 'b1')
_UPSTREAMS = st.lists(
    st.fixed_dictionaries(
        {
            'zone': st.sampled_from(_ZONES),
            'slots': st.integers(1, 9),
            'own': st.integers(0, 12),
            'others': st.integers(0, 12),
            'slowness': st.floats(0.25, 30),
            'failing': st.floats(0, 1),
            'rejecting': st.floats(0, 1),
            'limit': st.sampled_from([None, None, 0.0, 5.0]),
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
        load.failing, load.failing_at = one['failing'], world.now
        load.rejecting, load.rejecting_at = one['rejecting'], world.now
        load.unanswered_since = world.now
        load.ejected_until = world.now + 9 if one['ejected'] else 0
        if one['limit'] is not None:
            limit = NamedLimit(one['limit'], world.now)
            world.state.rates.named.limits.note(f'u{number}', limit)
    return world


def _least_of_all(scale: choosing._Scale) -> Choice | None:
    """The best when each upstream is weighed to the end."""
    usable = scale.state.catalog.services.get(scale.request.service, [])
    for ejected in (False, True):
        candidates = choosing._candidates(scale, usable, ejected=ejected)
        weighed = [scale.weigh(upstream) for upstream in candidates]
        best = min(filter(None, weighed), key=_cost_of, default=None)
        if best:
            return best
    return None


def _cost_of(choice: Choice) -> float:
    return choice.cost


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
    naive = _least_of_all(scale)
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


@given(_UPSTREAMS, _KINDS, st.sampled_from(['', 'k', 'other']))
def test_best_of_all_is_the_first_of_least_cost(
    described: list[dict[str, Any]], kind: RouteKind, key: str
) -> None:
    scale = _scale(described, kind, key)
    best = choosing._best_of_all(scale)
    limited = scale.limited.copy()
    scale.limited.clear()
    assert best == _least_of_all(scale)
    assert limited == scale.limited


@given(_UPSTREAMS, _KINDS, st.sampled_from(['', 'k']), st.floats(0, 20))
def test_upstream_is_left_out_only_if_it_costs_no_less(
    described: list[dict[str, Any]], kind: RouteKind, key: str, least: float
) -> None:
    scale = _scale(described, kind, key)
    for one in scale.state.catalog.usable('orders'):
        whole = scale.weigh(one)
        assert whole is not None
        for bound in (least, whole.cost):
            expected = whole if whole.cost < bound else None
            assert scale.weigh(one, bound) == expected


@given(_UPSTREAMS, st.booleans())
def test_upstreams_without_limits_are_allowed_as_with_them(
    described: list[dict[str, Any]], yields: bool
) -> None:
    unlimited = [one | {'limit': None} for one in described]
    scale = _scale(unlimited, RouteKind.IDEMPOTENT, '')
    scale.yields = yields
    found = []
    for scale.has_limits in (False, True):
        scale.limited.clear()
        usable = scale.state.catalog.usable('orders')
        allowed = [scale.allows(one) for one in usable]
        found.append((allowed, scale.limited.copy()))
    assert found[0] == found[1]


def _scale(
    described: list[dict[str, Any]], kind: RouteKind, key: str
) -> choosing._Scale:
    """What a fresh request is weighed by."""
    world = _world(described, kind)
    head = SteeredHead('t', HOST, 'GET', '/read/x', 20.0, key)
    request = SteeredRequest(
        1, head, route(kind=kind), 'orders', world.now, world.now + 20
    )
    return choosing._Scale.from_request(world.state, request, world.now)
