"""Signals of a program that serves."""

import signal
from asyncio import AbstractEventLoop
from collections.abc import Callable
from typing import Final

_STOPPING: Final = (signal.SIGTERM, signal.SIGINT)


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
