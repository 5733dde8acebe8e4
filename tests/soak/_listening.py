"""A server on a free loopback port that can drop all its connections."""

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import Self


@dataclass(slots=True, kw_only=True)
class LoopbackServer(ABC):
    """Listens, and knows its open connections; subclasses serve them."""

    address: str = ''
    """Where it listens."""

    server: asyncio.Server | None = None
    """Listens."""

    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    """Open connections."""

    async def open(self) -> Self:
        """Listen at a free port, or where it listened before."""
        known, _, port = (self.address or '127.0.0.1:0').partition(':')
        self.server = await asyncio.start_server(self.serve, known, int(port))
        host, number = self.server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{number}'
        return self

    @abstractmethod
    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection."""

    def abort_all(self) -> None:
        """End all open connections at once."""
        for writer in tuple(self.writers):
            writer.transport.abort()

    def close(self) -> None:
        """Listen no more, and end all connections."""
        if self.server:
            self.server.close()
        self.abort_all()
