"""Tests of shared limits at one entry, as their user and as their owner."""

from collections.abc import Iterable

import pytest

from worksrail.core.identity import Incarnation
from worksrail.core.limits import (
    Addressed,
    Admission,
    LimitHandover,
    LimitReply,
    LimitReport,
    LimitStatus,
    Members,
    Settled,
    SharedLimit,
    SharedLimits,
    TokenBucket,
    Verdict,
)
from worksrail.core.membership import rendezvous

_LIMIT = SharedLimit(rate=10, capacity=20)
_AMPLE_STATUS = LimitStatus(granted=0, ample=True, wait=0)
_SHORT_STATUS = LimitStatus(granted=0, ample=False, wait=0)


def _owner_among(names: Iterable[str]) -> str:
    return rendezvous('limit|q', names)


def _entry(
    name: str,
    others: Iterable[str] = ('b', 'c', 'd'),
    silent: int = 0,
) -> SharedLimits:
    """Create an entry that knows the others and one limit, ``q``."""
    limits = SharedLimits.begin(Incarnation(name, 1), f'{name}:1', 0)
    limits.follow({'q': _LIMIT}, 0)
    peers = {one: f'{one}:1' for one in {name, *others}}
    limits.update_members(Members(peers, len(peers) + silent), 0)
    limits.take_outputs()
    return limits


def _non_owner(names: str = 'abcd') -> SharedLimits:
    """Create an entry that does not own the limit."""
    owner = _owner_among(names)
    name = next(one for one in names if one != owner)
    return _entry(name, set(names) - {name})


def _owner(names: str = 'abcd') -> SharedLimits:
    """Create the entry that owns the limit."""
    owner = _owner_among(names)
    return _entry(owner, set(names) - {owner})


def _messages(limits: SharedLimits) -> list[Addressed]:
    outputs = limits.take_outputs()
    return [one for one in outputs if isinstance(one, Addressed)]


def _verdicts(limits: SharedLimits) -> dict[int, Verdict]:
    outputs = limits.take_outputs()
    return {
        one.ticket: one.verdict for one in outputs if isinstance(one, Settled)
    }


@pytest.mark.parametrize(
    ('wanted', 'now', 'taken'),
    [(1, 0, 1), (9, 0, 4), (9, 0.5, 5), (9, 60, 6)],
)
def test_bucket_grants_whole_tokens(
    wanted: int, now: float, taken: int
) -> None:
    bucket = TokenBucket(rate=2, capacity=6, level=4, filled_at=0)
    assert bucket.take(wanted, now) == taken


def test_overdrawn_bucket_refills_first() -> None:
    bucket = TokenBucket(rate=2, capacity=6, level=1, filled_at=0)
    bucket.spend(5, 0)
    assert bucket.take(1, 2) == 0
    assert bucket.next_token_in(2) == pytest.approx(0.5)


def test_request_without_limit_is_admitted() -> None:
    assert _non_owner().admit('other', 1, 0).admission is Admission.ADMITTED


def test_ample_limit_admits_at_once_and_reports() -> None:
    limits = _non_owner()
    for ticket in range(3):
        verdict = limits.admit('q', ticket, 0)
        assert verdict.admission is Admission.ADMITTED
    limits.tick(0.1)
    (sent,) = _messages(limits)
    assert isinstance(sent.message, LimitReport)
    assert sent.message.used == {'q': 3}
    assert sent.peer == f'{_owner_among("abcd")}:1'


def test_unused_admission_is_returned() -> None:
    limits = _non_owner()
    limits.admit('q', 1, 0)
    limits.tick(0.1)
    _messages(limits)
    limits.receive(LimitReply(1, {'q': _AMPLE_STATUS}), 0.2)
    limits.give_back('q')
    limits.tick(0.3)
    (sent,) = _messages(limits)
    assert isinstance(sent.message, LimitReport)
    assert sent.message.used == {'q': -1}


def _asking() -> tuple[SharedLimits, LimitReport]:
    """Create an entry that knows of a shortage and asks for one request."""
    limits = _non_owner()
    limits.receive(LimitReply(0, {'q': _SHORT_STATUS}), 0)
    assert limits.admit('q', 7, 0).admission is Admission.WAITING
    (sent,) = _messages(limits)
    assert isinstance(sent.message, LimitReport)
    assert sent.message.wanted == {'q': 1}
    return limits, sent.message


@pytest.mark.parametrize(
    ('granted', 'wait', 'admission'),
    [(1, 0, Admission.ADMITTED), (0, 0.7, Admission.DENIED)],
)
def test_owner_of_short_limit_is_asked(
    granted: int, wait: float, admission: Admission
) -> None:
    limits, report = _asking()
    standing = LimitStatus(granted, ample=False, wait=wait)
    limits.receive(LimitReply(report.number, {'q': standing}), 0.1)
    assert _verdicts(limits) == {7: Verdict(admission, wait)}


