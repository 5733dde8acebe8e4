"""Messages between instances, encoded as tagged MessagePack arrays.

Fields are positional on the wire: append new ones at the end with a default.
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
    """Lifecycle status of an instance."""

    JOINING = 0
    READY = 1
    LEAVING = 2
    LEFT = 3


class Spare(msgspec.Struct, frozen=True, array_like=True):
    """Spare capacity of an instance for one service."""

    service: ServiceName
    """Name of the service."""

    slots: int
    """Slot permits free after headroom."""

    usable: int
    """Slot permits usable in total."""

    idle: int = 0
    """Slot permits free, headroom included; peers may borrow these."""


class HeldSeat(msgspec.Struct, frozen=True, array_like=True):
    """A seat and the epoch at which it is held."""

    seat: int
    """Number of the seat in its region."""

    epoch: int
    """Increases with every change of holder."""


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """State that an instance advertises about itself in heartbeats."""

    who: Incarnation
    """Name and incarnation."""

    counter: int
    """Increases with every heartbeat of this incarnation."""

    place: Place
    """Zone and region."""

    endpoints: Endpoints
    """Its addresses."""

    status: MemberStatus
    """Its lifecycle status."""

    generation: int = 0
    """Configuration generation in force at the instance."""

    digest: str = ''
    """Digest of the bundle in force at the instance."""

    settled: int = 0
    """Newest generation whose shares cover its permits in use."""

    drains: int = 0
    """Revision of the drain list in force at the instance."""

    seats: tuple[HeldSeat, ...] = ()
    """Seats it holds."""

    spares: tuple[Spare, ...] = ()
    """Its spare capacity by service."""

    applied_after: float = 0
    """Seconds from first seeing the generation to applying it."""


class PeerMessage(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages between instances."""


class Heartbeat(PeerMessage, frozen=True, array_like=True, tag=True):
    """The sender's record and a sample of the records it has received."""

    record: MemberRecord
    """The sender's record."""

    others: tuple[MemberRecord, ...] = ()
    """Records of other instances."""

    crashes: tuple[AdvertisedCrashes, ...] = ()
    """Requests that crashed upstreams."""

    limits: tuple[AdvertisedLimit, ...] = ()
    """Rate limits that upstreams named."""


class LoanPart(msgspec.Struct, frozen=True, array_like=True):
    """A number of permits of one pool."""

    pool: str
    """Key of the pool."""

    count: int
    """How many permits."""


class LoanRequest(PeerMessage, frozen=True, array_like=True, tag=True):
    """Requests a loan of permits of a group, or its renewal."""

    loan: int
    """Number chosen by the borrower, unique in its incarnation."""

    group: str
    """Key of the group of pools, such as ``slots/pedidos``."""

    count: int
    """How many permits are wanted; zero renews the loan."""

    sequence: int = 0
    """Number of the renewal."""


class LoanGrant(PeerMessage, frozen=True, array_like=True, tag=True):
    """Grants or renews a loan; no parts means a refusal."""

    loan: int
    """The borrower's number of the loan."""

    group: str
    """Key of the requested group."""

    parts: tuple[LoanPart, ...]
    """Permits lent; on renewal, those that the lender still counts as lent."""

    duration: float
    """Seconds of the loan, counted from when the borrower sent its request."""

    sequence: int = 0
    """Sequence of the request that is answered."""


class LoanReturn(PeerMessage, frozen=True, array_like=True, tag=True):
    """Returns part of a loan: lists the permits that the borrower keeps.

    Counts only decrease over the messages of a loan.
    """

    loan: int
    """The borrower's number of the loan."""

    kept_parts: tuple[LoanPart, ...]
    """Permits kept; all permits of a pool that is missing are returned."""


class LoanRecall(PeerMessage, frozen=True, array_like=True, tag=True):
    """Requests that a borrower return the permits it does not use."""

    loan: int
    """The borrower's number of the loan."""


class SeatOffer(PeerMessage, frozen=True, array_like=True, tag=True):
    """Transfers a seat: the sender never uses it again."""

    seat: int
    """Number of the seat."""

    epoch: int
    """Epoch at which the receiver is to hold it."""

    receiver: Incarnation
    """The only incarnation that may accept it."""


class SeatTaken(PeerMessage, frozen=True, array_like=True, tag=True):
    """Confirms a seat offer."""

    seat: int
    """Number of the seat."""

    epoch: int
    """Epoch of the offer."""


class HeadNews(PeerMessage, frozen=True, array_like=True, tag=True):
    """Advertises the newest configuration head that the sender knows."""

    generation: int
    """Generation of the head."""

    digest: str
    """Digest of its bundle."""


class DrainNews(PeerMessage, frozen=True, array_like=True, tag=True):
    """Advertises the newest drain list that the sender knows."""

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
    """A peer sent bytes that do not decode to a list of messages."""


def encode_messages(messages: list[AnyMessage]) -> bytes:
    """Encode messages for the wire."""
    return _ENCODER.encode(messages)


def decode_messages(payload: bytes) -> list[AnyMessage]:
    """Decode messages; raises :class:`MalformedMessage`."""
    try:
        return _DECODER.decode(payload)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise MalformedMessage(str(error)) from error
