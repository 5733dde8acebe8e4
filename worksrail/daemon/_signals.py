"""Signals of a program that serves, over its whole life.

What a process does not take ends it, and cuts off what it serves.  While its
event loop runs, the loop takes them.  Before that, and after it, they are
blocked: they wait until the loop takes them, or until the process is gone.

This module is the first one that a program loads, so it loads little itself.
"""

import signal
from collections.abc import Callable
from importlib import import_module
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop

_STOPPING: Final = (signal.SIGTERM, signal.SIGINT)
_TAKEN: Final = (*_STOPPING, signal.SIGHUP)
# An interrupt from a terminal may end a program that does not serve yet.
_WAITING: Final = (signal.SIGTERM, signal.SIGHUP)


def hold_first_signals() -> None:
    """Keep signals waiting until the loop takes them.

    To be called before anything else is loaded, which takes 0.2 s and more.  A
    SIGHUP in that time ended the process, and so did a SIGTERM, with -15
    instead of 0.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, _WAITING)


def keep_signals_from_threads(loop: 'AbstractEventLoop') -> None:
    """Let only the main thread get signals; to be called before any other runs.

    A thread of the loop's pool ends a little after it was joined, when signals
    have their default action back already: with a SIGINT every 2 ms, beside
    other load, 5 of some 190 stops ended with -2, and none of 270 this way.
    """
    # Not loaded with this module, which has to be quick.
    pools = import_module('concurrent.futures')
    pool = pools.ThreadPoolExecutor(initializer=hold_last_signals)
    loop.set_default_executor(pool)


def take_signals(
    loop: 'AbstractEventLoop',
    stop: Callable[[], None],
    reload: Callable[[], None],
) -> None:
    """Let the loop take signals, also those that wait already."""
    for number in _STOPPING:
        loop.add_signal_handler(number, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, _TAKEN)


def hold_last_signals() -> None:
    """Keep signals waiting until the process is gone.

    To be called while the loop still takes them, as its last work.  A loop that
    is closed gives signals their default action back, and a stop that was
    complete ended with -1, -2 or -15 instead of 0: each of eight times with a
    signal every 2 ms until the end.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, _TAKEN)
