"""One or two entries in this process, and a caller of the first one."""

import asyncio
import itertools
import re
from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from tests.platform.test_upstream_faults import Entry
from tests.steering.world import digest
from worksrail.core.steering import EntryDigest
from worksrail.core.steering.effects import PassRequest, ProbeUpstream
from worksrail.core.steering.events import DigestReceived
from worksrail.daemon.http._server import ExchangeServer, HttpLimits

_PROMISES = frozenset((408, 421, 429, 503))


class Addressed(Protocol):
    """An upstream that listens."""

    address: str


@unique
class Way(Enum):
    """How requests reach an upstream."""

    DIRECT = 'direct'
    THROUGH_ANOTHER = 'through another entry'


@dataclass(frozen=True, slots=True)
class Answered:
    """What a caller got."""

    status: int
    """Status of a whole answer; zero if there was none."""

    body: bytes = b''
    """Its body."""

    @property
    def promises(self) -> bool:
        """Whether it says that the request did not run and never will."""
        return self.status in _PROMISES


class _PassedRequests:
    """Handles the requests that another entry passes on."""

    def __init__(self, entry: Entry) -> None:
        """Take the entry."""
        self.arrived = entry.requests.passed
        self.caller_gone = entry.requests.caller_gone


def open_entry(way: Way, *upstreams: Addressed) -> tuple[Entry, ...]:
    """Return the entry that callers use, and the one behind it if any."""
    first = Entry(*upstreams)  # type: ignore[arg-type]
    first.engine.runners[PassRequest] = first.requests.pass_request
    first.engine.runners[ProbeUpstream] = lambda _: None
    if way is Way.DIRECT:
        return (first,)
    helper = Entry(*upstreams)  # type: ignore[arg-type]
    server = ExchangeServer(
        _PassedRequests(helper),
        HttpLimits(),
        itertools.count(1),
        helper.server.dialect,
    )
    server.listen(0, '127.0.0.1')
    port = next(iter(server._sockets.values())).getsockname()[1]
    let_pass_to(first, f'127.0.0.1:{port}')
    return first, helper


def let_pass_to(entry: Entry, peer: str) -> None:
    """Cut an entry off from all upstreams, beside another one that serves."""
    state = entry.engine.state
    now = entry.engine.now()
    heard = digest('two', peer=peer)
    assert isinstance(heard, EntryDigest)
    entry.engine.dispatch(DigestReceived(now, heard))
    state.paths.lost_since['orders'] = now


async def ask(
    port: int, name: str, trace: str, *, deadline: float = 2.0
) -> Answered:
    """Send a request on a connection of its own."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(
        (
            f'POST /{name}/x HTTP/1.1\r\nHost: orders.example\r\n'
            f'Request-Id: {trace}\r\nDeadline-Ms: {int(deadline * 1000)}\r\n'
            'Content-Length: 3\r\n\r\nabc'
        ).encode()
    )
    try:
        async with asyncio.timeout(deadline + 5):
            return await _read(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answered(0)
    finally:
        writer.close()


async def _read(reader: asyncio.StreamReader) -> Answered:
    received = await reader.readuntil(b'\r\n\r\n')
    status = int(received.split(b' ')[1])
    length = re.search(rb'Content-Length: (\d+)', received)
    if length:
        return Answered(status, await reader.readexactly(int(length[1])))
    body = b''
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            return Answered(status, body)
