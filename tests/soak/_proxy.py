"""A loopback proxy that delays, resets, silences and cuts one way."""

import asyncio
import contextlib
from dataclasses import dataclass
from enum import Enum, unique

from tests.soak._listening import LoopbackServer

_CHUNK = 65_536
# Seconds that each chunk waits on a slow link.
_DELAY = 0.15


@unique
class Link(Enum):
    """What happens to bytes."""

    PASSING = 'they pass'
    SLOW = 'they are delayed'
    RESET = 'connections are reset, open and new ones'
    SILENT = 'open connections fall silent for good; new ones hang'
    ONE_WAY = 'they pass towards the target only'


@dataclass(slots=True)
class Proxy(LoopbackServer):
    """Passes connections on to one target."""

    target: str
    """IP number and port."""

    link: Link = Link.PASSING
    """What happens to bytes now."""

    def set(self, link: Link) -> None:
        """Change what happens to bytes."""
        self.link = link
        if link is Link.RESET:
            self.abort_all()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.link is Link.RESET:
            writer.transport.abort()
            return
        host, _, port = self.target.partition(':')
        self.writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            self.writers.discard(writer)
            writer.transport.abort()
            return
        self.writers.add(far_writer)
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, towards=True),
                self._pump(far_reader, writer, towards=False),
            )
        except asyncio.CancelledError:
            # The soak is over; the stream's own callback would log a
            # cancelled handler as an error.
            return
        finally:
            self.writers -= {writer, far_writer}

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        towards: bool,
    ) -> None:
        silenced = False
        with contextlib.suppress(ConnectionError, OSError):
            while chunk := await reader.read(_CHUNK):
                if self.link is Link.SLOW:
                    await asyncio.sleep(_DELAY)
                silenced |= self.link is Link.SILENT
                if silenced or self._cuts(towards=towards):
                    continue
                writer.write(chunk)
                await writer.drain()
        # A cut hides the end of a connection as well.
        if not (silenced or self._cuts(towards=towards)):
            writer.close()

    def _cuts(self, *, towards: bool) -> bool:
        return self.link is Link.ONE_WAY and not towards
