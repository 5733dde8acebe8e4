"""Counts retries over all entries in sliding windows, as operators do."""

from collections import Counter
from dataclasses import dataclass, field
from itertools import accumulate
from math import inf

from worksrail.core.steering import SteeringBounds

# Time of the virtual clock, in steps.
Step = int


@dataclass(slots=True)
class DemandPeriod:
    """A period in which retries are needed."""

    begin: Step
    """First step."""

    end: float = inf
    """Last step, if the period is over."""


@dataclass(frozen=True, slots=True)
class Window:
    """Retries in one window."""

    begin: float
    """Start of the window, seconds since the start of the load."""

    retries: int
    """Attempts after the first of each request, over all entries."""

    allowed: float
    """Number of retries that the bounds allow."""

    @property
    def share(self) -> float:
        """Ratio of the retries sent to those allowed."""
        if not self.retries:
            return 0
        return self.retries / self.allowed if self.allowed else inf


@dataclass(slots=True)
class RetryCount:
    """Requests and retries of one service, over all entries."""

    step: float
    """Length of a step, seconds."""

    bounds_history: list[tuple[Step, SteeringBounds]]
    """Bounds with the step from which they apply; all have the same window."""

    now: Step = 0
    """Present step."""

    begin: Step = 0
    """First step of the load."""

    requests: Counter[Step] = field(default_factory=Counter)
    """Requests of callers by step of arrival."""

    retries: Counter[Step] = field(default_factory=Counter)
    """Attempts at upstreams after the first of each request, by step."""

    denials: Counter[Step] = field(default_factory=Counter)
    """Retries that the budget denied, by step."""

    demand_periods: list[DemandPeriod] = field(default_factory=list)
    """Periods in which retries were needed."""

    def record_demand(self, *, wanted: bool) -> None:
        """Start or end a period in which retries are needed."""
        if self.demand_periods:
            self.demand_periods[-1].end = min(
                self.demand_periods[-1].end, self.now
            )
        if wanted:
            self.demand_periods.append(DemandPeriod(self.now))

    def windows(self) -> list[Window]:
        """Return all windows that begin or end at a retry."""
        begins = {at - self._length for at in self.retries}
        return self._windows(begins | set(self.retries))

    def max_uses(self) -> list[float]:
        """Return the maximum use of the budget in each period of demand.

        It is the share of the fullest window that ends in the period; zero if
        no retry was denied then.
        """
        return [
            self._max_use(record_demand)
            for record_demand in self.demand_periods
        ]

    @property
    def _length(self) -> Step:
        return round(self.bounds_history[0][1].repeat_window / self.step)

    def _max_use(self, record_demand: DemandPeriod) -> float:
        end = min(record_demand.end, self.now)
        if not any(record_demand.begin < at <= end for at in self.denials):
            return 0
        ends = range(record_demand.begin, int(end) + 1)
        windows = self._windows({one - self._length for one in ends})
        return max(window.share for window in windows)

    def _windows(self, begins: set[Step]) -> list[Window]:
        asked = _Sums(self.requests, self.now)
        sent = _Sums(self.retries, self.now)
        return [
            Window(
                round((begin - self.begin) * self.step, 2),
                sent.within(begin, self._length),
                self._allowed(asked, begin),
            )
            for begin in sorted(begins)
        ]

    def _allowed(self, asked: '_Sums', begin: Step) -> float:
        length = self._length
        counts = [
            asked.within(begin - before, length)
            for before in (0, length // 2, length)
        ]
        ends = [since for since, _ in self.bounds_history[1:]] + [self.now + 1]
        return max(
            bounds.repeat_ratio * max(counts) + bounds.repeat_extra
            for (since, bounds), until in zip(
                self.bounds_history, ends, strict=True
            )
            if begin < until and since <= begin + length
        )


class _Sums:
    """Prefix sums of counts; windows include both ends."""

    def __init__(self, counts: Counter[Step], last: Step) -> None:
        self.last = last
        self.sums = [
            0,
            *accumulate(counts[step] for step in range(last + 1)),
        ]

    def within(self, begin: Step, length: Step) -> int:
        """Return the sum over a window that begins at a step."""
        return self._until(begin + length) - self._until(begin - 1)

    def _until(self, step: Step) -> int:
        return self.sums[min(max(step, -1), self.last) + 1]
