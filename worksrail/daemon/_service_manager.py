"""Notifies the service manager that this process handles signals.

The service manager passes the address of a datagram socket in the environment,
as systemd does for units of ``Type=notify``, and receives ``READY=1`` there.
"""

import asyncio
import os
from collections.abc import Callable
from importlib import import_module
from typing import Final

from logbook import Logger

_LOG: Final = Logger('worksrail.daemon')
_SOCKET_VARIABLE: Final = 'NOTIFY_SOCKET'
# Seconds between attempts while the queue of the socket is full.
_RETRY_DELAY: Final = 0.1


async def notify_ready() -> None:
    """Notify the service manager, if there is one, that signals are handled.

    To be started after the loop installed its signal handlers.  Callers are
    served meanwhile, and also if the service manager cannot be reached.
    See sd_notify(3).
    """
    address = os.environ.get(_SOCKET_VARIABLE)
    if not address:
        return
    # Imported only when needed, which is rare.
    notifier = import_module('sd_notify').Notifier(
        addr=_kernel_address(address)
    )
    notifier.socket.setblocking(False)
    try:
        while not _try_send(notifier.ready):
            await asyncio.sleep(_RETRY_DELAY)
    except OSError as error:
        _LOG.warning(
            'service manager not notified', extra={'problem': str(error)}
        )
    finally:
        notifier.socket.close()


def _try_send(send: Callable[[], None]) -> bool:
    """Send a message; false if the queue of the socket is full."""
    try:
        send()
    except BlockingIOError:
        return False
    return True


def _kernel_address(address: str) -> str:
    """Return the socket address; abstract ones begin with a null byte."""
    return f'\0{address[1:]}' if address.startswith('@') else address
