"""Entries as processes whose upstreams say that they leave or back off."""

import asyncio
from pathlib import Path

import pytest

from tests.soak._repeats import Budget
from tests.soak._soak import start_callers, wait_served
from tests.soak._upstreams import Upstream
from tests.soak._world import SoakWorld

_SERVICES = 'aabb'
_STATING_S = 7.0
_BACKOFF_S = 3


async def _play(
    folder: Path, services: str, count: int, *, leaving: bool
) -> SoakWorld:
    """Let some upstreams state something for a while; nothing is cut."""
    world = SoakWorld(folder, 3, 1, Budget())
    callers: list[asyncio.Task[None]] = []
    try:
        await world.open(_SERVICES)
        await wait_served(world)
        callers = start_callers(world)
        await asyncio.sleep(1)
        chosen = [one for one in world.upstreams if one.service in services]
        for one in chosen[:count]:
            _begin(one, leaving=leaving)
        await asyncio.sleep(_STATING_S)
        for one in chosen:
            one.backoff = 0
        await asyncio.sleep(0.5)
        return world
    finally:
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await world.close()


def _begin(upstream: Upstream, *, leaving: bool) -> None:
    upstream.leaving = leaving
    upstream.backoff = 0 if leaving else _BACKOFF_S


# Services whose upstreams state it, and how many of them.
_CHOSEN = (
    pytest.param('ab', 1, id='one'),
    pytest.param('a', 2, id='service'),
    pytest.param('ab', 4, id='all'),
)


@pytest.mark.parametrize(('services', 'count'), _CHOSEN)
def test_process_leaves_upstreams_alone_that_say_they_leave(
    services: str, count: int, tmp_path: Path
) -> None:
    world = asyncio.run(_play(tmp_path, services, count, leaving=True))
    assert world.witness.stated
    assert not world.witness.violations()


@pytest.mark.parametrize(('services', 'count'), _CHOSEN)
def test_process_keeps_the_backoffs_that_upstreams_ask_for(
    services: str, count: int, tmp_path: Path
) -> None:
    world = asyncio.run(_play(tmp_path, services, count, leaving=False))
    assert world.witness.stated
    assert not world.witness.violations()
