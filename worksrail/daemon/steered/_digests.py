"""Digests between entries: small datagrams, each of which may be lost."""

import asyncio
import zlib
from dataclasses import dataclass
from typing import Any, Final, cast

import msgspec
from logbook import Logger

from worksrail.core.steering import Digest
from worksrail.core.steering.effects import SendDigest
from worksrail.core.steering.events import DigestReceived
from worksrail.daemon.steered._engine import SteeringEngine

_LOG: Final = Logger('worksrail.peers')
# Bytes from which a digest is compressed: what speakers tell each other names
# the same zones, ports and prefixes many times over and crosses regions.
_WORTH_COMPRESSING: Final = 400
# Fastest level: it takes tens of microseconds for a digest.
_LEVEL: Final = 1
# What compressed digests begin with; plain ones begin with an array's mark.
_COMPRESSED: Final = b'x'
# Bytes that a digest may grow to, so that no datagram can fill the memory.
_LONGEST: Final = 1_000_000
_DECODER: Final = msgspec.msgpack.Decoder(Digest)


def pack_digest(digest: Digest) -> bytes:
    """Bytes of a digest, compressed if that is worth it."""
    payload = msgspec.msgpack.encode(digest)
    if len(payload) < _WORTH_COMPRESSING:
        return payload
    return zlib.compress(payload, _LEVEL)


def unpack_digest(payload: bytes) -> Digest:
    """The digest in some bytes; raises ``ValueError`` if there is none."""
    if payload.startswith(_COMPRESSED):
        try:
            payload = zlib.decompressobj().decompress(payload, _LONGEST)
        except zlib.error as error:
            raise ValueError(
                f'expected a compressed digest: {error}'
            ) from error
    return _DECODER.decode(payload)


@dataclass(slots=True)
class DigestPort(asyncio.DatagramProtocol):
    """Sends and receives digests at the peer address."""

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
        """Make an event of a digest."""
        try:
            digest = unpack_digest(data)
        except ValueError as error:
            _LOG.warning(
                'malformed digest', extra={'peer': addr[0], 'why': str(error)}
            )
            return
        self.engine.dispatch(DigestReceived(self.engine.now(), digest))

    def error_received(self, exc: Exception) -> None:
        """A datagram could not be sent; the next one may."""
        _LOG.debug('datagram failed: {}', exc)

    def send(self, effect: SendDigest) -> None:
        """Send a digest to some entries."""
        if self.transport is None:
            return
        payload = pack_digest(effect.digest)
        for receiver in effect.receivers:
            host, _, port = receiver.partition(':')
            self.transport.sendto(payload, (host, int(port)))
