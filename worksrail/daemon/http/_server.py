"""HTTP server: connections, limits and malformed messages."""

import asyncio
import contextlib
import socket
import uuid
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Final, Protocol

from tornado import httputil
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.ioloop import IOLoop
from tornado.netutil import ssl_options_to_context
from tornado.tcpserver import TCPServer

from worksrail.core.results import ResultCode
from worksrail.daemon.http import _headers as names
from worksrail.daemon.http._body import MAX_HELD_BYTES, REPLAY_LIMIT
from worksrail.daemon.http._dialect import CallerDialect, OwnDialect
from worksrail.daemon.http._exchange import Exchange, result_payload
from worksrail.daemon.http._held_bytes import HeldBytes
from worksrail.daemon.http._row import (
    ConnectionRow,
    RowLimits,
    UnreadInput,
)
from worksrail.daemon.http._turn import Turn

_MAX_PARSED_HEADER_BYTES: Final = 1_048_576
# Seconds between two checks whether answers have been sent.
_FLUSH_INTERVAL: Final = 0.02
_MAX_BODY_BYTES: Final = 67_108_864
# Seconds after which a caller may retry that was refused for want of memory:
# slow readers are cut off within some seconds.
_MEMORY_RETRY_DELAY: Final = 1.0
_OWN: Final = OwnDialect()


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on the resources that connections and requests may use."""

    header_bytes: int = 32_768
    """Maximum size of a header block."""

    body_bytes: int = _MAX_BODY_BYTES
    """Maximum size of a request body."""

    connections: int = 2048
    """Maximum number of open connections."""

    header_seconds: float = 60
    """Timeout in seconds for the next request on a connection."""

    body_seconds: float = 60
    """Timeout in seconds for receiving a request body."""

    turns: int = 2
    """Maximum number of requests of one connection that run beside each other.

    A connection that had many slots at once would take them from others."""


class ExchangeHandler(Protocol):
    """Handles requests and the disconnects of callers.

    One with a method ``admits_beside`` says whether requests of one connection
    may run beside each other now.
    """

    def arrived(self, exchange: Exchange) -> None:
        """Handle a request whose headers are valid."""

    def caller_gone(self, exchange: Exchange) -> None:
        """Handle a caller that disconnected before its answer was complete."""


@dataclass(slots=True)
class _RequestReader(httputil.HTTPMessageDelegate):
    """Reads one request and passes it to the handler."""

    server: 'ExchangeServer'
    connection: httputil.HTTPConnection
    turn: Turn
    client: str
    exchange: Exchange | None = None
    dispatched: bool = False
    streamed: bool = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Validate the head of a request and create its exchange."""
        if not isinstance(start_line, httputil.RequestStartLine):
            raise TypeError('expected a request start line')
        if self.turn.closed():
            return
        dialect = self.server.dialect
        trace = dialect.trace_of(headers)
        exchange = Exchange(
            self.connection,
            start_line,
            headers,
            self.client,
            trace or uuid.uuid4().hex,
            next(self.server.numbers),
            dialect=dialect,
            held=self.server.held,
            turn=self.turn,
        )
        self.exchange = exchange
        fault = self._validate(start_line, headers)
        if fault:
            exchange.answer_result(fault)
            return
        if not exchange.take_body(_max_held(headers)):
            exchange.answer_result(ResultCode.MEMORY_FULL, _MEMORY_RETRY_DELAY)
            return
        self.server.open.receiving[exchange.number] = exchange
        # After an answer before the end of the body the connection must be
        # closed, so a small body is read first and only a large one streamed.
        self.streamed = int(headers.get('Content-Length', '0')) > REPLAY_LIMIT

    async def data_received(self, chunk: bytes) -> None:  # type: ignore
        """Add a part of the body."""
        exchange = self.exchange
        if exchange is None or exchange.ended:
            return
        body = exchange.body
        body.record_prefix(chunk)
        prefix_complete = self.streamed and body.has_prefix
        if prefix_complete or body.size + len(chunk) > REPLAY_LIMIT:
            self._dispatch()
        await body.feed(chunk)

    def finish(self) -> None:
        """Complete the body."""
        if self.exchange:
            self.exchange.body.end()
            self._dispatch()
        self.turn.end_message()

    def on_connection_close(self) -> None:
        """Handle the disconnect of the caller."""
        exchange = self.exchange
        if exchange is None or exchange.gone:
            return
        exchange.gone = True
        self.server.open.receiving.pop(exchange.number, None)
        exchange.body.break_off()
        if not self.dispatched:
            exchange.give_back_body()
        elif not exchange.ended:
            self.server.handler.caller_gone(exchange)

    def _dispatch(self) -> None:
        exchange = self.exchange
        if exchange is None or exchange.ended or exchange.gone:
            return
        if not self.dispatched:
            self.dispatched = True
            self.turn.dispatched = True
            self.server.open.receiving.pop(exchange.number, None)
            self.server.handler.arrived(exchange)

    def _validate(
        self,
        start: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
    ) -> ResultCode | None:
        size = sum(
            len(name) + len(text) + 4 for name, text in headers.get_all()
        )
        limits = self.server.limits
        if size > limits.header_bytes:
            return ResultCode.HEADERS_TOO_LARGE
        length = names.request_length(start.method, headers)
        if length is names.BodyLength.AMBIGUOUS:
            return ResultCode.AMBIGUOUS_LENGTH
        if length is names.BodyLength.COUNTED:
            if int(headers['Content-Length']) > limits.body_bytes:
                return ResultCode.BODY_TOO_LARGE
        if len(headers.get_list('Host')) != 1:
            return ResultCode.MALFORMED_REQUEST
        return None


