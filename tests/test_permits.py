"""Single steps of lending whose order matters."""

from worksrail.core.identity import Incarnation
from worksrail.core.messages import LoanGrant, LoanPart, LoanReturn
from worksrail.core.permits import (
    GroupKey,
    Lender,
    Lending,
    LoanId,
    PermitLedger,
    PoolKey,
    PoolSpec,
)
from worksrail.core.settings import CoreSettings

_GROUP = GroupKey('slots/s')
_POOL = PoolKey('slot/a')
_LENDER = Incarnation('lender', 1)


def _borrower() -> Lending:
    settings = CoreSettings()
    ledger = PermitLedger(settings.loan_duration, settings.longest_run)
    ledger.configure(1, [PoolSpec(_POOL, _GROUP, 4, 2)])
    ledger.drop_splits_before(1)
    return Lending(settings, ledger)


def _asked(lending: Lending) -> int:
    lending.set_shortage(_GROUP, 1)
    (ask,) = lending.request_loan(_GROUP, [Lender(_LENDER, 2)], now=0)
    return ask.message.loan


def check_late_grant() -> None:
    """A grant that comes after its time, counted from the ask, is useless."""
    lending = _borrower()
    grant = LoanGrant(
        _asked(lending), _GROUP, (LoanPart(_POOL, 2),), duration=2
    )
    late = 2.5
    answers = list(lending.on_grant(grant, _LENDER, now=late))
    assert [answer.message for answer in answers] == [
        LoanReturn(grant.loan, ())
    ]
    assert lending.ledger.available(_POOL, late) == 0


def test_a_late_grant_is_given_back() -> None:
    check_late_grant()


def test_a_grant_in_time_is_used_until_its_end() -> None:
    lending = _borrower()
    grant = LoanGrant(
        _asked(lending), _GROUP, (LoanPart(_POOL, 2),), duration=2
    )
    assert not list(lending.on_grant(grant, _LENDER, now=0.1))
    assert lending.ledger.available(_POOL, 1.9) == 2
    assert lending.ledger.available(_POOL, 2.0) == 0


def test_a_repeated_grant_is_not_taken_again() -> None:
    lending = _borrower()
    grant = LoanGrant(
        _asked(lending), _GROUP, (LoanPart(_POOL, 2),), duration=2
    )
    list(lending.on_grant(grant, _LENDER, now=0.1))
    lending.ledger.give_back(grant.loan, 0.2)
    list(lending.on_grant(grant, _LENDER, now=0.3))
    assert lending.ledger.available(_POOL, 0.3) == 0


def check_lent_until_nothing_runs() -> None:
    """A lent permit is not used until no request can run on it any more."""
    settings = CoreSettings()
    ledger = PermitLedger(settings.loan_duration, settings.longest_run)
    ledger.configure(1, [PoolSpec(_POOL, _GROUP, 4, 1)])
    ledger.drop_splits_before(1)
    ledger.hold_seats([0])
    loan = LoanId(_LENDER, 1)
    ledger.lend(loan, _GROUP, 3, now=0)
    end = settings.loan_duration + settings.longest_run
    ledger.expire(end - 0.1)
    assert ledger.available(_POOL, end - 0.1) == 1
    ledger.expire(end)
    assert ledger.available(_POOL, end) == 4


def test_a_lent_permit_rests_until_nothing_runs() -> None:
    check_lent_until_nothing_runs()
