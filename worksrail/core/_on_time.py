"""Periodic work: heartbeats, loans, seats, queued requests and leaving."""

import heapq
from collections.abc import Iterable, Iterator
from typing import Final

from worksrail.core._arriving import maintain_limits
from worksrail.core._availability import maintain_availability
from worksrail.core._borrowing import borrow_all, send_effect
from worksrail.core._dispatching import (
    dispatch_waiting,
    expire_queued,
    expire_retries,
)
from worksrail.core._on_configuration import (
    cached_answer_lifetime,
    refresh_ceilings,
    retry_fetch,
)
from worksrail.core._pacing import maintain_pacing, named_limits_to_advertise
from worksrail.core._quarantining import crashes_to_advertise
from worksrail.core.effects import (
    BecomeIncarnation,
    Effect,
    ExitProcess,
    Note,
    NoteKind,
    SendMessage,
    WriteSeatTable,
)
from worksrail.core.events import (
    InstanceListRead,
    SeatTableRead,
    SeatTableWritten,
    StopRequested,
    Ticked,
    WriteOutcome,
)
from worksrail.core.identity import Incarnation
from worksrail.core.instance import Instance, LeaveState
from worksrail.core.messages import Heartbeat, MemberRecord, MemberStatus
from worksrail.core.permits import (
    SeatTable,
)

_SEAT_WRITE_INTERVAL: Final = 0.5
_LEAVE_MARGIN: Final = 3.0


def on_tick(instance: Instance, event: Ticked) -> Iterator[Effect]:
    """Run all periodic work that is due."""
    now = event.now
    instance.wall = max(instance.wall, event.wall)
    yield from _release_due(instance, now)
    yield from _follow_isolation(instance, now)
    for answer in instance.lending.tick(now):
        yield send_effect(answer)
    yield from _process_queues(instance, now)
    yield from borrow_all(instance, now)
    refresh_ceilings(instance, now)
    yield from _maintain_rates(instance, now)
    yield from _periodic_tasks(instance, now)


def _maintain_rates(instance: Instance, now: float) -> Iterator[Effect]:
    yield from maintain_limits(instance, now)
    yield from maintain_pacing(instance, now)
    yield from maintain_availability(instance, now)


def _periodic_tasks(instance: Instance, now: float) -> Iterator[Effect]:
    yield from retry_fetch(instance, now)
    yield from _leave(instance, now)
    if now >= instance.next_heartbeat_at:
        instance.next_heartbeat_at = now + instance.settings.heartbeat_interval
        yield from _heartbeat_round(instance, now)


def rejoin_after_pause(instance: Instance, now: float) -> Iterator[Effect]:
    """Rejoin as a new incarnation that holds no seats or permits.

    Other instances may have claimed the seats and permits during the pause, so
    this instance must not act as their holder any more.
    """
    who = Incarnation(instance.who.name, instance.who.number + 1)
    yield Note(NoteKind.PAUSED, instance.who.label)
    instance.who = who
    instance.membership.own = who
    instance.membership.last_contact_at = now
    instance.seats.own = who
    instance.seats.started_at = now
    instance.seats.drop_all_seats()
    instance.seats.unheld_since.clear()
    instance.started_at = now
    instance.isolated = False
    _reset_rate_shares(instance, now)
    for answer in instance.lending.return_all_loans(now):
        yield send_effect(answer)
    yield from sync_ledger(instance)
    yield BecomeIncarnation(who)
    yield Note(NoteKind.REJOINED, who.label)


def _reset_rate_shares(instance: Instance, now: float) -> None:
    instance.limits.handle_pause(now)
    instance.pacer.handle_pause()


def on_instance_list(
    instance: Instance,
    event: InstanceListRead,
) -> Iterator[Effect]:
    """Store the platform's list of instances, which may be outdated."""
    instance.store_contact_at = event.now
    instance.membership.listed = {
        listed.name: listed for listed in event.instances
    }
    yield from ()


def on_seat_table(instance: Instance, event: SeatTableRead) -> Iterator[Effect]:
    """Apply a seat table read from the store."""
    instance.store_contact_at = event.now
    yield from _apply_seat_table(
        instance, event.table, event.version, event.now
    )


