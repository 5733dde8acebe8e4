"""Times that double with each event of a row."""

from typing import Final

# Doublings after which any maximum in use is reached; a power of two with an
# unbounded exponent overflows.
_MAX_DOUBLINGS: Final = 64


def doubled(first: float, times: int, maximum: float) -> float:
    """Return a time in seconds, doubled some times, up to a maximum.

    >>> doubled(0.5, 2, 8), doubled(0.5, 100_000, 8)
    (2.0, 8)
    """
    return min(maximum, first * (1 << min(times, _MAX_DOUBLINGS)))
