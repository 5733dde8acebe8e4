"""Maximum time that a request may queue for a slot.

Every queued request delays all requests behind it, so it may queue only as
long as its own answer can still be in time.  Otherwise it is refused at once:
its caller can retry, and the slot serves another request.
"""

from typing import Final

from worksrail.core.steering._request import SteeredRequest

# Share of the target latency within which an answer should arrive, and the
# share that a request may always queue, however long its execution takes.
_TARGET_SHARE: Final = 0.9
_MIN_WAIT_SHARE: Final = 0.15
# Target latencies that a retry after a refusal may queue.  In a burst, serving
# it late is better than refusing it twice.  If slots are always short, each
# late answer makes other requests late.
_RETRY_WAIT_SHARE: Final = 1.0
_LASTING_RETRY_WAIT_SHARE: Final = 0.5
# Target latencies by which a new request may queue less for each second of the
# slots that is promised to callers who come back, and those that it may queue
# in any case: a short queue keeps slots from idling.
_YIELDING_FACTOR: Final = 2.5
_MIN_YIELDING_SHARE: Final = 0.25


def max_wait(request: SteeredRequest, latency: float, now: float) -> float:
    """Return the seconds for which a request may queue for a slot.

    ``latency`` is the seconds of execution and round trip without the queue.
    """
    target = request.route.target_latency
    if request.returned:
        left = request.deadline - now - latency
        share = _RETRY_WAIT_SHARE
        if not request.in_burst:
            share = _LASTING_RETRY_WAIT_SHARE
        return min(left, target * share)
    left = request.arrived_at + target * _TARGET_SHARE - now - latency
    permitted = max(target * _MIN_WAIT_SHARE, left)
    if request.promised:
        yielding = _TARGET_SHARE - request.promised * _YIELDING_FACTOR
        return min(permitted, target * max(_MIN_YIELDING_SHARE, yielding))
    return permitted
