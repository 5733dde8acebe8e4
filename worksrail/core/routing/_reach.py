"""Evidence of whether an instance can reach the upstreams of a service."""

from dataclasses import dataclass, field
from math import inf
from typing import Final

from worksrail.core.permits import PoolKey

# Number of different upstreams that must have been missed with no answer in
# between: a single one may have crashed.
_MIN_MISSED: Final = 3
# Seconds between two requests that are sent in spite of that, to find out
# whether the upstreams can be reached again.
_TRIAL_INTERVAL: Final = 0.5


@dataclass(slots=True)
class ServiceReach:
    """Whether the upstreams of one service can be reached from here."""

    missed: set[PoolKey] = field(default_factory=set)
    """Upstreams that failed to answer, with no answer of any other since."""

    next_trial_at: float = -inf
    """When a request is sent to an upstream in spite of that."""

    def record_answer(self) -> None:
        """Record that an upstream answered."""
        self.missed.clear()

    def record_miss(self, upstream: PoolKey) -> None:
        """Record that an upstream did not answer, or could not be reached."""
        self.missed.add(upstream)

    def is_lost(self, upstreams: int) -> bool:
        """Return whether none of a number of upstreams can be reached."""
        return 0 < min(_MIN_MISSED, upstreams) <= len(self.missed)

    def begin_trial(self, now: float) -> bool:
        """Return whether a trial is due, and schedule the next one."""
        if now < self.next_trial_at:
            return False
        self.next_trial_at = now + _TRIAL_INTERVAL
        return True
