"""Plays a plan on one way, and judges it by what was admitted."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from worksrail.bench.limits._network import Network
from worksrail.bench.limits._plan import Asking, FaultKind, Plan
from worksrail.bench.limits._ways import Way
from worksrail.core.customers import Quota
from worksrail.core.limits import SharedLimit, TokenBucket, quota_limit

_TICK: Final = 0.1
# Seconds after which entries notice that another one has gone or is back.
_NOTICED: Final = 1.2
# Seconds that a killed entry needs to serve again, and to know the others.
_RESTART: Final = 1.0
_SETTLED: Final = 0.5


@dataclass(slots=True)
class _Account:
    """What one customer was admitted, as its upstreams see it."""

    quota: Quota
    ideal: TokenBucket
    admitted: deque[float] = field(default_factory=deque)
    served: int = 0
    owed: int = 0


@dataclass(slots=True)
class Outcome:
    """What callers and upstreams have seen."""

    asked: int = 0
    """Requests."""

    refused: int = 0
    """Those that were refused."""

    short: int = 0
    """Admissions that one token bucket for all entries would have given
    besides, with each quota's own rate and burst."""

    worst: float = 0
    """Most that a customer was admitted in a window, over its bound."""

    messages: float = 0
    """Datagrams a second and entry."""

    sent: float = 0
    """Their bytes a second and entry."""

    delays: list[float] = field(default_factory=list)
    """Seconds that each request waited for its verdict."""

    @property
    def inside(self) -> float:
        """Share of all requests that were owed and refused."""
        return self.short / max(1, self.asked)

    @property
    def mean_delay(self) -> float:
        """Mean of the delays, in seconds."""
        return sum(self.delays) / max(1, len(self.delays))


@dataclass(slots=True)
class _Player:
    plan: Plan
    network: Network
    way: Way
    rng: random.Random
    outcome: Outcome
    accounts: dict[str, _Account]
    gone: set[int] = field(default_factory=set)

    def start(self) -> None:
        """Plan everything."""
        self._follow(1)
        self._join()
        for entry in range(self.plan.entries):
            self.network.after(
                self.rng.uniform(0, _TICK), partial(self._tick, entry)
            )
        for customer in self.plan.customers:
            self._plan_next(customer)
        for fault in self.plan.faults:
            actions = {
                FaultKind.KILL: partial(self._kill, fault.share),
                FaultKind.CUT: partial(self._cut, fault.share, fault.lasts),
                FaultKind.LOWER: partial(self._follow, fault.share),
            }
            self.network.after(fault.at, actions[fault.kind])

    def _follow(self, share: float) -> None:
        # Only the first customer's quota changes.
        limits: dict[str, SharedLimit] = {}
        for number, customer in enumerate(self.plan.customers):
            quota = customer.quota
            if number == 0:
                quota = Quota(quota.rate * share, quota.burst * share)
                self.network.after(
                    self.plan.bounds.window,
                    partial(self._bind, customer.name, quota),
                )
            limits[customer.name] = quota_limit(quota, self.plan.bounds)
        self.way.follow(limits)

    def _bind(self, customer: str, quota: Quota) -> None:
        # A lower quota binds one window after it came into force.
        account = self.accounts[customer]
        account.quota = quota
        account.ideal.resize(quota.rate, quota.burst, self.network.now)

    def _join(self) -> None:
        everyone = set(range(self.plan.entries))
        self.way.join(frozenset(everyone - self.network.away))

    def _tick(self, entry: int) -> None:
        if entry not in self.gone:
            self.way.tick(entry)
        self.network.after(_TICK, partial(self._tick, entry))

    def _kill(self, share: float) -> None:
        killed = self._draw(share)
        self.gone |= killed
        self.network.away |= killed
        self.network.after(_NOTICED, self._join)
        self.network.after(_RESTART, partial(self._restart, killed))

    def _restart(self, killed: set[int]) -> None:
        for entry in killed:
            self.way.restart(entry)
        self.gone -= killed
        self.network.away -= killed
        self.network.after(_SETTLED, self._join)

    def _cut(self, share: float, lasts: float) -> None:
        cut = self._draw(share)
        self.network.away |= cut
        self.network.after(_NOTICED, self._join)
        self.network.after(lasts, partial(self._heal, cut))

    def _heal(self, cut: set[int]) -> None:
        self.network.away -= cut
        self.network.after(_NOTICED, self._join)

    def _draw(self, share: float) -> set[int]:
        count = round(self.plan.entries * share)
        return set(self.rng.sample(range(self.plan.entries), count))

    def _plan_next(self, customer: Asking) -> None:
        begin, end, times = customer.hot
        rate = customer.rate
        if begin <= self.network.now < end:
            rate *= times
        self.network.after(
            self.rng.expovariate(rate), partial(self._ask, customer)
        )

    def _ask(self, customer: Asking) -> None:
        self._plan_next(customer)
        entry = self.rng.randrange(self.plan.entries)
        if entry in self.gone:
            return
        self.outcome.asked += 1
        asked_at = self.network.now
        self.way.admit(
            entry, customer.name, partial(self._end, customer.name, asked_at)
        )

    def _end(self, customer: str, asked_at: float, admitted: bool) -> None:
        now = self.network.now
        self.outcome.delays.append(now - asked_at)
        account = self.accounts[customer]
        account.owed += account.ideal.take(1, now)
        if admitted:
            account.served += 1
            self._judge(account, now)
        else:
            self.outcome.refused += 1

    def _judge(self, account: _Account, now: float) -> None:
        bounds = self.plan.bounds
        account.admitted.append(now)
        while account.admitted[0] <= now - bounds.window:
            account.admitted.popleft()
        quota = account.quota
        in_window = quota.rate * bounds.window + quota.burst
        bound = in_window * (1 + bounds.overage) + bounds.slack
        worst = len(account.admitted) / bound
        self.outcome.worst = max(self.outcome.worst, worst)


def _account_of(quota: Quota) -> _Account:
    ideal = TokenBucket(quota.rate, quota.burst, quota.burst, 0)
    return _Account(quota, ideal)


def play(plan: Plan, make: Callable[[Network], Way]) -> Outcome:
    """Play a plan on one way; the same plan always goes the same."""
    network = Network(plan.entries, plan.loss, random.Random(plan.seed))
    outcome = Outcome()
    accounts = {one.name: _account_of(one.quota) for one in plan.customers}
    # Arrivals do not depend on the messages of a way.
    arrivals = random.Random(plan.seed + 1)
    player = _Player(plan, network, make(network), arrivals, outcome, accounts)
    player.start()
    network.run(plan.seconds)
    spread = plan.seconds * plan.entries
    outcome.short = sum(
        max(0, account.owed - account.served) for account in accounts.values()
    )
    outcome.messages = network.messages / spread
    outcome.sent = network.sent / spread
    return outcome
