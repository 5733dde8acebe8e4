"""How long a request may wait for a slot before it is better refused.

This answers queues.  A request that waits makes all behind it wait, so it may
wait only as long as its own answer can still be in time.  One that could not
be is refused at once: its caller can come back, and the slot serves another.
"""

from typing import Final

from worksrail.core.steering._request import SteeredRequest

# Share of the target latency that an answer should take, and the least share
# that may be spent waiting for a slot whatever the work takes.  0.75 instead
# of 0.9 costs 0.01 to 0.06 of the credit from three quarters of the capacity
# on, the whole target nothing to speak of (virtual clock, three seeds).
_ON_TIME: Final = 0.9
_LEAST_WAIT: Final = 0.15
# Target latencies that a request which came back after a refusal may wait: it
# is late in any case, but better served than refused twice.  With 0.2 more are
# in time and more are refused for good: worth 0.014 less on five days of a site
# of 12 entries (one run each).  What speaks for it is overload that lasts: at
# the warm capacity 0.10 are in time with 1 and 0.90 with 0.2 (virtual clock).
# Yet 0.2 once slots have been short for 0.7 s loses 0.05 of the worth of a day
# of overload on a site of 9 entries (two runs each), refused 0.11 for 0.07.
_RETURNED_WAIT: Final = 1.0


def patience(request: SteeredRequest, work: float, now: float) -> float:
    """Seconds for which a request may wait for a slot.

    ``work`` is the seconds of execution and way that follow the wait.
    """
    target = request.route.target_latency
    if request.returned:
        left = request.deadline - now - work
        return min(left, target * _RETURNED_WAIT)
    left = request.arrived_at + target * _ON_TIME - now - work
    return max(target * _LEAST_WAIT, left)
