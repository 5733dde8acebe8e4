"""Lending of permits: late and duplicate grants, and the end of a loan."""

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


def _request_loan(lending: Lending) -> int:
    lending.note_shortage(_GROUP, 1)
    (request,) = lending.ask(_GROUP, [Lender(_LENDER, 2)], now=0)
    return request.message.loan


def check_late_grant() -> None:
    """A grant after the loan's duration, from the request on, is returned."""
    lending = _borrower()
    grant = LoanGrant(
        _request_loan(lending), _GROUP, (LoanPart(_POOL, 2),), duration=2
    )
    too_late = 2.5
    answers = list(lending.on_grant(grant, _LENDER, now=too_late))
    assert [answer.message for answer in answers] == [
        LoanReturn(grant.loan, ())
    ]
    assert lending.ledger.available(_POOL, too_late) == 0


def test_late_grant_is_returned() -> None:
    check_late_grant()


def test_timely_grant_is_used_until_it_expires() -> None:
    lending = _borrower()
    grant = LoanGrant(
        _request_loan(lending), _GROUP, (LoanPart(_POOL, 2),), duration=2
    )
    assert not list(lending.on_grant(grant, _LENDER, now=0.1))
    assert lending.ledger.available(_POOL, 1.9) == 2
    assert lending.ledger.available(_POOL, 2.0) == 0


def test_duplicate_grant_is_ignored() -> None:
    lending = _borrower()
    grant = LoanGrant(
        _request_loan(lending), _GROUP, (LoanPart(_POOL, 2),), duration=2
    )
    list(lending.on_grant(grant, _LENDER, now=0.1))
    lending.ledger.return_idle(grant.loan, 0.2)
    list(lending.on_grant(grant, _LENDER, now=0.3))
    assert lending.ledger.available(_POOL, 0.3) == 0


def check_lent_until_no_request_runs() -> None:
    """The lender uses a lent permit only after any request on it has ended."""
    settings = CoreSettings()
    ledger = PermitLedger(settings.loan_duration, settings.longest_run)
    ledger.configure(1, [PoolSpec(_POOL, _GROUP, 4, 1)])
    ledger.drop_splits_before(1)
    ledger.hold_seats([0])
    loan_id = LoanId(_LENDER, 1)
    ledger.lend(loan_id, _GROUP, 3, now=0)
    end = settings.loan_duration + settings.longest_run
    ledger.expire(end - 0.1)
    assert ledger.available(_POOL, end - 0.1) == 1
    ledger.expire(end)
    assert ledger.available(_POOL, end) == 4


def test_lent_permit_is_unused_until_no_request_runs() -> None:
    check_lent_until_no_request_runs()
