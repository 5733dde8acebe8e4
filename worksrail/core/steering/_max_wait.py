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
# Target latencies that a retry after a refusal may queue: it is late in any
# case, but serving it late is better than refusing it twice.
_RETRY_WAIT_SHARE: Final = 1.0


def max_wait(request: SteeredRequest, latency: float, now: float) -> float:
    """Return the seconds for which a request may queue for a slot.

    ``latency`` is the seconds of execution and round trip without the queue.
    """
    target = request.route.target_latency
    if request.caller_retried:
        left = request.deadline - now - latency
        return min(left, target * _RETRY_WAIT_SHARE)
    left = request.arrived_at + target * _TARGET_SHARE - now - latency
    return max(target * _MIN_WAIT_SHARE, left)
