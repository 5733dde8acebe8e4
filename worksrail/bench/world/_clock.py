"""A virtual clock: what is due next, in an order that always repeats."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

Action = Callable[[], None]

# Wall-clock time, in seconds, at which the virtual clock stands at zero.
WALL: Final = 1_000_000.0


@dataclass(slots=True)
class VirtualClock:
    """Runs actions at virtual times.

    >>> clock = VirtualClock()
    >>> clock.at(2, lambda: None); clock.run_until(3); clock.now
    3
    """

    now: float = 0
    """Virtual time in seconds."""

    queue: list[tuple[float, int, Action]] = field(default_factory=list)
    """Actions to come."""

    order: 'itertools.count[int]' = field(default_factory=itertools.count)
    """Order among actions of one time."""

    def at(self, time: float, action: Action) -> None:
        """Run an action at a time."""
        entry = (max(time, self.now), next(self.order), action)
        heapq.heappush(self.queue, entry)

    def after(self, delay: float, action: Action) -> None:
        """Run an action after a delay."""
        self.at(self.now + delay, action)

    def run_until(self, end: float) -> None:
        """Run all actions up to a time."""
        while self.queue and self.queue[0][0] <= end:
            time, _, action = heapq.heappop(self.queue)
            self.now = time
            action()
        self.now = end
