"""Entries that are cut off from upstreams which other entries reach."""

from collections.abc import Callable
from typing import Final

import pytest

from tests.steering.cut_world import Ask, Cut, CutWorld

_THREE: Final = {'a1': 1, 'b1': 1, 'c1': 1}
_NINE: Final = {'a1': 2, 'a2': 1, 'b1': 2, 'b2': 1, 'c1': 2, 'c2': 1}
_SIXTY: Final = {'a1': 12, 'a2': 11, 'b1': 11, 'b2': 11, 'c1': 11, 'c2': 11}
# Requests a second at each entry.
_RATE: Final = 20
# Seconds from the beginning of a cut from which callers must not notice it.
_STABLE_S: Final = 4.0
# Share of the others' success that entries which are cut off have.
_AIM: Final = 0.95
_CUT_S: Final = 13.0

_Choice = Callable[[CutWorld], list[str]]


def _one(world: CutWorld) -> list[str]:
    return sorted(world.states)[:1]


def _third(world: CutWorld) -> list[str]:
    return sorted(world.states)[::3]


def _zone(world: CutWorld) -> list[str]:
    return [name for name in world.states if name.startswith('a1-')]


def _shares(world: CutWorld, names: list[str]) -> tuple[float, float]:
    """Cut entries for some time; return their share and that of the others.

    Counted are first tries from four seconds after the begin.
    """
    begin = world.now
    world.wait(_CUT_S)
    until = world.now
    world.mend()
    world.wait(4)

    def is_cut(one: Ask) -> bool:
        return one.entry in names

    def is_whole(one: Ask) -> bool:
        return one.entry not in names

    since = begin + _STABLE_S
    outcomes = world.outcomes
    return (
        outcomes.share(since, until, is_cut),
        outcomes.share(since, until, is_whole),
    )


@pytest.mark.parametrize('form', Cut, ids=[form.name for form in Cut])
@pytest.mark.parametrize(
    ('zones', 'choose'),
    [
        pytest.param(_THREE, _one, id='1-of-3'),
        pytest.param(_NINE, _one, id='1-of-9'),
        pytest.param(_NINE, _third, id='3-of-9'),
        pytest.param(_NINE, _zone, id='zone-of-9'),
        pytest.param(_SIXTY, _zone, id='zone-of-67'),
    ],
)
def test_callers_of_an_entry_cut_off_from_upstreams_are_served(
    zones: dict[str, int],
    choose: _Choice,
    form: Cut,
) -> None:
    world = CutWorld(zones, _RATE, upstreams=24)
    world.wait(3)
    names = choose(world)
    world.cut(names, form)
    cut, whole = _shares(world, names)
    print(f'served {cut:.3f} where cut off, {whole:.3f} elsewhere')
    assert cut >= _AIM * whole
