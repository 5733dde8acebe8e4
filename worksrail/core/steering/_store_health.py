"""Whether the store answers, as all entries together know it.

A watch that waits says nothing of the store: it may be quiet, silent, or have
forgotten the watch.  So entries that read the store ask it something small
twice a second, and digests tell how long ago it answered anybody.  What
upstreams' entries may have lapsed for is an outage: a gap between two answers
to the whole fleet, in which somebody asked in vain.  A gap alone is none.  An
entry that hears of no reader knows of no answers either, and the store may
have answered all the while.
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
# Seconds from the first known answer after a gap to the first one to an entry
# that asked in vain: a check of 0.7 s may have to end first.  Whoever asks in
# vain for longer, while others are answered, is cut off itself.
_WITNESS_DELAY: Final = 0.8
# Ages are told in tenths of a second.
_TENTHS: Final = 10


@dataclass(slots=True)
class StoreHealth:
    """When the store answered last, and when it came back from an outage.

    >>> store_health = StoreHealth(lapse_time=1.5)
    >>> store_health.record_own_answer(10)
    >>> store_health.record_call(10.5)
    >>> store_health.record_own_answer(19)
    >>> store_health.returned_at
    19
    """

    lapse_time: float
    """Seconds without any answer from which upstreams' entries may lapse."""

    answered_at: float = -inf
    """When the store answered any entry last, as far as is known here."""

    gap_began_at: float = -inf
    """Last answer before the last long gap between known answers."""

    gap_ended_at: float = -inf
    """First answer after it; the first one of all, if there was no gap."""

    returned_at: float = -inf
    """When it came back last after entries may have lapsed."""

    asked_at: float | None = None
    """Beginning of the first check of this entry since it was answered last;
    None if there was none."""

    checking: bool = False
    """A check of this entry is under way."""

    next_check_at: float = -inf
    """When the next one is due."""

    silent: bool = False
    """The last check of this entry failed."""

    def record_call(self, now: float) -> None:
        """The store is being asked by this entry."""
        if self.asked_at is None:
            self.asked_at = now

    def cease_to_ask(self) -> None:
        """The store is read no more; what was asked says nothing of it."""
        self.silent = False
        self.asked_at = None

    def handle_pause(self, now: float) -> None:
        """The process stood still, and could not be answered meanwhile."""
        if self.asked_at is not None:
            self.asked_at = now

    def record_own_answer(self, now: float) -> None:
        """The store has answered this entry."""
        asked_in_vain = self.time_in_vain(now)
        self.record_answer(now)
        self.asked_at = None
        # The first check after the last answer may begin this much later.
        if asked_in_vain >= self.lapse_time - CHECK_INTERVAL:
            self._confirm_outage(now)

    def record_answer(self, at: float) -> None:
        """The store has answered an entry."""
        if at <= self.answered_at:
            return
        if at - self.answered_at >= self.lapse_time:
            self.gap_began_at = self.answered_at
            self.gap_ended_at = at
        self.answered_at = at

    def time_in_vain(self, now: float) -> float:
        """Seconds for which this entry has asked, and nobody was answered."""
        if self.asked_at is None:
            return 0
        return now - max(self.asked_at, self.answered_at)

    def keeps_missing(self, now: float) -> bool:
        """Whether upstreams that are not listed may still return.

        Nothing is known of an outage by an entry that has heard nothing yet.
        """
        known = self.answered_at > -inf
        unheard = known and now - self.answered_at >= self.lapse_time
        return unheard or now < self.returned_at + _RETURN_TIME

    def age(self, now: float) -> float | None:
        """Seconds since the last answer; None if there was none."""
        return now - self.answered_at if self.answered_at > -inf else None

    def advertised_age(self, now: float) -> int | None:
        """Tenths of a second since the last answer, for others.

        It is rounded up by a tenth at least, more than the way of a datagram:
        else each entry would take the last answer for a little younger than the
        one that told it, and what goes round among them would never grow old.
        """
        age = self.age(now)
        return None if age is None else ceil(age * _TENTHS) + 1

    def advertised_return(self, now: float) -> int | None:
        """Tenths of a second since an outage ended, for others.

        None unless upstreams may still return from it.  It is rounded down, so
        that nobody drops them sooner; no entry takes the return for younger
        than the first answer after it that it knows of.
        """
        age = now - self.returned_at
        return int(age * _TENTHS) if age < _RETURN_TIME else None

    def hear_age(self, tenths: int | None, now: float) -> None:
        """Another entry has told how long ago the store answered."""
        if tenths is not None:
            self.record_answer(now - tenths / _TENTHS)

    def hear_return(self, tenths: int | None, now: float) -> None:
        """Another entry has told how long ago an outage ended."""
        if tenths is not None:
            self._confirm_outage(now - tenths / _TENTHS)

    def _confirm_outage(self, ended_at: float) -> None:
        """Somebody asked the store in vain until then.

        Whoever knows of answers in that time knows better.
        """
        latest = self.gap_ended_at + _WITNESS_DELAY
        if self.gap_began_at < ended_at <= latest:
            ended_at = min(ended_at, self.gap_ended_at)
            self.returned_at = max(self.returned_at, ended_at)
