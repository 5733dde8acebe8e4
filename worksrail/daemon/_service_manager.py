"""Notifies the service manager that this process takes signals.

The service manager names a datagram socket in the environment, as systemd does
for units of ``Type=notify``, and gets ``READY=1`` there.
"""

import asyncio
import os
from collections.abc import Callable
from importlib import import_module
from typing import Final

from logbook import Logger

_LOG: Final = Logger('worksrail.daemon')
_SOCKET_NAME: Final = 'NOTIFY_SOCKET'
# Seconds between two attempts while the queue of the socket is full.
_RETRY_PAUSE: Final = 0.1


async def notify_ready() -> None:
    """Notify the service manager, if it asked, that signals are taken now.

    To be started after the loop took the signals.  Callers are served
    meanwhile, and also if the service manager cannot be reached.
    Source: sd_notify(3).
    """
    address = os.environ.get(_SOCKET_NAME)
    if not address:
        return
    # Loaded only where it is used, which is rare.
    notifier = import_module('sd_notify').Notifier(addr=_as_bound(address))
    notifier.socket.setblocking(False)
    try:
        while not _is_sent(notifier.ready):
            await asyncio.sleep(_RETRY_PAUSE)
    except OSError as error:
        _LOG.warning(
            'service manager not notified', extra={'problem': str(error)}
        )
    finally:
        notifier.socket.close()


def _is_sent(send: Callable[[], None]) -> bool:
    """Whether a message was sent; false while the socket's queue is full."""
    try:
        send()
    except BlockingIOError:
        return False
    return True


def _as_bound(address: str) -> str:
    """Address as the kernel knows it: abstract ones begin with a zero byte."""
    return f'\0{address[1:]}' if address.startswith('@') else address
