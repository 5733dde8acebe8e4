"""What entries hold, and whom they know, by the metrics that they export."""

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
_KNOWN = re.compile(r'^worksrail_entries (\S+)$', re.M)
# Seconds within which entries find each other: they read the store once a
# minute while they know any other.
_MAX_APART = 80.0
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


async def wait_one_fleet(world: SoakWorld) -> dict[str, str]:
    """Wait until all entries know all; return what those know that do not."""
    wanted = len(world.hosts) - 1
    apart = dict.fromkeys(_measured(world), 'no metrics')
    limit = world.clock() + _MAX_APART
    while apart and world.clock() < limit:
        for host in tuple(apart):
            known = _KNOWN.search(await _metrics_of(host))
            if known and float(known[1]) == wanted:
                apart.pop(host)
            elif known:
                apart[host] = f'knows {known[1]} of {wanted} others'
        await asyncio.sleep(0.2)
    return apart


async def _held_by(host: str) -> str:
    """Return the gauges that are not zero, as an entry exports them."""
    found = _HELD.findall(await _metrics_of(host))
    if not found:
        return 'no metrics'
    return ', '.join(f'{name} {count}' for name, count in found if float(count))


async def _metrics_of(host: str) -> str:
    text = b''
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(5):
            reader, writer = await asyncio.open_connection(host, _PORT)
            writer.write(_ASK)
            text = await reader.read(-1)
            writer.close()
    return text.decode()
