"""A loopback proxy that delays, resets, silences and cuts one way."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field
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
    REFUSE_NEW = 'open connections stay, new ones are reset'


_REFUSING = frozenset((Link.RESET, Link.REFUSE_NEW))


@dataclass(slots=True)
class Proxy(LoopbackServer):
    """Passes connections on to one target."""

    target: str
    """IP number and port."""

    link: Link = Link.PASSING
    """What happens to bytes now."""

    entry_at: Callable[[int], str] = lambda _: ''
    """Tells which entry connects from a port."""

    cuts: dict[str, Link] = field(default_factory=dict)
    """What happens to the bytes of single entries instead."""

    of_entries: dict[asyncio.StreamWriter, str] = field(default_factory=dict)
    """Open connections of entries."""

    of_ports: dict[int, str] = field(default_factory=dict)
    """Entries by the port from which their bytes reach the target."""

    def is_sound(self, entry: str) -> bool:
        """Whether the bytes of an entry pass undisturbed."""
        return self._link_of(entry) is Link.PASSING

    def cut(self, entry: str, link: Link) -> None:
        """Change what happens to the bytes of one entry."""
        self.cuts[entry] = link
        if link is Link.RESET:
            for writer, name in tuple(self.of_entries.items()):
                if name == entry:
                    writer.transport.abort()

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
        entry = self.entry_at(writer.get_extra_info('peername')[1])
        if self._link_of(entry) in _REFUSING:
            writer.transport.abort()
            return
        self.of_entries[writer] = entry
        try:
            await self._pass_on(reader, writer, entry)
        finally:
            self.of_entries.pop(writer)

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        entry: str,
    ) -> None:
        host, _, port = self.target.partition(':')
        self.writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            self.writers.discard(writer)
            writer.transport.abort()
            return
        self.writers.add(far_writer)
        self.of_ports[far_writer.get_extra_info('sockname')[1]] = entry
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, entry, towards=True),
                self._pump(far_reader, writer, entry, towards=False),
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
        entry: str,
        *,
        towards: bool,
    ) -> None:
        silenced = False
        with contextlib.suppress(ConnectionError, OSError):
            while chunk := await reader.read(_CHUNK):
                if self._link_of(entry) is Link.SLOW:
                    await asyncio.sleep(_DELAY)
                silenced |= self._link_of(entry) is Link.SILENT
                if silenced or self._cuts(entry, towards=towards):
                    continue
                writer.write(chunk)
                await writer.drain()
        # A cut hides the end of a connection as well.
        if not (silenced or self._cuts(entry, towards=towards)):
            writer.close()

    def _link_of(self, entry: str) -> Link:
        return self.cuts.get(entry, self.link)

    def _cuts(self, entry: str, *, towards: bool) -> bool:
        return self._link_of(entry) is Link.ONE_WAY and not towards
