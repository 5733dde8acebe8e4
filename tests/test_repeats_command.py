"""The sums of retries over all entries, from their log lines."""

import json
from pathlib import Path
from typing import Any

import pytest

from tests.steering.world import World, route, upstream
from worksrail.cli.main import Worksrail
from worksrail.core.steering.effects import Decision
from worksrail.core.steering.events import AttemptOutcome
from worksrail.daemon.steered._service_sends import ServiceSends

_BOUNDS = {'ratio': 0.2, 'window': 10.0, 'extra': 2.0}


def _line(second: int, entry: str, service: str = 'a', **counts: int) -> str:
    at = f'2026-01-01T00:{second // 60:02}:{second % 60:02}.9+00:00'
    known = {'time': at, 'instance': entry, 'message': 'service-sends'}
    return json.dumps(known | _BOUNDS | {'service': service} | counts)


def _shown(
    lines: list[str], folder: Path, capsys: pytest.CaptureFixture[str]
) -> list[dict[str, Any]]:
    path = folder / 'all.log'
    path.write_text('\n'.join(lines))
    Worksrail(json=True).repeats(str(path))
    rows: list[dict[str, Any]] = json.loads(capsys.readouterr().out)
    return rows


# Lines as second, entry, requests and retries; begin, retries and allowed of
# the fullest window.
@pytest.mark.parametrize(
    ('lines', 'begin', 'repeats', 'allowed'),
    [
        pytest.param([(0, 'x', 50, 6)], 0, 6, 12, id='one'),
        pytest.param(
            [(0, 'x', 50, 6), (3, 'y', 50, 9)], 0, 15, 22, id='all-entries'
        ),
        pytest.param(
            [(0, 'x', 50, 0), (11, 'x', 5, 6)], 11, 6, 3, id='too-early'
        ),
        pytest.param(
            [(0, 'x', 90, 0), (9, 'y', 5, 6)], 9, 6, 20, id='window-before'
        ),
        pytest.param(
            [(0, 'x', 50, 6), (10, 'x', 10, 9)], 10, 9, 12, id='two-windows'
        ),
    ],
)
def test_fullest_window_of_all_entries_is_first(
    lines: list[tuple[int, str, int, int]],
    begin: int,
    repeats: int,
    allowed: float,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    texts = [
        _line(second, entry, requests=requests, repeats=sent)
        for second, entry, requests, sent in lines
    ]
    first = _shown(texts, tmp_path, capsys)[0]
    assert (first['from s'], first['repeats']) == (begin, repeats)
    assert first['allowed'] == pytest.approx(allowed)
    assert first['share'] == pytest.approx(repeats / allowed, abs=0.001)


def test_services_are_counted_apart_and_their_largest_senders_named(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    lines = [
        _line(second, f'e{number}', repeats=number, paid=1)
        for number in range(1, 6)
        for second in (0, 1)
    ]
    lines.append(_line(0, 'e1', service='b', repeats=3, denied=4))
    lines.append('{"message": "other", "service": "a", "repeats": 7}')
    rows = _shown(lines, tmp_path, capsys)
    assert [(row['service'], row['repeats']) for row in rows] == [
        ('a', 30),
        ('b', 3),
    ]
    assert rows[0]['paid'] == 10
    assert rows[1]['denied'] == 4
    assert rows[0]['most repeats'] == 'e5 10, e4 8, e3 6'


def _counts(sends: ServiceSends, world: World) -> list[tuple[float | str, ...]]:
    names = ('requests', 'first_sends', 'repeats', 'paid', 'denied')
    return [
        tuple(fields[name] for name in names)
        for fields in sends.take(world.state, world.now)
    ]


def test_each_send_is_in_one_line() -> None:
    world = World(
        (route('read', max_attempts=9),), [upstream('1'), upstream('2')]
    )
    sends = ServiceSends()
    number = world.ask()
    world.end(number, AttemptOutcome.NOT_EXECUTED)
    for effect in world.effects:
        if isinstance(effect, Decision):
            sends.count(effect)
    assert _counts(sends, world) == [(1, 1, 1, 1, 0)]
    assert not _counts(sends, world)
