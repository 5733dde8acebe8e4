"""The budget of repeats that all entries share, divided without messages."""

from collections import deque
from dataclasses import dataclass, field

from worksrail.core.steering._settings import SteeringBounds

# An arrival at the upstream lags the decision; so repeats are counted over a
# little more than the window and requests over a little less.
_LAG = 0.5
# A restarted entry has forgotten what its last life used of the extra share,
# and a death is noticed late: each entry keeps to half of its part.
_SPARE = 0.5


@dataclass(slots=True)
class RepeatBudget:
    """Bounds the repeats that this entry sends to one service.

    All entries together may send, in any window, a ratio of the requests for
    the service and an extra number of repeats.  Each entry keeps the ratio
    of its own requests and its part of the extra number, so the sum holds
    whatever the others do and no message is needed.

    >>> budget = RepeatBudget(SteeringBounds(0.5, 10, 0))
    >>> budget.note_request(0); budget.note_request(0)
    >>> budget.spend(1, 1), budget.spend(1, 1)
    (True, False)
    """

    bounds: SteeringBounds
    """Ratio, window and extra number."""

    requests: deque[float] = field(default_factory=deque)
    """Times of first sends."""

    repeats: deque[float] = field(default_factory=deque)
    """Times of repeats."""

    def note_request(self, now: float) -> None:
        """Count a request that is sent for the first time."""
        self.requests.append(now)
        _forget(self.requests, now - self.bounds.repeat_window + _LAG)

    def spend(self, now: float, entries: int) -> bool:
        """Take one repeat; false when none is left."""
        _forget(self.requests, now - self.bounds.repeat_window + _LAG)
        _forget(self.repeats, now - self.bounds.repeat_window - _LAG)
        extra = self.bounds.repeat_extra * _SPARE / max(1, entries)
        allowed = self.bounds.repeat_ratio * len(self.requests) + extra
        if len(self.repeats) + 1 > allowed:
            return False
        self.repeats.append(now)
        return True


def _forget(times: deque[float], before: float) -> None:
    while times and times[0] < before:
        times.popleft()
