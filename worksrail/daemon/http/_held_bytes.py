"""Bound on the bytes of requests and answers that a process holds.

A caller that reads slowly keeps its entry from passing on the next part of its
answer, and a body waits for its upstream.  Each of them holds little, but
thousands may do so at once, and a process that exceeds its memory loses all of
its requests.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from math import inf


@dataclass(slots=True)
class HeldBytes:
    """Counts the bytes held, and says whether more may be taken up.

    >>> held = HeldBytes(maximum=100)
    >>> held.take(80), held.take(40), held.held
    (True, False, 80)
    """

    maximum: float = inf
    """Bytes from which no further request is taken up."""

    held: int = 0
    """Bytes of request bodies and of answers that wait for their callers."""

    refused: int = 0
    """Requests that did not fit, since the last summary."""

    def take(self, size: int) -> bool:
        """Take up the body of a request, unless it does not fit."""
        if self.held + size > self.maximum:
            self.refused += 1
            return False
        self.held += size
        return True

    def hold(self, size: int) -> None:
        """Count bytes that are held anyway, or no longer held if negative."""
        self.held += size

    def take_refused(self) -> int:
        """Return the number of refused requests, and reset it."""
        refused = self.refused
        self.refused = 0
        return refused

    def give_back(self, size: int) -> None:
        """Return the bytes of a request that has ended."""
        self.held -= size

    @contextmanager
    def holding(self, size: int) -> Iterator[None]:
        """Count a part of an answer while it waits for its caller.

        An answer that has begun is finished even above the maximum: its
        upstream has done the work.
        """
        self.hold(size)
        try:
            yield
        finally:
            self.hold(-size)
