"""Counts requests whose log lines are omitted, by who sent them."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.steering.effects import Decision, DecisionKind

# Maximum number of groups in one summary, so that its line stays short however
# many customers there are.
_MAX_GROUPS: Final = 64
# Customer of the requests beyond that number of groups.
_OTHERS: Final = 'others'
# Fields of the line about the end of a request that name its group.
_FIELDS: Final = ('service', 'priority', 'customer')

Group = tuple[str, ...]


@dataclass(slots=True)
class OmittedRequests:
    """Counts omitted requests by category, service, priority and customer.

    >>> from worksrail.core.steering.effects import Decision, DecisionKind
    >>> inputs = (('service', 'a'), ('priority', 0), ('customer', 'acme'))
    >>> omitted = OmittedRequests()
    >>> last = Decision(DecisionKind.REQUEST_ANSWERED, 'u-1', 1, inputs)
    >>> omitted.add('REQUEST_ANSWERED', (), last)
    >>> omitted.take()
    [['REQUEST_ANSWERED', 'a', '0', 'acme', 1]]
    """

    counts: Counter[Group] = field(default_factory=Counter)
    """Number of requests by group since the last summary."""

    def add(
        self,
        category: str,
        trail: Iterable[Decision],
        last: Decision,
    ) -> None:
        """Count a request by the line about its end.

        One that another entry passed on counts there.
        """
        inputs = dict(last.inputs)
        if 'from' in inputs or any(
            one.kind is DecisionKind.REQUEST_TAKEN for one in trail
        ):
            return
        group = category, *(str(inputs.get(name, '')) for name in _FIELDS)
        if group not in self.counts and len(self.counts) >= _MAX_GROUPS:
            group = *group[:-1], _OTHERS
        self.counts[group] += 1

    def take(self) -> list[list[object]]:
        """Return each group and its number, and start again."""
        counts = [[*group, count] for group, count in self.counts.items()]
        self.counts.clear()
        return counts
