"""One instance's side of a budget of repeats that all instances share.

An instance sends repeats within what it has reserved, and tells the others
what that is.  It reserves more out of what is left as far as it knows, and only
so much at once that all others could do the same before they hear of it.  Its
part by load it keeps reserved as long as it wants it or nobody else does.  So
the sum of all reservations holds, whoever has the load: instances that keep a
share of their own requests each would pass the bound when load moves, as those
that lost it have sent for the requests of one window and those that got it send
for the requests of the next.
"""

import random
from collections import deque
from dataclasses import dataclass, field
from math import floor, inf, sqrt
from typing import Final

from worksrail.core._meters import RateMeter
from worksrail.core.budgets._accounts import (
    NEWS_TIME,
    TRAVEL_TIME,
    Room,
)
from worksrail.core.budgets._advertised import REQUEST_PARTS, BudgetUse
from worksrail.core.budgets._sliding_count import TOLD_PARTS, SlidingCount

# Shares of the ratio and of the extra number that are used: requests are told
# of a little late, and reservations rounded.
_RATIO_KEPT: Final = 0.98
_EXTRA_KEPT: Final = 0.9
# Seconds in which all instances have heard of what any of them reserved, and
# each has heard of what these then did.
_ROUND: Final = NEWS_TIME + NEWS_TIME / 2
FIRST_NEWS: Final = _ROUND
"""Seconds after the start of an instance in which it may reserve nothing."""
# Share of what is left that all instances together may reserve in a round,
# and the part of it that goes to those that are known to want more.
_AT_ONCE: Final = 0.9
_FOR_WANTING: Final = 0.75
# Requests a second that each instance is taken to get at the least.
_LEAST_LOAD: Final = 0.1
# Seconds over which the load is averaged.
_LOAD_TIME: Final = 1.0
# Seconds after the last wish for more in which an instance wants more.
_WANTS_FOR: Final = 2.0
# Seconds after which what is reserved and not used goes back to all.
_UNUSED_FOR: Final = 0.4
# Seconds by which requests are told late, most of the time.
_TOLD_LATE: Final = NEWS_TIME / 2
# Parts of the window by whose requests an instance has its part.
_PARTS_OF_LOAD: Final = TOLD_PARTS // 2
# Times its part by load that an instance keeps at most: its load is counted
# in few requests.
_PART_KEPT: Final = 1.25
# Seconds without a wish to repeat after which an instance lends its part.
_IDLE_AFTER: Final = 1.0
# Share of its reservation that an instance keeps for preferred repeats.
_PREFERRED: Final = 0.05


@dataclass(frozen=True, slots=True)
class BudgetBounds:
    """What all instances together may repeat."""

    ratio: float
    """Repeats for each request."""

    window: float
    """Seconds in which both are counted, wherever that window begins."""

    extra: float
    """Repeats besides, in each window."""

    def allowed(self, requests: float, heard: float) -> float:
        """Repeats that may be reserved for some requests in a window.

        Of the extra number, instances that cannot be heard have their part.
        """
        extra = self.extra * _EXTRA_KEPT * heard
        return self.ratio * _RATIO_KEPT * requests + extra


@dataclass(frozen=True, slots=True)
class Others:
    """What an instance knows of the others when it wants to repeat."""

    use: BudgetUse
    """What they use together."""

    instances: int = 1
    """How many live, this one included."""

    heard: float = 1
    """Share of all known instances that live."""

    covered: bool = True
    """It is known who else used the budget within the window."""


