"""The soak's checker notices planted faults; its proxy does as it is told.

Seeds are played in ``tests/processes``, where processes run alone.
"""

import asyncio
from dataclasses import replace
from math import inf
from pathlib import Path
from typing import Any

import pytest

from tests.soak._breaking import handler_errors
from tests.soak._cuts import Cut, CutShare
from tests.soak._departures import Run
from tests.soak._faults import Fault, cuts_of, steps_of, stops_of
from tests.soak._promises import (
    Arrival,
    Crash,
    Ended,
    Executed,
    Limited,
    Promise,
    Sent,
    Witness,
    answer_of,
)
from tests.soak._proxy import Link, Proxy
from tests.soak._repeats import Budget
from tests.soak._soak import _PLAYERS
from tests.soak._statements import Met, Stated
from tests.soak._stops import Stop, Work
from tests.soak._world import free_ports

_WRITE = Sent('t', '/w/1', b'x', True, 'one', 10.0)
_READ = Sent('t', '/r/1', b'', False, 'one', 10.0)
_RIGHT = answer_of('t', '/w/1', b'x')
_RAN = Executed('t', '/w/1', b'x', 'a')
_SERVICES = {'w': frozenset('ac'), 'r': frozenset('ab')}


def _broken(
    sent: Sent,
    executions: list[Executed],
    status: int = 200,
    body: bytes = _RIGHT,
    faults: tuple[float, ...] = (),
) -> set[Promise]:
    witness = Witness(_SERVICES)
    witness.sent[sent.trace] = sent
    witness.faults.extend(faults)
    for one in executions:
        witness.executed[one.trace].append(one)
    witness.ended[sent.trace] = Ended(sent.trace, status, body, 11.0)
    return {violation.promise for violation in witness.violations()}


@pytest.mark.parametrize(
    ('sent', 'executions', 'end', 'promise'),
    [
        (_WRITE, [_RAN, _RAN], {}, Promise.AT_MOST_ONCE),
        (_WRITE, [_RAN], {'status': 503}, Promise.TRUE_REFUSAL),
        (_WRITE, [_RAN], {'status': 429}, Promise.TRUE_REFUSAL),
        (_WRITE, [_RAN], {'body': _RIGHT[:-1]}, Promise.OWN_ANSWER),
        (_WRITE, [_RAN], {'body': b''}, Promise.OWN_ANSWER),
        (
            _WRITE,
            [Executed('other', '/w/1', b'x', 'a')],
            {},
            Promise.UNCHANGED,
        ),
        (_WRITE, [Executed('t', '/w/1', b'y', 'a')], {}, Promise.UNCHANGED),
        (_WRITE, [Executed('t', '/w/2', b'x', 'a')], {}, Promise.UNCHANGED),
        (_WRITE, [Executed('t', '/w/1', b'x', 'b')], {}, Promise.ROUTED),
        (_WRITE, [_RAN], {'status': 0}, Promise.PLANNED_STOP),
        (
            _WRITE,
            [_RAN],
            {'status': 0, 'faults': (5.9,)},
            Promise.PLANNED_STOP,
        ),
    ],
)
def test_planted_fault_is_noticed(
    sent: Sent,
    executions: list[Executed],
    end: dict[str, object],
    promise: Promise,
) -> None:
    assert _broken(sent, executions, **end) == {promise}  # type: ignore


@pytest.mark.parametrize(
    ('sent', 'executions', 'end'),
    [
        (_WRITE, [_RAN], {}),
        (_WRITE, [], {'status': 503}),
        (_WRITE, [_RAN], {'status': 502}),
        (_WRITE, [_RAN], {'status': 0, 'faults': (6.1,)}),
        (_WRITE, [], {'status': 0}),
        (
            _READ,
            [Executed('t', '/r/1', b'', 'a'), Executed('t', '/r/1', b'', 'b')],
            {'status': 503},
        ),
    ],
)
def test_what_is_allowed_breaks_nothing(
    sent: Sent, executions: list[Executed], end: dict[str, object]
) -> None:
    assert not _broken(sent, executions, **end)  # type: ignore


