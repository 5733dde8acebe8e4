"""Callers that leave an entry, at processes, as seen by the upstream."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.callers.leaving import WAYS, LeavingCaller, until
from tests.callers.watching import WatchingUpstream
from tests.processes.test_platform import Platform

pytestmark = pytest.mark.xdist_group('processes')

_HOST = '127.0.0.2'
# Time limit, service and split in the rows of the configuration.
_TIMEOUT, _SERVICE, _SPLIT = 4, 7, 11


def request(trace: str, route: str = 'r', body: bytes = b'') -> bytes:
    """Return the bytes of a request."""
    method = 'POST' if body else 'GET'
    length = f'Content-Length: {len(body)}\r\n' if body else ''
    head = (
        f'{method} /{route}/x HTTP/1.1\r\nHost: h.example\r\n'
        f'Request-Id: {trace}\r\nDeadline-Ms: 60000\r\n{length}\r\n'
    )
    return head.encode() + body


class WatchedPlatform(Platform):
    """An upstream that notices who leaves, and an entry before it."""

    def __init__(self, folder: Path) -> None:
        """Prepare; nothing runs yet."""
        super().__init__(folder)
        for row in self.configuration['Routes']['Rows']:
            row[_TIMEOUT] = 60
            row[_SERVICE], row[_SPLIT] = 'a', None
        self.watching = WatchingUpstream()
        self.upstream = self.watching  # type: ignore[assignment]

    def lines(self, message: str) -> list[dict[str, object]]:
        """Log lines of the entry with a message."""
        text = (self.folder / f'{_HOST}.log').read_text()
        documents = [json.loads(line) for line in text.splitlines()]
        return [one for one in documents if one.get('message') == message]


Use = Callable[[WatchedPlatform], Awaitable[None]]


def _play(folder: Path, use: Use) -> None:
    async def run() -> None:
        platform = WatchedPlatform(folder)
        await platform.open()
        platform.watching.seconds = 0.01
        try:
            await platform.start(_HOST)

            async def serves() -> bool:
                return await platform.request(_HOST, 'warm') == 200

            await platform.until(serves)
            platform.watching.seconds = 0
            await use(platform)
        finally:
            await platform.close()

    asyncio.run(run())


_BEHIND = {
    'nothing': b'',
    'half a head': request('next')[:20],
    'one request': request('next-1'),
    'eight requests': b''.join(request(f'next-{n}') for n in range(8)),
}


@pytest.mark.parametrize('way', WAYS)
@pytest.mark.parametrize('behind', _BEHIND)
def test_upstream_stops_working_for_a_caller_that_has_left(
    behind: str, way: str, tmp_path: Path
) -> None:
    async def use(platform: WatchedPlatform) -> None:
        upstream = platform.watching
        caller = LeavingCaller(platform.ports[0], _HOST)
        await caller.send(request('first') + _BEHIND[behind])
        assert await until(lambda: upstream.find('first'))
        WAYS[way](caller)
        assert await until(lambda: not tuple(upstream.open_works()))
        begun = len(upstream.works)
        await asyncio.sleep(0.6)
        assert len(upstream.works) == begun
        caller.sock.close()

    _play(tmp_path, use)
