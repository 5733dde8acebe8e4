"""The table of seat holders of a region, kept in the store.

The table changes only by conditional updates.  All functions here are pure:
they return the next table, and the store accepts it or reports a conflict.
"""

from typing import Final

import msgspec

from worksrail.core.identity import NO_INCARNATION, Incarnation, RegionName

_CLAIM_STEP: Final = 1000


class SeatRecord(msgspec.Struct, frozen=True):
    """The holder of one seat."""

    seat: int
    """Number of the seat."""

    holder: Incarnation = NO_INCARNATION
    """Instance that holds the seat; an empty name if it was never held."""

    epoch: int = 0
    """Grows by one on a handover, to the next multiple of 1000 on a claim."""

    intent: Incarnation = NO_INCARNATION
    """Instance that intends to claim it, as its holder seems to have ended."""


class SeatTable(msgspec.Struct, frozen=True):
    """All seats of a region."""

    region: RegionName
    """Name of the region."""

    seats: tuple[SeatRecord, ...]
    """One record for each seat."""

    @classmethod
    def empty(cls, region: RegionName, count: int) -> 'SeatTable':
        """Create the table of a region whose seats were never held."""
        return cls(region, tuple(SeatRecord(seat) for seat in range(count)))

    def extended(self, count: int) -> 'SeatTable':
        """Return the table with at least ``count`` seats."""
        added = range(len(self.seats), count)
        seats = self.seats + tuple(SeatRecord(seat) for seat in added)
        return SeatTable(self.region, seats)

    def with_record(self, record: SeatRecord) -> 'SeatTable':
        """Return the table with the record of one seat replaced."""
        seats = tuple(
            record if old.seat == record.seat else old for old in self.seats
        )
        return SeatTable(self.region, seats)


def claim_epoch(epoch: int) -> int:
    """Return the epoch of a claim, above that of any unrecorded handover.

    >>> claim_epoch(2003)
    3000
    """
    return (epoch // _CLAIM_STEP + 1) * _CLAIM_STEP


def encode_seats(table: SeatTable) -> bytes:
    """Encode a table for the store."""
    return msgspec.json.encode(table)


def decode_seats(payload: bytes) -> SeatTable | msgspec.ValidationError:
    """Decode a table; return an error if the payload is not a seat table."""
    try:
        return msgspec.json.decode(payload, type=SeatTable)
    except msgspec.ValidationError as error:
        return error
    except msgspec.DecodeError as error:
        return msgspec.ValidationError(str(error))