def test_entry_that_does_not_serve_again_is_noticed() -> None:
    witness = Witness(_SERVICES, silent={'one'})
    (violation,) = witness.violations()
    assert violation.promise is Promise.RECOVERY


def test_entry_that_stays_alone_is_noticed() -> None:
    witness = Witness(_SERVICES, apart={'one': 'knows 0 of 2 others'})
    (violation,) = witness.violations()
    assert violation.promise is Promise.ONE_FLEET


def test_unexpected_error_of_a_handler_is_noticed(tmp_path: Path) -> None:
    line = '{"message":"handler-failed","error":"OverflowError"}'
    (tmp_path / 'one.log').write_text(f'{{}}\n{line}\n{line}\n')
    (tmp_path / 'two.log').write_text('{"message":"started"}\n')
    errors = handler_errors(tmp_path)
    assert errors == {'one': line}
    (violation,) = Witness(_SERVICES, errors=errors).violations()
    assert violation.promise is Promise.HANDLED


def test_entry_that_ends_by_itself_is_noticed() -> None:
    witness = Witness(_SERVICES, ends=[('one', -1)])
    (violation,) = witness.violations()
    assert violation.promise is Promise.STAYS_UP


# Seconds at which upstreams crash, when the entry was started, and
# whether that is too often.
@pytest.mark.parametrize(
    ('late', 'started', 'broken'),
    [
        ([20, 21, 22, 23], 0, True),
        ([20, 21, 22], 0, False),
        ([13, 13.5, 13.9, 14], 0, False),
        ([20, 21, 22, 23], 19.5, False),
    ],
)
def test_request_that_goes_on_to_crash_upstreams_is_noticed(
    late: list[float],
    started: float,
    *,
    broken: bool,
) -> None:
    witness = Witness(
        _SERVICES, sent={'t': _READ}, disturbed={'one': [started]}
    )
    witness.crashes = [Crash('t', at) for at in (10, 10.1, 10.2, *late)]
    found = {one.promise for one in witness.violations()}
    assert found == ({Promise.FEW_CRASHES} if broken else set())


# Requests a second that reach an upstream with a limit of 2, when their entry was
# started, and whether that is too many.
@pytest.mark.parametrize(
    ('rate', 'started', 'broken'),
    [(5, 0, True), (4, 0, False), (5, 15, False)],
)
def test_upstream_that_gets_more_than_it_named_is_noticed(
    rate: float,
    started: float,
    *,
    broken: bool,
) -> None:
    witness = Witness(
        _SERVICES,
        disturbed={'one': [started]},
    )
    witness.limited = [Limited('u', 2, 10, 22)]
    for number in range(int(rate * 12)):
        trace = f't-{number}'
        witness.sent[trace] = replace(_READ, trace=trace, entry='one:80')
        at = 10 + number / rate
        witness.arrivals.append(Arrival('u', trace, at, 'a'))
    found = {one.promise for one in witness.violations()}
    assert found == ({Promise.NAMED_LIMIT} if broken else set())


_BUDGET = Budget(ratio=0.2, window=10, extra=2)


# Seconds at which callers send ten requests, those at which some of the first
# ten arrive once more, and whether these are too many.
@pytest.mark.parametrize(
    ('requests', 'repeats', 'broken'),
    [
        ([20], [20] * 4, False),
        ([20], [20] * 5, True),
        # Windows slide, and what is further apart than one is apart.
        ([20], [20, 22, 25, 28, 29.9], True),
        ([20], [20, 22, 25, 28, 30.1], False),
        # The requests of the window before are enough, of an older one not.
        ([21, 21.5, 22], [30.5] * 8, False),
        ([21, 21.5, 22], [30.5] * 9, True),
        ([20, 21, 22], [43] * 3, True),
        # So are those of the one half before.
        ([27, 32], [30] + [32] * 5, False),
        ([27, 32], [30] + [32] * 6, True),
        # Each part of a load that moves has its share of the window before.
        ([10, 15, 24], [19] * 4 + [28] * 4, True),
    ],
)
def test_too_many_repeats_in_a_window_are_noticed(
    requests: list[float],
    repeats: list[float],
    *,
    broken: bool,
) -> None:
    witness = _with_repeats(requests, repeats)
    found = {one.promise for one in witness.violations()}
    assert found == ({Promise.FEW_REPEATS} if broken else set())


