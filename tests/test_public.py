"""The package's public names, and modules that an entry must not import."""

import subprocess
import sys

import pytest

import worksrail

_UNWANTED_MODULES = (
    'yaml',
    'pydantic',
    'grpclib',
    'cryptography',
    'fire',
    'rich',
)


@pytest.mark.parametrize('name', worksrail.__all__)
def test_public_name(name: str) -> None:
    assert getattr(worksrail, name).__name__ == name


def test_unknown_name() -> None:
    with pytest.raises(AttributeError, match='nothing'):
        worksrail.nothing  # noqa: B018


def test_platform_entry_does_not_import_unwanted_modules() -> None:
    code = (
        'import sys, worksrail.platform._entry;'
        f'print([name for name in {_UNWANTED_MODULES!r} if name in sys.modules])'
    )
    result = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == '[]'
