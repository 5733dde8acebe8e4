"""Readers of HTTP/1.1 that take nothing but well-formed messages."""

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass, field

_REQUEST_LINE = re.compile(r'([!-~]+) (/[!-~]*) HTTP/1\.1')
_STATUS_LINE = re.compile(r'HTTP/1\.1 ([1-9]\d\d) [ -~]*')
_FIELD = re.compile(r'([!#$%&\'*+.^_`|~0-9A-Za-z-]+): ?([ -~]*)')
_SIZE = re.compile(rb'[0-9a-fA-F]{1,8}\r\n')
Fields = dict[str, list[str]]


class MalformedError(ValueError):
    """The bytes are no message; the text says what was expected."""


@dataclass(frozen=True, slots=True)
class Message:
    """One request or answer."""

    start: tuple[str, ...]
    """Method and target, or the status."""

    fields: Fields
    """Values of the headers by name in lower case."""

    body: bytes
    """The body."""

    def only(self, name: str) -> str | None:
        """Return the value of a header that occurs once at most."""
        values = self.fields.get(name, [])
        if len(values) > 1:
            raise MalformedError(f'expected one {name}, got {values}')
        return values[0] if values else None


async def read_request(reader: asyncio.StreamReader) -> Message:
    """Read one request."""
    line, fields = await _read_head(reader)
    start = _REQUEST_LINE.fullmatch(line)
    if not start:
        raise MalformedError(f'expected a request line, got {line[:60]!r}')
    return await _with_body(reader, start.groups(), fields)


async def read_answer(reader: asyncio.StreamReader, method: str) -> Message:
    """Read one final answer to a request."""
    line, fields = await _read_head(reader)
    start = _STATUS_LINE.fullmatch(line)
    if not start:
        raise MalformedError(f'expected a status line, got {line[:60]!r}')
    status = int(start[1])
    if method == 'HEAD' or status in {204, 304}:
        return Message(start.groups(), fields, b'')
    answer = await _with_body(reader, start.groups(), fields)
    if 'content-length' in fields or 'transfer-encoding' in fields:
        return answer
    raise MalformedError('expected an answer with a length')


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, Fields]:
    received = await reader.readuntil(b'\r\n\r\n')
    lines = received[:-4].decode('latin-1').split('\r\n')
    fields: Fields = {}
    for line in lines[1:]:
        found = _FIELD.fullmatch(line)
        if not found:
            raise MalformedError(f'expected a header, got {line[:60]!r}')
        fields.setdefault(found[1].lower(), []).append(found[2].strip())
    return lines[0], fields


async def _with_body(
    reader: asyncio.StreamReader, start: tuple[str, ...], fields: Fields
) -> Message:
    head = Message(start, fields, b'')
    length = head.only('content-length')
    encoding = head.only('transfer-encoding')
    if length is not None and encoding is not None:
        raise MalformedError('expected a length or an encoding, got both')
    if encoding is not None:
        if encoding != 'chunked':
            raise MalformedError(f'expected chunks, got {encoding!r}')
        return Message(start, fields, await _read_chunks(reader))
    if length is None:
        return head
    if not (length.isascii() and length.isdigit()):
        raise MalformedError(f'expected a length, got {length!r}')
    return Message(start, fields, await reader.readexactly(int(length)))


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b''
    while True:
        line = await reader.readuntil(b'\r\n')
        if not _SIZE.fullmatch(line):
            raise MalformedError(f'expected the size of a chunk, got {line!r}')
        size = int(line, 16)
        chunk = await reader.readexactly(size + 2)
        if chunk[-2:] != b'\r\n':
            raise MalformedError('expected the end of a chunk')
        body += chunk[:-2]
        if not size:
            return body


@dataclass
class StrictUpstream:
    """Records each request that it can read, and what it cannot."""

    answer: Callable[[Message, int], bytes]
    """Returns the answer to a request, given its number."""

    requests: list[Message] = field(default_factory=list)
    """Requests that it has read."""

    faults: list[str] = field(default_factory=list)
    """Bytes that are no request."""

    address: str = ''
    """IP address and port."""

    async def open(self) -> 'StrictUpstream':
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        return self

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_request(reader)
                self.requests.append(request)
                writer.write(self.answer(request, len(self.requests)))
                await writer.drain()
        except asyncio.IncompleteReadError as error:
            if error.partial:
                self.faults.append(f'cut: {error.partial[:60]!r}')
        except (MalformedError, asyncio.LimitOverrunError) as error:
            self.faults.append(str(error))
        except ConnectionError:
            return
        finally:
            writer.close()
