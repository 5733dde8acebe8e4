"""Upstreams that leave or expire around an outage of the store.

The store was unresponsive for 8 s, and the records of all upstreams expired.
Pending watches do not reveal an outage: six readers noticed it only when their
watches timed out after up to 18 s, and the calls they then made were never
answered. An upstream that left 3 s after the recovery still got requests 2.6
and 2.8 s after the store had confirmed it; 2.5 s are allowed.

Where the watches outlasted the outage instead, the readers took the expired
records for removals and dropped all 44 live upstreams within 0.2 s of the
recovery, at all twelve entries. Of the credit of these two seconds 0.39 was
earned instead of 0.99.

The cause was that the health of the store was inferred from calls that may
legitimately wait for 18 s: ``store-lost`` was logged 18.0 s after the watches
had started, never sooner, and no reader logged ``store-regained`` within 7 s of
the recovery. With short first calls all entries knew of upstreams that left
after 0.7 s, but that alone left the second failure in place.
"""

import pytest

from tests.steering.silent_store import Reader
from tests.virtual_time import run_virtually

# Seconds from the start of the watches to the outage, its duration, and whether
# the store loses the watches that are pending when it starts.
_OUTAGES = [
    pytest.param(11.4, 8.3, True, id='watches end during the outage'),
    pytest.param(3, 8.3, False, id='watches outlast the outage'),
    pytest.param(3, 8.3, True, id='watches are lost'),
    pytest.param(3, 4, True, id='watches are lost in a short outage'),
    pytest.param(9, 5, False, id='outage ends shortly before the watches'),
]
# Seconds from the recovery of the store after which it counts as healthy.
_RECOVERY_TIME = 3.0
# Seconds within which a leaving upstream must not be used any more. The
# smallest bound of the deployments so far is 2.0, and another entry may have to
# be notified as well.
_MAX_DELAY = 1.2


async def _simulate_outage(
    reader: Reader, after: float, duration: float
) -> None:
    """Make the store unresponsive and let all records expire meanwhile."""
    await reader.start()
    await reader.run(after)
    reader.store.stop_answering()
    await reader.run(2)
    for name in sorted(reader.store.records):
        reader.store.remove(name)
    await reader.run(duration - 2)
    reader.store.unresponsive = False


@pytest.mark.parametrize(('after', 'duration', 'loses_watches'), _OUTAGES)
def test_upstream_that_leaves_after_an_outage_is_removed_in_time(
    after: float, duration: float, loses_watches: bool
) -> None:
    async def run() -> set[str]:
        reader = Reader(loses_watches=loses_watches)
        await _simulate_outage(reader, after, duration)
        reader.write_records('1', '2', '3', '4', '5')
        await reader.run(_RECOVERY_TIME)
        reader.store.remove('3')
        await reader.run(_MAX_DELAY)
        reader.stop()
        return reader.usable()

    assert run_virtually(run()) == {'1', '2', '4', '5'}


@pytest.mark.parametrize(('after', 'duration', 'loses_watches'), _OUTAGES)
def test_records_that_expire_in_an_outage_are_kept_until_they_may_reappear(
    after: float, duration: float, loses_watches: bool
) -> None:
    async def run() -> int:
        reader = Reader(loses_watches=loses_watches)
        await _simulate_outage(reader, after, duration)
        await reader.run(1.9)
        min_usable = reader.min_usable
        reader.write_records('1', '2', '3', '4', '5')
        await reader.run(4)
        reader.stop()
        return min(min_usable, reader.min_usable)

    assert run_virtually(run()) == 5


def test_upstream_that_does_not_reappear_is_removed() -> None:
    async def run() -> set[str]:
        reader = Reader(loses_watches=False)
        await _simulate_outage(reader, 3, 8.3)
        reader.write_records('1', '2')
        await reader.run(4)
        reader.stop()
        return reader.usable()

    assert run_virtually(run()) == {'1', '2'}
