"""Handlers for messages from other instances."""

from collections.abc import Iterator

from worksrail.core._arriving import on_limit_message
from worksrail.core._dispatching import dispatch_waiting
from worksrail.core._on_configuration import apply_drain_list, handle_head
from worksrail.core._on_time import sync_ledger
from worksrail.core._pacing import handle_pacing_message, receive_named_limits
from worksrail.core._quarantining import receive_crashes
from worksrail.core.effects import Effect, Note, NoteKind, SendMessage
from worksrail.core.events import MessageReceived
from worksrail.core.instance import Instance
from worksrail.core.limits import LimitHandover, LimitReply, LimitReport
from worksrail.core.messages import (
    DrainNews,
    HeadNews,
    Heartbeat,
    LoanGrant,
    LoanRecall,
    LoanRequest,
    LoanReturn,
    MemberRecord,
    MemberStatus,
    SeatOffer,
    SeatTaken,
)
from worksrail.core.pacing import PacingMessage, TokenGrant, TokenRequest
from worksrail.core.permits import GroupKey, LoanId


def on_message(instance: Instance, event: MessageReceived) -> Iterator[Effect]:
    """Dispatch a message to its handler."""
    message = event.message
    now = event.now
    match message:
        case Heartbeat():
            yield from _on_heartbeat(instance, message, now)
        case HeadNews():
            yield from handle_head(
                instance, message.generation, message.digest, now
            )
        case DrainNews():
            yield from apply_drain_list(
                instance, message.revision, message.targets, now
            )
        case SeatOffer():
            yield from _on_seat_offer(instance, event, message)
        case SeatTaken():
            instance.seats.on_offer_accepted(message)
        case LimitReport() | LimitReply() | LimitHandover():
            yield from on_limit_message(instance, message, now)
        case _:
            yield from _on_token_or_loan(instance, event)


def _on_heartbeat(
    instance: Instance,
    message: Heartbeat,
    now: float,
) -> Iterator[Effect]:
    known = set(instance.membership.members)
    for record in instance.membership.merge_heartbeat(message, now):
        if record.who.name not in known:
            yield Note(NoteKind.MEMBER_SEEN, record.who.label)
        if record.status is MemberStatus.LEFT:
            yield Note(NoteKind.MEMBER_LEFT, record.who.label)
        if record.generation > instance.configuration.generation:
            yield from handle_head(
                instance, record.generation, record.digest, now
            )
        yield from _send_newer_drains(instance, record)
    yield from receive_crashes(instance, message.crashes, now)
    yield from receive_named_limits(instance, message.limits, now)


def _on_token_or_loan(
    instance: Instance,
    event: MessageReceived,
) -> Iterator[Effect]:
    """Handle a message about tokens or loans."""
    if isinstance(event.message, TokenRequest | TokenGrant):
        yield from _on_pacing_message(instance, event.message, event.now)
    else:
        yield from _on_loan_message(instance, event)


def _on_pacing_message(
    instance: Instance,
    message: PacingMessage,
    now: float,
) -> Iterator[Effect]:
    yield from handle_pacing_message(instance, message, now)
    for service in tuple(instance.services):
        yield from dispatch_waiting(instance, service, now)


def _send_newer_drains(
    instance: Instance,
    record: MemberRecord,
) -> Iterator[Effect]:
    # The sender has an older drain list: reply with the newer one.
    configuration = instance.configuration
    if 0 < record.drains < configuration.drain_revision or (
        record.drains == 0 and configuration.drain_revision
    ):
        yield SendMessage(
            record.who.name,
            DrainNews(
                configuration.drain_revision, configuration.drain_targets
            ),
        )


def _on_seat_offer(
    instance: Instance,
    event: MessageReceived,
    offer: SeatOffer,
) -> Iterator[Effect]:
    if instance.leaving and offer.seat not in instance.seats.held:
        return
    before = set(instance.seats.held)
    answer = instance.seats.on_offer(offer)
    if answer is None:
        return
    yield SendMessage(event.sender.name, answer)
    if before != set(instance.seats.held):
        yield from sync_ledger(instance)
        yield Note(NoteKind.SEAT_HELD, str(offer.seat))


def _on_loan_message(
    instance: Instance,
    event: MessageReceived,
) -> Iterator[Effect]:
    lending = instance.lending
    message = event.message
    sender = event.sender
    now = event.now
    match message:
        case LoanRequest():
            reply = lending.on_request(
                message, sender, now, leaving=instance.leaving is not None
            )
            yield SendMessage(reply.receiver.name, reply.message)
        case LoanGrant():
            for answer in lending.on_grant(message, sender, now):
                yield SendMessage(answer.receiver.name, answer.message)
            yield from _dispatch_group(instance, message.group, now)
        case LoanRecall():
            for answer in lending.on_recall(message, sender, now):
                yield SendMessage(answer.receiver.name, answer.message)
        case LoanReturn():
            loan = LoanId(sender, message.loan)
            lent = instance.ledger.lent.get(loan)
            instance.ledger.apply_return(loan, message.kept_parts, now)
            if lent:
                yield from _dispatch_group(instance, lent.group, now)


def _dispatch_group(
    instance: Instance,
    group: GroupKey | str,
    now: float,
) -> Iterator[Effect]:
    kind, _, service = group.partition('/')
    if kind == 'slots' and service in instance.services:
        yield from dispatch_waiting(instance, service, now)