def _with_repeats(requests: list[float], repeats: list[float]) -> Witness:
    witness = Witness(_SERVICES, _BUDGET)
    for at in requests:
        for number in range(10):
            trace = f't-{at}-{number}'
            witness.sent[trace] = replace(_READ, trace=trace, at=at)
            witness.arrivals.append(Arrival('u', trace, at, 'a'))
    first = f't-{requests[0]}'
    for number, at in enumerate(repeats):
        trace = f'{first}-{number}'
        witness.arrivals.append(Arrival('v', trace, at, 'a'))
    return witness


def test_repeats_are_counted_by_service_and_over_all_entries() -> None:
    witness = _with_repeats([20], [20] * 3)
    # Two requests reach an upstream of another service, too.
    for number, at in enumerate((21, 21.5)):
        trace = f't-20-{number}'
        witness.misdirected.append(Arrival('x', trace, at, 'c'))
    witness.sent['o'] = replace(_READ, trace='o', entry='two', at=20)
    witness.arrivals += [Arrival('z', 'o', at, 'b') for at in (20, 21, 22, 23)]
    found = {one.about: one.details for one in witness.violations()}
    assert found == {
        'a': '5 repeats for 10 requests from 20.00 on, 4.0 allowed',
        'b': '3 repeats for 1 requests from 21.00 on, 2.2 allowed',
    }


def test_requests_that_reach_nobody_count_too() -> None:
    witness = _with_repeats([20], [20] * 5)
    for number in range(5):
        trace = f'lost-{number}'
        witness.sent[trace] = replace(_READ, trace=trace, at=20)
    assert not witness.violations()


def test_stop_that_ends_badly_is_noticed() -> None:
    witness = Witness(_SERVICES, exits=[('one', -1), ('two', 0)])
    (violation,) = witness.violations()
    assert violation.promise is Promise.CLEAN_EXIT
    assert violation.about == 'one'


# An entry with a grace period of 6 s is asked to stop at 20 and is gone at 25.7;
# it takes requests until 22.88, and what ends by 25 must reach its caller.
_STOP = Stop('one', 20, 25.7, 6)


def _stopped(
    end: Ended | None, *works: Work, sent_at: float = 19, time_left: float = 9
) -> Witness:
    witness = Witness(_SERVICES)
    witness.sent['t'] = replace(
        _READ, entry='one:80', at=sent_at, time_left=time_left
    )
    if end:
        witness.ended['t'] = end
    witness.stops.stops.append(_STOP)
    witness.stops.works.extend(works)
    return witness


def _end(status: int, at: float, result: int = 0) -> Ended:
    return Ended('t', status, answer_of('t', '/r/1', b''), at, 0, result)


def _work(end: float, begin: float = 19, *, whole: bool = True) -> Work:
    return Work('t', 'one', begin, end, whole)


