"""Use of shared retry budgets, as instances advertise it to each other."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import repeat
from typing import Final

import msgspec

from worksrail.core.budgets._sliding_count import ADVERTISED_PARTS
from worksrail.core.identity import ServiceName

REQUEST_PARTS: Final = ADVERTISED_PARTS + ADVERTISED_PARTS // 2
"""Number of parts for which requests are counted: a window and a half."""
_QUARTER: Final = ADVERTISED_PARTS // 4


class BudgetUse(msgspec.Struct, frozen=True, array_like=True):
    """Use of one service's budget, as known to the sender."""

    arrived: tuple[int, ...] = ()
    """Requests for the service by part of the window, the latest first,
    followed by the earlier parts that still count."""

    reserved: float = 0
    """Retries that may be sent within each window."""

    load: float = 0
    """Current requests per second."""

    constrained_load: float = 0
    """Share of ``load`` at instances that need more retries than they have
    reserved, requests per second."""

    sent: tuple[int, ...] = ()
    """Retries sent by part of the window, the latest first."""

    @property
    def requests(self) -> int:
        """Number of requests that allow retries.

        It is the lower of two counts: of the window that ends now and of the
        one that ended a quarter of a window ago.  Otherwise requests at both
        ends of a window would be added up, although no window that begins in
        its middle contains both.
        """
        return min(
            sum(self.arrived[:ADVERTISED_PARTS]),
            sum(self.arrived[_QUARTER : _QUARTER + ADVERTISED_PARTS]),
        )

    def open_windows(self) -> Iterator[tuple[int, float]]:
        """Yield requests and retries of the windows that may still be open.

        For each number of parts that a window may have lasted by now: the
        minimum number of requests in it, in the one half a window earlier or
        in the one before it, and the retries that may be sent in it.
        """
        unsent = max(0, self.reserved - sum(self.sent[:ADVERTISED_PARTS]))
        for parts in range(ADVERTISED_PARTS + 1):
            yield (
                self._min_requests_since(parts),
                unsent + sum(self.sent[:parts]),
            )

    def has_usage(self) -> bool:
        """Whether there is anything to advertise."""
        return bool(self.arrived or self.reserved)

    def plus(self, other: 'BudgetUse') -> 'BudgetUse':
        """Return the sum of both."""
        return total_use((self, other))

    def _min_requests_since(self, parts: int) -> int:
        """Return the minimum requests of a window that began in a given part.

        The window may contain no request of that part, nor of the part in
        which it ends.
        """
        half = ADVERTISED_PARTS // 2
        whole = max(0, parts - 1)
        return max(
            sum(self.arrived[:whole]),
            sum(self.arrived[max(0, parts - half) : whole + half]),
            sum(self.arrived[parts : whole + ADVERTISED_PARTS]),
        )


class ToldUse(msgspec.Struct, frozen=True, array_like=True):
    """Use of an incarnation or a zone, as the sender of a digest knows it."""

    sender: str
    """Key under which its reports are stored."""

    age: float
    """Seconds since its last report."""

    used: dict[ServiceName, BudgetUse]
    """Its use at that time."""

    ended: bool = False
    """Whether it is silent; ``used`` then holds what it may have reserved since
    its last report as well."""


class AdvertisedBudgets(msgspec.Struct, frozen=True, array_like=True):
    """Use of all budgets, as advertised by an instance or for a zone.

    >>> one = AdvertisedBudgets(10, {'orders': BudgetUse(reserved=3)})
    >>> one.used['orders'].plus(BudgetUse(reserved=1)).reserved
    4
    """

    coverage: float = 0
    """Seconds for which the sender has known all users of the budgets."""

    used: dict[ServiceName, BudgetUse] = {}
    """Use by the sender, or by its whole zone."""

    departed: dict[ServiceName, BudgetUse] = {}
    """Sum of what instances which are silent by now may still use, for
    receivers of an earlier release, which do not know ``told``."""

    told: tuple[ToldUse, ...] | None = None
    """Use of others, each by itself, so that receivers count each of them once:
    of those that are silent by now, or of all.  None from senders of an earlier
    release."""

    tells_all: bool = False
    """Whether ``told`` holds all senders that this one knows."""


@dataclass(slots=True)
class UseSum:
    """Accumulates the use of several instances."""

    reserved: float = 0
    """Retries that they have reserved."""

    load: float = 0
    """Requests per second."""

    constrained_load: float = 0
    """Share of ``load`` at instances that need more retries."""

    sent: list[int] = field(default_factory=list)
    """Retries by part of the window."""

    arrived: list[int] = field(default_factory=list)
    """Requests by part of the window."""

    def add(self, use: BudgetUse) -> None:
        """Add the use of one instance."""
        self.reserved += use.reserved
        self.load += use.load
        self.constrained_load += use.constrained_load
        _add_parts(self.sent, use.sent)
        _add_parts(self.arrived, use.arrived)

    def use(self) -> BudgetUse:
        """Return the sum."""
        return BudgetUse(
            tuple(self.arrived),
            self.reserved,
            self.load,
            self.constrained_load,
            tuple(self.sent),
        )


def total_use(uses: Iterable[BudgetUse]) -> BudgetUse:
    """Return the sum of several uses."""
    found = UseSum()
    for use in uses:
        found.add(use)
    return found.use()


def _add_parts(parts: list[int], others: Sequence[int]) -> None:
    parts.extend(repeat(0, len(others) - len(parts)))
    for place, count in enumerate(others):
        parts[place] += count
