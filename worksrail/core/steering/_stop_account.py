"""Counts what becomes of the requests of an entry that was asked to stop."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.steering.effects import (
    Decision,
    DecisionKind,
    Effect,
    LogInputs,
)
from worksrail.core.steering.events import (
    Event,
    PassedRequestArrived,
    RequestArrived,
)

_ENDS: Final = {
    DecisionKind.REQUEST_ANSWERED: 'answered',
    DecisionKind.REQUEST_REFUSED: 'refused',
    DecisionKind.REQUEST_FAILED: 'failed',
    DecisionKind.REQUEST_DROPPED: 'caller_gone',
}
_WITH_REASON: Final = frozenset(('refused', 'failed'))


@dataclass(slots=True)
class StopAccount:
    """Requests of one stop, by how they ended.

    What was under way and what arrived since equals the sum of all ends.
    """

    under_way: int = 0
    """Requests under way when the stop was requested."""

    arrived: int = 0
    """Requests that arrived since."""

    ends: Counter[str] = field(default_factory=Counter)
    """Requests that have ended since, by way of ending."""

    reasons: Counter[str] = field(default_factory=Counter)
    """Result codes of those that were refused or failed."""

    cancelled: Counter[str] = field(default_factory=Counter)
    """Attempts that were cancelled, by reason."""

    def record(self, event: Event, effects: Iterable[Effect]) -> None:
        """Count what one event began and ended."""
        if isinstance(event, RequestArrived | PassedRequestArrived):
            self.arrived += 1
        self.count_ends(effects)

    def count_ends(self, effects: Iterable[Effect]) -> None:
        """Count the requests that some effects end."""
        for effect in effects:
            if not isinstance(effect, Decision):
                continue
            if effect.kind is DecisionKind.ATTEMPT_CANCELLED:
                self.cancelled[effect.subject] += 1
            end = _ENDS.get(effect.kind)
            if end:
                self.ends[end] += 1
            if end in _WITH_REASON:
                self.reasons[effect.subject] += 1

    def fields(self, at_exit: int) -> LogInputs:
        """Return the fields of the log line, given those ended by the exit."""
        counts = {
            'under_way': self.under_way,
            'arrived': self.arrived,
            **{name: self.ends[name] for name in _ENDS.values()},
            'at_exit': at_exit,
        }
        texts = {
            'reasons': _text(self.reasons),
            'cancelled': _text(self.cancelled),
        }
        return (*counts.items(), *texts.items())


def _text(counts: Counter[str]) -> str:
    """Return counts as one field of a log line.

    >>> _text(Counter(a=1, b=2))
    'b:2 a:1'
    """
    return ' '.join(f'{name}:{count}' for name, count in counts.most_common())
