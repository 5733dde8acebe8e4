"""Requests that must not run twice, and upstreams that forget connections."""

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import pytest

from tests.platform.test_upstream_faults import Entry, _read_answer, _request
from tests.platform.upstream import RawUpstream, Reply, answer
from tests.steering.world import route
from worksrail.core.steering import RouteKind
from worksrail.core.steering.effects import SendUpstream
from worksrail.daemon.http._body import REPLAY_LIMIT, BodyStream
from worksrail.daemon.steered._requests import SteeredRequests

_UPSTREAMS = 4
_REST = 0.3
_FORGOTTEN_AFTER = 0.2


@dataclass
class ForgetfulUpstream(RawUpstream):
    """Resets a rested connection when its next request arrives."""

    forgets: bool = False
    """Whether it forgets connections."""

    forgotten: list[str] = field(default_factory=list)
    """Identifiers of requests that arrived on forgotten connections."""

    answered_at: dict[asyncio.StreamWriter, float] = field(default_factory=dict)
    """When each open connection last carried an answer."""

    def _reply(self, writer: asyncio.StreamWriter, trace: str) -> Reply:
        now = asyncio.get_running_loop().time()
        rested = now - self.answered_at.get(writer, now)
        if self.forgets and rested > _FORGOTTEN_AFTER:
            self.forgotten.append(trace)
            return Reply(b'', reset=True)
        self.answered_at[writer] = now
        return super()._reply(writer, trace)


async def _ask(port: int, name: str, trace: str) -> int:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(_request(name, trace))
    status, _, _ = await _read_answer(reader)
    writer.close()
    return status


async def _ask_after_a_rest(
    names: tuple[str, ...],
) -> tuple[list[int], list[ForgetfulUpstream]]:
    """Open connections to all upstreams, rest, and send in sequence."""
    upstreams = [
        ForgetfulUpstream(lambda _, trace: Reply(answer(trace)))
        for _ in range(_UPSTREAMS)
    ]
    for one in upstreams:
        await one.open()
    entry = Entry(*upstreams)
    port = entry.open()
    async with asyncio.timeout(30):
        await asyncio.gather(
            *(_ask(port, 'read', f'o{number}') for number in range(30))
        )
        assert all(one.connections for one in upstreams)
        await asyncio.sleep(_REST)
        for one in upstreams:
            one.forgets = True
        statuses = [
            await _ask(port, name, f'{name}-{number}')
            for number, name in enumerate(names, 1)
        ]
    entry.server.stop()
    entry.requests.upstreams.close()
    return statuses, upstreams


@pytest.mark.parametrize(
    'names',
    [
        ('write',) * 8,
        ('write', 'read') * 4,
        ('read', 'write') * 4,
    ],
    ids=['writes only', 'write first', 'read first'],
)
def test_request_that_must_run_once_is_not_lost_on_a_rested_connection(
    names: tuple[str, ...],
) -> None:
    statuses, upstreams = asyncio.run(_ask_after_a_rest(names))
    forgotten = [trace for one in upstreams for trace in one.forgotten]
    assert not [trace for trace in forgotten if trace.startswith('write')]
    assert statuses == [200] * len(names)


def test_rested_connections_serve_requests_that_may_be_repeated() -> None:
    # The test's upstreams do forget, and nobody but reads learns of it.
    statuses, upstreams = asyncio.run(_ask_after_a_rest(('read',) * 8))
    assert any(one.forgotten for one in upstreams)
    assert statuses == [200] * 8


@pytest.mark.parametrize(
    ('name', 'sends', 'size', 'repeatable'),
    [
        ('read', 1, 0, True),
        # The route's last attempt cannot be repeated either.
        ('read', 2, 0, False),
        ('read', 1, REPLAY_LIMIT + 1, False),
        ('write', 1, 0, False),
    ],
)
def test_request_that_is_not_sent_again_gets_no_rested_connection(
    name: str, sends: int, size: int, repeatable: bool
) -> None:
    kind = RouteKind.AT_MOST_ONCE if name == 'write' else RouteKind.IDEMPOTENT
    request = SimpleNamespace(
        route=route(name, kind=kind, max_attempts=2), sends=sends
    )
    state = SimpleNamespace(requests={1: request})
    engine: Any = SimpleNamespace(state=state)
    unused: Any = None
    requests = SteeredRequests(engine, unused, unused, unused)
    exchange: Any = SimpleNamespace(body=BodyStream(size=size))
    effect = SendUpstream(1, sends, 'i-0', '127.0.0.1:1', 9, 9)
    assert requests._is_repeatable(exchange, effect) is repeatable
