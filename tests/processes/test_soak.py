"""Seeds of the soak that failed once, and their causes."""

import asyncio
from pathlib import Path

import pytest

from tests.soak._soak import play_seed


@pytest.mark.parametrize(
    ('seed', 'seconds', 'entries'),
    [
        # Found that a connection which was reset before its first use ended
        # the process: RECOVERY.
        (20261202, 8, 2),
        # Found that an entry which got SIGHUP 0.15 s after its start ended, as
        # it was still loading: RECOVERY.
        (1796267376, 15, 3),
    ],
)
def test_seed_breaks_no_promise(
    seed: int, seconds: float, entries: int, tmp_path: Path
) -> None:
    result = asyncio.run(play_seed(seed, seconds, entries, tmp_path))
    assert result.steps
    assert result.served
    assert not result.violations