def on_seats_written(
    instance: Instance,
    event: SeatTableWritten,
) -> Iterator[Effect]:
    """Handle the outcome of this instance's update of the seat table."""
    instance.seats.writing = False
    if event.outcome is WriteOutcome.DONE:
        instance.store_contact_at = event.now
        yield from _apply_seat_table(
            instance, event.table, event.version, event.now
        )
    else:
        # Force a new read of the table before the next attempt.
        instance.seats.read_at = None


def on_stop(instance: Instance, event: StopRequested) -> Iterator[Effect]:
    """Start a graceful stop."""
    accepts_until = event.now + cached_answer_lifetime(instance)
    if instance.leaving:
        if instance.leaving.exits:
            return
        # A drained entry may have handed on its seats.
        accepts_until = min(accepts_until, instance.leaving.accepts_until)
    instance.leaving = LeaveState(
        event.now, exits=True, accepts_until=accepts_until
    )
    yield Note(NoteKind.LEAVING, instance.who.label)
    yield from _broadcast_record(instance, event.now)


def sync_ledger(instance: Instance) -> Iterator[Effect]:
    """Update the ledger to the seats held; while isolated, to none."""
    seats = () if instance.isolated else instance.seats.held
    instance.ledger.hold_seats(seats)
    yield from ()


# -- due releases and queued requests


def _release_due(instance: Instance, now: float) -> Iterator[Effect]:
    while instance.releases and instance.releases[0].at <= now:
        release = heapq.heappop(instance.releases)
        instance.ledger.release(release.hold, now)
        if release.hold.loan:
            for answer in instance.lending.on_release(release.hold.loan, now):
                yield send_effect(answer)


def _process_queues(instance: Instance, now: float) -> Iterator[Effect]:
    for service, state in instance.services.items():
        if not state.retries.entries and not state.queue.entries:
            continue
        # A slot or retry that is free now goes to a request whose wait ends.
        yield from dispatch_waiting(instance, service, now)
        yield from expire_retries(instance, service, now)
        yield from expire_queued(instance, service, now)


# -- heartbeats, seats and their shares


def _heartbeat_round(instance: Instance, now: float) -> Iterator[Effect]:
    instance.membership.forget_dead(now, instance.settings)
    targets = instance.membership.round_targets(now, instance.settings)
    sample = instance.membership.sample(instance.settings)
    message = Heartbeat(
        instance.record(now),
        sample,
        crashes_to_advertise(instance, now),
        named_limits_to_advertise(instance, now),
    )
    for target in targets:
        yield SendMessage(target, message)
    _sum_peer_slot_usage(instance, now)
    instance.seats.observe(instance.seat_view(now))
    yield from sync_ledger(instance)
    yield from _send_seat_offers(instance, now)
    yield from _write_seats(instance, now)
    _settle(instance, now)


def _send_seat_offers(instance: Instance, now: float) -> Iterator[Effect]:
    view = instance.seat_view(now)
    manager = instance.seats
    manager.drop_stale_offers(view)
    if instance.status(now) is MemberStatus.READY:
        surplus = manager.surplus_receiver(view)
        if surplus:
            manager.offer(*surplus)
            yield from sync_ledger(instance)
    for open_offer in manager.offers.values():
        due = now - open_offer.sent_at >= instance.settings.offer_interval
        if due and instance.ledger.fits(manager.held):
            open_offer.sent_at = now
            offer = open_offer.offer
            yield SendMessage(offer.receiver.name, offer)
            yield Note(NoteKind.SEAT_OFFERED, str(offer.seat))


def _write_seats(instance: Instance, now: float) -> Iterator[Effect]:
    if now < instance.next_seat_write_at or instance.isolated:
        return
    table = instance.seats.next_table(instance.seat_view(now))
    if table is None:
        return
    instance.seats.writing = True
    instance.next_seat_write_at = now + _SEAT_WRITE_INTERVAL
    yield WriteSeatTable(instance.seats.version, table)
    for record in table.seats:
        if record.intent == instance.who:
            yield Note(NoteKind.SEAT_INTENT, str(record.seat))


