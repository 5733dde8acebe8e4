"""Entries as processes that lose their links to upstreams."""

import asyncio
from pathlib import Path

import pytest

from tests.soak._cuts import CutShare
from tests.soak._proxy import Link
from tests.soak._repeats import Budget
from tests.soak._soak import start_callers, wait_served
from tests.soak._world import SoakWorld

# Share of the others' success that entries without links have.
_AIM = 0.95
_CUT_S = 8.0
_SERVICES = 'aaaabbbbccc'


async def _play(folder: Path, link: Link, cut: int) -> list[CutShare]:
    world = SoakWorld(folder, 3, 1, Budget())
    callers: list[asyncio.Task[None]] = []
    try:
        await world.open(_SERVICES)
        await wait_served(world)
        callers = start_callers(world)
        await asyncio.sleep(2)
        hosts = world.hosts[:cut]
        for host in hosts:
            world.cut(host, link)
        await asyncio.sleep(_CUT_S)
        for host in hosts:
            world.mend(host)
        await asyncio.sleep(1)
        assert not world.witness.violations()
        return world.witness.cut_shares()
    finally:
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await world.close()


@pytest.mark.parametrize(
    ('link', 'cut'),
    [
        (Link.SILENT, 1),
        (Link.SILENT, 2),
        (Link.RESET, 1),
        (Link.REFUSE_NEW, 1),
        (Link.ONE_WAY, 1),
    ],
    ids=lambda parameter: getattr(parameter, 'name', str(parameter)),
)
def test_callers_of_a_process_without_links_to_upstreams_are_served(
    link: Link,
    cut: int,
    tmp_path: Path,
) -> None:
    shares = asyncio.run(_play(tmp_path, link, cut))
    for one in shares:
        print(one)
        served, sent = one.there
        others_served, others_sent = one.elsewhere
        assert sent and others_sent
        assert served / sent >= _AIM * others_served / others_sent
