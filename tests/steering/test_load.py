"""Loads played on the decisions, and what callers get."""

import pytest

from tests.steering.playing import Playing, shares_of

_SEEDS = (1, 2, 3)


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize(
    ('rate', 'in_time', 'refused'),
    [(100, 0.99, 0.005), (180, 0.99, 0.005), (220, 0.98, 0.015)],
)
def test_uneven_homes_leave_no_slot_unused(
    rate: float,
    in_time: float,
    refused: float,
    seed: int,
) -> None:
    # 96 keys at 8 upstreams of 4 slots, which serve 290 warm requests a
    # second.  When a key's own upstream has a queue, the other that it spills
    # to has room: at 220 a second 0.944 to 0.960 in time and 0.039 to 0.054
    # refused if it is not used, 0.989 to 0.992 and 0.004 to 0.006 if it is.
    got = shares_of(Playing(rate, 96, seed=seed))
    assert got['in time'] > in_time
    assert got['refused'] < refused