@dataclass(slots=True)
class OpenConnections:
    """What is open at a server."""

    connections: set[ConnectionRow] = field(default_factory=set)
    """All connections."""

    accepting: set[asyncio.Future[None]] = field(default_factory=set)
    """Connections that are being accepted."""

    unread: UnreadInput = field(default_factory=UnreadInput)
    """What was never read of connections that ended."""

    receiving: dict[int, Exchange] = field(default_factory=dict)
    """Requests whose bodies have not arrived completely, by number."""


class ExchangeServer(TCPServer, httputil.HTTPServerConnectionDelegate):
    """Accepts connections and creates an exchange for each request."""

    def __init__(
        self,
        handler: ExchangeHandler,
        limits: HttpLimits,
        numbers: Iterator[int],
        dialect: CallerDialect = _OWN,
        held: HeldBytes | None = None,
        **options: Any,
    ) -> None:
        """Create a server; it listens once sockets are added.

        All servers of a process draw request numbers from one iterator, and
        those that forward requests share the bound on the bytes held.
        ``limits`` may be replaced; open connections keep the timeouts and the
        parser limits that they began with.
        """
        super().__init__(**options)
        self.handler = handler
        self.limits = limits
        self.numbers = numbers
        self.dialect = dialect
        self.held = held or HeldBytes()
        self.open = OpenConnections()

    def on_open(self, row: ConnectionRow) -> bool:
        """Add a connection; false if there are too many."""
        if len(self.open.connections) >= self.limits.connections:
            return False
        self.open.connections.add(row)
        return True

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Return a reader for the next request of a connection."""
        client = getattr(server_conn, 'context', '')
        turn = request_conn.stream  # type: ignore[attr-defined]
        return _RequestReader(self, request_conn, turn, client)

    def admits_beside(self) -> bool:
        """Return whether requests of a connection may run beside each other."""
        asked = getattr(self.handler, 'admits_beside', None)
        return asked is None or bool(asked())

    def on_unread(self, size: int) -> None:
        """Count bytes that were never read of a connection that ended."""
        self.open.unread.add(size)

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection."""
        self.open.connections.discard(server_conn)  # type: ignore[arg-type]

    def refuse_unread(self, code: ResultCode) -> None:
        """Refuse the requests whose bodies have not arrived completely."""
        unread = tuple(self.open.receiving.values())
        self.open.receiving.clear()
        for exchange in unread:
            exchange.closing = True
            exchange.answer_result(code)

    async def flush(self) -> None:
        """Wait until all answers that were written have been sent."""
        while any(row.has_unsent for row in self.open.connections):
            await asyncio.sleep(_FLUSH_INTERVAL)

    async def close_connections(self) -> None:
        """Close all connections."""
        for row in tuple(self.open.connections):
            row.abort()
        # The sockets are closed in the next turn of the loop.
        await asyncio.sleep(0)

    def _handle_connection(
        self, connection: socket.socket, address: Any
    ) -> None:
        # A connection is served by a protocol of asyncio, which receives what
        # comes whether or not it is read.
        accepting = asyncio.ensure_future(self._accept(connection))
        self.open.accepting.add(accepting)
        accepting.add_done_callback(self.open.accepting.discard)

    async def _accept(self, connection: socket.socket) -> None:
        context = None
        if self.ssl_options is not None:
            context = ssl_options_to_context(self.ssl_options, server_side=True)
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().connect_accepted_socket(
                self._create_row, connection, ssl=context
            )

    def _create_row(self) -> ConnectionRow:
        limits = self.limits
        row_limits = RowLimits(
            _parser_limits(limits, limits.header_seconds),
            _parser_limits(limits, None),
            limits.header_seconds,
            limits.turns,
        )
        return ConnectionRow(
            self, row_limits, _MALFORMED_ANSWER, IOLoop.current()
        )


def _parser_limits(
    limits: HttpLimits, header_seconds: float | None
) -> HTTP1ConnectionParameters:
    return HTTP1ConnectionParameters(
        header_timeout=header_seconds,
        body_timeout=limits.body_seconds,
        max_header_size=_MAX_PARSED_HEADER_BYTES,
        max_body_size=limits.body_bytes,
    )


def _max_held(headers: httputil.HTTPHeaders) -> int:
    """Return the bytes of a body that may be held at once."""
    if 'Transfer-Encoding' in headers:
        return MAX_HELD_BYTES
    return min(MAX_HELD_BYTES, int(headers.get('Content-Length', '0')))


def _malformed_answer() -> bytes:
    payload = result_payload(ResultCode.MALFORMED_REQUEST, '')
    return b'\r\n'.join(
        (
            b'HTTP/1.1 400 Bad Request',
            b'Content-Type: application/json',
            f'{names.RESULT}: {ResultCode.MALFORMED_REQUEST.number}'.encode(),
            f'{names.NOT_RUN}: true'.encode(),
            b'Connection: close',
            f'Content-Length: {len(payload)}'.encode(),
            b'',
            payload,
        )
    )


_MALFORMED_ANSWER: Final = _malformed_answer()
