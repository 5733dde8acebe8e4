"""An upstream on loopback that writes the raw bytes of a script."""

import asyncio
import re
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

_REQUEST_ID = re.compile(rb'\r\nRequest-Id: (\S+)', re.IGNORECASE)
_LENGTH = re.compile(rb'\r\nContent-Length: (\d+)', re.IGNORECASE)

# Bytes of endless replies that the kernel holds for the sender.
_SEND_BUFFER = 65_536


def answer(trace: str, body: str = 'done', extra: str = '') -> bytes:
    """Return a complete answer to a request."""
    return (
        f'HTTP/1.1 200 OK\r\nRequest-Id: {trace}\r\n'
        f'Response-Signature: s\r\n{extra}'
        f'Content-Length: {len(body)}\r\n\r\n{body}'
    ).encode()


def refusal(status: int, trace: str = '', extra: str = '') -> bytes:
    """Return an answer that states that a request was not executed.

    It names no request if the identifier is empty.
    """
    named = f'Request-Id: {trace}\r\n' if trace else ''
    return (
        f'HTTP/1.1 {status} No\r\n{named}Not-Executed: 1\r\n{extra}'
        'Content-Length: 0\r\n\r\n'
    ).encode()


@dataclass
class Reply:
    """The reaction to one request."""

    payload: bytes
    """Bytes to write."""

    close: bool = False
    """Whether to close the connection afterwards."""

    reset: bool = False
    """Whether to reset the connection afterwards."""

    endless: bytes = b''
    """Bytes to repeat afterwards until the peer closes the connection."""

    pause: float = 0
    """Seconds between two repetitions."""

    last: bytes = b''
    """Bytes to write once the endless ones have reached their maximum."""

    after: float = 0
    """Seconds for which nothing is written."""


@dataclass
class RawUpstream:
    """Answers each request with the reply that a script returns."""

    script: Callable[[int, str], Reply]
    """Returns the reply to a request, given its number and identifier."""

    heads: list[bytes] = field(default_factory=list)
    """Heads of the received requests."""

    bodies: list[bytes] = field(default_factory=list)
    """Bodies of the received requests."""

    connections: int = 0
    """Number of accepted connections."""

    dropped: int = 0
    """Number of connections that the peer closed."""

    most_endless: int = 64 * 1024 * 1024
    """Maximum of endless bytes of one reply, which ends long answers and tests
    that fail."""

    endless_taken: int = 0
    """Endless bytes that left for the peers, of all replies."""

    address: str = ''
    """IP address and port."""

    server: asyncio.Server | None = None
    """Listening server, once it is open."""

    async def open(self) -> 'RawUpstream':
        """Listen on a free port."""
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
            while await self._serve_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            self.dropped += 1
        finally:
            writer.close()

    async def _serve_request(
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
        reply = self._reply(writer, trace)
        await asyncio.sleep(reply.after)
        writer.write(reply.payload)
        await writer.drain()
        if reply.reset:
            # With a linger time of zero, closing sends a reset.
            connection = writer.get_extra_info('socket')
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            writer.transport.abort()
        if reply.endless:
            await self._repeat(reply, writer)
        return not (reply.close or reply.reset)

    def _reply(self, writer: asyncio.StreamWriter, trace: str) -> Reply:
        return self.script(len(self.heads), trace)

    async def _repeat(
        self,
        reply: Reply,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Write the endless bytes until they have reached their maximum."""
        connection = writer.get_extra_info('socket')
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER)
        writer.transport.set_write_buffer_limits(high=0)
        begun = self.endless_taken
        while self.endless_taken - begun < self.most_endless:
            writer.write(reply.endless)
            await writer.drain()
            self.endless_taken += len(reply.endless)
            await asyncio.sleep(reply.pause)
        writer.write(reply.last)
        await writer.drain()
