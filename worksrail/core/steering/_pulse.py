"""Whether the store answers, as all entries together know it.

A watch that waits says nothing of the store: it may be quiet, silent, or have
forgotten the watch.  So entries that read the store ask it something small
twice a second, and digests tell how long ago it answered anybody.  What
upstreams' entries may have lapsed for is a gap between two answers to the whole
fleet, not that one entry got none.
"""

from dataclasses import dataclass
from math import ceil, inf
from typing import Final

# Seconds between the beginnings of two checks of the store; one that takes
# longer is followed by the next at once.  Two in a row fit into the time
# between two reports of an upstream (1.5 s), so that one that is lost makes no
# outage.  Each costs a tenth of a call.  What they gain: in the two seconds
# after a store silent for 8.3 s, whose entries lapsed, 0.99 of the credit is
# earned, and 0.39 without (twelve entries, 44 upstreams, one day each).
CHECK_INTERVAL: Final = 0.5
# Entries that lapsed while the store was away return within two seconds of
# its own return, say the operators; the rest is for the answer's way.
_RETURN_TIME: Final = 2.1
# Ages are told in tenths of a second.
_TENTHS: Final = 10


@dataclass(slots=True)
class StorePulse:
    """When the store answered last, and when it came back from an outage.

    >>> pulse = StorePulse(lapse_time=1.5)
    >>> for at in (10, 10.5, 19):
    ...     pulse.hear(at)
    >>> pulse.returned_at
    19
    """

    lapse_time: float
    """Seconds without any answer from which upstreams' entries may lapse."""

    answered_at: float = -inf
    """When the store answered any entry last, as far as is known here."""

    returned_at: float = -inf
    """When it came back last after entries may have lapsed."""

    checking: bool = False
    """A check of this entry is under way."""

    next_check_at: float = -inf
    """When the next one is due."""

    silent: bool = False
    """The last check of this entry failed."""

    def hear(self, at: float) -> None:
        """The store has answered an entry."""
        if at <= self.answered_at:
            return
        known = self.answered_at > -inf
        if known and at - self.answered_at >= self.lapse_time:
            self.returned_at = at
        self.answered_at = at

    def keeps_missing(self, now: float) -> bool:
        """Whether upstreams that are not listed may still return.

        Nothing is known of an outage by an entry that has heard nothing yet.
        """
        known = self.answered_at > -inf
        away = known and now - self.answered_at >= self.lapse_time
        return away or now < self.returned_at + _RETURN_TIME

    def age(self, now: float) -> float | None:
        """Seconds since the last answer; None if there was none."""
        return now - self.answered_at if self.answered_at > -inf else None

    def told_age(self, now: float) -> int | None:
        """Tenths of a second since the last answer, for others.

        It is rounded up by a tenth at least, more than the way of a datagram:
        else each entry would take the last answer for a little younger than the
        one that told it, and what goes round among them would never grow old.
        """
        age = self.age(now)
        return None if age is None else ceil(age * _TENTHS) + 1

    def hear_age(self, tenths: int | None, now: float) -> None:
        """Another entry has told how long ago the store answered."""
        if tenths is not None:
            self.hear(now - tenths / _TENTHS)
