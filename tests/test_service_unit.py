"""The unit for service managers keeps the starter's part of a reload."""

from configparser import ConfigParser
from pathlib import Path

import pytest

_UNIT = Path(__file__).parents[1] / 'deploy' / 'systemd' / 'worksraild.service'


@pytest.mark.parametrize(
    ('key', 'expected'),
    [
        ('Type', 'notify'),
        ('NotifyAccess', 'main'),
        ('ExecReload', '/bin/kill -HUP $MAINPID'),
        ('Restart', 'always'),
    ],
)
def test_unit_reloads_what_is_ready_and_starts_again_what_ended(
    key: str, expected: str
) -> None:
    unit = ConfigParser(interpolation=None)
    unit.optionxform = str  # type: ignore
    unit.read(_UNIT)
    assert unit['Service'][key] == expected
