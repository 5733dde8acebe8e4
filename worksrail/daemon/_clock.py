"""The clocks of a process."""

import time


def monotonic() -> float:
    """Return seconds on a monotonic clock that includes suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Return seconds since the epoch, for ticket expiry and for logs."""
    return time.time()