@pytest.mark.parametrize(
    ('end', 'works', 'options'),
    [
        # Given up while the upstream was at work, and answered at once.
        (_end(502, 22, 4001), [_work(24)], {}),
        (_end(502, 22, 4001), [_work(27, whole=False)], {}),
        (_end(504, 22, 4002), [_work(24)], {}),
        (_end(503, 22, 2105), [_work(24)], {}),
        # The answer came in time and did not reach the caller.
        (_end(504, 25.6, 4008), [_work(24.9)], {}),
        (_end(0, 25.6), [_work(24.9)], {}),
        # The entry left without a word.
        (_end(0, 25.7), [_work(28)], {}),
        (_end(0, 25.7), [_work(inf, whole=False)], {}),
        (_end(0, 22), [_work(28)], {}),
        # The request came as late as it may, or a second attempt was at work.
        (_end(502, 24, 4001), [_work(24.9, 22.8)], {'sent_at': 22.7}),
        (
            _end(502, 24, 4001),
            [_work(21, whole=False), _work(24.5, 22)],
            {},
        ),
    ],
)
def test_answer_that_is_lost_to_a_stop_is_noticed(
    end: Ended, works: list[Work], options: dict[str, float]
) -> None:
    found = _stopped(end, *works, **options).violations()
    assert [one.promise for one in found] == [Promise.STOP_ANSWERS]


def test_answer_that_is_lost_to_the_stop_of_a_passing_entry_is_noticed() -> (
    None
):
    witness = _stopped(_end(502, 22, 4001), _work(24))
    witness.sent['t'] = replace(witness.sent['t'], entry='two:80')
    (found,) = witness.violations()
    assert found.promise is Promise.STOP_ANSWERS


@pytest.mark.parametrize(
    ('end', 'works', 'options'),
    [
        (_end(200, 24), [_work(24)], {}),
        # Another attempt's answer was sooner.
        (_end(200, 22), [_work(24), _work(22)], {}),
        # The upstream broke off, or answers so itself.
        (_end(502, 22, 4001), [_work(21.9, whole=False)], {}),
        (_end(0, 22), [_work(21.9, whole=False)], {}),
        (_end(500, 22), [_work(21.9, whole=False)], {}),
        # The caller's time was over.
        (_end(504, 23, 4002), [_work(24)], {'time_left': 4}),
        (_end(0, 23), [_work(24)], {'time_left': 4}),
        # The upstream was still at work in the last sixth of the grace period.
        (_end(504, 25.6, 4008), [_work(25.2)], {}),
        (_end(504, 25.6, 4008), [_work(inf, whole=False)], {}),
        # It came too late, and was perhaps executed for another entry.
        (_end(0, 25.7), [_work(28, 23.1)], {'sent_at': 23}),
        # All was over before the stop began.
        (_end(504, 19.9, 4002), [_work(24)], {}),
        (_end(0, 26), [_work(19.8, 19.5)], {}),
        # No end was seen.
        (None, [_work(24)], {}),
    ],
)
def test_what_a_stop_may_do_breaks_nothing(
    end: Ended | None, works: list[Work], options: dict[str, float]
) -> None:
    assert not _stopped(end, *works, **options).violations()


@pytest.mark.parametrize('host', ['one', 'two'])
def test_stop_beside_an_unplanned_fault_or_of_another_entry_is_excused(
    host: str,
) -> None:
    witness = _stopped(_end(502, 22, 4001), _work(24))
    if host == 'one':
        witness.faults.append(18)
    else:
        witness.stops.stops[0] = replace(_STOP, host='two')
    assert not witness.violations()


def _with_statement(stated: Stated, arrivals: list[float]) -> Witness:
    """Let an upstream state something in a whole answer, and get requests."""
    witness = Witness(_SERVICES)
    for number, at in enumerate([stated.at - 0.1, *arrivals]):
        trace = 't' if not number else f't-{number}'
        witness.sent[trace] = replace(_READ, trace=trace, at=at, entry='one:80')
        witness.met.append(Met('u', 'one', trace, at))
    right = answer_of('t', '/r/1', b'')
    witness.ended['t'] = Ended('t', 200, right, stated.at)
    witness.stated.append(stated)
    return witness


_LEFT = Stated('u', 'one', 't', 20)
_ASKED = Stated('u', 'one', 't', 20, backoff=3)


