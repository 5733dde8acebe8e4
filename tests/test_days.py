"""The days of our own can be read and name their kinds of trouble."""

import tomllib
from pathlib import Path

import pytest

_DAYS = sorted((Path(__file__).parents[1] / 'deploy' / 'days').glob('*.toml'))


def test_there_are_days() -> None:
    assert len(_DAYS) >= 7


@pytest.mark.parametrize('path', _DAYS, ids=lambda path: path.stem)
def test_day_can_be_read(path: Path) -> None:
    day = tomllib.loads(path.read_text())
    assert day['name'] == path.stem
    troubles = [*day['plan'], *day['faults']]
    assert troubles
    for trouble in troubles:
        assert trouble['kind']
        assert 0 <= trouble['at'] <= 30


def test_days_have_names_and_seeds_of_their_own() -> None:
    days = [tomllib.loads(path.read_text()) for path in _DAYS]
    assert len({day['name'] for day in days}) == len(days)
    assert len({day['seed'] for day in days}) == len(days)
