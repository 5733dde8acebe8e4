"""Names of the platform are used in one package only."""

import re
from pathlib import Path

import pytest

from worksrail.platform import _names

_ROOT = Path(_names.__file__).parents[1]
_ADAPTER = _ROOT / 'platform'
_MODULES = ('_objects.py', '_settings.py', '_store.py', '_dialect.py')
_FIELD_NAME = re.compile(
    r"'([A-Z][A-Za-z]+(?:-[A-Z][A-Za-z]+)*|[a-z]+S?_max_s)'"
)
# Common words and standard HTTP headers.
_COMMON_NAMES = frozenset(
    (
        'Name',
        'Host',
        'Cookie',
        'Status',
        'Service',
        'Zone',
        'Region',
        'Version',
        'Limits',
        'Watch',
        'Services',
        'Content-Type',
        'Retry-After',
        'Content-Encoding',
        'Keep-Alive',
        'GET',
        'HTTP',
    )
)


def _platform_names() -> set[str]:
    constants = {
        text for text in vars(_names).values() if isinstance(text, str)
    }
    found = {text for text in constants if re.match(r'[A-Z/]', text)}
    for name in _MODULES:
        found.update(_FIELD_NAME.findall((_ADAPTER / name).read_text()))
    return {
        text for text in found if '/' in text or len(text) > 3
    } - _COMMON_NAMES


def test_names_of_the_platform_are_found() -> None:
    names = _platform_names()
    for known in (
        'Deadline-Ms',
        'TrafficSplit',
        'ColdPerS',
        'WORKSRAIL_CONFIG',
    ):
        assert known in names
    assert len(names) > 40


@pytest.mark.parametrize(
    'path',
    [
        path
        for path in _ROOT.rglob('*.py')
        # The stand-in of the store implements the platform's protocol.
        if _ADAPTER not in path.parents
        and '_pb2' not in path.name
        and path != _ROOT / 'standins' / 'objects.py'
    ],
    ids=lambda path: str(path.relative_to(_ROOT)),
)
def test_no_other_module_contains_them(path: Path) -> None:
    text = path.read_text()
    known = {
        name
        for name in _platform_names()
        if f"'{name}'" in text or f'"{name}"' in text
    }
    assert not known


@pytest.mark.parametrize(
    'path', sorted(_ADAPTER.glob('*.py')), ids=lambda path: path.name
)
def test_adapter_makes_no_decisions(path: Path) -> None:
    text = path.read_text()
    for word in ('asyncio.sleep', 'call_later', 'random', 'retries', 'backoff'):
        assert word not in text