def test_owner_is_not_asked_again_right_after_denial() -> None:
    limits, report = _asking()
    standing = LimitStatus(0, ample=False, wait=0.7)
    limits.receive(LimitReply(report.number, {'q': standing}), 0.1)
    limits.take_outputs()
    verdict = limits.admit('q', 8, 0.15)
    assert verdict.admission is Admission.DENIED
    assert verdict.wait == pytest.approx(0.65)
    assert not limits.take_outputs()
    assert limits.admit('q', 9, 0.5).admission is Admission.WAITING


def test_silent_owner_leaves_small_allowance() -> None:
    limits, _ = _asking()
    limits.tick(0.4)
    assert _verdicts(limits)[7].admission is Admission.ADMITTED
    admitted = sum(
        limits.admit('q', ticket, 0.4 + ticket / 100).admission
        is Admission.ADMITTED
        for ticket in range(100)
    )
    # An equal part of 0.6 of the limit among four entries is 1.5 per second.
    assert 1 <= admitted <= 3


def test_owner_that_replies_again_ends_allowance() -> None:
    limits, report = _asking()
    limits.tick(0.4)
    limits.receive(LimitReply(report.number, {'q': _AMPLE_STATUS}), 0.5)
    # At most half of the bucket may be admitted at once without asking.
    for ticket in range(10):
        verdict = limits.admit('q', ticket, 0.5)
        assert verdict.admission is Admission.ADMITTED
    assert limits.admit('q', 10, 0.5).admission is Admission.WAITING


def test_entry_that_reaches_too_few_owns_nothing() -> None:
    limits = _entry('a', (), silent=9)
    verdicts = [limits.admit('q', ticket, 0) for ticket in range(20)]
    admitted = [one for one in verdicts if one.admission is Admission.ADMITTED]
    assert len(admitted) == 1
    assert all(one.wait > 0 for one in verdicts if one not in admitted)


def test_owner_reserves_rate_for_unreachable_entries() -> None:
    whole, partly = _entry('a', ()), _entry('a', 'bc', silent=3)
    whole.admit('q', 1, 0)
    assert whole.owned.limits['q'].bucket.rate == 10
    partly.owned.serve('q', _LIMIT, 0, 1, since=0, now=0)
    assert partly.owned.limits['q'].bucket.rate == pytest.approx(7)


def test_owner_admits_its_own_requests() -> None:
    limits = _entry('a', ())
    verdicts = [limits.admit('q', ticket, 100) for ticket in range(25)]
    admitted = [one for one in verdicts if one.admission is Admission.ADMITTED]
    assert len(admitted) == 20


def test_denied_callers_get_increasing_delays() -> None:
    limits = _entry('a', ())
    waits = [limits.admit('q', ticket, 100).wait for ticket in range(25)]
    assert [round(wait, 2) for wait in waits[20:]] == [0.1, 0.2, 0.3, 0.4, 0.5]


def _report_to(owner: SharedLimits, name: str, *, forwarded: bool) -> None:
    report = LimitReport(
        Incarnation('z', 1), 'z:1', 5, {name: 2}, {name: 1}, forwarded
    )
    owner.receive(report, 100)


def test_owner_answers_a_report() -> None:
    owner = _owner()
    _report_to(owner, 'q', forwarded=False)
    (sent,) = _messages(owner)
    assert sent.peer == 'z:1'
    assert sent.message == LimitReply(
        5, {'q': LimitStatus(granted=1, ample=True, wait=0)}
    )
    assert owner.owned.limits['q'].bucket.level == pytest.approx(17)


def test_report_is_forwarded_to_owner_once() -> None:
    other = _non_owner()
    _report_to(other, 'q', forwarded=False)
    (sent,) = _messages(other)
    assert sent.peer == f'{_owner_among("abcd")}:1'
    assert isinstance(sent.message, LimitReport)
    assert sent.message.forwarded
    assert sent.message.peer == 'z:1'
    _report_to(other, 'q', forwarded=True)
    (answered,) = _messages(other)
    assert isinstance(answered.message, LimitReply)


def test_limit_unknown_to_owner_is_ample() -> None:
    owner = _owner()
    _report_to(owner, 'new', forwarded=True)
    (sent,) = _messages(owner)
    assert sent.message == LimitReply(
        5, {'new': LimitStatus(granted=1, ample=True, wait=0)}
    )


def test_limit_moves_to_new_owner_with_its_tokens() -> None:
    owner = _owner('ab')
    owner.admit('q', 1, 0)
    level = owner.owned.limits['q'].bucket.level
    names = 'ab' + next(
        one for one in 'cdefgh' if _owner_among(f'ab{one}') == one
    )
    owner.update_members(Members({one: f'{one}:1' for one in names}, 3), 0)
    (sent,) = _messages(owner)
    assert sent.peer == f'{names[-1]}:1'
    assert sent.message == LimitHandover({'q': level})
    assert not owner.owned.limits
    successor = _entry(names[-1], names[:2])
    successor.receive(sent.message, 0)
    assert successor.owned.limits['q'].bucket.level == level


