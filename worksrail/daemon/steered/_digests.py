"""Messages between entries, sent as UDP datagrams that may be lost."""

import asyncio
import socket
from dataclasses import dataclass
from typing import Final

import msgspec
from logbook import Logger

from worksrail.core.limits import LimitHandover, LimitReply, LimitReport
from worksrail.core.pacing import TokenGrant, TokenRequest
from worksrail.core.steering import EntryDigest, ZoneDigest
from worksrail.core.steering.effects import (
    SendDigest,
    SendLimitMessage,
    SendPacingMessage,
)
from worksrail.core.steering.events import (
    DigestReceived,
    LimitMessageReceived,
    PacingMessageReceived,
)
from worksrail.daemon.steered._engine import SteeringEngine
from worksrail.daemon.steered._packing import pack, unpack

_LOG: Final = Logger('worksrail.peers')
# Maximum size of an unpacked message, so that no datagram exhausts the memory.
_MAX_MESSAGE_BYTES: Final = 1_000_000
# Maximum size of an IP datagram in bytes.
_MAX_DATAGRAM_BYTES: Final = 65_536
# Maximum number of messages to read in a row before other tasks run.
_MAX_READS_IN_A_ROW: Final = 150
# Interval in seconds of reads while messages arrive more often than that, so
# that they are read in batches instead of one wake-up for each.
_POLL_INTERVAL: Final = 0.02
PeerMessage = (
    EntryDigest
    | ZoneDigest
    | LimitReport
    | LimitReply
    | LimitHandover
    | TokenRequest
    | TokenGrant
)
"""Message in one datagram."""

_DECODER: Final = msgspec.msgpack.Decoder(PeerMessage)


def pack_message(message: PeerMessage) -> bytes:
    """Encode a message; compress it unless it is small."""
    return pack(msgspec.msgpack.encode(message))


def unpack_message(payload: bytes) -> PeerMessage:
    """Decode a message; raise ``ValueError`` if it is malformed."""
    return _DECODER.decode(unpack(payload, _MAX_MESSAGE_BYTES))


@dataclass(slots=True)
class DigestPort:
    """Sends and receives messages at the peer address."""

    engine: SteeringEngine
    """Handles the events."""

    sock: socket.socket | None = None
    """UDP socket, once it is open."""

    read_at: float = 0
    """When messages were last read."""

    async def open(self, address: str) -> None:
        """Bind to an IP address and port."""
        host, _, port = address.partition(':')
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind((host, int(port)))
        self._wait_until_readable()

    def close(self) -> None:
        """Close the socket."""
        if self.sock:
            loop = asyncio.get_running_loop()
            loop.remove_reader(self.sock.fileno())
            self.sock.close()
            self.sock = None

    def send(self, effect: SendDigest) -> None:
        """Send a digest to other entries."""
        payload = pack_message(effect.digest)
        for receiver in effect.receivers:
            self._send(payload, receiver)

    def send_limit_message(self, effect: SendLimitMessage) -> None:
        """Send another entry a message about a shared limit."""
        self._send(pack_message(effect.message), effect.receiver)

    def send_pacing_message(self, effect: SendPacingMessage) -> None:
        """Send another entry a request for tokens or a grant."""
        self._send(pack_message(effect.message), effect.receiver)

    def read(self) -> None:
        """Read the pending messages when the socket becomes readable."""
        now = self.engine.now()
        frequent = now - self.read_at < _POLL_INTERVAL
        self.read_at = now
        self._read_all()
        if frequent and self.sock:
            loop = asyncio.get_running_loop()
            loop.remove_reader(self.sock.fileno())
            loop.call_later(_POLL_INTERVAL, self._poll)

    def _wait_until_readable(self) -> None:
        if self.sock:
            loop = asyncio.get_running_loop()
            loop.add_reader(self.sock.fileno(), self.read)

    def _poll(self) -> None:
        """Read the pending messages; poll again until there are none."""
        if self._read_all():
            loop = asyncio.get_running_loop()
            loop.call_later(_POLL_INTERVAL, self._poll)
        else:
            self._wait_until_readable()

    def _read_all(self) -> int:
        """Read the pending messages; return their number."""
        for count in range(_MAX_READS_IN_A_ROW):
            if not self._read_one():
                return count
        return _MAX_READS_IN_A_ROW

    def _read_one(self) -> bool:
        """Read one message; return false if none is pending."""
        if self.sock is None:
            return False
        try:
            payload, (sender, _) = self.sock.recvfrom(_MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return False
        except OSError as error:
            # The kernel reports that an earlier datagram was not delivered;
            # later ones may be.
            _LOG.debug('datagram failed: {}', error)
            return True
        self._dispatch_message(payload, sender)
        return True

    def _dispatch_message(self, payload: bytes, sender: str) -> None:
        """Decode a message and dispatch it as an event."""
        try:
            message = unpack_message(payload)
        except ValueError as error:
            _LOG.warning(
                'malformed message', extra={'peer': sender, 'why': str(error)}
            )
            return
        now = self.engine.now()
        if isinstance(message, EntryDigest | ZoneDigest):
            self.engine.dispatch(DigestReceived(now, message))
        elif isinstance(message, TokenRequest | TokenGrant):
            self.engine.dispatch(PacingMessageReceived(now, message))
        else:
            self.engine.dispatch(LimitMessageReceived(now, message))

    def _send(self, payload: bytes, receiver: str) -> None:
        if self.sock is None:
            return
        host, _, port = receiver.partition(':')
        try:
            self.sock.sendto(payload, (host, int(port)))
        except OSError as error:
            _LOG.debug('datagram failed: {}', error)
