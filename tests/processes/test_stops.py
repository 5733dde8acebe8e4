"""What callers get from an entry that was asked to stop, at processes.

Each test guards against a way in which callers lost the answer that an upstream
was making for them: an entry that stopped gave up a silent upstream, or exited
without a word.
"""

import asyncio
import re
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.platform.upstream import RawUpstream, Reply, answer
from tests.processes.test_platform import Platform
from worksrail.core.results import ResultCode

pytestmark = pytest.mark.xdist_group('processes')

_HOST = '127.0.0.2'
_GRACE_S = 4.0
# Seconds of the grace period after which an entry exits whatever is open, and
# shares of it: takes no requests any more, and that with some room.
_EXIT_S = 0.95 * _GRACE_S
_REFUSED_SHARE = 3.2 / 6
_PATIENCE_S = 30.0
# Seconds for which an upstream is silent: longer than any estimate, within the
# grace period, and beyond it.
_SILENT_S = 3.2
_BEYOND_S = 2 * _GRACE_S
# Name of a route, time limit and services in the rows of the configuration.
_ROUTE, _TIMEOUT, _SERVICE, _SPLIT = 0, 4, 7, 11


class Call:
    """A connection of a caller that is kept."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Use an open connection."""
        self.reader = reader
        self.writer = writer

    def send(self, trace: str, route: str = 'r', body: bytes = b'') -> None:
        """Send a request whole."""
        self.begin(trace, route, len(body))
        self.writer.write(body)

    def begin(self, trace: str, route: str, length: int) -> None:
        """Send the head of a request."""
        method = 'POST' if length else 'GET'
        self.writer.write(
            f'{method} /{route}/x HTTP/1.1\r\nHost: h.example\r\n'
            f'Request-Id: {trace}\r\nDeadline-Ms: 20000\r\n'
            f'Content-Length: {length}\r\n\r\n'.encode()
        )

    async def answer(self) -> tuple[int, int]:
        """Status and result code of the next answer; zeros without one."""
        try:
            async with asyncio.timeout(_PATIENCE_S):
                head = await self.reader.readuntil(b'\r\n\r\n')
                length = head.lower().partition(b'content-length: ')[2]
                body = await self.reader.readexactly(int(length.split()[0]))
        except (OSError, asyncio.IncompleteReadError):
            return 0, 0
        return int(head.split()[1]), _result_in(body)


def _result_in(body: bytes) -> int:
    """Result code in the body of an entry's own answer; zero without one."""
    found = re.search(rb'"result": ?(\d+)', body)
    return int(found[1]) if found else 0


