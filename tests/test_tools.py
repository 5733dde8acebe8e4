"""The command-line reader of logs, and the list of tests that may fail."""

import json
from pathlib import Path

import pytest

from tests.conftest import known_red
from worksrail.cli.main import Worksrail

_LINES = [
    {'at': '2', 'instance': 'one', 'message': 'request-failed', 'request': 'a'},
    {'at': '1', 'instance': 'one', 'message': 'request-sent', 'request': 'a'},
    {'at': '1', 'instance': 'two', 'message': 'request-sent', 'request': 'b'},
    {'at': '3', 'instance': 'two', 'message': 'upstream-gone', 'subject': 'i'},
]


@pytest.mark.parametrize(
    ('wanted', 'events'),
    [
        ({'request': 'a'}, ['request-sent', 'request-failed']),
        ({'subject': 'i'}, ['upstream-gone']),
        ({'request': 'nobody'}, []),
    ],
)
def test_lines_of_a_request_in_order(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    wanted: dict[str, str],
    events: list[str],
) -> None:
    path = tmp_path / 'one.log'
    text = '\n'.join(f'1.5 one {json.dumps(line)}' for line in _LINES)
    path.write_text(f'{text}\nno json\n{{cut short')
    Worksrail(json=True).logs(str(path), **wanted)
    shown = json.loads(capsys.readouterr().out)
    assert [line['message'] for line in shown] == events


def test_missing_file_is_told(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        Worksrail().logs('/nowhere/at-all.log')
    assert ended.value.code == 2
    assert '5012' in capsys.readouterr().err


def test_list_of_known_failures() -> None:
    text = 'tests/a.py::test_b, lost when late, issue 7\n\n'
    assert known_red(text) == {'tests/a.py::test_b': 'lost when late, issue 7'}
