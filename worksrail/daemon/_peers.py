"""Messages between instances over gRPC."""

import asyncio
import contextlib
import ssl
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream
from logbook import Logger

from worksrail.core.effects import SendMessage
from worksrail.core.events import MessageReceived
from worksrail.core.identity import Incarnation
from worksrail.core.messages import (
    AnyMessage,
    MalformedMessage,
    decode_messages,
    encode_messages,
)
from worksrail.daemon._engine import Engine
from worksrail.daemon._timeline import Stamp
from worksrail.peer.peer_grpc import PeerBase, PeerStub
from worksrail.peer.peer_pb2 import Chunk, ChunkRequest, Envelope, Receipt

_LOG: Final = Logger('worksrail.peers')
_DELIVERY_TIMEOUT: Final = 1.0
_MAX_PENDING: Final = 512
_TRANSPORT_ERRORS: Final = (
    GRPCError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    asyncio.TimeoutError,
)

ChunkReader = Callable[[str], bytes | None]


class PeerService(PeerBase):
    """gRPC service that receives messages and serves bundle chunks."""

    def __init__(self, engine: Engine, chunks: ChunkReader) -> None:
        """Create a service for an engine and a source of chunks."""
        self.engine = engine
        self.chunks = chunks

    async def Deliver(
        self,
        stream: Stream[Envelope, Receipt],
    ) -> None:
        """Receive messages; malformed ones are logged and dropped."""
        envelope = await stream.recv_message()
        if envelope is None:
            return
        await stream.send_message(Receipt())
        sender = Incarnation(envelope.sender, envelope.incarnation)
        self.engine.timeline.observe(
            Stamp(envelope.stamp_wall, envelope.stamp_count)
        )
        try:
            messages = decode_messages(envelope.messages)
        except MalformedMessage as error:
            _LOG.warning('malformed message from {}: {}', sender.label, error)
            return
        for message in messages:
            self.engine.dispatch(
                MessageReceived(self.engine.now(), sender, message)
            )

    async def ReadChunk(
        self,
        stream: Stream[ChunkRequest, Chunk],
    ) -> None:
        """Return a chunk."""
        request = await stream.recv_message()
        payload = self.chunks(request.digest) if request else None
        await stream.send_message(
            Chunk(found=payload is not None, payload=payload or b'')
        )


@dataclass(slots=True)
class PeerClient:
    """Sends messages; those to one receiver are batched and sent in order.

    Messages to an unreachable receiver are dropped: all protocols between
    instances tolerate lost messages.
    """

    engine: Engine
    """Provides the instance's identity and time stamps."""

    context: ssl.SSLContext | None = None
    """TLS context for connections to other instances."""

    delays: dict[str, float] = field(default_factory=dict)
    """For benchmarks only: delay in seconds by the receiver's region."""

    channels: dict[str, Channel] = field(default_factory=dict)
    """Open channels by address."""

    pending: dict[str, list[AnyMessage]] = field(
        default_factory=lambda: defaultdict(list)
    )
    """Queued messages by address."""

    tasks: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    """Deliveries in progress, by address."""

    def send(self, effect: SendMessage) -> None:
        """Send a message to a known instance; others are ignored."""
        membership = self.engine.instance.membership
        member = membership.members.get(effect.receiver)
        listed = (membership.listed or {}).get(effect.receiver)
        if member:
            self.send_to(member.record.endpoints.peer, effect.message)
        elif listed:
            self.send_to(listed.peer, effect.message)

    def send_to(self, address: str, message: AnyMessage) -> None:
        """Send a message to an address."""
        queue = self.pending[address]
        if len(queue) >= _MAX_PENDING:
            queue.pop(0)
        queue.append(message)
        if address not in self.tasks:
            delivery = asyncio.ensure_future(self._deliver(address))
            self.tasks[address] = delivery

    async def read_chunk(self, address: str, digest: str) -> bytes | None:
        """Read a chunk from another instance."""
        stub = PeerStub(self._channel(address))
        try:
            chunk = await stub.ReadChunk(
                ChunkRequest(digest=digest), timeout=_DELIVERY_TIMEOUT
            )
        except _TRANSPORT_ERRORS:
            return None
        return chunk.payload if chunk.found else None

    def close(self) -> None:
        """Close all channels."""
        for channel in self.channels.values():
            channel.close()

    async def flush(self, timeout: float) -> None:
        """Wait until queued messages are delivered, or for a timeout."""
        if self.tasks:
            await asyncio.wait(self.tasks.values(), timeout=timeout)

    async def _deliver(self, address: str) -> None:
        try:
            while self.pending[address]:
                messages = self.pending.pop(address)
                delay = self._delay(address)
                if delay:
                    await asyncio.sleep(delay)
                await self._deliver_once(address, messages)
        finally:
            self.tasks.pop(address, None)

    async def _deliver_once(
        self,
        address: str,
        messages: list[AnyMessage],
    ) -> None:
        payload = encode_messages(messages)
        self.engine.metrics.peer_bytes.inc(len(payload))
        stamp = self.engine.timeline.stamp()
        who = self.engine.instance.who
        envelope = Envelope(
            sender=who.name,
            incarnation=who.number,
            stamp_wall=stamp.wall,
            stamp_count=stamp.count,
            messages=payload,
        )
        try:
            stub = PeerStub(self._channel(address))
            await stub.Deliver(envelope, timeout=_DELIVERY_TIMEOUT)
        except _TRANSPORT_ERRORS as error:
            _LOG.debug('delivery to {} failed: {!r}', address, error)

    def _channel(self, address: str) -> Channel:
        channel = self.channels.get(address)
        if channel is None:
            host, _, port = address.partition(':')
            channel = Channel(host, int(port), ssl=self.context)
            self.channels[address] = channel
        return channel

    def _delay(self, address: str) -> float:
        if not self.delays:
            return 0
        for member in self.engine.instance.membership.members.values():
            if member.record.endpoints.peer == address:
                return self.delays.get(member.record.place.region, 0)
        return 0


async def start_peer_server(
    service: PeerService,
    address: str,
    context: ssl.SSLContext | None,
) -> Server:
    """Listen for other instances."""
    server = Server([service])
    host, _, port = address.partition(':')
    await server.start(host, int(port), ssl=context)
    return server


async def stop_peer_server(server: Server) -> None:
    """Stop listening."""
    server.close()
    with contextlib.suppress(TimeoutError, asyncio.TimeoutError):
        await asyncio.wait_for(server.wait_closed(), 1)
