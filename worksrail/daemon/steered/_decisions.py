"""Writes decisions to the log."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from logbook import Logger

from worksrail.core.steering.effects import Decision

_LOG: Final = Logger('worksrail.decisions')


@dataclass(slots=True)
class DecisionLog:
    """One line for each decision, with what decided it."""

    trace_of: Callable[[int], str]
    """The caller's identifier of a request."""

    def write(self, decision: Decision) -> None:
        """Log a decision."""
        extra: dict[str, float | int | str] = dict(decision.inputs)
        if decision.subject:
            extra['subject'] = decision.subject
        if decision.request:
            extra['request'] = self.trace_of(decision.request)
        _LOG.info(decision.kind.name.lower().replace('_', '-'), extra=extra)
