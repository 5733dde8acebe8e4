"""Callers that send ahead and leave at any moment, in each way."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from tests.callers.leaving import WAYS, LeavingCaller
from tests.soak._callers import request_bytes
from tests.soak._promises import Sent, Witness
from tests.soak._slot_queue import SlotQueue
from tests.soak._stopping import set_timeouts
from tests.soak._world import SoakWorld

# Callers of each entry that leave.
CALLERS = 4
# Seconds until which a route lets a call last.
_TIMEOUT = 4.0
_LONG_SHARE = 0.5
_LONG_EXECUTION = (0.8, 2.4)
# Requests that are sent at once.
_ROWS = (1, 1, 2, 3, 9, 40)
_UNSAFE_SHARE = 0.15
# What lies behind them.
_BEHIND = (b'', b'', b'\r\n', b'GET /r/1 HT')
# Seconds after which they leave: some at once, the others at any moment.
_STAYS = ((0.0, 0.0), (0.0, 0.01), (0.0, 1.2), (0.0, 1.2))
# Seconds for which a half of a connection stays open.
_HALF_OPEN = 1.0


class LeavingWorld(SoakWorld):
    """A world of long calls whose upstreams notice who leaves them."""

    def slot_queue(self) -> SlotQueue:
        return SlotQueue(long_share=_LONG_SHARE, long_execution=_LONG_EXECUTION)

    def document(self, service: str) -> dict[str, Any]:
        document = super().document(service)
        set_timeouts(document, _TIMEOUT)
        return document

    async def open(self, services: str) -> None:
        await super().open(services)
        for upstream in self.upstreams:
            upstream.departures = self.witness.departures


@dataclass(slots=True)
class Leaver:
    """Sends rows of requests to one entry, and leaves each connection."""

    name: str
    """Prefix of its identifiers."""

    entry: str
    """Address of the entry."""

    witness: Witness
    """Is told of all it sends, and when it leaves."""

    rng: random.Random
    """Draws rows, times and ways."""

    clock: Callable[[], float]
    """Seconds."""

    async def run(self) -> None:
        """Send and leave until cancelled."""
        number = 0
        while True:
            number += 1
            with contextlib.suppress(OSError):
                await self._visit(number)
            await asyncio.sleep(self.rng.uniform(0.05, 0.2))

    async def _visit(self, number: int) -> None:
        host, _, port = self.entry.partition(':')
        caller = LeavingCaller(int(port), host)
        row = [
            self._draw(f'{number}-{place}') for place in range(self._count())
        ]
        text = b''.join(request_bytes(one) for one in row)
        with contextlib.closing(caller.sock):
            await caller.send(text + self.rng.choice(_BEHIND), 0.1)
            for one in row:
                self.witness.sent[one.trace] = one
            stay = self.rng.uniform(*self.rng.choice(_STAYS))
            if stay:
                await asyncio.sleep(stay)
            way = self.rng.choice(sorted(WAYS))
            now = self.clock()
            WAYS[way](caller)
            for one in row:
                self.witness.departures.left[one.trace] = now
            if caller.sock.fileno() != -1:
                await asyncio.sleep(_HALF_OPEN)

    def _count(self) -> int:
        return self.rng.choice(_ROWS)

    def _draw(self, number: str) -> Sent:
        unsafe = self.rng.random() < _UNSAFE_SHARE
        path = f'/{"w" if unsafe else "r"}/{self.rng.randrange(40)}'
        body = b'leaving' if unsafe else b''
        trace = f'{self.name}-{number}'
        return Sent(trace, path, body, unsafe, self.entry, self.clock())


def start_leavers(world: SoakWorld, seed: int) -> list[asyncio.Task[None]]:
    """Start some callers that leave for each entry."""
    leavers = [
        Leaver(
            f'leaving-{host}-{number}',
            world.front(host),
            world.witness,
            random.Random(f'leaving {seed} {host} {number}'),
            world.clock,
        )
        for host in world.hosts
        for number in range(CALLERS)
    ]
    return [asyncio.ensure_future(one.run()) for one in leavers]
