"""Lending of permits between three instances, as a state machine.

The machine borrows, lends, uses, returns, recalls and renews permits.
Messages are delayed, reordered, duplicated or lost, and the clocks of the
instances differ.  After each step, the permits in use on all instances
together must not exceed the limit of the pool.
"""

from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from worksrail.core.identity import Incarnation
from worksrail.core.messages import (
    LoanGrant,
    LoanRecall,
    LoanRequest,
    LoanReturn,
)
from worksrail.core.permits import (
    GroupKey,
    Hold,
    Lender,
    Lending,
    LoanId,
    LoanMessage,
    PermitLedger,
    PoolKey,
    PoolSpec,
)
from worksrail.core.settings import CoreSettings

_GROUP = GroupKey('slots/s')
_POOLS = {PoolKey('slot/a'): 5, PoolKey('slot/b'): 2}
_NAMES = ('x', 'y', 'z')
_SETTINGS = CoreSettings()


class _Instance:
    def __init__(self, name: str, seat: int) -> None:
        self.who = Incarnation(name, 1)
        self.offset = seat * 1000.0
        self.start(seat)

    def start(self, seat: int) -> None:
        self.ledger = PermitLedger(
            _SETTINGS.loan_duration, _SETTINGS.longest_run
        )
        self.ledger.configure(
            1, [PoolSpec(key, _GROUP, n, 3) for key, n in _POOLS.items()]
        )
        self.ledger.drop_splits_before(1)
        self.ledger.hold_seats([seat])
        self.lending = Lending(_SETTINGS, self.ledger)
        self.holds: list[tuple[Hold, float]] = []


class PermitMachine(RuleBasedStateMachine):
    @initialize()
    def start_instances(self) -> None:
        self.now = 0.0
        self.instances = {
            name: _Instance(name, seat) for seat, name in enumerate(_NAMES)
        }
        self.in_transit: list[tuple[str, str, Any]] = []

    def clock(self, instance: _Instance) -> float:
        return self.now + instance.offset

    def send(self, sender: str, messages: list[LoanMessage]) -> None:
        for one in messages:
            self.in_transit.append((sender, one.receiver.name, one.message))

    @rule(step=st.sampled_from((0.05, 0.5, 1.9, 3.0, 7.0)))
    def advance_time(self, step: float) -> None:
        self.now += step
        for instance in self.instances.values():
            # No request runs for longer than ``longest_run``.
            for hold, started in tuple(instance.holds):
                if self.now - started >= _SETTINGS.longest_run:
                    self.end(instance, hold, started)

    @rule(name=st.sampled_from(_NAMES))
    def tick(self, name: str) -> None:
        instance = self.instances[name]
        self.send(name, list(instance.lending.tick(self.clock(instance))))

    @rule(name=st.sampled_from(_NAMES), waiting=st.integers(0, 4))
    def borrow(self, name: str, waiting: int) -> None:
        instance = self.instances[name]
        instance.lending.note_shortage(_GROUP, waiting)
        lenders = [
            Lender(other.who, None)
            for other in self.instances.values()
            if other is not instance
        ]
        requests = instance.lending.ask(_GROUP, lenders, self.clock(instance))
        self.send(name, list(requests))

    @rule(name=st.sampled_from(_NAMES), key=st.sampled_from(list(_POOLS)))
    def take(self, name: str, key: PoolKey) -> None:
        instance = self.instances[name]
        hold = instance.ledger.take(key, self.clock(instance))
        if isinstance(hold, Hold):
            instance.holds.append((hold, self.now))
            instance.lending.note_use(_GROUP)

    @rule(name=st.sampled_from(_NAMES), pick=st.integers(0, 9))
    def release(self, name: str, pick: int) -> None:
        instance = self.instances[name]
        if instance.holds:
            self.end(instance, *instance.holds[pick % len(instance.holds)])

    def end(self, instance: _Instance, hold: Hold, started: float) -> None:
        instance.holds.remove((hold, started))
        instance.ledger.release(hold, self.clock(instance))
        if hold.loan:
            ended = instance.lending.on_release(hold.loan, self.clock(instance))
            self.send(instance.who.name, list(ended))

    @rule(pick=st.integers(0, 50), duplicate=st.booleans())
    def deliver_message(self, pick: int, duplicate: bool) -> None:
        if not self.in_transit:
            return
        index = pick % len(self.in_transit)
        entry = self.in_transit[index]
        if not duplicate:
            self.in_transit.pop(index)
        sender, receiver, message = entry
        self.receive(self.instances[sender].who, receiver, message)

    @rule(pick=st.integers(0, 50))
    def lose_message(self, pick: int) -> None:
        if self.in_transit:
            self.in_transit.pop(pick % len(self.in_transit))

    def receive(self, sender: Incarnation, name: str, message: Any) -> None:
        instance = self.instances[name]
        now = self.clock(instance)
        match message:
            case LoanRequest():
                answer = instance.lending.on_request(message, sender, now)
                self.send(name, [answer])
            case LoanGrant():
                answers = instance.lending.on_grant(message, sender, now)
                self.send(name, list(answers))
            case LoanRecall():
                answers = instance.lending.on_recall(message, sender, now)
                self.send(name, list(answers))
            case LoanReturn():
                loan_id = LoanId(sender, message.loan)
                instance.ledger.apply_return(loan_id, message.kept_parts, now)

    @invariant()
    def permits_in_use_stay_within_the_limit(self) -> None:
        for key, limit in _POOLS.items():
            used = sum(
                instance.ledger.pools[key].total_in_use
                for instance in self.instances.values()
            )
            assert used <= limit, f'{key}: {used} of {limit} in use'

    @invariant()
    def usable_permits_stay_within_the_limit(self) -> None:
        for key, limit in _POOLS.items():
            total = sum(
                instance.ledger.pools[key].total_in_use
                + instance.ledger.available(key, self.clock(instance))
                for instance in self.instances.values()
            )
            assert total <= limit, f'{key}: {total} of {limit} could run'


TestPermits = PermitMachine.TestCase
