"""Compares the choice of an upstream with an exhaustive evaluation."""

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
        load.failure_rate, load.failure_rate_at = one['failing'], world.now
        load.rejection_rate, load.rejection_rate_at = (
            one['rejecting'],
            world.now,
        )
        load.unanswered_since = world.now
        load.ejected_until = world.now + 9 if one['ejected'] else 0
        if one['limit'] is not None:
            limit = NamedLimit(one['limit'], world.now)
            world.state.rates.named.limits.note(f'u{number}', limit)
    return world


def _exhaustive_best(model: choosing._CostModel) -> Choice | None:
    """Return the best choice after fully evaluating each upstream."""
    usable = model.state.catalog.services.get(model.request.service, [])
    for ejected in (False, True):
        candidates = choosing._candidates(model, usable, ejected=ejected)
        choices = [model.evaluate(upstream) for upstream in candidates]
        best = min(filter(None, choices), key=_cost_of, default=None)
        if best:
            return best
    return None


def _cost_of(choice: Choice) -> float:
    return choice.cost


@given(_UPSTREAMS, _KINDS, st.sampled_from(['', 'k', 'other']))
def test_choice_equals_that_of_an_exhaustive_evaluation(
    described: list[dict[str, Any]], kind: RouteKind, key: str
) -> None:
    world = _world(described, kind)
    number = world.ask(key=key, time_left=20.0)
    if number not in world.state.requests:
        return
    request = world.state.requests[number]
    # Undo the changes that the request itself has made.
    world.state.loads.of(request.current.upstream).own -= 1
    world.state.rates.cold.last_sent.clear()
    chosen = choose(world.state, request, world.now)
    model = choosing._CostModel.from_request(world.state, request, world.now)
    naive = _exhaustive_best(model)
    if naive is None:
        assert not isinstance(chosen, Choice)
        return
    longest = choosing.max_wait(request, naive.latency, world.now)
    if not isinstance(chosen, Choice):
        assert naive.wait > longest
    elif chosen.cost != naive.cost:
        # The queue of the best upstream is too long; another home of the key
        # has a shorter one.
        assert naive.wait > longest
        assert chosen.upstream.name in model.homes
        assert chosen.wait < naive.wait


@given(_UPSTREAMS, _KINDS, st.sampled_from(['', 'k', 'other']))
def test_best_of_all_is_the_first_with_the_least_cost(
    described: list[dict[str, Any]], kind: RouteKind, key: str
) -> None:
    model = _scale(described, kind, key)
    best = choosing._best_of_all(model)
    limited = model.limited.copy()
    model.limited.clear()
    assert best == _exhaustive_best(model)
    assert limited == model.limited


@given(_UPSTREAMS, _KINDS, st.sampled_from(['', 'k']), st.floats(0, 20))
def test_evaluation_ends_early_only_if_the_cost_is_not_less(
    described: list[dict[str, Any]], kind: RouteKind, key: str, least: float
) -> None:
    model = _scale(described, kind, key)
    for one in model.state.catalog.usable('orders'):
        whole = model.evaluate(one)
        assert whole is not None
        for bound in (least, whole.cost):
            expected = whole if whole.cost < bound else None
            assert model.evaluate(one, bound) == expected


@given(_UPSTREAMS, st.booleans())
def test_shortcut_without_limits_allows_the_same_upstreams(
    described: list[dict[str, Any]], yields: bool
) -> None:
    unlimited = [one | {'limit': None} for one in described]
    model = _scale(unlimited, RouteKind.IDEMPOTENT, '')
    model.yields = yields
    found = []
    for model.has_limits in (False, True):
        model.limited.clear()
        usable = model.state.catalog.usable('orders')
        allowed = [model.allows(one) for one in usable]
        found.append((allowed, model.limited.copy()))
    assert found[0] == found[1]


def _scale(
    described: list[dict[str, Any]], kind: RouteKind, key: str
) -> choosing._CostModel:
    """Create the cost model of a new request."""
    world = _world(described, kind)
    head = SteeredHead('t', HOST, 'GET', '/read/x', 20.0, key)
    request = SteeredRequest(
        1, head, route(kind=kind), 'orders', world.now, world.now + 20
    )
    return choosing._CostModel.from_request(world.state, request, world.now)
