"""Mutation tests: each deliberate fault must break a quota or refuse requests.

A row names a small fault in the code of shared limits and the simulation that
must detect it.  An undetected fault means that the mechanism is not needed or
that no test checks it.
"""

from collections.abc import Callable
from typing import Any

import pytest

from worksrail.bench.limits import (
    WAYS,
    Fault,
    FaultKind,
    Outcome,
    Plan,
    mixed_customers,
    play,
)
from worksrail.core.limits import (
    LimitStatus,
    Members,
    SharedLimits,
    _accounts,
    _owner,
)
from worksrail.core.limits._accounts import Account
from worksrail.core.limits._owner import OwnedLimit

Patch = Callable[[pytest.MonkeyPatch], None]

_KILLED = (Fault(5, FaultKind.KILL, 1),)
_CUT = (Fault(2, FaultKind.CUT, 0.35, 6),)


def _set(owner: Any, name: str, fault: Any) -> Patch:
    return lambda patch: patch.setattr(owner, name, fault)


def _always_ample(
    self: OwnedLimit, used: int, wanted: int, now: float
) -> LimitStatus:
    return LimitStatus(wanted, ample=True, wait=0)


def _nothing(*unused: Any) -> None:
    return None


def _play(
    faults: tuple[Fault, ...], *, hot: bool, seconds: float = 10
) -> Outcome:
    customers = mixed_customers(
        40, 540.0, hot=(3.0, 8.0, 7.5) if hot else (0, 0, 1)
    )
    return play(Plan(45, customers, faults, seconds), WAYS['owned'])


_BREAK: dict[str, tuple[Patch, tuple[Fault, ...]]] = {
    'an owner that always grants': (
        _set(OwnedLimit, 'serve', _always_ample),
        (),
    ),
    'entries that report nothing': (_set(SharedLimits, 'tick', _nothing), ()),
    'entries that ignore the status of a limit': (
        _set(Account, 'apply_status', _nothing),
        (),
    ),
    'entries that own everything when they are cut off': (
        _set(Members, 'trusted', True),
        _CUT,
    ),
    'owners that begin with the tokens of a minute': (
        _set(_owner, '_INITIAL_SECONDS', 60.0),
        (Fault(4, FaultKind.KILL, 0.6), Fault(5.3, FaultKind.KILL, 0.6)),
    ),
    'an allowance as large as the limit': (
        _set(_accounts, 'UNREACHABLE_SHARE', 45.0),
        _CUT,
    ),
}


@pytest.mark.parametrize('fault', _BREAK)
def test_fault_breaks_a_quota(
    fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    patch, faults = _BREAK[fault]
    assert _play(faults, hot=True).worst <= 1
    patch(monkeypatch)
    assert _play(faults, hot=True).worst > 1


_LATE_CUT = (Fault(12, FaultKind.CUT, 0.35, 6),)
_REFUSE: dict[str, tuple[Patch, tuple[Fault, ...], float]] = {
    'owners that begin in debt': (
        _set(_owner, '_INITIAL_SECONDS', -3.0),
        _KILLED,
        10,
    ),
    'an allowance that ignores recent use': (
        _set(_accounts, '_ALLOWANCE_FACTOR', 0.0),
        _LATE_CUT,
        18,
    ),
}


@pytest.mark.parametrize('fault', _REFUSE)
def test_fault_refuses_requests_within_quota(
    fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    patch, faults, seconds = _REFUSE[fault]
    before = _play(faults, hot=False, seconds=seconds).inside
    patch(monkeypatch)
    assert _play(faults, hot=False, seconds=seconds).inside > before
