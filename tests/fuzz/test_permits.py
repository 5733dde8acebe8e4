"""Permits between three instances against one shared truth.

A state machine borrows, lends, uses, returns, recalls, renews; messages are
delivered late, out of order, twice or never; clocks run apart.  After every
step the permits in use are counted over all instances: they never exceed the
limit.
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


class _Node:
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
    def begin(self) -> None:
        self.now = 0.0
        self.nodes = {
            name: _Node(name, seat) for seat, name in enumerate(_NAMES)
        }
        self.wire: list[tuple[str, str, Any]] = []

    def clock(self, node: _Node) -> float:
        return self.now + node.offset

    def post(self, sender: str, messages: list[LoanMessage]) -> None:
        for one in messages:
            self.wire.append((sender, one.receiver.name, one.message))

    @rule(step=st.sampled_from((0.05, 0.5, 1.9, 3.0, 7.0)))
    def time_passes(self, step: float) -> None:
        self.now += step
        for node in self.nodes.values():
            # Nothing runs for longer than the longest run.
            for hold, started in tuple(node.holds):
                if self.now - started >= _SETTINGS.longest_run:
                    self.end(node, hold, started)

    @rule(name=st.sampled_from(_NAMES))
    def tick(self, name: str) -> None:
        node = self.nodes[name]
        self.post(name, list(node.lending.tick(self.clock(node))))

    @rule(name=st.sampled_from(_NAMES), waiting=st.integers(0, 4))
    def ask(self, name: str, waiting: int) -> None:
        node = self.nodes[name]
        node.lending.set_shortage(_GROUP, waiting)
        lenders = [
            Lender(other.who, None)
            for other in self.nodes.values()
            if other is not node
        ]
        asks = node.lending.request_loan(_GROUP, lenders, self.clock(node))
        self.post(name, list(asks))

    @rule(name=st.sampled_from(_NAMES), key=st.sampled_from(list(_POOLS)))
    def take(self, name: str, key: PoolKey) -> None:
        node = self.nodes[name]
        hold = node.ledger.take(key, self.clock(node))
        if isinstance(hold, Hold):
            node.holds.append((hold, self.now))
            node.lending.record_use(_GROUP)

    @rule(name=st.sampled_from(_NAMES), pick=st.integers(0, 9))
    def release(self, name: str, pick: int) -> None:
        node = self.nodes[name]
        if node.holds:
            self.end(node, *node.holds[pick % len(node.holds)])

    def end(self, node: _Node, hold: Hold, started: float) -> None:
        node.holds.remove((hold, started))
        node.ledger.release(hold, self.clock(node))
        if hold.loan:
            ended = node.lending.on_release(hold.loan, self.clock(node))
            self.post(node.who.name, list(ended))

    @rule(pick=st.integers(0, 50), keep=st.booleans())
    def deliver(self, pick: int, keep: bool) -> None:
        if not self.wire:
            return
        index = pick % len(self.wire)
        entry = self.wire[index]
        if not keep:
            self.wire.pop(index)
        sender, receiver, message = entry
        self.receive(self.nodes[sender].who, receiver, message)

    @rule(pick=st.integers(0, 50))
    def lose(self, pick: int) -> None:
        if self.wire:
            self.wire.pop(pick % len(self.wire))

    def receive(self, sender: Incarnation, name: str, message: Any) -> None:
        node = self.nodes[name]
        now = self.clock(node)
        match message:
            case LoanRequest():
                answer = node.lending.on_request(message, sender, now)
                self.post(name, [answer])
            case LoanGrant():
                answers = node.lending.on_grant(message, sender, now)
                self.post(name, list(answers))
            case LoanRecall():
                answers = node.lending.on_recall(message, sender, now)
                self.post(name, list(answers))
            case LoanReturn():
                loan = LoanId(sender, message.loan)
                node.ledger.apply_return(loan, message.kept_parts, now)

    @invariant()
    def never_more_than_the_limit(self) -> None:
        for key, limit in _POOLS.items():
            used = sum(
                node.ledger.pools[key].total_in_use
                for node in self.nodes.values()
            )
            assert used <= limit, f'{key}: {used} of {limit} in use'

    @invariant()
    def what_may_start_fits_too(self) -> None:
        for key, limit in _POOLS.items():
            total = sum(
                node.ledger.pools[key].total_in_use
                + node.ledger.available(key, self.clock(node))
                for node in self.nodes.values()
            )
            assert total <= limit, f'{key}: {total} of {limit} could run'


TestPermits = PermitMachine.TestCase
