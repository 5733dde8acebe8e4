"""A raw upstream that says exactly what a test wants, on loopback."""

import asyncio
import re
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

_REQUEST_ID = re.compile(rb'\r\nRequest-Id: (\S+)', re.IGNORECASE)
_LENGTH = re.compile(rb'\r\nContent-Length: (\d+)', re.IGNORECASE)


def answer(trace: str, body: str = 'done', extra: str = '') -> bytes:
    """A whole answer to a request."""
    return (
        f'HTTP/1.1 200 OK\r\nRequest-Id: {trace}\r\n'
        f'Response-Signature: s\r\n{extra}'
        f'Content-Length: {len(body)}\r\n\r\n{body}'
    ).encode()


@dataclass
class Reply:
    """What to write for one request, and how to end."""

    payload: bytes
    """Bytes to write."""

    close: bool = False
    """Close the connection afterwards."""

    reset: bool = False
    """Reset it instead."""


@dataclass
class RawUpstream:
    """Answers the n-th request with what the script says."""

    script: Callable[[int, str], Reply]
    """Makes the reply from the number and id of a request."""

    heads: list[bytes] = field(default_factory=list)
    """Heads of all requests so far."""

    bodies: list[bytes] = field(default_factory=list)
    """Bodies of all requests so far."""

    connections: int = 0
    """Connections so far."""

    dropped: int = 0
    """Connections that the other side closed."""

    address: str = ''
    """IP number and port."""

    server: asyncio.Server | None = None
    """Listens."""

    async def open(self) -> 'RawUpstream':
        """Listen at a free port."""
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        return self

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        try:
            while await self._one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            self.dropped += 1
        finally:
            writer.close()

    async def _one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        head = await reader.readuntil(b'\r\n\r\n')
        length = _LENGTH.search(head)
        body = await reader.readexactly(int(length[1])) if length else b''
        self.heads.append(head)
        self.bodies.append(body)
        found = _REQUEST_ID.search(head)
        trace = found[1].decode() if found else ''
        reply = self.script(len(self.heads), trace)
        writer.write(reply.payload)
        await writer.drain()
        if reply.reset:
            # Without linger, closing sends a reset.
            connection = writer.get_extra_info('socket')
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            writer.transport.abort()
        return not (reply.close or reply.reset)
