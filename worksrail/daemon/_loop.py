"""The event loop of programs that serve."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from worksrail.daemon import _clock


class ServingLoop(asyncio.SelectorEventLoop):
    """Runs timers by the clock of the decisions.

    The usual loop's clock stands still while the machine is suspended, so that
    each deadline and pause would end late by that time.
    """

    def __init__(self, clock: Callable[[], float] = _clock.monotonic) -> None:
        """Take a clock in seconds that never goes back."""
        self.clock = clock
        super().__init__()

    def time(self) -> float:
        """Seconds on the clock."""
        return self.clock()


def run_serving(work: Coroutine[Any, Any, None]) -> None:
    """Run a program's main coroutine to its end."""
    with asyncio.Runner(loop_factory=ServingLoop) as runner:
        runner.run(work)
