"""The unit for service managers keeps the starter's part of a reload."""

from configparser import ConfigParser
from pathlib import Path

import pytest

_UNIT = Path(__file__).parents[1] / 'deploy' / 'systemd' / 'worksraild.service'


@pytest.mark.parametrize(
    ('section', 'key', 'expected'),
    [
        ('Service', 'Type', 'notify'),
        ('Service', 'NotifyAccess', 'main'),
        ('Service', 'ExecReload', '/bin/kill -HUP $MAINPID'),
        ('Service', 'Restart', 'always'),
        ('Unit', 'StartLimitIntervalSec', '0'),
    ],
)
def test_unit_reloads_what_is_ready_and_starts_again_what_ended(
    section: str, key: str, expected: str
) -> None:
    unit = ConfigParser(interpolation=None)
    unit.optionxform = str  # type: ignore
    unit.read(_UNIT)
    assert unit[section][key] == expected
