"""How long a request may wait for a slot before it is better refused.

This answers queues.  A request that waits makes all behind it wait, so it may
wait only as long as its own answer can still be in time.  One that could not
be is refused at once: its caller can come back, and the slot serves another.
"""

from typing import Final

from worksrail.core.steering._request import SteeredRequest

# Share of the target latency that an answer should take, and the least share
# that may be spent waiting for a slot whatever the work takes.
_ON_TIME: Final = 0.9
_LEAST_WAIT: Final = 0.15
# Target latencies that a request which came back after a refusal may wait: it
# is late in any case, but better served than refused twice.
_RETURNED_WAIT: Final = 1.0


def patience(request: SteeredRequest, work: float, now: float) -> float:
    """Seconds for which a request may wait for a slot.

    ``work`` is the seconds of execution and way that follow the wait.
    """
    target = request.route.target_latency
    if request.caller_retried:
        left = request.deadline - now - work
        return min(left, target * _RETURNED_WAIT)
    left = request.arrived_at + target * _ON_TIME - now - work
    return max(target * _LEAST_WAIT, left)
