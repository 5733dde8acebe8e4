"""Lets upstreams say in their answers that they leave or want no requests."""

import asyncio
import random

from tests.soak._upstreams import Upstream
from tests.soak._world import SoakWorld

# Seconds between two statements, and for which an upstream makes one.
_PAUSE = (0.3, 2.5)
_LEAVES_FOR = (3.0, 8.0)
_REJECTS_FOR = (0.5, 6.0)
# Seconds that rejecting upstreams ask for.
_BACKOFFS = (0.2, 1, 3, 5)


async def state_availability(world: SoakWorld, seed: int) -> None:
    """Let one upstream after another, or all of a service, state something.

    The store is not told; an upstream that has left is replaced.
    """
    rng = random.Random(f'statements of {seed}')
    async with asyncio.TaskGroup() as statements:
        while True:
            await asyncio.sleep(rng.uniform(*_PAUSE))
            chosen = rng.choice(world.upstreams)
            together = [chosen]
            if rng.random() < 0.4:
                together = [
                    one
                    for one in world.upstreams
                    if one.service == chosen.service
                ]
            leaves = rng.random() < 0.5
            backoff = rng.choice(_BACKOFFS)
            lasts = rng.uniform(*(_LEAVES_FOR if leaves else _REJECTS_FOR))
            for one in together:
                if one.leaving or one.backoff:
                    continue
                if leaves:
                    statements.create_task(_leave(world, one, lasts))
                else:
                    statements.create_task(_reject(one, backoff, lasts))


async def _leave(world: SoakWorld, upstream: Upstream, lasts: float) -> None:
    upstream.leaving = True
    await asyncio.sleep(lasts)
    number = world.upstreams.index(upstream)
    world.unlist_upstream(number)
    world.rename_upstream(number)
    upstream.leaving = False
    world.list_upstream(number, 'ready')


async def _reject(upstream: Upstream, backoff: float, lasts: float) -> None:
    upstream.backoff = backoff
    await asyncio.sleep(lasts)
    upstream.backoff = 0


def end_statements(world: SoakWorld) -> None:
    """Let all upstreams serve again."""
    for number, upstream in enumerate(world.upstreams):
        upstream.backoff = 0
        if upstream.leaving:
            world.unlist_upstream(number)
            world.rename_upstream(number)
            upstream.leaving = False
            world.list_upstream(number, 'ready')
