"""Messages between entries and the owners of shared limits.

Each message is one datagram and may be lost.  A lost report leaves the owner's
count too low until the tokens it stands for would have been refilled anyway.
"""

import msgspec

from worksrail.core.identity import Incarnation

LimitName = str


class LimitReport(msgspec.Struct, frozen=True, array_like=True, tag='report'):
    """An entry reports its admissions to an owner and requests more."""

    sender: Incarnation
    """The entry."""

    peer: str
    """Address for the reply."""

    number: int
    """Identifies the report at its sender."""

    used: dict[LimitName, int]
    """Admissions since the last report; negative if some were not used."""

    wanted: dict[LimitName, int]
    """Admissions that wait for the owner's decision."""

    forwarded: bool = False
    """Whether another entry received the report first and forwarded it to the
    entry that it considers the owner."""


class LimitStatus(msgspec.Struct, frozen=True, array_like=True):
    """State of a limit, as its owner replies to one entry."""

    granted: int
    """How many of the wanted admissions are granted."""

    ample: bool
    """Whether enough is left for entries to admit before they report."""

    wait: float
    """Seconds after which a denied caller will find a token; zero if none was
    denied."""


class LimitReply(msgspec.Struct, frozen=True, array_like=True, tag='reply'):
    """An owner's reply to a report."""

    number: int
    """Number of the report."""

    statuses: dict[LimitName, LimitStatus]
    """State of the limits that it named."""


class LimitHandover(
    msgspec.Struct, frozen=True, array_like=True, tag='handover'
):
    """An owner transfers limits to its successor."""

    levels: dict[LimitName, float]
    """Remaining tokens by limit."""


LimitMessage = LimitReport | LimitReply | LimitHandover


def forward_part(report: LimitReport, names: set[LimitName]) -> LimitReport:
    """Return the part of a report to be forwarded to the owner of limits."""
    return LimitReport(
        report.sender,
        report.peer,
        report.number,
        {name: report.used[name] for name in names & report.used.keys()},
        {name: report.wanted[name] for name in names & report.wanted.keys()},
        forwarded=True,
    )
