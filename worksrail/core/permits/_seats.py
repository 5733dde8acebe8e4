"""Which seats this instance holds, and how seats change hands.

A seat changes hands in two ways.  Its holder *offers* it to one incarnation
and never uses it again; this needs no store.  Or, when its holder has gone,
another instance *claims* it through the store: an intent must have stood in
the table, uncontested, for as long as anything of the old holder could run.
The claim is a conditional update, so of two claimants one wins.

A claim is refused as long as any instance that the platform lists as live in
the region is not heard, or anybody heard holds the seat.  An instance that
hears nobody at all, store included, lets its permits rest well before such
a claim can come to an end.
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
    """A seat on its way to another instance."""

    offer: SeatOffer
    """What is offered and to whom."""

    sent_at: float = float('-inf')
    """When it was last sent; once sent it cannot be withdrawn."""


@dataclass(frozen=True, slots=True)
class SeatContext:
    """What the seat decisions need to know of the rest of the instance."""

    membership: Membership
    """The other instances."""

    settings: CoreSettings
    """Times."""

    now: float
    """Monotonic time in seconds."""

    status: MemberStatus
    """Status of this instance."""


@dataclass(slots=True)
class SeatManager:
    """The seats of one instance and what it knows of the table."""

    own: Incarnation
    """This instance."""

    region: RegionName
    """Its region."""

    started_at: float
    """When this incarnation began."""

    held: dict[int, int] = field(default_factory=dict)
    """Epoch of each seat that is held."""

    offers: dict[int, OpenOffer] = field(default_factory=dict)
    """Seats on their way to others."""

    table: SeatTable | None = None
    """The newest table read."""

    version: int = 0
    """Its version."""

    read_at: float | None = None
    """When the table was last read; None before the first time."""

    wanted_seats: int = 0
    """Number of seats that the bundle asks for."""

    writing: bool = False
    """An update is on its way."""

    unheld_since: dict[int, float] = field(default_factory=dict)
    """Since when nobody heard holds a seat."""

    intents: dict[int, float] = field(default_factory=dict)
    """When an own intent was first seen in the table, by seat."""

    known_epochs: dict[int, int] = field(default_factory=dict)
    """Highest epoch heard of, by seat."""

    # -- what is seen

    def on_table(
        self,
        table: SeatTable | None,
        version: int,
        now: float,
    ) -> list[int]:
        """Take in a table read; give the seats that were lost by it."""
        self.read_at = now
        if version < self.version:
            return []
        self.table = table or SeatTable.empty(self.region, 0)
        self.version = version
        lost = [seat for seat in self.table.seats if self._is_lost(seat)]
        for record in lost:
            self.held.pop(record.seat, None)
            self.offers.pop(record.seat, None)
        self._note_intents(now)
        return [record.seat for record in lost]

    def on_offer(self, offer: SeatOffer) -> SeatTaken | None:
        """Take a seat that is offered to this incarnation."""
        if offer.receiver != self.own:
            return None
        if offer.epoch > self.known_epochs.get(offer.seat, -1):
            self.held[offer.seat] = offer.epoch
            self.known_epochs[offer.seat] = offer.epoch
        return SeatTaken(offer.seat, offer.epoch)

    def on_offer_accepted(self, answer: SeatTaken) -> None:
        """End an offer that was taken."""
        offer = self.offers.get(answer.seat)
        if offer and offer.offer.epoch == answer.epoch:
            self.offers.pop(answer.seat)

    def observe(self, view: SeatContext) -> None:
        """Keep account of seats that nobody heard holds."""
        spoken_for = set(self.held) | set(self.offers)
        for record in self._heard_here(view):
            for held in record.seats:
                spoken_for.add(held.seat)
                self._note_epoch(held)
        for number in range(self._seat_count()):
            if number in spoken_for:
                self.unheld_since.pop(number, None)
            else:
                self.unheld_since.setdefault(number, view.now)

    # -- what is done

    def offer(self, seat: int, receiver: Incarnation) -> None:
        """Stop using a seat for good and offer it to another instance."""
        epoch = self.held.pop(seat) + 1
        self.known_epochs[seat] = epoch
        self.offers[seat] = OpenOffer(SeatOffer(seat, epoch, receiver))

    def drop_stale_offers(self, view: SeatContext) -> None:
        """End offers whose receiver has gone; the seat is then claimed."""
        for seat, open_offer in tuple(self.offers.items()):
            receiver = open_offer.offer.receiver
            if view.membership.has_ended(
                receiver, view.now, view.settings.reclaim_after
            ):
                self.offers.pop(seat)

    def withdraw(self, seat: int) -> None:
        """Take back an offer that was never sent."""
        open_offer = self.offers.pop(seat)
        self.held[seat] = open_offer.offer.epoch

    def next_table(self, view: SeatContext) -> SeatTable | None:
        """The table as this instance would have it; None for no change."""
        if self.table is None or self.writing or self.read_at is None:
            return None
        table = self.table.grown(self.wanted_seats)
        for record in table.seats:
            wanted = self._wanted_record(record, view)
            if wanted != record:
                table = table.replaced(wanted)
        return None if table == self.table else table

    def adopt_recorded_seats(self) -> list[int]:
        """Hold the seats that the table gives this incarnation."""
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
        """A seat to give to an instance that has none, if this one has two."""
        if len(self.held) < 2 or self.offers:
            return None
        needy = [
            record.who
            for record in view.membership.accepting_work(
                view.now, view.settings, self.region
            )
            if not record.seats
        ]
        if not needy:
            return None
        seat = max(self.held)
        name = rendezvous(f'surplus/{seat}', [who.name for who in needy])
        return seat, next(who for who in needy if who.name == name)

    def successor(self, view: SeatContext) -> Incarnation | None:
        """Who takes the seats of a leaving instance: fewest seats first."""
        open_records = list(
            view.membership.accepting_work(view.now, view.settings, self.region)
        )
        if not open_records:
            return None
        return min(
            open_records,
            key=lambda record: (len(record.seats), record.who.name),
        ).who

    def drop_all_seats(self) -> None:
        """Give up all seats without handing them on."""
        self.held.clear()
        self.offers.clear()
        self.intents.clear()

    # -- helpers

    def _seat_count(self) -> int:
        recorded = len(self.table.seats) if self.table else 0
        return max(recorded, self.wanted_seats)

    def _heard_here(self, view: SeatContext) -> list[MemberRecord]:
        alive = view.settings.dead_after * view.membership.timeout_factor(
            view.settings
        )
        return [
            member.record
            for member in view.membership.members.values()
            if view.now - member.received_at < alive
            and member.record.status is not MemberStatus.LEFT
            and member.record.place.region == self.region
        ]

    def _note_epoch(self, seat: HeldSeat) -> None:
        known = self.known_epochs.get(seat.seat, -1)
        if seat.epoch > known:
            self.known_epochs[seat.seat] = seat.epoch
            # Somebody holds it under a newer epoch than this instance.
            self.held.pop(seat.seat, None)

    def _is_lost(self, record: SeatRecord) -> bool:
        epoch = self.held.get(record.seat, -1)
        open_offer = self.offers.get(record.seat)
        if open_offer:
            epoch = open_offer.offer.epoch
        return 0 <= epoch < record.epoch and record.holder != self.own

    def _note_intents(self, now: float) -> None:
        records = self.table.seats if self.table else ()
        mine = {one.seat for one in records if one.intent == self.own}
        self.intents = {
            seat: self.intents.get(seat, now) for seat in sorted(mine)
        }

    def _wanted_record(
        self, record: SeatRecord, view: SeatContext
    ) -> SeatRecord:
        epoch = self.held.get(record.seat)
        if epoch is not None:
            return self._defended(record, epoch)
        if view.status is not MemberStatus.READY:
            return record
        if not self._may_claim(record, view):
            return self._without_own_intent(record)
        if not record.holder.name or self._is_own_past(record, view):
            return self._claimed(record)
        return self._pursued(record, view)

    def _defended(self, record: SeatRecord, epoch: int) -> SeatRecord:
        if record.epoch > epoch:
            return record
        return SeatRecord(record.seat, self.own, epoch)

    def _without_own_intent(self, record: SeatRecord) -> SeatRecord:
        if record.intent != self.own:
            return record
        return SeatRecord(record.seat, record.holder, record.epoch)

    def _claimed(self, record: SeatRecord) -> SeatRecord:
        return SeatRecord(record.seat, self.own, claim_epoch(record.epoch))

    def _pursued(self, record: SeatRecord, view: SeatContext) -> SeatRecord:
        unheld = self.unheld_since.get(record.seat, view.now)
        if view.now - unheld < view.settings.reclaim_after:
            return record
        if record.intent != self.own:
            if self._is_pursued_by_another(record, view):
                return record
            return SeatRecord(
                record.seat, record.holder, record.epoch, self.own
            )
        since = self.intents.get(record.seat, view.now)
        if view.now - since < view.settings.reclaim_after:
            return record
        return self._claimed(record)

    def _is_pursued_by_another(
        self,
        record: SeatRecord,
        view: SeatContext,
    ) -> bool:
        # Two claimants that replace each other's intents would both fail.
        settings = view.settings
        unheld = view.now - self.unheld_since.get(record.seat, view.now)
        return unheld < 4 * settings.reclaim_after and (
            view.membership.seen_within(
                record.intent.name, view.now, settings.dead_after
            )
        )

    def _is_own_past(self, record: SeatRecord, view: SeatContext) -> bool:
        # The same name runs once: its earlier process has ended, and what
        # it lent or sent has ended after this time.
        rest = view.settings.loan_duration + view.settings.longest_run
        return (
            record.holder.name == self.own.name
            and record.holder.number < self.own.number
            and view.now - self.started_at >= rest
        )

    def _may_claim(self, record: SeatRecord, view: SeatContext) -> bool:
        if record.seat in self.offers or record.seat >= self.wanted_seats:
            return False
        if record.seat not in self.unheld_since:
            return False
        if record.holder.name and not self._all_listed_heard(view):
            return False
        return self._is_claimant(record.seat, view)

    def _all_listed_heard(self, view: SeatContext) -> bool:
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

    def _is_claimant(self, seat: int, view: SeatContext) -> bool:
        counts = {self.own.name: len(self.held)}
        for record in view.membership.accepting_work(
            view.now, view.settings, self.region
        ):
            counts[record.who.name] = len(record.seats)
        fewest = min(counts.values())
        names = [name for name, count in counts.items() if count == fewest]
        if rendezvous(f'claim/{self.region}/{seat}', names) == self.own.name:
            return True
        # The instance whose turn it is may not reach the store.
        waited = view.now - self.unheld_since.get(seat, view.now)
        return waited >= 2 * view.settings.reclaim_after