class OneUpstream(Platform):
    """An upstream that is silent for some time, and an entry before it."""

    def __init__(self, folder: Path, silent: float) -> None:
        """Prepare; nothing runs yet."""
        super().__init__(folder)
        self.bounds = [f'GracePeriodS={_GRACE_S}']
        for row in self.configuration['Routes']['Rows']:
            row[_TIMEOUT] = 20
            row[_SERVICE], row[_SPLIT] = 'a', None
        self.seen: list[str] = []
        self.silent = silent
        self.upstream = RawUpstream(self._reply)

    def _reply(self, _: int, trace: str) -> Reply:
        if trace:
            self.seen.append(trace)
        after = self.silent if trace.startswith('slow') else 0
        return Reply(answer(trace), after=after)

    async def call(self) -> Call:
        """Open a connection to the entry."""
        return Call(*await asyncio.open_connection(_HOST, self.ports[0]))

    async def at_work(self, trace: str) -> None:
        """Wait until the upstream has a request."""

        async def has_begun() -> bool:
            return trace in self.seen

        await self.until(has_begun)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the entry."""
        self.entries[_HOST].send_signal(number)

    async def exit_code(self) -> int:
        """Wait for the exit of the entry."""
        async with asyncio.timeout(_PATIENCE_S):
            return await self.entries[_HOST].wait()


def _play(
    folder: Path,
    use: Callable[[OneUpstream], Awaitable[None]],
    silent: float,
) -> None:
    async def run() -> None:
        platform = OneUpstream(folder, silent)
        await platform.open()
        try:
            await platform.start(_HOST)

            async def serves() -> bool:
                return await platform.request(_HOST, 'first') == 200

            await platform.until(serves)
            await use(platform)
            assert await platform.exit_code() == 0
        finally:
            await platform.close()

    asyncio.run(run())


# The answer of an entry that had to exit while its upstream was at work.
_STOPPED = (504, 4008)
_LEAVING = (503, ResultCode.ENTRY_LEAVING.value.number)
_SERVED = (200, 0)


# Signals in the stop, by their seconds after the SIGTERM.
@pytest.mark.parametrize(
    'signals',
    [
        (),
        ((1.0, signal.SIGTERM), (2.2, signal.SIGTERM)),
        ((1.0, signal.SIGHUP), (2.2, signal.SIGHUP)),
    ],
    ids=['alone', 'SIGTERM again', 'SIGHUP'],
)
@pytest.mark.parametrize('route', ['r', 'w'])
def test_stop_does_not_cut_the_answer_of_a_silent_upstream(
    route: str,
    signals: tuple[tuple[float, signal.Signals], ...],
    tmp_path: Path,
) -> None:
    async def use(platform: OneUpstream) -> None:
        call = await platform.call()
        call.send('slow', route)
        await platform.at_work('slow')
        platform.signal(signal.SIGTERM)
        passed = 0.0
        for at, number in signals:
            await asyncio.sleep(at - passed)
            platform.signal(number)
            passed = at
        assert await call.answer() == _SERVED
        assert platform.seen.count('slow') == 1

    _play(tmp_path, use, _SILENT_S)


@pytest.mark.parametrize('route', ['r', 'w'])
def test_forced_exit_tells_callers_whose_upstreams_are_at_work(
    route: str, tmp_path: Path
) -> None:
    async def use(platform: OneUpstream) -> None:
        call = await platform.call()
        call.send('slow', route)
        await platform.at_work('slow')
        platform.signal(signal.SIGTERM)
        assert await call.answer() == _STOPPED

    _play(tmp_path, use, _BEYOND_S)


# Whether the connection has carried a request before.
@pytest.mark.parametrize('kept', [True, False])
def test_late_request_in_a_stop_is_refused_unsent(
    *, kept: bool, tmp_path: Path
) -> None:
    async def use(platform: OneUpstream) -> None:
        # An open request keeps the entry running.
        open_call = await platform.call()
        open_call.send('slow')
        await platform.at_work('slow')
        late = await platform.call()
        if kept:
            late.send('before')
            assert await late.answer() == _SERVED
        platform.signal(signal.SIGTERM)
        await asyncio.sleep(_REFUSED_SHARE * _GRACE_S)
        late.send('late', 'w')
        assert await late.answer() == _LEAVING
        assert 'late' not in platform.seen
        assert await open_call.answer() == _SERVED

    _play(tmp_path, use, _SILENT_S)


def test_body_that_is_half_in_at_the_exit_reaches_no_upstream(
    tmp_path: Path,
) -> None:
    async def use(platform: OneUpstream) -> None:
        call = await platform.call()
        call.begin('half', 'w', 1000)
        call.writer.write(b'x' * 500)
        await call.writer.drain()
        platform.signal(signal.SIGTERM)
        assert await platform.exit_code() == 0
        # Nothing was read whole, so a closed connection says enough.
        assert await call.answer() in ((0, 0), _LEAVING)
        assert 'half' not in platform.seen

    _play(tmp_path, use, 0)


def test_rest_of_a_body_within_the_stop_is_answered(tmp_path: Path) -> None:
    async def use(platform: OneUpstream) -> None:
        call = await platform.call()
        call.begin('half', 'w', 1000)
        call.writer.write(b'x' * 500)
        await call.writer.drain()
        platform.signal(signal.SIGTERM)
        await asyncio.sleep(0.2 * _GRACE_S)
        call.writer.write(b'x' * 500)
        assert await call.answer() == _SERVED

    _play(tmp_path, use, 0)
