"""The seats that this instance holds, and how seats are transferred.

A seat is transferred in one of two ways.  Its holder *offers* it to one
incarnation and never uses it again; this does not involve the store.  Or,
when its holder has ended, another instance *claims* it through the store: an
intent must have been in the table, uncontested, for as long as requests of
the old holder could still run.  The claim is a conditional update, so only
one of two claimants succeeds.

No claim is made while a heartbeat is missing of any instance that the
platform lists as live in the region, or while an instance whose heartbeats
arrive holds the seat.  An instance that gets no heartbeats and no answers
from the store stops using its permits well before such a claim can succeed.
"""

from dataclasses import dataclass, field

from worksrail.core.identity import Incarnation, RegionName
from worksrail.core.membership import Membership, rendezvous
from worksrail.core.messages import (
    HeldSeat,
    MemberRecord,
    MemberStatus,
    SeatOffer,
    SeatTaken,
)
from worksrail.core.permits._seat_table import (
    SeatRecord,
    SeatTable,
    claim_epoch,
)
from worksrail.core.settings import CoreSettings


@dataclass(slots=True)
class OpenOffer:
    """An offer of a seat that has not been accepted yet."""

    offer: SeatOffer
    """The message to the receiver."""

    sent_at: float = float('-inf')
    """When it was last sent; an offer once sent cannot be withdrawn."""


@dataclass(frozen=True, slots=True)
class SeatContext:
    """State of the instance that the seat decisions depend on."""

    membership: Membership
    """The other instances."""

    settings: CoreSettings
    """Timeouts."""

    now: float
    """Monotonic time in seconds."""

    status: MemberStatus
    """Status of this instance."""


