"""Requests for permits from other instances of the region."""

from collections.abc import Iterator

from worksrail.core.effects import Effect, SendMessage
from worksrail.core.instance import Instance
from worksrail.core.messages import MemberRecord, MemberStatus
from worksrail.core.permits import GroupKey, Lender, LoanMessage, slot_group


def borrow_all(instance: Instance, now: float) -> Iterator[Effect]:
    """Request permits for every group that is short or runs low."""
    for group in tuple(instance.ledger.groups):
        yield from borrow(instance, group, now)
        if not group.startswith('slots'):
            # Shifted requests are refused, not queued: no shortage remains.
            instance.lending.note_shortage(group, 0)


def borrow(
    instance: Instance,
    group: GroupKey,
    now: float,
) -> Iterator[Effect]:
    """Request permits of one group, if some are wanted."""
    if instance.leaving or instance.isolated:
        return
    if not instance.lending.wanted(group):
        return
    lenders = [
        _lender(record, group)
        for record in instance.membership.live(
            now, instance.settings, instance.place.region
        )
    ]
    for ask in instance.lending.ask(group, lenders, now):
        yield send_effect(ask)


def send_effect(addressed: LoanMessage) -> SendMessage:
    """Return the effect that sends a message of the lending protocol."""
    return SendMessage(addressed.receiver.name, addressed.message)


def _lender(record: MemberRecord, group: GroupKey) -> Lender:
    if record.status is MemberStatus.LEAVING:
        return Lender(record.who, None)
    for spare in record.spares:
        if slot_group(spare.service) == group:
            return Lender(record.who, spare.idle)
    return Lender(record.who, None)
