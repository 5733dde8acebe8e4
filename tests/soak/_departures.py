"""What upstreams do for callers that have left."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.soak._promises import Sent

# Seconds after a departure in which an upstream may still work for it.
_BOUND = 0.5
# Requests that may reach upstreams later, and share of the runs that would have
# lasted longer which may go on.
_MOST_ARRIVALS = 3
_MOST_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Run:
    """A request on which an upstream worked."""

    trace: str
    """Its identifier."""

    begin: float
    """When the upstream began it."""

    end: float
    """When it ended, or its sender left."""

    until: float
    """When it would have ended."""


@dataclass(slots=True)
class Departures:
    """Callers that left, and what was run for them."""

    left: dict[str, float] = field(default_factory=dict)
    """When the callers of requests left, by identifier."""

    runs: list[Run] = field(default_factory=list)
    """All runs at upstreams."""

    def concerned(self, sent: dict[str, 'Sent']) -> Iterator[tuple[Run, float]]:
        """Yield runs of repeatable requests and when their callers left."""
        for run in self.runs:
            request = sent.get(run.trace)
            left_at = self.left.get(run.trace)
            if request and left_at is not None and not request.unsafe:
                yield run, left_at

    def broken(
        self,
        sent: dict[str, 'Sent'],
        was_calm: Callable[[float, float], bool],
    ) -> Iterator[tuple[str, str]]:
        """Yield the first request and details for each form that was seen."""
        late: list[Run] = []
        longer: list[Run] = []
        went_on: list[Run] = []
        for run, left_at in self.concerned(sent):
            bound = left_at + _BOUND
            if not was_calm(left_at, max(run.end, bound)):
                continue
            if run.begin > bound:
                late.append(run)
            elif run.until > bound:
                longer.append(run)
                if run.end > bound:
                    went_on.append(run)
        if len(late) > _MOST_ARRIVALS:
            yield late[0].trace, f'{len(late)} reached upstreams later'
        if len(went_on) > _MOST_SHARE * len(longer):
            details = f'{len(went_on)} of {len(longer)} runs went on'
            yield went_on[0].trace, details
