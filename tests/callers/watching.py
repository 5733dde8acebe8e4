"""An upstream that works on each request and notices who leaves it."""

import asyncio
import re
from collections.abc import Iterator
from dataclasses import dataclass, field

from tests.platform.upstream import answer

_REQUEST_ID = re.compile(rb'\r\nRequest-Id: (\S+)', re.IGNORECASE)
_LENGTH = re.compile(rb'\r\nContent-Length: (\d+)', re.IGNORECASE)


@dataclass
class Work:
    """One request at the upstream."""

    trace: str
    """Identifier of the request."""

    begun_at: float
    """When the upstream began it, by the clock of the loop."""

    left_at: float = 0
    """When the connection ended under it; zero if it did not."""

    done: bool = False
    """Whether it was answered."""

    release: asyncio.Event = field(default_factory=asyncio.Event)
    """Set to answer it."""

    @property
    def at_work(self) -> bool:
        """Whether the upstream still works on it."""
        return not self.left_at and not self.done


@dataclass
class WatchingUpstream:
    """Works on requests until they are released or their senders leave."""

    works: list[Work] = field(default_factory=list)
    """All requests, in the order in which they came."""

    seconds: float = 0
    """Seconds of work after which it answers; zero to wait for a release."""

    reads: bool = True
    """Whether it reads the bodies of requests."""

    server: asyncio.Server | None = None
    """Listening server, once it is open."""

    address: str = ''
    """IP address and port."""

    async def open(self) -> 'WatchingUpstream':
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        return self

    def find(self, trace: str) -> Work | None:
        """Return the last work on a request, if there is any."""
        found = [work for work in self.works if work.trace == trace]
        return found[-1] if found else None

    def open_works(self, prefix: str = '') -> Iterator[Work]:
        """Yield what it works on, of the requests whose names begin so."""
        for work in self.works:
            if work.at_work and work.trace.startswith(prefix):
                yield work

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while await self._serve_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def _serve_request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        head = await reader.readuntil(b'\r\n\r\n')
        found = _REQUEST_ID.search(head)
        trace = found[1].decode() if found else ''
        now = asyncio.get_running_loop().time
        work = Work(trace, now())
        self.works.append(work)
        length = _LENGTH.search(head)
        if length and self.reads:
            await reader.readexactly(int(length[1]))
        if not length or self.reads:
            if not await self._work(work, reader):
                work.left_at = now()
                return False
        else:
            await asyncio.Event().wait()
        work.done = True
        writer.write(answer(trace))
        await writer.drain()
        return True

    async def _work(self, work: Work, reader: asyncio.StreamReader) -> bool:
        """Work until released; return false if the sender left before."""
        released = asyncio.ensure_future(self._until_released(work))
        ended = asyncio.ensure_future(_end_of(reader))
        waiting = {released, ended}
        await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        was_released = released.done()
        for task in waiting:
            task.cancel()
        await asyncio.wait(waiting)
        return was_released

    async def _until_released(self, work: Work) -> None:
        if self.seconds:
            await asyncio.sleep(self.seconds)
        else:
            await work.release.wait()


async def _end_of(reader: asyncio.StreamReader) -> None:
    # Nothing else is sent on a connection before its answer.
    try:
        await reader.read(1)
    except ConnectionError:
        return
