"""An event loop whose clock runs ahead to the next timer instead of waiting."""

import asyncio
import selectors
from collections.abc import Awaitable, Coroutine
from typing import Any, TypeVar

_Found = TypeVar('_Found')
_Failure = TypeVar('_Failure')


class _Skipping(selectors.SelectSelector):
    """Lets time pass at once where a selector would wait for it."""

    def __init__(self) -> None:
        """Begin at zero."""
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Nothing is read from sockets; only timers make progress."""
        if timeout is None:
            raise RuntimeError('nothing will ever happen')
        self.now += max(0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order; a minute of sleeps takes milliseconds."""

    def __init__(self) -> None:
        """Begin at zero."""
        self.skipping = _Skipping()
        super().__init__(self.skipping)

    def time(self) -> float:
        """Virtual seconds since the loop began."""
        return self.skipping.now


def run_virtually(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end on a virtual clock."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)


async def at_most(
    seconds: float, work: Awaitable[_Found], failure: _Failure
) -> _Found | _Failure:
    """What some work gives, or a sentinel once it has taken too long."""
    try:
        async with asyncio.timeout(seconds):
            return await work
    except TimeoutError:
        return failure
