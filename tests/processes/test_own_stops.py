"""What callers of an entry of the own mode see while it stops."""

import signal
import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack
from functools import partial
from pathlib import Path
from typing import Final

import pytest

from tests.conftest import SMALL_BUNDLE
from tests.processes.raw import exchange, result_of
from worksrail.bench._calls import wait_until
from worksrail.bench._fleet import Fleet
from worksrail.bench._plan import EntryPlan, FleetPlan
from worksrail.core.results import ResultCode

pytestmark = pytest.mark.xdist_group('processes')

# Addresses of its own: the fleet of the session may run beside this one.
_BUNDLE: Final = SMALL_BUNDLE.replace('127.30.', '127.31.')
_GET: Final = b'GET / HTTP/1.1\r\nHost: orders.example\r\n\r\n'
_HEAD: Final = (
    b'POST / HTTP/1.1\r\nHost: orders.example\r\nContent-Length: 10\r\n\r\n'
)
_SERVICE_S: Final = 1.5
_SLOTS: Final = 8
_PATIENCE: Final = 20.0
# Seconds for which a stopping entry of this bundle takes requests.
_ACCEPTS_S: Final = 3.0


@pytest.fixture
def slow_fleet(tmp_path: Path) -> Iterator[Fleet]:
    """One entry with upstreams that are at work for long."""
    plan = FleetPlan.from_example(
        'stopping',
        tmp_path,
        {'orders': _SERVICE_S},
        entries_per_region=1,
        base_port=8350,
        text=_BUNDLE,
    )
    with Fleet(plan) as running:
        running.roll(_BUNDLE)
        running.wait_seats()
        wait_until(partial(_serves, plan.entries[0].caller))
        yield running


def _serves(address: str) -> bool:
    return result_of(exchange(address, _GET)) == ResultCode.OK.number


def _connect(entry: EntryPlan) -> socket.socket:
    host, _, port = entry.caller.partition(':')
    return socket.create_connection((host, int(port)), _PATIENCE)


def _read_to_close(caller: socket.socket) -> bytes:
    received = b''
    while part := caller.recv(65536):
        received += part
    return received


def _sleep_until(moment: float) -> None:
    time.sleep(max(0, moment - time.monotonic()))


def test_open_requests_are_answered_before_the_exit(slow_fleet: Fleet) -> None:
    """Under way, in the queue, and whole only late in the stop."""
    entry = slow_fleet.plan.entries[0]
    with ExitStack() as stack:
        under_way = [
            stack.enter_context(_connect(entry)) for _ in range(_SLOTS + 2)
        ]
        for caller in under_way:
            caller.sendall(_GET)
        last = stack.enter_context(_connect(entry))
        half_in = stack.enter_context(_connect(entry))
        half_in.sendall(_HEAD + b'hello')
        time.sleep(0.2)
        stopped_at = time.monotonic()
        for _ in range(2):
            slow_fleet.signal(entry.name, signal.SIGTERM)
            time.sleep(0.2)
        _sleep_until(stopped_at + _ACCEPTS_S - 0.5)
        last.sendall(_GET)
        _sleep_until(stopped_at + _ACCEPTS_S + 0.5)
        half_in.sendall(b'hello')
        late = result_of(_read_to_close(half_in))
        results = [result_of(_read_to_close(one)) for one in under_way]
        assert result_of(_read_to_close(last)) == ResultCode.OK.number
    assert ResultCode.OK.number in results
    assert set(results) <= {ResultCode.OK.number, ResultCode.NO_SLOT.number}
    assert late == ResultCode.ENTRY_LEAVING.number
    assert slow_fleet.wait_ended(entry.name) == 0


def test_request_that_is_half_in_is_refused_before_the_exit(
    slow_fleet: Fleet,
) -> None:
    entry = slow_fleet.plan.entries[0]
    with _connect(entry) as half_in:
        half_in.sendall(_HEAD + b'hello')
        time.sleep(0.2)
        slow_fleet.signal(entry.name, signal.SIGTERM)
        answer = _read_to_close(half_in)
    assert result_of(answer) == ResultCode.ENTRY_LEAVING.number
    assert slow_fleet.wait_ended(entry.name) == 0
