"""Instances as processes whose upstreams say that they leave or back off."""

from collections.abc import Iterator

import pytest

from tests.processes.raw import exchange, result_of
from worksrail.bench._fleet import Fleet
from worksrail.core.results import ResultCode

_REQUEST = b'GET / HTTP/1.1\r\nHost: orders.example\r\n\r\n'
_REQUESTS = 40


@pytest.fixture
def faulty(fleet: Fleet) -> Iterator[Fleet]:
    yield fleet
    fleet.set_upstreams(shed=False, backoff=0, leaving=False)
    fleet.reset_upstreams()


def _ask(fleet: Fleet, count: int) -> list[int | None]:
    """Send requests to all entries by turns; return their results."""
    entries = fleet.plan.entries
    return [
        result_of(exchange(entries[number % len(entries)].caller, _REQUEST))
        for number in range(count)
    ]


def _met(fleet: Fleet, name: str) -> int:
    """Return how many requests an upstream has executed or refused."""
    (counters,) = [
        one for one in fleet.upstream_counters() if one['name'] == name
    ]
    return int(counters['executed'] + counters['shed'])


@pytest.mark.parametrize(
    'faults',
    [{'shed': True, 'backoff': 20}, {'leaving': True}],
    ids=['backoff', 'leaving'],
)
def test_process_sends_no_more_to_an_upstream_that_wants_none(
    faulty: Fleet, faults: dict[str, object]
) -> None:
    faulty.set_upstreams(('orders-1',), **faults)
    _ask(faulty, _REQUESTS)
    before = _met(faulty, 'orders-1')
    results = _ask(faulty, _REQUESTS // 2)
    assert before
    assert _met(faulty, 'orders-1') == before
    assert set(results) == {ResultCode.OK.number}
