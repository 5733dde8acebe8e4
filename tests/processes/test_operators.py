"""What operators do to real processes, and what the store does to them."""

import signal
from pathlib import Path

import pytest

from tests.conftest import SMALL_BUNDLE
from worksrail.bench._calls import get, post, wait_until
from worksrail.bench._fleet import Fleet
from worksrail.core.results import ResultCode

pytestmark = pytest.mark.xdist_group('processes')


def _submitted(fleet: Fleet, weight: int, *, approve: bool = True) -> str:
    text = SMALL_BUNDLE.replace(
        'deadline: 3', f'deadline: 3\n    weight: {weight}'
    )
    file = fleet.plan.folder / f'{weight}.yaml'
    file.write_text(text)
    digest: str = fleet.cli('bundle', 'submit', str(file))['digest']
    if approve:
        fleet.cli('bundle', 'approve', digest, operator='luis')
    return digest


def _generation(fleet: Fleet) -> int:
    return int(fleet.cli('bundle', 'history')['history'][-1]['generation'])


def test_a_lost_answer_is_settled_by_the_operation_id(fleet: Fleet) -> None:
    digest = _submitted(fleet, 11)
    before = _generation(fleet)
    fleet.set_store(lose_answers=1)
    first = fleet.cli('bundle', 'roll', digest)
    again = fleet.cli(
        'bundle', 'roll', digest, f'--operation={first["operation"]}'
    )
    assert first['generation'] == again['generation'] == before + 1
    assert _generation(fleet) == before + 1


def test_two_operators_race_and_one_is_told_so(fleet: Fleet) -> None:
    digest = _submitted(fleet, 12)
    base = _generation(fleet)
    fleet.cli('bundle', 'roll', digest, f'--operation={base}-one')
    late = fleet.cli_process(
        'bundle', 'roll', digest, f'--operation={base}-two'
    )
    assert late.returncode == ResultCode.ROLL_CONFLICT.value.exit_code
    assert str(ResultCode.ROLL_CONFLICT.number) in late.stdout
    repeated = fleet.cli_process(
        'bundle', 'roll', digest, f'--operation={base}-two'
    )
    assert repeated.returncode == late.returncode


_REFUSALS = {
    'not approved': ResultCode.NOT_APPROVED,
    'approved by its submitter': ResultCode.SELF_APPROVAL,
    'never submitted': ResultCode.UNKNOWN_BUNDLE,
}


@pytest.mark.parametrize('case', _REFUSALS)
def test_refused_operations(fleet: Fleet, case: str) -> None:
    words = {
        'not approved': lambda: ('roll', _submitted(fleet, 13, approve=False)),
        'approved by its submitter': lambda: (
            'approve',
            _submitted(fleet, 14, approve=False),
        ),
        'never submitted': lambda: ('approve', 'f' * 64),
    }
    finished = fleet.cli_process('bundle', *words[case]())
    code = _REFUSALS[case]
    assert finished.returncode == code.value.exit_code
    assert str(code.number) in finished.stdout


def test_a_large_bundle_is_refused(fleet: Fleet, tmp_path: Path) -> None:
    file = tmp_path / 'large.yaml'
    file.write_text(SMALL_BUNDLE + '# ' + 'x' * 2_000_000)
    finished = fleet.cli_process('bundle', 'submit', str(file))
    assert str(ResultCode.BUNDLE_TOO_LARGE.number) in finished.stdout


def test_calls_without_a_token_are_refused(fleet: Fleet) -> None:
    with pytest.raises(Exception, match='401'):
        get(f'http://{fleet.plan.entries[0].operator}/v1/status', 'wrong')


def test_a_drain_empties_an_upstream(fleet: Fleet) -> None:
    told = fleet.cli('drain', 'upstream/orders-1', '--dry-run', '--force=True')
    assert told['figures'][0]['slots_after'] == 4
    fleet.cli('drain', 'upstream/orders-1', '--force=True')
    wait_until(lambda: _drained(fleet))
    fleet.cli('undrain', 'upstream/orders-1')
    wait_until(lambda: not _drained(fleet))


def _drained(fleet: Fleet) -> bool:
    told = fleet.cli('explain', '127.0.0.1', 'orders')
    reasons = {one['name']: one['reason'] for one in told['upstreams']}
    return reasons['orders-1'] == 'drained'


def test_a_corrupt_head_changes_nothing(fleet: Fleet) -> None:
    entry = fleet.plan.entries[0]
    before = fleet.status(entry)['instances'][0]['generation']
    store = f'http://{fleet.plan.store}'
    head = get(f'{store}/objects/head')
    post(f'{store}/admin/objects?key=head', {'not': 'ours'})
    finished = fleet.cli_process('bundle', 'history')
    post(f'{store}/admin/objects?key=head', head)
    assert str(ResultCode.CORRUPT_OBJECT.number) in finished.stdout
    assert fleet.status(entry)['instances'][0]['generation'] == before


def test_the_store_is_down(fleet: Fleet) -> None:
    fleet.set_store(down=True)
    try:
        told = fleet.cli('explain', '127.0.0.1', 'orders')
        finished = fleet.cli_process('bundle', 'history')
    finally:
        fleet.set_store(down=False)
    assert told['look_up']['entries']
    assert str(ResultCode.STORE_UNAVAILABLE.number) in finished.stdout


def test_events_are_found_by_trace(fleet: Fleet) -> None:
    finished = fleet.cli_process('timeline', '--kind=generation-applied')
    assert 'generation-applied' in finished.stdout


def test_a_paused_process_rejoins_as_another_incarnation(
    fleet: Fleet,
) -> None:
    entry = fleet.plan.entries[1]
    before = fleet.status(entry)['instances'][0]['who']
    watcher = fleet.plan.entries[0]
    fleet.signal(entry.name, signal.SIGSTOP)
    wait_until(lambda: _seen(fleet, watcher.name, entry.name) == 'dead')
    fleet.signal(entry.name, signal.SIGCONT)
    wait_until(lambda: fleet.status(entry)['instances'][0]['who'] != before)
    wait_until(lambda: _seen(fleet, watcher.name, entry.name) == 'live')


def _seen(fleet: Fleet, watcher: str, name: str) -> str:
    entry = next(one for one in fleet.plan.entries if one.name == watcher)
    states = {
        one['name']: one['seen_as'] for one in fleet.status(entry)['instances']
    }
    return str(states.get(name, ''))


def test_a_stopped_process_exits_cleanly_and_is_replaced(
    fleet: Fleet,
) -> None:
    entry = fleet.plan.entries[1]
    fleet.signal(entry.name, signal.SIGTERM)
    assert fleet.wait_ended(entry.name) == 0
    fleet.start_entry(entry)
    wait_until(lambda: bool(fleet.status(entry)))
    fleet.wait_seats()
