"""Settings of the systemd unit that reloads and restarts depend on."""

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
def test_unit_notifies_readiness_reloads_and_restarts(
    section: str, key: str, expected: str
) -> None:
    unit = ConfigParser(interpolation=None)
    unit.optionxform = str  # type: ignore
    unit.read(_UNIT)
    assert unit[section][key] == expected