def test_owner_without_handover_begins_low() -> None:
    limits = _entry('a', ())
    limits.update_members(Members({'a': 'a:1', 'e': 'e:1'}, 2), 50)
    limits.owned.serve('q', _LIMIT, 0, 0, since=50, now=50)
    assert limits.owned.limits['q'].bucket.level == pytest.approx(5)


def test_entry_wrongly_considered_owner_begins_low() -> None:
    other = _non_owner()
    _report_to(other, 'q', forwarded=True)
    level = other.owned.limits['q'].bucket.level
    assert level == pytest.approx(5 - 3)


def test_suspended_owner_drops_its_limits() -> None:
    owner = _owner()
    owner.admit('q', 1, 100)
    owner.handle_pause(200)
    assert not owner.owned.limits


def test_started_owner_begins_low() -> None:
    # It cannot know what was granted before it started.
    limits = SharedLimits.begin(Incarnation('s', 1), 's:1', 900, ('s:1',))
    limits.follow({'q': _LIMIT}, 900)
    verdicts = [limits.admit('q', ticket, 900) for ticket in range(9)]
    admitted = [one for one in verdicts if one.admission is Admission.ADMITTED]
    assert len(admitted) == 5


def test_lowered_limit_applies_at_once() -> None:
    limits = _entry('a', ())
    assert limits.admit('q', 1, 100).admission is Admission.ADMITTED
    limits.follow({'q': SharedLimit(rate=1, capacity=2)}, 100)
    verdicts = [limits.admit('q', ticket, 100) for ticket in range(5)]
    admitted = [one for one in verdicts if one.admission is Admission.ADMITTED]
    assert len(admitted) == 2


def test_removed_limit_is_dropped() -> None:
    limits = _entry('a', ())
    limits.admit('q', 1, 100)
    limits.follow({}, 100)
    assert not limits.owned.limits
    assert not limits.accounts


def _started_entry() -> tuple[SharedLimits, LimitReport]:
    """Create an entry that knows only its seeds, and has asked one."""
    limits = SharedLimits.begin(Incarnation('a', 1), 'a:1', 0, ('s:1', 't:1'))
    limits.follow({'q': _LIMIT}, 0)
    assert limits.admit('q', 1, 0).admission is Admission.WAITING
    (sent,) = _messages(limits)
    assert sent.peer == 's:1'
    assert isinstance(sent.message, LimitReport)
    return limits, sent.message


def test_started_entry_asks_a_seed() -> None:
    limits, report = _started_entry()
    standing = LimitStatus(1, ample=True, wait=0)
    limits.receive(LimitReply(report.number, {'q': standing}), 0.1)
    assert _verdicts(limits)[1].admission is Admission.ADMITTED


def test_started_entry_waits_for_members_without_seed_reply() -> None:
    limits, _ = _started_entry()
    limits.tick(0.4)
    assert not limits.take_outputs()
    limits.update_members(Members({'a': 'a:1'}, 1), 0.5)
    assert _verdicts(limits)[1].admission is Admission.ADMITTED


def test_seed_that_just_started_admits() -> None:
    limits = SharedLimits.begin(Incarnation('s', 1), 's:1', 0, ('s:1',))
    limits.follow({'q': _LIMIT}, 0)
    assert limits.admit('q', 1, 0).admission is Admission.ADMITTED
    limits.update_members(Members({'s': 's:1', 'a': 'a:1', 'b': 'b:1'}, 3), 0.5)
    moved = _owner_among('sab') != 's'
    assert [one.peer for one in _messages(limits)] == (
        [f'{_owner_among("sab")}:1'] if moved else []
    )


def test_owner_that_was_cut_off_resumes() -> None:
    # Its allowance must not limit it once it reaches the others again.
    owner = _owner_among('abcd')
    limits = _entry(owner, set('abcd') - {owner})
    limits.update_members(Members({owner: f'{owner}:1'}, 8), 100)
    assert limits.admit('q', 1, 100).admission is Admission.ADMITTED
    assert limits.admit('q', 2, 100).admission is Admission.DENIED
    limits.update_members(Members({one: f'{one}:1' for one in 'abcd'}, 4), 200)
    verdicts = [limits.admit('q', ticket, 210) for ticket in range(15)]
    assert {one.admission for one in verdicts} == {Admission.ADMITTED}


def test_reply_on_removed_limit_admits_waiting_request() -> None:
    limits, report = _asking()
    limits.follow({}, 0.1)
    standing = LimitStatus(1, ample=True, wait=0)
    limits.receive(LimitReply(report.number, {'q': standing}), 0.2)
    assert _verdicts(limits)[7].admission is Admission.ADMITTED
