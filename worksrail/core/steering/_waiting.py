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
# of 12 entries (one run each).
_RETURNED_WAIT: Final = 1.0
# The same once slots have been short for some seconds: those who come back keep
# the queues full then, and everybody is late.  At the warm capacity it earns
# 0.82 of the credit instead of 0.54, in a burst of three times for 8 s 0.76
# instead of 0.37 (virtual clock, three seeds; after 1.5 s 0.79 and 0.72, after
# 3 s 0.70 and 0.64).  Where upstreams remember few keys it costs 0.02.
_RETURNED_WAIT_LONG: Final = 0.2
_LONG_SHORTAGE: Final = 0.7


def patience(
    request: SteeredRequest,
    work: float,
    short_for: float,
    now: float,
) -> float:
    """Seconds for which a request may wait for a slot.

    ``work`` is the seconds of execution and way that follow the wait, and
    ``short_for`` those for which the service has had no slot to spare.
    """
    target = request.route.target_latency
    if request.returned:
        left = request.deadline - now - work
        lasting = short_for > _LONG_SHORTAGE
        share = _RETURNED_WAIT_LONG if lasting else _RETURNED_WAIT
        return min(left, target * share)
    left = request.arrived_at + target * _ON_TIME - now - work
    return max(target * _LEAST_WAIT, left)
