"""One instance's part of a retry budget that all instances share.

An instance sends retries within what it has reserved, and advertises that
number.  It reserves more out of what is left as far as it knows, and at a time
only so much that all others could do the same before they learn of it.  Its
fair share by load stays reserved as long as the instance needs it or no other
instance does.  So the sum of all reservations holds, wherever the load is.  If
each instance kept a share of its own requests instead, the bound would be
exceeded when load moves: instances that lost it have sent retries for the
requests of one window, and those that received it send retries for the requests
of the next.
"""

import random
from collections import deque
from dataclasses import dataclass, field
from math import floor, inf, sqrt
from typing import Final

from worksrail.core._meters import RateMeter
from worksrail.core.budgets._advertised import REQUEST_PARTS, BudgetUse
from worksrail.core.budgets._report import (
    PROPAGATION_TIME,
    TRANSIT_TIME,
    ReservationBound,
)
from worksrail.core.budgets._sliding_count import ADVERTISED_PARTS, SlidingCount

# Shares of the ratio and of the extra number that are used: request counts
# arrive a little late, and reservations are rounded.
_RATIO_MARGIN: Final = 0.98
_EXTRA_MARGIN: Final = 0.9
# Seconds in which all instances learn what any of them reserved, and each
# learns what the others did in response.
_ROUND: Final = PROPAGATION_TIME + PROPAGATION_TIME / 2
STARTUP_DELAY: Final = _ROUND
"""Seconds after the start of an instance in which it may reserve nothing."""
# Share of what is left that all instances together may reserve in a round, and
# the part of it that goes to those known to need more.
_ROUND_SHARE: Final = 0.9
_CONSTRAINED_SHARE: Final = 0.75
# Requests per second that each instance is assumed to receive at least.
_MIN_LOAD: Final = 0.1
# Seconds over which the load is averaged.
_LOAD_WINDOW: Final = 1.0
# Seconds since the last shortage for which an instance counts as constrained.
_CONSTRAINED_TTL: Final = 2.0
# Seconds after which unused reservations are released.
_RELEASE_INTERVAL: Final = 0.4
# Typical age of the request counts of peers, seconds.
_REPORT_AGE: Final = PROPAGATION_TIME / 2
# Parts of the window whose requests determine an instance's fair share.
_LOAD_PARTS: Final = ADVERTISED_PARTS // 2
# An instance keeps at most this multiple of its fair share, as its load is
# estimated from few requests.
_MAX_FAIR_SHARES: Final = 1.25
# Seconds without demand for retries after which an instance lends its share.
_IDLE_TIMEOUT: Final = 1.0
# Share of its reservation that an instance keeps for preferred retries.
_PREFERRED_SHARE: Final = 0.05


@dataclass(frozen=True, slots=True)
class BudgetBounds:
    """Number of retries that all instances together may send."""

    ratio: float
    """Retries per request."""

    window: float
    """Seconds in which both are counted, wherever the window begins."""

    extra: float
    """Additional retries in each window."""

    def allowed(self, requests: float, live_share: float) -> float:
        """Return how many retries may be reserved for a number of requests.

        Instances that cannot be reached keep their part of the extra number.
        """
        extra = self.extra * _EXTRA_MARGIN * live_share
        return self.ratio * _RATIO_MARGIN * requests + extra


@dataclass(frozen=True, slots=True)
class PeerView:
    """What an instance knows of its peers when it reserves retries."""

    use: BudgetUse
    """Use by all peers together."""

    instances: int = 1
    """Number of live instances, this one included."""

    live_share: float = 1
    """Share of all known instances that are live."""

    complete: bool = True
    """Whether all users of the budget within the window are known."""


