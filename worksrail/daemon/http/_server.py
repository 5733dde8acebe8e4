"""The server side of HTTP: connections, limits, malformed messages."""

import uuid
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final, Protocol

from tornado import httputil
from tornado.http1connection import (
    HTTP1ConnectionParameters,
    HTTP1ServerConnection,
)
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from worksrail.core.results import ResultCode
from worksrail.daemon.http import _headers as names
from worksrail.daemon.http._body import REPLAY_LIMIT
from worksrail.daemon.http._dialect import CallerDialect, OwnDialect
from worksrail.daemon.http._exchange import Exchange, result_payload

_BARE_BAD_REQUEST: Final = b'HTTP/1.1 400 Bad Request\r\n\r\n'
_HARD_HEADER_LIMIT: Final = 1_048_576
_TRACE_LIMIT: Final = 128
_BODY_BYTES: Final = 67_108_864
_OWN: Final = OwnDialect()


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on what one peer may cost."""

    header_bytes: int = 32_768
    """Largest header block."""

    body_bytes: int = _BODY_BYTES
    """Largest request body."""

    connections: int = 2048
    """Most open connections."""

    header_seconds: float = 60
    """Longest time to wait for the next request on a connection."""

    body_seconds: float = 60
    """Longest time for a request body to arrive."""


class ExchangeHandler(Protocol):
    """Who takes requests and hears when callers go away."""

    def arrived(self, exchange: Exchange) -> None:
        """A request's headers have arrived and are well formed."""

    def caller_gone(self, exchange: Exchange) -> None:
        """The caller went away before its answer was complete."""


@dataclass(slots=True)
class _RequestReader(httputil.HTTPMessageDelegate):
    """Reads one request and hands it to the handler."""

    server: 'ExchangeServer'
    connection: httputil.HTTPConnection
    client: str
    exchange: Exchange | None = None
    handed_over: bool = False
    streamed: bool = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Check the head of the request and hand it on."""
        if not isinstance(start_line, httputil.RequestStartLine):
            raise TypeError('expected the start of a request')
        dialect = self.server.dialect
        trace = dialect.trace_of(headers)[:_TRACE_LIMIT]
        exchange = Exchange(
            self.connection,
            start_line,
            headers,
            self.client,
            trace or uuid.uuid4().hex,
            next(self.server.numbers),
            dialect=dialect,
        )
        self.exchange = exchange
        fault = self._fault(start_line, headers)
        if fault:
            exchange.answer_result(fault)
            return
        closing = getattr(self.connection, 'set_close_callback', None)
        if closing:
            closing(self.on_connection_close)
        # An answer before the end of the body costs the connection, so a
        # small body is read first; only a large one is streamed.
        self.streamed = int(headers.get('Content-Length', '0')) > REPLAY_LIMIT

    async def data_received(self, chunk: bytes) -> None:  # type: ignore
        """Take a part of the body."""
        exchange = self.exchange
        if exchange is None or exchange.ended:
            return
        body = exchange.body
        body.note_lead(chunk)
        known = self.streamed and body.has_lead
        if known or body.size + len(chunk) > REPLAY_LIMIT:
            self._hand_over()
        await body.feed(chunk)

    def finish(self) -> None:
        """The body is complete."""
        if self.exchange:
            self.exchange.body.end()
            self._hand_over()

    def on_connection_close(self) -> None:
        """The caller went away."""
        exchange = self.exchange
        if exchange is None or exchange.gone:
            return
        exchange.gone = True
        exchange.body.break_off()
        if self.handed_over and not exchange.ended:
            self.server.handler.caller_gone(exchange)

    def _hand_over(self) -> None:
        exchange = self.exchange
        if exchange and not self.handed_over and not exchange.ended:
            self.handed_over = True
            self.server.handler.arrived(exchange)

    def _fault(
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


class ExchangeServer(TCPServer, httputil.HTTPServerConnectionDelegate):
    """Accepts connections and makes an exchange of every request."""

    def __init__(
        self,
        handler: ExchangeHandler,
        limits: HttpLimits,
        numbers: Iterator[int],
        dialect: CallerDialect = _OWN,
        **options: Any,
    ) -> None:
        """Prepare a server; it listens once sockets are added.

        Servers of one process share the numbers of their arrivals.  The
        limits may be replaced; connections keep those they began with.
        """
        super().__init__(**options)
        self.handler = handler
        self.limits = limits
        self.numbers = numbers
        self.dialect = dialect
        self.connections: set[HTTP1ServerConnection] = set()

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a connection, unless there are too many."""
        if len(self.connections) >= self.limits.connections:
            stream.close()
            return
        number_bare_answers(stream)
        stream.set_nodelay(True)
        parameters = HTTP1ConnectionParameters(
            header_timeout=self.limits.header_seconds,
            body_timeout=self.limits.body_seconds,
            max_header_size=_HARD_HEADER_LIMIT,
            max_body_size=self.limits.body_bytes,
        )
        server_connection = HTTP1ServerConnection(
            stream, parameters, address[0]
        )
        self.connections.add(server_connection)
        server_connection.start_serving(self)

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Read the next request of a connection."""
        client = getattr(server_conn, 'context', '')
        return _RequestReader(self, request_conn, client)

    def on_close(self, server_conn: object) -> None:
        """Forget a closed connection."""
        self.connections.discard(server_conn)  # type: ignore[arg-type]

    async def close_connections(self) -> None:
        """Close all connections."""
        for connection in tuple(self.connections):
            await connection.close()


def number_bare_answers(stream: IOStream) -> None:
    """Put a result code into the answer to a malformed message.

    The HTTP library writes a bare status line by itself and closes; it has
    no place to hook in, so the bytes are replaced on their way.
    """
    write = stream.write
    payload = result_payload(ResultCode.MALFORMED_REQUEST, '')
    numbered = b'\r\n'.join(
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

    def write_numbered(data: Any) -> Any:
        return write(numbered if data == _BARE_BAD_REQUEST else data)

    stream.write = write_numbered  # type: ignore[method-assign]