def _apply_seat_table(
    instance: Instance,
    table: SeatTable | None,
    version: int,
    now: float,
) -> Iterator[Effect]:
    for lost in instance.seats.on_table(table, version, now):
        yield Note(NoteKind.SEAT_LOST, str(lost))
    for gained in instance.seats.adopt_recorded_seats():
        yield Note(NoteKind.SEAT_HELD, str(gained))
    yield from sync_ledger(instance)


def _sum_peer_slot_usage(instance: Instance, now: float) -> None:
    use: dict[str, int] = {}
    for record in instance.membership.live(
        now, instance.settings, instance.place.region
    ):
        for spare in record.spares:
            used = spare.usable - spare.idle
            use[spare.service] = use.get(spare.service, 0) + used
    instance.peer_slot_usage = use


def _settle(instance: Instance, now: float) -> None:
    generation = instance.configuration.generation
    if instance.settled < generation:
        if instance.ledger.fits(instance.seats.held):
            instance.settled = generation
    if instance.status(now) is MemberStatus.JOINING:
        return
    others = [
        member.record.settled
        for member in instance.membership.members.values()
        if member.record.place.region == instance.place.region
        and member.record.status is not MemberStatus.LEFT
        and now - member.received_at < instance.settings.reclaim_after
    ]
    instance.ledger.drop_splits_before(min((instance.settled, *others)))


# -- isolation


def _follow_isolation(instance: Instance, now: float) -> Iterator[Effect]:
    contact = max(
        instance.membership.last_contact_at,
        instance.store_contact_at,
        instance.started_at,
    )
    silence = now - contact
    has_no_peers = not instance.membership.members
    isolated = not has_no_peers and silence >= instance.settings.isolation_after
    if isolated and not instance.isolated:
        instance.isolated = True
        instance.isolated_since = contact
        yield from sync_ledger(instance)
        yield Note(NoteKind.ISOLATED, instance.who.label)
    elif instance.isolated and not isolated:
        yield from _end_isolation(instance, now)


def _end_isolation(instance: Instance, now: float) -> Iterator[Effect]:
    claim_timeout = 2 * instance.settings.reclaim_after
    isolated_for = now - instance.isolated_since
    if isolated_for >= claim_timeout - instance.settings.pause_limit:
        yield from rejoin_after_pause(instance, now)
    else:
        instance.isolated = False
        yield from sync_ledger(instance)


# -- leaving


def _leave(instance: Instance, now: float) -> Iterator[Effect]:
    leaving = instance.leaving
    if leaving is None or leaving.done or now < leaving.accepts_until:
        return
    if instance.requests:
        return
    instance.lending.recall_everything()
    for answer in instance.lending.return_all_loans(now):
        yield send_effect(answer)
    yield from _transfer_seats(instance, now)
    if not _has_transferred_all(instance, now):
        return
    leaving.done = True
    yield Note(NoteKind.LEFT, instance.who.label)
    if leaving.exits:
        yield from _broadcast_record(instance, now)
        yield ExitProcess()


def _transfer_seats(instance: Instance, now: float) -> Iterator[Effect]:
    successor = instance.seats.successor(instance.seat_view(now))
    if successor and instance.seats.held and not instance.seats.offers:
        instance.seats.offer(min(instance.seats.held), successor)
        yield from sync_ledger(instance)


def _has_transferred_all(instance: Instance, now: float) -> bool:
    if not instance.seats.held and not instance.seats.offers:
        return True
    settings = instance.settings
    max_wait = settings.loan_duration + settings.longest_run + _LEAVE_MARGIN
    leaving = instance.leaving
    waited = now - leaving.accepts_until if leaving else 0
    return waited >= max_wait


def _broadcast_record(instance: Instance, now: float) -> Iterator[Effect]:
    instance.membership.counter += 1
    message = Heartbeat(instance.record(now))
    yield from _broadcast(instance, message, now)


def _broadcast(
    instance: Instance,
    message: Heartbeat,
    now: float,
) -> Iterator[Effect]:
    near: Iterable[MemberRecord] = instance.membership.live(
        now, instance.settings, instance.place.region
    )
    names = {record.who.name for record in near}
    far = [
        record.who.name
        for record in instance.membership.live(now, instance.settings)
        if record.who.name not in names
    ]
    names.update(far[: 2 * instance.settings.heartbeat_fanout])
    for name in sorted(names):
        yield SendMessage(name, message)
