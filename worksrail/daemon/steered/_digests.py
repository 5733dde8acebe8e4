"""Messages between entries: small datagrams, each of which may be lost."""

import asyncio
from dataclasses import dataclass
from typing import Any, Final, cast

import msgspec
from logbook import Logger

from worksrail.core.limits import LimitHandover, LimitReply, LimitReport
from worksrail.core.steering import EntryDigest, ZoneDigest
from worksrail.core.steering.effects import SendDigest, SendLimitMessage
from worksrail.core.steering.events import DigestReceived, LimitMessageReceived
from worksrail.daemon.steered._engine import SteeringEngine
from worksrail.daemon.steered._packing import pack, unpack

_LOG: Final = Logger('worksrail.peers')
# Bytes that a digest may grow to, so that no datagram can fill the memory.
_LONGEST: Final = 1_000_000
PeerMessage = (
    EntryDigest | ZoneDigest | LimitReport | LimitReply | LimitHandover
)
"""What one datagram holds."""

_DECODER: Final = msgspec.msgpack.Decoder(PeerMessage)


def pack_message(message: PeerMessage) -> bytes:
    """Bytes of a message, compressed if that is worth it."""
    return pack(msgspec.msgpack.encode(message))


def unpack_message(payload: bytes) -> PeerMessage:
    """The message in some bytes; raises ``ValueError`` if there is none."""
    return _DECODER.decode(unpack(payload, _LONGEST))


@dataclass(slots=True)
class DigestPort(asyncio.DatagramProtocol):
    """Sends and receives messages at the peer address."""

    engine: SteeringEngine
    """Takes the events."""

    transport: asyncio.DatagramTransport | None = None
    """The socket, once it is open."""

    async def open(self, address: str) -> None:
        """Listen at an IP number and port."""
        host, _, port = address.partition(':')
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )

    def close(self) -> None:
        """Close the socket."""
        if self.transport:
            self.transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the socket."""
        # The event loop's own datagram transport is no subclass of the
        # abstract one.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Make an event of a message."""
        try:
            message = unpack_message(data)
        except ValueError as error:
            _LOG.warning(
                'malformed message', extra={'peer': addr[0], 'why': str(error)}
            )
            return
        now = self.engine.now()
        if isinstance(message, EntryDigest | ZoneDigest):
            self.engine.dispatch(DigestReceived(now, message))
        else:
            self.engine.dispatch(LimitMessageReceived(now, message))

    def error_received(self, exc: Exception) -> None:
        """A datagram could not be sent; the next one may."""
        _LOG.debug('datagram failed: {}', exc)

    def send(self, effect: SendDigest) -> None:
        """Send a digest to some entries."""
        payload = pack_message(effect.digest)
        for receiver in effect.receivers:
            self._send(payload, receiver)

    def send_limit_message(self, effect: SendLimitMessage) -> None:
        """Tell another entry of a shared limit."""
        self._send(pack_message(effect.message), effect.receiver)

    def _send(self, payload: bytes, receiver: str) -> None:
        if self.transport is None:
            return
        host, _, port = receiver.partition(':')
        self.transport.sendto(payload, (host, int(port)))