# Seconds at which requests reach an upstream after its statement.
@pytest.mark.parametrize(
    ('stated', 'arrivals', 'promise'),
    [
        (_LEFT, [22.6], Promise.LEAVES),
        (_LEFT, [20.1, 22.4], None),
        (_ASKED, [20.6, 21, 22.9], Promise.BACKOFF),
        (_ASKED, [20.6, 22.9], None),
        (_ASKED, [20.1, 20.2, 20.3, 20.4], None),
        (_ASKED, [23.1, 23.2, 23.3], None),
    ],
)
def test_requests_that_upstreams_do_not_want_are_noticed(
    stated: Stated, arrivals: list[float], promise: Promise | None
) -> None:
    found = {
        one.promise for one in _with_statement(stated, arrivals).violations()
    }
    assert found == ({promise} if promise else set())


@pytest.mark.parametrize('stated', [_LEFT, _ASKED])
def test_entry_that_was_disturbed_since_is_excused(stated: Stated) -> None:
    witness = _with_statement(stated, [22.6, 22.7, 22.8])
    witness.disturbed['one'].append(21)
    assert not witness.violations()


@pytest.mark.parametrize(
    ('stated', 'broken'), [(_LEFT, {Promise.LEAVES}), (_ASKED, set())]
)
def test_cut_excuses_from_backoffs_only(
    stated: Stated, broken: set[Promise]
) -> None:
    witness = _with_statement(stated, [22.6, 22.7, 22.8])
    witness.cuts.append(Cut('one', 21, 22))
    assert {one.promise for one in witness.violations()} == broken


def test_statements_to_other_entries_and_of_other_upstreams_do_not_count() -> (
    None
):
    for stated in (replace(_LEFT, entry='two'), replace(_LEFT, upstream='v')):
        assert not _with_statement(stated, [25]).violations()


def test_answer_that_no_caller_got_does_not_count() -> None:
    witness = _with_statement(_LEFT, [25])
    witness.ended['t'] = replace(witness.ended['t'], status=502)
    assert not witness.violations()


def test_seed_brings_the_same_faults_again() -> None:
    assert steps_of(5, 60) == steps_of(5, 60)
    assert steps_of(5, 60) != steps_of(6, 60)
    assert cuts_of(5, 60) == cuts_of(5, 60)
    assert stops_of(5, 60) == stops_of(5, 60)
    assert Fault.SIGNAL_STOPPING not in {one.fault for one in steps_of(5, 600)}
    steps = [*steps_of(5, 600), *cuts_of(5, 600), *stops_of(5, 60)]
    assert {step.fault for step in steps} == set(Fault)
    assert set(_PLAYERS) == set(Fault)


@pytest.mark.parametrize(
    ('link', 'echo'),
    [
        (Link.PASSING, b'hello'),
        (Link.SLOW, b'hello'),
        (Link.RESET, b''),
        (Link.SILENT, None),
        (Link.ONE_WAY, None),
    ],
)
def test_proxy(link: Link, echo: bytes | None) -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(await reader.read(100))
        await writer.drain()
        writer.close()

    async def run() -> bytes | None:
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        proxy = await Proxy(f'127.0.0.1:{port}').open()
        host, _, own = proxy.address.partition(':')
        reader, writer = await asyncio.open_connection(host, int(own))
        proxy.set(link)
        try:
            writer.write(b'hello')
            async with asyncio.timeout(30 if echo is not None else 0.5):
                return await reader.read(100)
        except TimeoutError:
            return None
        except ConnectionError:
            return b''
        finally:
            writer.close()
            proxy.close()
            server.close()

    assert asyncio.run(run()) == echo


@pytest.mark.parametrize(
    ('there', 'elsewhere', 'broken'),
    [
        ((1, 60), (100, 100), True),
        ((39, 60), (100, 100), True),
        ((41, 60), (100, 100), False),
        # Few failures, and few of all first tries.
        ((0, 10), (100, 100), False),
        ((0, 30), (970, 970), False),
        # The others are not served either.
        ((1, 60), (2, 100), False),
        ((0, 0), (100, 100), False),
    ],
)
def test_share_of_entries_without_links_is_compared_with_the_others(
    there: tuple[int, int],
    elsewhere: tuple[int, int],
    *,
    broken: bool,
) -> None:
    share = CutShare(Cut('one', 0, 10), there, elsewhere)
    assert share.is_broken() is broken