@dataclass(slots=True)
class SeatManager:
    """The seats of one instance and the latest seat table."""

    own: Incarnation
    """This instance."""

    region: RegionName
    """Its region."""

    started_at: float
    """When this incarnation started."""

    held: dict[int, int] = field(default_factory=dict)
    """Epoch of each seat that this instance holds."""

    offers: dict[int, OpenOffer] = field(default_factory=dict)
    """Offers to other instances, by seat."""

    table: SeatTable | None = None
    """The newest table read."""

    version: int = 0
    """Its version."""

    read_at: float | None = None
    """When the table was last read; None before the first read."""

    wanted_seats: int = 0
    """Number of seats that the bundle configures."""

    writing: bool = False
    """Whether an update of the table is in progress."""

    unheld_since: dict[int, float] = field(default_factory=dict)
    """Since when no instance advertises that it holds a seat, by seat."""

    intents: dict[int, float] = field(default_factory=dict)
    """When an own intent was first seen in the table, by seat."""

    known_epochs: dict[int, int] = field(default_factory=dict)
    """Highest known epoch by seat."""

    # -- observations

    def on_table(
        self,
        table: SeatTable | None,
        version: int,
        now: float,
    ) -> list[int]:
        """Store a table read; return the seats that were lost by it."""
        self.read_at = now
        if version < self.version:
            return []
        self.table = table or SeatTable.empty(self.region, 0)
        self.version = version
        lost = [seat for seat in self.table.seats if self._is_lost(seat)]
        for record in lost:
            self.held.pop(record.seat, None)
            self.offers.pop(record.seat, None)
        self._update_intents(now)
        return [record.seat for record in lost]

    def on_offer(self, offer: SeatOffer) -> SeatTaken | None:
        """Accept a seat that is offered to this incarnation."""
        if offer.receiver != self.own:
            return None
        if offer.epoch > self.known_epochs.get(offer.seat, -1):
            self.held[offer.seat] = offer.epoch
            self.known_epochs[offer.seat] = offer.epoch
        return SeatTaken(offer.seat, offer.epoch)

    def on_offer_accepted(self, answer: SeatTaken) -> None:
        """Drop an offer that was accepted."""
        offer = self.offers.get(answer.seat)
        if offer and offer.offer.epoch == answer.epoch:
            self.offers.pop(answer.seat)

    def observe(self, view: SeatContext) -> None:
        """Update since when no instance advertises a seat as held."""
        taken = set(self.held) | set(self.offers)
        for record in self._recent_records(view):
            for held in record.seats:
                taken.add(held.seat)
                self._record_epoch(held)
        for number in range(self._seat_count()):
            if number in taken:
                self.unheld_since.pop(number, None)
            else:
                self.unheld_since.setdefault(number, view.now)

    # -- transfers and claims

    def offer(self, seat: int, receiver: Incarnation) -> None:
        """Permanently stop using a seat and offer it to another instance."""
        epoch = self.held.pop(seat) + 1
        self.known_epochs[seat] = epoch
        self.offers[seat] = OpenOffer(SeatOffer(seat, epoch, receiver))

    def drop_stale_offers(self, view: SeatContext) -> None:
        """Drop offers whose receiver has ended, so that seats get claimed."""
        for seat, open_offer in tuple(self.offers.items()):
            receiver = open_offer.offer.receiver
            if view.membership.has_ended(
                receiver, view.now, view.settings.reclaim_after
            ):
                self.offers.pop(seat)

    def withdraw(self, seat: int) -> None:
        """Withdraw an offer that was never sent."""
        open_offer = self.offers.pop(seat)
        self.held[seat] = open_offer.offer.epoch

    def next_table(self, view: SeatContext) -> SeatTable | None:
        """Return the table to write; None if it needs no change."""
        if self.table is None or self.writing or self.read_at is None:
            return None
        table = self.table.extended(self.wanted_seats)
        for record in table.seats:
            desired = self._desired_record(record, view)
            if desired != record:
                table = table.with_record(desired)
        return None if table == self.table else table

    def adopt_recorded_seats(self) -> list[int]:
        """Hold the seats that the table assigns to this incarnation."""
        gained = []
        for record in self.table.seats if self.table else ():
            known = self.known_epochs.get(record.seat, -1)
            if record.holder == self.own and record.epoch > known:
                self.held[record.seat] = record.epoch
                self.known_epochs[record.seat] = record.epoch
                gained.append(record.seat)
        return gained

    def surplus_receiver(
        self,
        view: SeatContext,
    ) -> tuple[int, Incarnation] | None:
        """Return a seat and an instance without seats to transfer it to.

        None if this instance holds fewer than two seats or offers one already.
        """
        if len(self.held) < 2 or self.offers:
            return None
        without_seats = [
            record.who
            for record in view.membership.accepting_work(
                view.now, view.settings, self.region
            )
            if not record.seats
        ]
        if not without_seats:
            return None
        seat = max(self.held)
        name = rendezvous(
            f'surplus/{seat}', [who.name for who in without_seats]
        )
        return seat, next(who for who in without_seats if who.name == name)

    def successor(self, view: SeatContext) -> Incarnation | None:
        """Return the instance with the fewest seats, to take over the seats.

        None if no live instance of the region accepts work.
        """
        records = list(
            view.membership.accepting_work(view.now, view.settings, self.region)
        )
        if not records:
            return None
        return min(
            records,
            key=lambda record: (len(record.seats), record.who.name),
        ).who

    def drop_all_seats(self) -> None:
        """Drop all seats without transferring them."""
        self.held.clear()
        self.offers.clear()
        self.intents.clear()

    # -- helpers

    def _seat_count(self) -> int:
        recorded = len(self.table.seats) if self.table else 0
        return max(recorded, self.wanted_seats)

    def _recent_records(self, view: SeatContext) -> list[MemberRecord]:
        timeout = view.settings.dead_after * view.membership.timeout_factor(
            view.settings
        )
        return [
            member.record
            for member in view.membership.members.values()
            if view.now - member.received_at < timeout
            and member.record.status is not MemberStatus.LEFT
            and member.record.place.region == self.region
        ]

    def _record_epoch(self, seat: HeldSeat) -> None:
        known = self.known_epochs.get(seat.seat, -1)
        if seat.epoch > known:
            self.known_epochs[seat.seat] = seat.epoch
            # The advertising instance holds it under a newer epoch.
            self.held.pop(seat.seat, None)

    def _is_lost(self, record: SeatRecord) -> bool:
        epoch = self.held.get(record.seat, -1)
        open_offer = self.offers.get(record.seat)
        if open_offer:
            epoch = open_offer.offer.epoch
        return 0 <= epoch < record.epoch and record.holder != self.own

    def _update_intents(self, now: float) -> None:
        records = self.table.seats if self.table else ()
        seats = {one.seat for one in records if one.intent == self.own}
        self.intents = {
            seat: self.intents.get(seat, now) for seat in sorted(seats)
        }

    def _desired_record(
        self, record: SeatRecord, view: SeatContext
    ) -> SeatRecord:
        epoch = self.held.get(record.seat)
        if epoch is not None:
            return self._reasserted(record, epoch)
        if view.status is not MemberStatus.READY:
            return record
        if not self._may_claim(record, view):
            return self._without_own_intent(record)
        if not record.holder.name or self._held_by_predecessor(record, view):
            return self._claimed(record)
        return self._claim_step(record, view)

    def _reasserted(self, record: SeatRecord, epoch: int) -> SeatRecord:
        if record.epoch > epoch:
            return record
        return SeatRecord(record.seat, self.own, epoch)

    def _without_own_intent(self, record: SeatRecord) -> SeatRecord:
        if record.intent != self.own:
            return record
        return SeatRecord(record.seat, record.holder, record.epoch)

    def _claimed(self, record: SeatRecord) -> SeatRecord:
        return SeatRecord(record.seat, self.own, claim_epoch(record.epoch))

    def _claim_step(self, record: SeatRecord, view: SeatContext) -> SeatRecord:
        unheld = self.unheld_since.get(record.seat, view.now)
        if view.now - unheld < view.settings.reclaim_after:
            return record
        if record.intent != self.own:
            if self._defers_to_other_claimant(record, view):
                return record
            return SeatRecord(
                record.seat, record.holder, record.epoch, self.own
            )
        since = self.intents.get(record.seat, view.now)
        if view.now - since < view.settings.reclaim_after:
            return record
        return self._claimed(record)

    def _defers_to_other_claimant(
        self,
        record: SeatRecord,
        view: SeatContext,
    ) -> bool:
        # Claimants that overwrite each other's intents would never succeed.
        settings = view.settings
        unheld = view.now - self.unheld_since.get(record.seat, view.now)
        return unheld < 4 * settings.reclaim_after and (
            view.membership.seen_within(
                record.intent.name, view.now, settings.dead_after
            )
        )

    def _held_by_predecessor(
        self, record: SeatRecord, view: SeatContext
    ) -> bool:
        # At most one process runs under a name, so the earlier one has ended;
        # loans that it granted and requests that it sent end within this time.
        drain_time = view.settings.loan_duration + view.settings.longest_run
        return (
            record.holder.name == self.own.name
            and record.holder.number < self.own.number
            and view.now - self.started_at >= drain_time
        )

    def _may_claim(self, record: SeatRecord, view: SeatContext) -> bool:
        if record.seat in self.offers or record.seat >= self.wanted_seats:
            return False
        if record.seat not in self.unheld_since:
            return False
        if record.holder.name and not self._all_listed_seen(view):
            return False
        return self._is_preferred_claimant(record.seat, view)

    def _all_listed_seen(self, view: SeatContext) -> bool:
        listed = view.membership.listed
        if listed is None:
            return False
        return all(
            view.membership.seen_within(
                name, view.now, view.settings.dead_after
            )
            for name, instance in listed.items()
            if instance.region == self.region and name != self.own.name
        )

    def _is_preferred_claimant(self, seat: int, view: SeatContext) -> bool:
        counts = {self.own.name: len(self.held)}
        for record in view.membership.accepting_work(
            view.now, view.settings, self.region
        ):
            counts[record.who.name] = len(record.seats)
        fewest = min(counts.values())
        names = [name for name, count in counts.items() if count == fewest]
        if rendezvous(f'claim/{self.region}/{seat}', names) == self.own.name:
            return True
        # The preferred claimant may be unable to reach the store.
        waited = view.now - self.unheld_since.get(seat, view.now)
        return waited >= 2 * view.settings.reclaim_after