@dataclass(slots=True)
class SharedBudget:
    """One instance's part of the budget of one service.

    >>> budget = SharedBudget.from_bounds(BudgetBounds(0.5, 10, 0), seed=1)
    >>> for number in range(100):
    ...     budget.record_request(number / 10)
    >>> alone = PeerView(BudgetUse(), 1)
    >>> sum(budget.spend(10.0, alone) for _ in range(100))
    37
    """

    bounds: BudgetBounds
    """Number of retries that all instances together may send."""

    requests: SlidingCount
    """Requests that arrived at this instance."""

    retries: SlidingCount
    """Retries that this instance sent."""

    reserved_in_round: SlidingCount
    """Retries that were reserved in the present round."""

    rng: random.Random
    """Rounds shares of less than one retry, up or down."""

    load: RateMeter = field(
        default_factory=lambda: RateMeter(seconds=_LOAD_WINDOW)
    )
    """Current rate of requests."""

    load_history: deque[tuple[float, float]] = field(
        default_factory=lambda: deque([(-inf, 0)])
    )
    """The rate in the last seconds, each with its time."""

    overcommitted: bool = False
    """Whether all instances together have reserved more than is allowed."""

    reserved: int = 0
    """Retries that may be sent in each window."""

    unused: int = 0
    """Minimum of reserved but unsent retries since ``released_at``."""

    released_at: float = 0
    """When unused reservations were last released."""

    constrained_at: float = -_CONSTRAINED_TTL
    """When more retries were last needed than were reserved."""

    requested_at: float = -inf
    """When a retry was last requested."""

    constrained_since: float = 0
    """Since when more retries are needed."""

    rounding: float = 0
    """Fraction of a retry that is added before a share is rounded down, drawn
    anew for each round."""

    round_at: float = -_ROUND
    """When ``rounding`` was drawn."""

    @classmethod
    def from_bounds(cls, bounds: BudgetBounds, seed: int) -> 'SharedBudget':
        """Create a budget without reservations."""
        return cls(
            bounds,
            SlidingCount.spanning(bounds.window, REQUEST_PARTS),
            SlidingCount(max(bounds.window, PROPAGATION_TIME) + TRANSIT_TIME),
            SlidingCount(_ROUND),
            random.Random(seed),
        )

    def record_request(self, now: float) -> None:
        """Count a request for the service."""
        self.requests.record(now)
        self.load.note(now)

    def spend(
        self, now: float, peers: PeerView, *, preferred: bool = True
    ) -> bool:
        """Take one retry; return false if there is none.

        Retries that are not preferred leave a part of the reservation.
        """
        self.requested_at = now
        kept = 0 if preferred else int(self.reserved * _PREFERRED_SHARE)
        if self.overcommitted:
            return False
        if self.available(now) <= kept:
            self._reserve_one(now, peers)
        if self.available(now) <= kept:
            return False
        self.retries.record(now)
        self.unused = min(self.unused, self.available(now))
        return True

    def give_back(self, now: float) -> None:
        """Return the retry that was taken last, as it was not sent."""
        self.retries.undo_last(now)

    def available(self, now: float) -> int:
        """Return the retries that are reserved and unsent in the window."""
        return self.reserved - self.retries.total(now)

    def is_idle(self, now: float) -> bool:
        """Whether there is nothing to advertise."""
        return not (self.requests.total(now) or self.reserved)

    def unreserved(self, now: float, peers: PeerView) -> float:
        """Return the retries that no instance is known to have reserved."""
        every = self.use(now).plus(peers.use)
        surplus = self.double_counted(peers)
        allowed = self.bounds.allowed(
            every.requests - surplus, peers.live_share
        )
        # While the number of requests grows, open windows allow more.
        by_window = min(
            self.bounds.allowed(requests - surplus, peers.live_share) - retries
            for requests, retries in every.open_windows()
        )
        return max(by_window, allowed - every.reserved)

    def double_counted(self, peers: PeerView) -> float:
        """Estimate the requests that are counted twice where load moves here.

        The reports of peers are a little old, so their windows end earlier and
        still hold requests that have left the present window.
        """
        oldest = max(
            (0, *peers.use.arrived[ADVERTISED_PARTS - 1 : REQUEST_PARTS])
        )
        rate = oldest * ADVERTISED_PARTS / self.bounds.window
        return max(0, rate - peers.use.load) * _REPORT_AGE

    def reservation_bound(
        self, now: float, peers: PeerView
    ) -> ReservationBound:
        """Return what each peer may reserve before its next report."""
        left = _ROUND_SHARE * max(0, self.unreserved(now, peers))
        own = self.use(now)
        load = own.load + peers.use.load
        constrained_load = own.constrained_load + peers.use.constrained_load
        return ReservationBound(
            left / max(1, load),
            left * _CONSTRAINED_SHARE / max(1, constrained_load),
        )

    def use(self, now: float) -> BudgetUse:
        """Return this instance's use, to be advertised."""
        load = round(self.load.rate(now), 1)
        return BudgetUse(
            self.requests.by_part(now),
            self.reserved,
            load,
            load if self._is_constrained(now) else 0,
            self.retries.by_part(now),
        )

    def maintain(self, now: float, peers: PeerView) -> None:
        """Keep the fair share reserved and release unused reservations.

        Reservations beyond what is allowed are released as well.
        """
        left = self.unreserved(now, peers)
        self.overcommitted = left < 0
        self._record_load(now)
        share = self._fair_share(now, peers, left)
        self._reserve(now, peers, left, floor(share) - self.reserved)
        self.unused = min(self.unused, self.available(now))
        if now - self.released_at >= _RELEASE_INTERVAL:
            beyond = self.reserved - floor(_MAX_FAIR_SHARES * share)
            self.reserved -= max(0, min(self.unused, beyond))
            self.unused = self.available(now)
            self.released_at = now
            self._release_excess(now, peers)

    def handle_pause(self, now: float) -> None:
        """Handle a suspension of the process: peers consider it gone."""
        self.reserved = min(self.reserved, self.retries.total(now))

    def _release_excess(self, now: float, peers: PeerView) -> None:
        # When the number of requests falls, all instances release the same
        # share of their reservations.
        left = self.unreserved(now, peers)
        if left < 0:
            reserved = self.reserved + peers.use.reserved
            kept = self.reserved * (1 + left / reserved) if reserved else 0
            # Retries that were sent stay reserved until they leave the window.
            sent = self.retries.total(now)
            self.reserved = max(min(sent, self.reserved), floor(kept))

    def _reserve_one(self, now: float, peers: PeerView) -> None:
        if not self._is_constrained(now):
            self.constrained_since = now
        self.constrained_at = now
        self._reserve(now, peers, self.unreserved(now, peers), 1)

    def _reserve(
        self, now: float, peers: PeerView, left: float, max_count: int
    ) -> None:
        """Reserve more retries, as far as the present round allows."""
        if max_count < 1 or left < 1 or not peers.complete:
            return
        share = self._round_limit(
            now, left, peers
        ) - self.reserved_in_round.total(now)
        for _ in range(min(max_count, floor(left), share)):
            self.reserved += 1
            self.reserved_in_round.record(now)

    def _fair_share(self, now: float, peers: PeerView, left: float) -> float:
        """Return how many retries to keep reserved in advance.

        The share is lent to peers that need more while none is needed here.
        """
        idle = now - self.requested_at >= _IDLE_TIMEOUT
        if peers.instances == 1 or (idle and peers.use.constrained_load):
            return 0
        own = sum(self.requests.by_part(now)[:_LOAD_PARTS])
        every = own + sum(peers.use.arrived[:_LOAD_PARTS])
        allowed = max(0, left) + self.reserved + peers.use.reserved
        return allowed * own / max(1, every) + 1 / 2

    def _round_limit(self, now: float, left: float, peers: PeerView) -> int:
        """Return how many retries may be reserved here within a round."""
        recent = self.reserved_in_round.total(now)
        if peers.instances == 1:
            return floor(left) + recent
        if now - self.round_at >= _ROUND:
            self.round_at = now
            self.rounding = self.rng.random()
        # What was reserved here in this round was unreserved when it began.
        unreserved = left + recent
        instances = peers.instances
        margin = min(2 * sqrt(unreserved), sqrt(instances), instances / 4)
        safe = max(0, unreserved - margin)
        share = _ROUND_SHARE * self._weight(now, peers) * safe
        return floor(share + self.rounding)

    def _weight(self, now: float, peers: PeerView) -> float:
        # The own load is taken as old as the reports of peers.  Otherwise each
        # instance would consider itself the busiest when load rises everywhere
        # at the same time.
        own = min(self.load_history[0][1], self.load.rate(now)) + _MIN_LOAD
        every = own + peers.use.load + _MIN_LOAD * (peers.instances - 1)
        weight = own / every
        # Peers keep to the smaller share only once they know of the shortage.
        elapsed = now - self.constrained_since
        is_known = self._is_constrained(now) and elapsed > _ROUND
        if not is_known and not peers.use.constrained_load:
            return weight
        weight *= 1 - _CONSTRAINED_SHARE
        if is_known:
            weight += (
                _CONSTRAINED_SHARE * own / (own + peers.use.constrained_load)
            )
        return weight

    def _record_load(self, now: float) -> None:
        self.load_history.append((now, self.load.rate(now)))
        while (
            len(self.load_history) > 1
            and self.load_history[1][0] <= now - PROPAGATION_TIME
        ):
            self.load_history.popleft()

    def _is_constrained(self, now: float) -> bool:
        return now - self.constrained_at < _CONSTRAINED_TTL
