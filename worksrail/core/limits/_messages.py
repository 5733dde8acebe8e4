"""What entries tell the owners of shared limits, and are told.

Each message is one datagram and may be lost.  A lost report leaves the owner
with too low a count until the tokens it stands for would have come anyway.
"""

import msgspec

from worksrail.core.identity import Incarnation

LimitName = str


class LimitReport(msgspec.Struct, frozen=True, array_like=True, tag='report'):
    """An entry tells an owner what it admitted, and asks for more."""

    sender: Incarnation
    """The entry."""

    peer: str
    """Where it wants the reply."""

    number: int
    """Identifies the report at its sender."""

    used: dict[LimitName, int]
    """Admissions since the last report; below zero if some were not used."""

    wanted: dict[LimitName, int]
    """Admissions that wait for the owner's word."""

    forwarded: bool = False
    """It came to another entry first, which takes the receiver for the
    owner."""


class LimitStatus(msgspec.Struct, frozen=True, array_like=True):
    """How a limit stands, as its owner tells one entry."""

    granted: int
    """How many of the wanted admissions may go on."""

    ample: bool
    """So much is left that entries may admit before they report."""

    wait: float
    """Seconds after which a denied caller will find a token; zero if none was
    denied."""


class LimitReply(msgspec.Struct, frozen=True, array_like=True, tag='reply'):
    """An owner answers a report."""

    number: int
    """The report."""

    standings: dict[LimitName, LimitStatus]
    """How the limits that it named stand."""


class LimitHandover(
    msgspec.Struct, frozen=True, array_like=True, tag='handover'
):
    """An owner tells its successor what is left of limits."""

    levels: dict[LimitName, float]
    """Tokens left."""


LimitMessage = LimitReport | LimitReply | LimitHandover


def part_of(report: LimitReport, names: set[LimitName]) -> LimitReport:
    """What a report says of some limits, to be passed on to their owner."""
    return LimitReport(
        report.sender,
        report.peer,
        report.number,
        {name: report.used[name] for name in names & report.used.keys()},
        {name: report.wanted[name] for name in names & report.wanted.keys()},
        forwarded=True,
    )
