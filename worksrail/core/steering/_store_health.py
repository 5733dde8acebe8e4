"""Health of the store as the whole fleet observes it.

A pending watch says nothing about the store, which may have no changes, be
unreachable, or have lost the watch. Entries that read the store therefore also
send it a small request twice a second, and digests carry the time since it last
answered any entry. An outage, in which records of upstreams may have expired,
is a gap between two answers to the whole fleet during which at least one call
got no answer. A gap alone is no outage: an entry that receives no digests of
watchers does not learn of answers either, while the store may have answered all
along.
"""

from dataclasses import dataclass
from math import ceil, inf
from typing import Final

# Seconds between the starts of two checks of the store; a slower check is
# followed by the next at once. Two in a row fit into the interval between two
# reports of an upstream (1.5 s), so that one lost check is no outage. Each
# costs a tenth of a call. In the two seconds after an outage of 8.3 s in which
# records expired, 0.99 of the possible credit is earned with the checks and
# 0.39 without.
CHECK_INTERVAL: Final = 0.5
# Records that expired during an outage reappear within two seconds of its end,
# according to the operators; the rest is for the latency of the answer.
_REAPPEARANCE_WINDOW: Final = 2.1
# Maximum number of seconds from the first known answer after a gap to the first
# answer to an entry whose calls got none: a check of 0.7 s may have to end
# first. An entry that gets no answer for longer while others do is cut off
# itself.
_MAX_WITNESS_DELAY: Final = 0.8
# Ages are sent in tenths of a second.
_TENTHS_PER_SECOND: Final = 10


@dataclass(slots=True)
class StoreHealth:
    """The last known answer of the store, and its last outage.

    >>> health = StoreHealth(expiry_time=1.5)
    >>> health.record_own_answer(10)
    >>> health.record_call(10.5)
    >>> health.record_own_answer(19)
    >>> health.recovered_at
    19
    """

    expiry_time: float
    """Seconds without any answer after which records of upstreams may have
    expired."""

    answered_at: float = -inf
    """When the store last answered any entry, as far as this one knows."""

    gap_started_at: float = -inf
    """Last answer before the latest long gap between known answers."""

    gap_ended_at: float = -inf
    """First answer after that gap; the first answer ever, if there was no
    gap."""

    recovered_at: float = -inf
    """When the store last recovered from an outage that may have expired
    records."""

    waiting_since: float | None = None
    """Start of this entry's first check since it last got an answer; None if
    there was none."""

    checking: bool = False
    """Whether a check of this entry is in progress."""

    next_check_at: float = -inf
    """When the next check is due."""

    last_check_failed: bool = False
    """Whether the last check of this entry failed."""

    def record_call(self, now: float) -> None:
        """Record that this entry calls the store."""
        if self.waiting_since is None:
            self.waiting_since = now

    def reset_calls(self) -> None:
        """Discard pending calls when this entry stops reading the store."""
        self.last_check_failed = False
        self.waiting_since = None

    def handle_pause(self, now: float) -> None:
        """Restart the wait: no answer could arrive during a suspension."""
        if self.waiting_since is not None:
            self.waiting_since = now

    def record_own_answer(self, now: float) -> None:
        """Record that the store answered this entry."""
        unanswered = self.unanswered_time(now)
        self.record_answer(now)
        self.waiting_since = None
        # The first check may start this much later than the last answer.
        if unanswered >= self.expiry_time - CHECK_INTERVAL:
            self._confirm_outage(now)

    def record_answer(self, at: float) -> None:
        """Record that the store answered any entry."""
        if at <= self.answered_at:
            return
        if at - self.answered_at >= self.expiry_time:
            self.gap_started_at = self.answered_at
            self.gap_ended_at = at
        self.answered_at = at

    def unanswered_time(self, now: float) -> float:
        """Return the seconds for which the calls of this entry got no answer.

        Answers to other entries end that time.
        """
        if self.waiting_since is None:
            return 0
        return now - max(self.waiting_since, self.answered_at)

    def missing_may_reappear(self, now: float) -> bool:
        """Return whether upstreams that are not listed may still reappear.

        An entry that has received no answer and no report yet knows of no
        outage.
        """
        known = self.answered_at > -inf
        no_recent_answer = known and now - self.answered_at >= self.expiry_time
        return (
            no_recent_answer or now < self.recovered_at + _REAPPEARANCE_WINDOW
        )

    def age(self, now: float) -> float | None:
        """Return the seconds since the last answer; None if there was none."""
        return now - self.answered_at if self.answered_at > -inf else None

    def advertised_age(self, now: float) -> int | None:
        """Return the age of the last answer in tenths of a second, for digests.

        It is rounded up by at least a tenth, which is more than the latency of
        a datagram. Otherwise each entry would take the last answer to be
        slightly younger than its sender did, and an age that circulates would
        never grow.
        """
        age = self.age(now)
        return None if age is None else ceil(age * _TENTHS_PER_SECOND) + 1

    def advertised_return(self, now: float) -> int | None:
        """Return the time since the last outage in tenths of a second.

        For digests; None once upstreams can no longer reappear from it. It is
        rounded down, so that no entry drops them too soon; a receiver never
        takes the recovery to be later than the first answer after the gap that
        it knows of.
        """
        age = now - self.recovered_at
        return (
            int(age * _TENTHS_PER_SECOND)
            if age < _REAPPEARANCE_WINDOW
            else None
        )

    def merge_age(self, tenths: int | None, now: float) -> None:
        """Merge another entry's age of the last answer."""
        if tenths is not None:
            self.record_answer(now - tenths / _TENTHS_PER_SECOND)

    def merge_return(self, tenths: int | None, now: float) -> None:
        """Merge another entry's time since the last outage."""
        if tenths is not None:
            self._confirm_outage(now - tenths / _TENTHS_PER_SECOND)

    def _confirm_outage(self, ended_at: float) -> None:
        """Record that calls to the store got no answer until ``ended_at``.

        Answers that are known from that time take precedence.
        """
        latest = self.gap_ended_at + _MAX_WITNESS_DELAY
        if self.gap_started_at < ended_at <= latest:
            ended_at = min(ended_at, self.gap_ended_at)
            self.recovered_at = max(self.recovered_at, ended_at)
