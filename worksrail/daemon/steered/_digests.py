"""Messages between entries: small datagrams, each of which may be lost."""

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
# Bytes that a digest may grow to, so that no datagram can fill the memory.
_LONGEST: Final = 1_000_000
# Bytes of the longest datagram that IP carries.
_LONGEST_DATAGRAM: Final = 65_536
# Messages that are read in a row, before anything else gets its turn.
_MOST_AT_ONCE: Final = 150
# Seconds between two reads while messages come more densely than that, so that
# not each of them wakes this entry up.
_READ_PAUSE: Final = 0.02
PeerMessage = (
    EntryDigest
    | ZoneDigest
    | LimitReport
    | LimitReply
    | LimitHandover
    | TokenRequest
    | TokenGrant
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
class DigestPort:
    """Sends and receives messages at the peer address."""

    engine: SteeringEngine
    """Takes the events."""

    sock: socket.socket | None = None
    """The socket, once it is open."""

    read_at: float = 0
    """When messages were read last."""

    async def open(self, address: str) -> None:
        """Listen at an IP number and port."""
        host, _, port = address.partition(':')
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind((host, int(port)))
        self._await_messages()

    def close(self) -> None:
        """Close the socket."""
        if self.sock:
            loop = asyncio.get_running_loop()
            loop.remove_reader(self.sock.fileno())
            self.sock.close()
            self.sock = None

    def send(self, effect: SendDigest) -> None:
        """Send a digest to some entries."""
        payload = pack_message(effect.digest)
        for receiver in effect.receivers:
            self._send(payload, receiver)

    def send_limit_message(self, effect: SendLimitMessage) -> None:
        """Tell another entry of a shared limit."""
        self._send(pack_message(effect.message), effect.receiver)

    def send_pacing_message(self, effect: SendPacingMessage) -> None:
        """Ask another entry for tokens, or grant some."""
        self._send(pack_message(effect.message), effect.receiver)

    def read(self) -> None:
        """Take the messages that are there, now that the socket has some."""
        now = self.engine.now()
        dense = now - self.read_at < _READ_PAUSE
        self.read_at = now
        self._read_all()
        if dense and self.sock:
            loop = asyncio.get_running_loop()
            loop.remove_reader(self.sock.fileno())
            loop.call_later(_READ_PAUSE, self._poll)

    def _await_messages(self) -> None:
        if self.sock:
            loop = asyncio.get_running_loop()
            loop.add_reader(self.sock.fileno(), self.read)

    def _poll(self) -> None:
        """Look for messages from time to time, as long as there are some."""
        if self._read_all():
            loop = asyncio.get_running_loop()
            loop.call_later(_READ_PAUSE, self._poll)
        else:
            self._await_messages()

    def _read_all(self) -> int:
        """Take the messages that are there; gives their number."""
        for count in range(_MOST_AT_ONCE):
            if not self._read_one():
                return count
        return _MOST_AT_ONCE

    def _read_one(self) -> bool:
        """Take one message; false if there is none left."""
        if self.sock is None:
            return False
        try:
            payload, (sender, _) = self.sock.recvfrom(_LONGEST_DATAGRAM)
        except BlockingIOError:
            return False
        except OSError as error:
            # A datagram that was sent met nobody; the next one may.
            _LOG.debug('datagram failed: {}', error)
            return True
        self._take(payload, sender)
        return True

    def _take(self, payload: bytes, sender: str) -> None:
        """Make an event of a message."""
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
