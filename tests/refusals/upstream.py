"""An upstream on loopback that executes requests and answers oddly."""

import asyncio
import re
import socket
import struct
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum, unique

_REQUEST_ID = re.compile(rb'\r\nRequest-Id: (\S+)', re.IGNORECASE)
_LENGTH = re.compile(rb'\r\nContent-Length: (\d+)', re.IGNORECASE)
_STATED = 'Not-Executed: 1\r\n'


@unique
class Break(Enum):
    """How a connection ends."""

    CLOSE = 'closed in an orderly way'
    RESET = 'reset'


Step = bytes | float | Break
"""What is written, a pause in seconds, or the end of the connection."""


def head(
    status: int,
    trace: str = '',
    *,
    stated: bool = False,
    extra: str = '',
    body: bytes = b'',
) -> bytes:
    """Return an answer, to no request if the identifier is empty."""
    named = f'Request-Id: {trace}\r\n' if trace else ''
    marked = _STATED if stated else ''
    return (
        f'HTTP/1.1 {status} X\r\n{named}{marked}{extra}'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


def success(trace: str, body: bytes = b'done') -> bytes:
    """Return the answer of an upstream that has executed a request."""
    return head(200, trace, extra='Response-Signature: s\r\n', body=body)


@dataclass
class OddUpstream:
    """Executes requests, and follows a script for each answer."""

    script: Callable[[str, int], tuple[bool, Sequence[Step]]]
    """Returns whether a request runs, and what follows, given its identifier
    and its number on the connection."""

    runs: Counter[str] = field(default_factory=Counter)
    """Executions by request."""

    arrivals: Counter[str] = field(default_factory=Counter)
    """Arrivals by request."""

    address: str = ''
    """IP address and port."""

    greeting: bytes = b''
    """What it writes on a new connection before any request."""

    async def open(self) -> 'OddUpstream':
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        return self

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        number = 0
        try:
            writer.write(self.greeting)
            while await self._serve_one(reader, writer, number):
                number += 1
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve_one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> bool:
        received = await reader.readuntil(b'\r\n\r\n')
        found = _REQUEST_ID.search(received)
        trace = found[1].decode() if found else ''
        length = _LENGTH.search(received)
        if length:
            await reader.readexactly(int(length[1]))
        executes, steps = self.script(trace, number)
        self.arrivals[trace] += 1
        self.runs[trace] += executes
        for step in steps:
            if isinstance(step, Break):
                _end(writer, step)
                return False
            if isinstance(step, bytes):
                writer.write(step)
                await writer.drain()
            else:
                await asyncio.sleep(step)
        return True


def _end(writer: asyncio.StreamWriter, way: Break) -> None:
    if way is Break.RESET:
        connection = writer.get_extra_info('socket')
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        writer.transport.abort()
