"""Statements of upstreams in the heads of their answers."""

import pytest

from worksrail.core.availability import (
    MAX_BACKOFF,
    NO_NOTICE,
    Backoffs,
    LeavingUpstreams,
    Statement,
    read_notice,
)

_SENT = 'Fri, 04 Dec 2026 12:00:00 GMT'
_LATER = 'Fri, 04 Dec 2026 12:00:05 GMT'
_WALL = 1_796_385_600.0  # The same moment as _SENT.
_BACKOFF = Statement.BACKOFF
_LEAVING = Statement.LEAVING


@pytest.mark.parametrize(
    ('texts', 'seconds', 'unreadable'),
    [
        ([], 0, False),
        (['3'], 3, False),
        ([' 3 '], 3, False),
        (['0.1'], 0.1, False),
        (['60'], 60, False),
        (['0'], 0, False),
        (['1e9'], MAX_BACKOFF, False),
        (['9' * 400], MAX_BACKOFF, False),
        (['2', '5'], 5, False),
        (['2, 5'], 5, False),
        ([_LATER], 5, False),
        ([_SENT], 0, False),
        (['Thu, 03 Dec 2026 12:00:00 GMT'], 0, False),
        ([''], 0, True),
        (['-3'], 0, True),
        (['soon'], 0, True),
        (['nan'], 0, True),
        (['inf'], 0, True),
        (['3', 'soon'], 0, True),
        (['1_0'], 0, True),
        (['Fri, 99 Dec 2026 12:00:00 GMT'], 0, True),
    ],
)
def test_retry_after_has_a_meaning_for_each_value(
    texts: list[str],
    seconds: float,
    unreadable: bool,
) -> None:
    notice = read_notice(503, [], texts, _SENT, 0)
    assert notice.backoff == pytest.approx(seconds)
    assert (_BACKOFF in notice.unreadable) is unreadable


@pytest.mark.parametrize(
    ('texts', 'leaving', 'unreadable'),
    [
        ([], False, False),
        (['1'], True, False),
        (['true'], True, False),
        (['1', '1'], True, False),
        (['0'], False, False),
        ([''], False, True),
        (['1', '0'], False, True),
        (['soon'], False, True),
    ],
)
def test_leaving_has_a_meaning_for_each_value(
    texts: list[str],
    leaving: bool,
    unreadable: bool,
) -> None:
    notice = read_notice(200, texts, [], '', 0)
    assert notice.leaving is leaving
    assert (_LEAVING in notice.unreadable) is unreadable


@pytest.mark.parametrize('status', [200, 429, 500, 502, 421])
def test_only_503_asks_for_a_backoff(status: int) -> None:
    assert read_notice(status, [], ['3'], '', 0) == NO_NOTICE


@pytest.mark.parametrize(
    ('date', 'wall', 'seconds'),
    [(_SENT, 0, 5), ('', _WALL, 5), ('yesterday', _WALL + 2, 3)],
)
def test_date_counts_from_the_clock_of_the_upstream_if_it_is_known(
    date: str,
    wall: float,
    seconds: float,
) -> None:
    notice = read_notice(503, [], [_LATER], date, wall)
    assert notice.backoff == pytest.approx(seconds)


# Times at which an upstream asks and the seconds it asks for, and the end.
@pytest.mark.parametrize(
    ('asked', 'end'),
    [
        ([(0, 3)], 3),
        ([(0, 3), (1, 0.1)], 3),
        ([(0, 3), (1, 3)], 4),
        ([(0, 3), (1, 60)], 61),
        ([(0, 0.1), (0.05, 0.1)], 0.15),
        ([(0, 1), (5, 1)], 6),
    ],
)
def test_each_backoff_binds_until_its_own_end(
    asked: list[tuple[float, float]],
    end: float,
) -> None:
    backoffs = Backoffs()
    for now, seconds in asked:
        backoffs.note('u', seconds, now)
    assert backoffs.end_of('u') == pytest.approx(end)
    assert backoffs.is_active('u', end - 0.01)
    assert not backoffs.is_active('u', end + 0.01)


def test_end_of_a_backoff_is_reported_once_and_forgotten_later() -> None:
    backoffs = Backoffs()
    backoffs.note('u', 1, 0)
    reports = [backoffs.take_ended(now, 2) for now in (0.5, 1.1, 1.2, 3.2)]
    assert reports == [[], ['u'], [], []]
    assert not backoffs.by_upstream


def test_usual_rate_is_kept_through_backoffs_that_follow_each_other() -> None:
    backoffs = Backoffs()
    backoffs.note('u', 1, 0, usual_rate=8)
    backoffs.take_ended(1.1, 2)
    backoffs.note('u', 1, 1.2, usual_rate=0.5)
    assert backoffs.by_upstream['u'].usual_rate == 8


def test_unlisted_upstreams_are_forgotten() -> None:
    leaving = LeavingUpstreams()
    leaving.note('u', 0)
    leaving.forget({'u'}, 100)
    leaving.forget(set(), 219)
    assert 'u' in leaving
    leaving.forget(set(), 221)
    assert 'u' not in leaving


def test_advertised_statements_take_turns() -> None:
    leaving = LeavingUpstreams()
    for number in range(5):
        leaving.note(f'u{number}', 0)
    seen = [leaving.advertise(2, now, with_all=True) for now in (1, 2, 3)]
    assert {name for names in seen for name in names} == {
        f'u{number}' for number in range(5)
    }
    assert not leaving.advertise(2, 10, with_all=False)
