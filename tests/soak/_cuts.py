"""Entries that lose their links to upstreams, and what their callers get."""

from dataclasses import dataclass
from math import inf

# Share of the others' success that an entry without links to upstreams has at
# least, unless so few first tries fail there: a number, and a share of all.
_CUT_SHARE = 2 / 3
_CUT_FAILURES = 10
_CUT_FAILURE_SHARE = 1 / 50


@dataclass(slots=True)
class Cut:
    """A time in which an entry had no links to upstreams."""

    host: str
    """The entry."""

    begin: float
    """When it lost them."""

    end: float = inf
    """When it got them back."""


@dataclass(frozen=True, slots=True)
class CutShare:
    """First tries from some seconds after the begin of a cut on."""

    cut: Cut
    """The cut."""

    there: tuple[int, int]
    """Served at the entry, and sent to it."""

    elsewhere: tuple[int, int]
    """The same at the entries that were not cut off."""

    def is_broken(self) -> bool:
        """Whether the callers of the entry were served too seldom."""
        served, sent = self.there
        others_served, others_sent = self.elsewhere
        failed = sent - served
        if not sent or not others_sent:
            return False
        share = served / sent
        others = others_served / others_sent
        most = _CUT_FAILURES + (sent + others_sent) * _CUT_FAILURE_SHARE
        return share < others * _CUT_SHARE and failed > most
