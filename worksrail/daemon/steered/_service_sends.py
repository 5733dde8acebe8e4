"""Counts sends to upstreams by service, for a log line each second.

Added up over all entries, the lines show how many retries the entries sent and
paid for, against what the retry budget allows for the requests they counted.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.steering import SteeringState
from worksrail.core.steering.effects import Decision, DecisionKind

_COLUMN_BY_KIND: Final = {
    DecisionKind.REQUEST_SENT: 'first_sends',
    DecisionKind.REQUEST_REPEATED: 'repeats',
    DecisionKind.REPEAT_DENIED: 'denied',
}

_COLUMNS: Final = (
    'requests',
    'first_sends',
    'repeats',
    'paid',
    'denied',
)

Counts = Counter[tuple[str, str]]
"""Numbers by service and column."""


@dataclass(slots=True)
class ServiceSends:
    """Sends and denied retries by service, since the last line.

    >>> from worksrail.core.steering.effects import Decision, DecisionKind
    >>> sends = ServiceSends()
    >>> inputs = (('service', 'a'),)
    >>> sends.count(Decision(DecisionKind.REQUEST_SENT, 'u-1', 1, inputs))
    >>> sends.counts['a', 'first_sends']
    1
    """

    counts: Counts = field(default_factory=Counter)
    """Numbers since the last line."""

    totals: Counts = field(default_factory=Counter)
    """Requests and paid retries since the start, as of the last line."""

    def count(self, decision: Decision) -> None:
        """Count a decision about a send."""
        column = _COLUMN_BY_KIND.get(decision.kind)
        if column:
            service = str(dict(decision.inputs).get('service', ''))
            self.counts[service, column] += 1

    def take(
        self, state: SteeringState, now: float
    ) -> Iterator[dict[str, float | str]]:
        """Yield the fields of each service's line, and start again.

        Services without requests and sends have no line.
        """
        totals = _totals_of(state)
        # Retries that are given back may have been paid for before the last
        # line, so that a difference may be negative.
        self.counts.update(totals)
        self.counts.subtract(self.totals)
        self.totals = totals
        counts = self.counts
        self.counts = Counter()
        services = {service for (service, _), count in counts.items() if count}
        bounds = state.budgets.bounds
        for service in sorted(services):
            use = state.budgets.fleet_use(service, now)
            yield {
                'service': service,
                **{column: counts[service, column] for column in _COLUMNS},
                'reserved': use.own,
                'reserved_by_all': round(use.total.reserved),
                'left': round(use.left),
                'ratio': bounds.ratio,
                'window': bounds.window,
                'extra': bounds.extra,
            }


def _totals_of(state: SteeringState) -> Counts:
    counted = state.budgets.totals
    totals: Counts = Counter()
    for column, numbers in (
        ('requests', counted.requests),
        ('paid', counted.retries),
    ):
        for service, number in numbers.items():
            totals[service, column] = number
    return totals