@dataclass(slots=True)
class SharedBudget:
    """What one instance has of the budget of one service.

    >>> budget = SharedBudget.from_bounds(BudgetBounds(0.5, 10, 0), seed=1)
    >>> for number in range(100):
    ...     budget.record_request(number / 10)
    >>> alone = Others(BudgetUse(), 1)
    >>> sum(budget.spend(10.0, alone) for _ in range(100))
    37
    """

    bounds: BudgetBounds
    """What all instances together may repeat."""

    requests: SlidingCount
    """Requests that came here."""

    retries: SlidingCount
    """Repeats that were sent from here."""

    raised: SlidingCount
    """Repeats that were reserved in this round."""

    rng: random.Random
    """Rounds shares of less than one repeat, up or down."""

    load: RateMeter = field(
        default_factory=lambda: RateMeter(seconds=_LOAD_TIME)
    )
    """How often requests come now."""

    loads: deque[tuple[float, float]] = field(
        default_factory=lambda: deque([(-inf, 0)])
    )
    """The same in the last seconds, with their times."""

    short: bool = False
    """All instances have reserved more than is allowed by now."""

    reserved: int = 0
    """Repeats that may be sent in each window."""

    unused: int = 0
    """Least that was reserved and not used since ``checked_at``."""

    checked_at: float = 0
    """When unused reservations were given back last."""

    wished_at: float = -_WANTS_FOR
    """When more was wished for last."""

    asked_at: float = -inf
    """When a repeat was asked for last."""

    wanting_since: float = 0
    """Since when more is wished for."""

    chance: float = 0
    """Part of a repeat by which the present round's share is rounded up."""

    round_at: float = -_ROUND
    """When ``chance`` was drawn."""

    @classmethod
    def from_bounds(cls, bounds: BudgetBounds, seed: int) -> 'SharedBudget':
        """Begin with nothing reserved."""
        return cls(
            bounds,
            SlidingCount.beyond(bounds.window, REQUEST_PARTS),
            SlidingCount(max(bounds.window, NEWS_TIME) + TRAVEL_TIME),
            SlidingCount(_ROUND),
            random.Random(seed),
        )

    def record_request(self, now: float) -> None:
        """Count a request for the service."""
        self.requests.note(now)
        self.load.note(now)

    def spend(
        self, now: float, others: Others, *, preferred: bool = True
    ) -> bool:
        """Take one repeat; false when there is none.

        Those that are not preferred leave a part of what is reserved.
        """
        self.asked_at = now
        kept = 0 if preferred else int(self.reserved * _PREFERRED)
        if self.short:
            return False
        if self.free(now) <= kept:
            self._raise(now, others)
        if self.free(now) <= kept:
            return False
        self.retries.note(now)
        self.unused = min(self.unused, self.free(now))
        return True

    def give_back(self, now: float) -> None:
        """The repeat that was taken last was not sent."""
        self.retries.take_back(now)

    def free(self, now: float) -> int:
        """Repeats that are reserved and were not sent in the window."""
        return self.reserved - self.retries.total(now)

    def is_idle(self, now: float) -> bool:
        """Whether there is nothing to be told."""
        return not (self.requests.total(now) or self.reserved)

    def left(self, now: float, others: Others) -> float:
        """Repeats that nobody has reserved, as far as is known here."""
        every = self.use(now).plus(others.use)
        twice = self._counted_twice(others)
        allowed = self.bounds.allowed(every.requests - twice, others.heard)
        # While requests become more, the windows that go on tell more.
        by_window = min(
            self.bounds.allowed(requests - twice, others.heard) - repeats
            for requests, repeats in every.spans()
        )
        return max(by_window, allowed - every.reserved)

    def room(self, now: float, others: Others) -> Room:
        """What each other instance may reserve before it is heard of."""
        left = _AT_ONCE * max(0, self.left(now, others))
        own = self.use(now)
        load = own.load + others.use.load
        wanting = own.wanting + others.use.wanting
        return Room(left / max(1, load), left * _FOR_WANTING / max(1, wanting))

    def use(self, now: float) -> BudgetUse:
        """What this instance uses, to be told."""
        load = round(self.load.rate(now), 1)
        return BudgetUse(
            self.requests.by_part(now),
            self.reserved,
            load,
            load if self._is_wanting(now) else 0,
            self.retries.by_part(now),
        )

    def maintain(self, now: float, others: Others) -> None:
        """Keep the own part reserved; give back what else is not used.

        And what is not allowed any more.
        """
        left = self.left(now, others)
        self.short = left < 0
        self._note_load(now)
        part = self._part(now, others, left)
        self._reserve(now, others, left, floor(part) - self.reserved)
        self.unused = min(self.unused, self.free(now))
        if now - self.checked_at >= _UNUSED_FOR:
            beyond = self.reserved - floor(_PART_KEPT * part)
            self.reserved -= max(0, min(self.unused, beyond))
            self.unused = self.free(now)
            self.checked_at = now
            self._give_way(now, others)

    def handle_pause(self, now: float) -> None:
        """The process stood still: the others have given up on it."""
        self.reserved = min(self.reserved, self.retries.total(now))

    def _counted_twice(self, others: Others) -> float:
        """Requests that left the window where load moved here from others.

        What these tell is a little old, so their windows end earlier.
        """
        oldest = max((0, *others.use.came[TOLD_PARTS - 1 : REQUEST_PARTS]))
        rate = oldest * TOLD_PARTS / self.bounds.window
        return max(0, rate - others.use.load) * _TOLD_LATE

    def _give_way(self, now: float, others: Others) -> None:
        # Requests have become fewer: everybody gives up the same share.
        left = self.left(now, others)
        if left < 0:
            reserved = self.reserved + others.use.reserved
            kept = self.reserved * (1 + left / reserved) if reserved else 0
            # What was sent stays in the sum until it has left the window.
            sent = self.retries.total(now)
            self.reserved = max(min(sent, self.reserved), floor(kept))

    def _raise(self, now: float, others: Others) -> None:
        if not self._is_wanting(now):
            self.wanting_since = now
        self.wished_at = now
        self._reserve(now, others, self.left(now, others), 1)

    def _reserve(
        self, now: float, others: Others, left: float, most: int
    ) -> None:
        """Reserve so many more, as far as this round allows it."""
        if most < 1 or left < 1 or not others.covered:
            return
        share = self._share(now, left, others) - self.raised.total(now)
        for _ in range(min(most, floor(left), share)):
            self.reserved += 1
            self.raised.note(now)

    def _part(self, now: float, others: Others, left: float) -> float:
        """Repeats that are kept reserved for repeats that may be wanted.

        They are lent to others that want more while none is wanted here.
        """
        idle = now - self.asked_at >= _IDLE_AFTER
        if others.instances == 1 or (idle and others.use.wanting):
            return 0
        own = sum(self.requests.by_part(now)[:_PARTS_OF_LOAD])
        every = own + sum(others.use.came[:_PARTS_OF_LOAD])
        allowed = max(0, left) + self.reserved + others.use.reserved
        return allowed * own / max(1, every) + 1 / 2

    def _share(self, now: float, left: float, others: Others) -> int:
        """Most repeats that may be reserved here within a round."""
        raised = self.raised.total(now)
        if others.instances == 1:
            return floor(left) + raised
        if now - self.round_at >= _ROUND:
            self.round_at = now
            self.chance = self.rng.random()
        # What was taken here in this round was free when it began.
        free = left + raised
        many = others.instances
        rounding = min(2 * sqrt(free), sqrt(many), many / 4)
        safe = max(0, free - rounding)
        share = _AT_ONCE * self._weight(now, others) * safe
        return floor(share + self.chance)

    def _weight(self, now: float, others: Others) -> float:
        # As old as what others tell: where all load comes at once, each would
        # take itself for the busiest.
        own = min(self.loads[0][1], self.load.rate(now)) + _LEAST_LOAD
        every = own + others.use.load + _LEAST_LOAD * (others.instances - 1)
        weight = own / every
        # The others keep to the lesser part only when they know of the wish.
        wanted = now - self.wanting_since
        is_known = self._is_wanting(now) and wanted > _ROUND
        if not is_known and not others.use.wanting:
            return weight
        weight *= 1 - _FOR_WANTING
        if is_known:
            weight += _FOR_WANTING * own / (own + others.use.wanting)
        return weight

    def _note_load(self, now: float) -> None:
        self.loads.append((now, self.load.rate(now)))
        while len(self.loads) > 1 and self.loads[1][0] <= now - NEWS_TIME:
            self.loads.popleft()

    def _is_wanting(self, now: float) -> bool:
        return now - self.wished_at < _WANTS_FOR
