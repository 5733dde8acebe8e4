"""Messages between instances, encoded as tagged MessagePack arrays.

Fields are positional on the wire: new ones go to the end with a default.
Times are durations in seconds, never points in time, because clocks of
different instances are not compared.
"""

from enum import IntEnum, unique
from typing import Final, TypeAlias

import msgspec

from worksrail.core.identity import (
    Endpoints,
    Incarnation,
    Place,
    ServiceName,
)
from worksrail.core.limits import LimitHandover, LimitReply, LimitReport
from worksrail.core.pacing import AdvertisedLimit, TokenGrant, TokenRequest
from worksrail.core.quarantine import AdvertisedCrashes


@unique
class MemberStatus(IntEnum):
    """How far an instance is in its life."""

    JOINING = 0
    READY = 1
    LEAVING = 2
    LEFT = 3


class Spare(msgspec.Struct, frozen=True, array_like=True):
    """How much of one service an instance could still serve."""

    service: ServiceName
    """Name of the service."""

    slots: int
    """Slot permits free after headroom."""

    usable: int
    """Slot permits usable at all."""

    idle: int = 0
    """Slot permits free, headroom included; what may be borrowed."""


class HeldSeat(msgspec.Struct, frozen=True, array_like=True):
    """A seat and the epoch under which it is held."""

    seat: int
    """Number of the seat in its region."""

    epoch: int
    """Grows with every change of holder."""


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What an instance says about itself in heartbeats."""

    who: Incarnation
    """Name and incarnation."""

    counter: int
    """Grows with every heartbeat of this incarnation."""

    place: Place
    """Zone and region."""

    endpoints: Endpoints
    """Its addresses."""

    status: MemberStatus
    """How far it is in its life."""

    generation: int = 0
    """Configuration generation in force there."""

    digest: str = ''
    """Digest of the bundle in force there."""

    settled: int = 0
    """Newest generation whose shares its permits fit into."""

    drains: int = 0
    """Revision of the drain list in force there."""

    seats: tuple[HeldSeat, ...] = ()
    """Seats it holds."""

    spares: tuple[Spare, ...] = ()
    """What it could still serve."""

    applied_after: float = 0
    """Seconds from learning of the generation to its being in force."""


class PeerMessage(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages between instances."""


class Heartbeat(PeerMessage, frozen=True, array_like=True, tag=True):
    """Own record and a sample of what was heard of others."""

    record: MemberRecord
    """The sender's own record."""

    others: tuple[MemberRecord, ...] = ()
    """Records heard from or about other instances."""

    crashes: tuple[AdvertisedCrashes, ...] = ()
    """Requests under which upstreams crashed."""

    limits: tuple[AdvertisedLimit, ...] = ()
    """Limits that upstreams named."""


class LoanPart(msgspec.Struct, frozen=True, array_like=True):
    """Some permits of one pool."""

    pool: str
    """Key of the pool."""

    count: int
    """How many permits."""


class LoanRequest(PeerMessage, frozen=True, array_like=True, tag=True):
    """Asks to borrow permits of a group, or to renew a loan."""

    loan: int
    """Number chosen by the borrower, unique in its incarnation."""

    group: str
    """Group of pools, ``slots/pedidos``."""

    count: int
    """How many permits are wanted; zero renews."""

    sequence: int = 0
    """Counts the renewals of the loan."""


class LoanGrant(PeerMessage, frozen=True, array_like=True, tag=True):
    """Grants or renews a loan; no parts means a refusal."""

    loan: int
    """The borrower's number."""

    group: str
    """The group asked for."""

    parts: tuple[LoanPart, ...]
    """What is lent; on renewal what the lender still counts as lent."""

    duration: float
    """Seconds, counted by the borrower from when it asked."""

    sequence: int = 0
    """Repeats the sequence of the request."""


class LoanReturn(PeerMessage, frozen=True, array_like=True, tag=True):
    """Says what of a loan the borrower still keeps; counts only fall."""

    loan: int
    """The borrower's number."""

    kept_parts: tuple[LoanPart, ...]
    """What is kept; a pool that is missing is returned whole."""


class LoanRecall(PeerMessage, frozen=True, array_like=True, tag=True):
    """Asks a borrower to return what it does not use."""

    loan: int
    """The borrower's number."""


class SeatOffer(PeerMessage, frozen=True, array_like=True, tag=True):
    """Hands a seat on: the sender never uses it again."""

    seat: int
    """Number of the seat."""

    epoch: int
    """Epoch under which the receiver shall hold it."""

    receiver: Incarnation
    """The only incarnation that may take it."""


class SeatTaken(PeerMessage, frozen=True, array_like=True, tag=True):
    """Confirms a seat offer."""

    seat: int
    """Number of the seat."""

    epoch: int
    """Epoch of the offer."""


class HeadNews(PeerMessage, frozen=True, array_like=True, tag=True):
    """Tells of the newest configuration head known to the sender."""

    generation: int
    """Generation of the head."""

    digest: str
    """Digest of its bundle."""


class DrainNews(PeerMessage, frozen=True, array_like=True, tag=True):
    """Tells of the newest drain list known to the sender."""

    revision: int
    """Revision of the list."""

    targets: tuple[str, ...]
    """``kind/name`` of each drain."""


AnyMessage: TypeAlias = (
    Heartbeat
    | LoanRequest
    | LoanGrant
    | LoanReturn
    | LoanRecall
    | SeatOffer
    | SeatTaken
    | HeadNews
    | DrainNews
    | LimitReport
    | LimitReply
    | LimitHandover
    | TokenRequest
    | TokenGrant
)

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(list[AnyMessage])


class MalformedMessage(ValueError):
    """A peer sent bytes that are no list of messages."""


def encode_messages(messages: list[AnyMessage]) -> bytes:
    """Encode messages for the wire."""
    return _ENCODER.encode(messages)


def decode_messages(payload: bytes) -> list[AnyMessage]:
    """Decode messages; raises :class:`MalformedMessage`."""
    try:
        return _DECODER.decode(payload)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise MalformedMessage(str(error)) from error
