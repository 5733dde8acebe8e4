"""Event loop of the daemons."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from worksrail.daemon import _clock


class ServingLoop(asyncio.SelectorEventLoop):
    """Event loop whose timers use the same clock as the core.

    The clock of asyncio's default loop does not advance while the machine is
    suspended, so deadlines and delays would end late by that time.
    """

    def __init__(self, clock: Callable[[], float] = _clock.monotonic) -> None:
        """Create a loop with a monotonic clock in seconds."""
        self.clock = clock
        super().__init__()

    def time(self) -> float:
        """Return seconds on the clock."""
        return self.clock()


def run_serving(work: Coroutine[Any, Any, None]) -> None:
    """Run a program's main coroutine on a :class:`ServingLoop`."""
    with asyncio.Runner(loop_factory=ServingLoop) as runner:
        runner.run(work)
