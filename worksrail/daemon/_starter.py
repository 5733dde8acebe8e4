"""Tells the program's starter when it may send signals.

The starter names a datagram socket in the environment, as systemd does for
units of ``Type=notify``, and gets ``READY=1`` there.
"""

import asyncio
import os
from collections.abc import Callable
from importlib import import_module
from typing import Final

from logbook import Logger

_LOG: Final = Logger('worksrail.daemon')
_SOCKET_NAME: Final = 'NOTIFY_SOCKET'
# Seconds after which a starter whose socket is full is told again.
_FULL_PAUSE: Final = 0.1


async def tell_ready() -> None:
    """Tell the starter, if it asked, that this process takes signals now.

    To be begun after the loop took the signals.  Callers are served meanwhile,
    and also if the starter cannot be reached.  Source: sd_notify(3).
    """
    address = os.environ.get(_SOCKET_NAME)
    if not address:
        return
    # Most starters do not ask; the library is not loaded for them.
    notifier = import_module('sd_notify').Notifier(addr=_as_bound(address))
    notifier.socket.setblocking(False)
    try:
        while not _is_told(notifier.ready):
            await asyncio.sleep(_FULL_PAUSE)
    except OSError as error:
        _LOG.warning('starter not told', extra={'problem': str(error)})
    finally:
        notifier.socket.close()


def _is_told(tell: Callable[[], None]) -> bool:
    """Whether it was told; false while its socket is full."""
    try:
        tell()
    except BlockingIOError:
        return False
    return True


def _as_bound(address: str) -> str:
    """Address as the kernel knows it: abstract ones begin with a zero byte."""
    return f'\0{address[1:]}' if address.startswith('@') else address
