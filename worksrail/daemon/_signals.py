"""Signals of a program that serves, over its whole life.

While its event loop runs, the loop takes them.  After that they are blocked:
they wait until the process is gone.
"""

import signal
from asyncio import AbstractEventLoop
from collections.abc import Callable
from typing import Final

_STOPPING: Final = (signal.SIGTERM, signal.SIGINT)
_TAKEN: Final = (*_STOPPING, signal.SIGHUP)


def take_signals(
    loop: AbstractEventLoop,
    stop: Callable[[], None],
    reload: Callable[[], None],
) -> None:
    """Let the loop take signals.

    One that a process does not take ends it, and cuts off what it serves.
    """
    for number in _STOPPING:
        loop.add_signal_handler(number, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)


def hold_last_signals() -> None:
    """Keep signals waiting until the process is gone.

    To be called while the loop still takes them, as its last work.  A loop that
    is closed gives signals their default action back, and a stop that was
    complete ended with -1, -2 or -15 instead of 0: each of eight times with a
    signal every 2 ms until the end.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, _TAKEN)
