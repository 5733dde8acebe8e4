"""Two processes share five licences, and one borrows from the other."""

from worksrail import CoreSettings, Incarnation, Lending, PermitLedger, PoolSpec
from worksrail.core.permits import GroupKey, Lender, LoanId, PoolKey

LICENCES = PoolKey('licences')
GROUP = GroupKey('office')


def process(seat: int) -> Lending:
    settings = CoreSettings(loan_duration=2, longest_run=5)
    ledger = PermitLedger(settings.loan_duration, settings.longest_run)
    ledger.configure(1, [PoolSpec(LICENCES, GROUP, limit=5, seats=2)])
    ledger.drop_splits_before(1)
    ledger.hold_seats([seat])
    return Lending(settings, ledger)


def main() -> None:
    ann, bob = Incarnation('ann', 1), Incarnation('bob', 1)
    ann_side, bob_side = process(0), process(1)
    print('ann has', ann_side.ledger.available(LICENCES, now=0))
    while ann_side.ledger.available(LICENCES, now=0):
        ann_side.ledger.take(LICENCES, now=0)
    ann_side.note_shortage(GROUP, waiting=1)
    (request,) = ann_side.ask(GROUP, [Lender(bob, idle=2)], now=0)
    reply = bob_side.on_request(request.message, ann, now=0.1)
    list(ann_side.on_grant(reply.message, bob, now=0.2))
    print('ann may use', ann_side.ledger.available(LICENCES, now=0.2), 'more')
    print('bob keeps', bob_side.ledger.available(LICENCES, now=0.2))
    print('lent until', bob_side.ledger.lent[LoanId(ann, 1)].ends_at)
    print('after its end:', ann_side.ledger.available(LICENCES, now=2.0))


if __name__ == '__main__':
    main()
