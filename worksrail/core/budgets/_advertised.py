"""What instances tell each other of the budgets that they share."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import repeat
from typing import Final

import msgspec

from worksrail.core.budgets._sliding_count import TOLD_PARTS
from worksrail.core.identity import ServiceName

REQUEST_PARTS: Final = TOLD_PARTS + TOLD_PARTS // 2
"""Parts of windows in which requests are counted: a window and a half."""
_QUARTER: Final = TOLD_PARTS // 4


class BudgetUse(msgspec.Struct, frozen=True, array_like=True):
    """How much of one service's budget is in use, as its teller knows."""

    came: tuple[int, ...] = ()
    """Requests for the service in each part of the window and in those before
    it that count as well, the latest first."""

    reserved: float = 0
    """Repeats that may be sent within each window."""

    load: float = 0
    """Requests a second that come now."""

    wanting: float = 0
    """Those of them that come to instances which want more repeats."""

    sent: tuple[int, ...] = ()
    """Repeats that were sent in each part of the window, the latest first."""

    @property
    def requests(self) -> int:
        """Requests that repeats are allowed for.

        Those of the window that ends now, or of the one that ended a quarter
        before, whichever are fewer.  Requests at both ends of a window would
        else be added up, though no window that begins in its midst has both.
        """
        return min(
            sum(self.came[:TOLD_PARTS]),
            sum(self.came[_QUARTER : _QUARTER + TOLD_PARTS]),
        )

    def spans(self) -> Iterator[tuple[int, float]]:
        """Requests and repeats of windows that may still go on.

        For each number of parts that a window may have lasted by now: the
        requests that it, the one half a window before or the one before it
        have at the least, and the repeats that may be sent in it.
        """
        unsent = max(0, self.reserved - sum(self.sent[:TOLD_PARTS]))
        for parts in range(TOLD_PARTS + 1):
            yield self._requests_since(parts), unsent + sum(self.sent[:parts])

    def is_any(self) -> bool:
        """Whether there is anything to be told."""
        return bool(self.came or self.reserved)

    def plus(self, other: 'BudgetUse') -> 'BudgetUse':
        """Both together."""
        return total((self, other))

    def _requests_since(self, parts: int) -> int:
        """Least requests of a window that began within a part, by its number.

        Of that part it may have nothing, nor of the one in which it ends.
        """
        half = TOLD_PARTS // 2
        whole = max(0, parts - 1)
        return max(
            sum(self.came[:whole]),
            sum(self.came[max(0, parts - half) : whole + half]),
            sum(self.came[parts : whole + TOLD_PARTS]),
        )


class AdvertisedBudgets(msgspec.Struct, frozen=True, array_like=True):
    """The use of all budgets, as an instance or the speaker of a zone tells.

    >>> one = AdvertisedBudgets(10, {'orders': BudgetUse(reserved=3)})
    >>> one.used['orders'].plus(BudgetUse(reserved=1)).reserved
    4
    """

    covered: float = 0
    """Seconds for which the teller has known who else uses the budgets."""

    used: dict[ServiceName, BudgetUse] = {}
    """What the teller uses, or its whole zone."""

    gone: dict[ServiceName, BudgetUse] = {}
    """What others that are silent by now may still use."""


@dataclass(slots=True)
class Sum:
    """Adds up what several use."""

    reserved: float = 0
    """Repeats that they have reserved."""

    load: float = 0
    """Requests a second."""

    wanting: float = 0
    """Those of them that come to instances which want more."""

    sent: list[int] = field(default_factory=list)
    """Repeats by part of the window."""

    came: list[int] = field(default_factory=list)
    """Requests, the same."""

    def add(self, use: BudgetUse) -> None:
        """Add what one of them uses."""
        self.reserved += use.reserved
        self.load += use.load
        self.wanting += use.wanting
        _add_parts(self.sent, use.sent)
        _add_parts(self.came, use.came)

    def use(self) -> BudgetUse:
        """All of them together."""
        return BudgetUse(
            tuple(self.came),
            self.reserved,
            self.load,
            self.wanting,
            tuple(self.sent),
        )


def total(uses: Iterable[BudgetUse]) -> BudgetUse:
    """What several use together."""
    found = Sum()
    for use in uses:
        found.add(use)
    return found.use()


def _add_parts(parts: list[int], others: Sequence[int]) -> None:
    parts.extend(repeat(0, len(others) - len(parts)))
    for place, count in enumerate(others):
        parts[place] += count
