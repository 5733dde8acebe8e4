"""The account of stops, from what entries log."""

import json
from pathlib import Path
from typing import Any

import pytest

from tests.steering.world import World, of_type, route, upstream
from worksrail.cli.main import Worksrail
from worksrail.core.steering import RouteKind
from worksrail.core.steering.effects import Decision, DecisionKind
from worksrail.core.steering.events import (
    AttemptOutcome,
    CallerGone,
    StopRequested,
)

_ROUTES = (
    route('read', timeout=20, target_latency=5),
    route('write', timeout=20, kind=RouteKind.AT_MOST_ONCE),
)


def _shown(
    lines: list[dict[str, Any]],
    folder: Path,
    capsys: pytest.CaptureFixture[str],
) -> list[dict[str, Any]]:
    path = folder / 'all.log'
    path.write_text('\n'.join(map(json.dumps, lines)))
    Worksrail(json=True).stops(str(path))
    rows: list[dict[str, Any]] = json.loads(capsys.readouterr().out)
    return rows


def _line(instance: str, fields: dict[str, Any]) -> dict[str, Any]:
    at = '2026-01-01T00:00:09.000000'
    return {'time': at, 'instance': instance, 'message': 'stopped'} | fields


def _stop(world: World) -> dict[str, Any]:
    """Stop an entry with a request in each way of ending; return its line."""
    numbers = [world.ask('write', time_left=20) for _ in range(4)]
    world.run(StopRequested(world.now))
    world.end(numbers[0])
    world.end(numbers[1], AttemptOutcome.BROKE_BEFORE_ANSWER)
    world.run(CallerGone(world.now, numbers[2]))
    world.end(numbers[2])
    world.ask('nowhere')
    world.wait(6)
    (line,) = (
        one
        for one in of_type(world.effects, Decision)
        if one.kind is DecisionKind.STOPPED
    )
    return dict(line.inputs)


def test_every_request_of_a_stop_is_accounted_for(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    records = [upstream(name) for name in ('1', '2', '3')]
    fields = _stop(World(_ROUTES, records))
    rows = _shown(
        [_line('one', fields), _line('two', fields)], tmp_path, capsys
    )
    assert [row['entry'] for row in rows] == ['one', 'two', 'all']
    one = rows[0]
    begun = {name: one[name] for name in ('under_way', 'arrived')}
    assert begun == {'under_way': 4, 'arrived': 1}
    assert (one['answered'], one['refused']) == (2, 1)
    assert (one['failed'], one['at_exit']) == (2, 1)
    assert 'ENTRY_STOPPED:2' in rows[2]['reasons']
    assert [row['unaccounted'] for row in rows] == [0, 0, 0]
    assert rows[2]['answered'] == 4
    assert 'UPSTREAM_BROKE:2' in rows[2]['reasons']