def _cut_off(host: str, at: float, *, served: bool) -> Witness:
    """Sixty requests to a host that is cut off, and as many to another one."""
    witness = Witness(_SERVICES)
    witness.cuts.append(Cut('one', 0, 20))
    for number in range(60):
        for entry in (host, 'two'):
            trace = f'{entry}-{number}'
            witness.sent[trace] = replace(
                _READ, trace=trace, entry=f'{entry}:1', at=at
            )
            right = answer_of(trace, '/r/1', b'')
            status = 200 if served or entry == 'two' else 502
            witness.ended[trace] = Ended(trace, status, right, at)
    return witness


def test_entry_that_does_not_serve_without_links_is_noticed() -> None:
    witness = _cut_off('one', 5, served=False)
    assert [one.promise for one in witness.violations()] == [Promise.CUT_SERVED]
    assert not _cut_off('one', 5, served=True).violations()


@pytest.mark.parametrize('at', [3.9, 20.1], ids=['too early', 'too late'])
def test_other_times_do_not_count_for_entries_without_links(at: float) -> None:
    assert not _cut_off('one', at, served=False).violations()


def test_entry_that_is_out_of_touch_does_not_count() -> None:
    witness = _cut_off('one', 5, served=False)
    witness.out_of_touch['one'].append((0, 2))
    assert not witness.violations()


def test_request_without_an_end_counts_as_not_served() -> None:
    witness = _cut_off('one', 5, served=True)
    for number in range(60):
        witness.ended.pop(f'one-{number}')
    witness.ended['two-0'] = replace(witness.ended['two-0'], at=12)
    assert [one.promise for one in witness.violations()] == [Promise.CUT_SERVED]


def _departed(
    runs: list[Run], *, unsafe: bool = False, fault: float = 0
) -> Witness:
    """Ten requests whose callers left at 20, and what was run for them."""
    witness = Witness({'r': frozenset('a')})
    if fault:
        witness.faults.append(fault)
    for number in range(10):
        trace = str(number)
        witness.sent[trace] = Sent(trace, '/r/1', b'', unsafe, 'one:80', 19)
        witness.departures.left[trace] = 20
    witness.departures.runs = runs
    return witness


def _runs(count: int, begin: float, end: float, until: float) -> list[Run]:
    return [Run(str(number), begin, end, until) for number in range(count)]


_STOPPED_RUNS = _runs(9, 19.1, 20.1, 22)
_WENT_ON = _runs(4, 19.1, 22, 22)


@pytest.mark.parametrize(
    'runs',
    [_WENT_ON, _WENT_ON + _STOPPED_RUNS, _runs(4, 20.6, 20.7, 22)],
    ids=['all go on', 'a third goes on', 'reach upstreams later'],
)
def test_work_for_callers_that_have_left_is_noticed(runs: list[Run]) -> None:
    (found,) = _departed(runs).violations()
    assert found.promise is Promise.LEFT_ALONE


@pytest.mark.parametrize(
    ('runs', 'options'),
    [
        (_STOPPED_RUNS, {}),
        (_STOPPED_RUNS + _runs(3, 19.1, 22, 22), {}),
        (_runs(3, 20.6, 20.7, 22), {}),
        (_runs(9, 19.1, 20.4, 20.4), {}),
        (_WENT_ON, {'unsafe': True}),
        (_WENT_ON, {'fault': 20.3}),
    ],
    ids=['stopped', 'few go on', 'few later', 'short', 'writes', 'fault'],
)
def test_what_may_be_done_for_callers_that_have_left(
    runs: list[Run], options: dict[str, Any]
) -> None:
    assert not _departed(runs, **options).violations()


def test_entries_listen_at_different_ports() -> None:
    drawn = free_ports(400)
    assert len(set(drawn)) == len(drawn)
