"""Tickets bind non-idempotent requests to one incarnation of an instance.

A look-up answer carries a ticket.  It names an instance and its incarnation.
Only that incarnation runs non-idempotent requests under the ticket, and it
keeps their idempotency keys for as long as the ticket is valid.  Any other
instance passes the request on to it or, if that incarnation has ended,
answers that the outcome is unknown.
"""

import base64
import binascii
import hashlib
import hmac
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

import msgspec

from worksrail.core.identity import Incarnation, ServiceName

_MAC_BYTES: Final = 16
_MAX_TICKET_CHARACTERS: Final = 512


@unique
class TicketFault(Enum):
    """Sentinel: why a text is not a valid ticket."""

    MALFORMED = 'the text is not a ticket'
    FORGED = 'the signature does not match any key'


class Ticket(msgspec.Struct, frozen=True, array_like=True):
    """The right to run requests of one service on one incarnation."""

    owner: Incarnation
    """The only incarnation that may run requests under the ticket."""

    service: ServiceName
    """Service that it is valid for."""

    expires: float
    """Wall-clock time in seconds after which it is refused."""


@dataclass(frozen=True, slots=True)
class TicketSigner:
    """Signs and verifies tickets with keys shared by all instances.

    The first key signs, and all keys verify.  To rotate a key, add the new
    one on all instances, then move it to the front, then remove the old one.

    >>> signer = TicketSigner((b'k' * 32,))
    >>> ticket = Ticket(Incarnation('ala-norte-1', 1), 'pedidos', 5)
    >>> signer.verify(signer.sign(ticket)) == ticket
    True
    """

    keys: Sequence[bytes]
    """Secret keys, newest first."""

    def sign(self, ticket: Ticket) -> str:
        """Encode and sign a ticket."""
        payload = msgspec.msgpack.encode(ticket)
        signed = _mac(self.keys[0], payload) + payload
        return base64.urlsafe_b64encode(signed).decode().rstrip('=')

    def verify(self, text: str) -> Ticket | TicketFault:
        """Decode a ticket; return a fault if it is malformed or forged."""
        if len(text) > _MAX_TICKET_CHARACTERS:
            return TicketFault.MALFORMED
        padded = text + '=' * (-len(text) % 4)
        try:
            signed = base64.b64decode(padded, altchars=b'-_', validate=True)
        except (binascii.Error, ValueError):
            return TicketFault.MALFORMED
        mac, payload = signed[:_MAC_BYTES], signed[_MAC_BYTES:]
        if not any(
            hmac.compare_digest(mac, _mac(key, payload)) for key in self.keys
        ):
            return TicketFault.FORGED
        try:
            return msgspec.msgpack.decode(payload, type=Ticket)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return TicketFault.MALFORMED


def _mac(key: bytes, payload: bytes) -> bytes:
    return hmac.digest(key, payload, hashlib.sha256)[:_MAC_BYTES]
