"""The scenario files in deploy/days parse and name their kinds of faults."""

import tomllib
from pathlib import Path

import pytest

_DAYS = sorted((Path(__file__).parents[1] / 'deploy' / 'days').glob('*.toml'))


def test_scenario_files_exist() -> None:
    assert len(_DAYS) >= 7


@pytest.mark.parametrize('path', _DAYS, ids=lambda path: path.stem)
def test_scenario_file_is_valid(path: Path) -> None:
    day = tomllib.loads(path.read_text())
    assert day['name'] == path.stem
    troubles = [*day['plan'], *day['faults']]
    assert troubles
    for trouble in troubles:
        assert trouble['kind']
        assert 0 <= trouble['at'] <= 30


def test_names_and_seeds_are_unique() -> None:
    days = [tomllib.loads(path.read_text()) for path in _DAYS]
    assert len({day['name'] for day in days}) == len(days)
    assert len({day['seed'] for day in days}) == len(days)
