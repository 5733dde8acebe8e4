"""Passes events to the reducer and runs the effects."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from worksrail.core.steering import SteeringState, handler_failure, reduce
from worksrail.core.steering.effects import Decision, Effect
from worksrail.core.steering.events import Event, Ticked
from worksrail.daemon import _clock

Runner = Callable[[Any], None]


@dataclass(slots=True)
class SteeringEngine:
    """Applies all events to the state, one at a time.

    Effects are started before :meth:`dispatch` returns and report their results
    as later events, so no event is handled within another one.  One that cannot
    be started is logged, and the others are started all the same.
    """

    state: SteeringState
    """State of the entry."""

    runners: dict[type, Runner] = field(default_factory=dict)
    """Function that runs each type of effect."""

    clock: Callable[[], float] = _clock.monotonic
    """Monotonic clock in seconds; tests replace it."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.clock()

    def dispatch(self, event: Event) -> None:
        """Apply an event to the state and run the resulting effects."""
        for effect in reduce(self.state, event):
            self._run(effect)

    def tick(self) -> None:
        """Dispatch an event for the passing of time."""
        self.dispatch(Ticked(self.now()))

    def _run(self, effect: Effect) -> None:
        try:
            self.runners[type(effect)](effect)
        except Exception as error:
            if isinstance(effect, Decision):
                raise
            number = getattr(effect, 'request', 0)
            self._run(handler_failure(type(effect).__name__, error, number))
