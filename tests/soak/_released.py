"""What entries still hold once nobody asks them any more."""

import asyncio
import contextlib
import re

from tests.soak._owners import owner_of
from tests.soak._world import SoakWorld

_PORT = 9464
_ASK = b'GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
# Gauges of what is held for requests.
_HELD = re.compile(
    r'^(worksrail_(?:in_flight|open_requests|held_bytes)\S*) (\S+)$', re.M
)
# Seconds after which what is held counts as held for good.
_PATIENCE = 20.0


async def wait_released(world: SoakWorld) -> dict[str, str]:
    """Wait until no entry holds anything; return what some hold at last.

    An entry that could not open its port for metrics, as that of another soak
    has it, is left out.
    """
    held = dict.fromkeys(_measured(world), 'no metrics')
    limit = world.clock() + _PATIENCE
    while held and world.clock() < limit:
        for host in tuple(held):
            held[host] = await _held_by(host)
            if not held[host]:
                held.pop(host)
        await asyncio.sleep(0.2)
    return held


def _measured(world: SoakWorld) -> list[str]:
    return [
        host
        for host, process in world.processes.items()
        if owner_of(_PORT, [process.pid])
    ]


async def _held_by(host: str) -> str:
    """Return the gauges that are not zero, as an entry exports them."""
    text = b''
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(5):
            reader, writer = await asyncio.open_connection(host, _PORT)
            writer.write(_ASK)
            text = await reader.read(-1)
            writer.close()
    found = _HELD.findall(text.decode())
    if not found:
        return 'no metrics'
    return ', '.join(f'{name} {count}' for name, count in found if float(count))
