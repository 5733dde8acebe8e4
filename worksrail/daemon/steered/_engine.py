"""Feeds events to the reducer and runs the effects."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from worksrail.core.steering import SteeringState, reduce
from worksrail.core.steering.effects import Effect
from worksrail.core.steering.events import Event, Ticked
from worksrail.daemon import _clock

Runner = Callable[[Any], None]


@dataclass(slots=True)
class SteeringEngine:
    """The one place where events meet the state.

    Effects are started before :meth:`dispatch` returns and report back by
    events of their own, so no event is handled within another one.
    """

    state: SteeringState
    """The state."""

    runners: dict[type, Runner] = field(default_factory=dict)
    """Who runs which effect."""

    clock: Callable[[], float] = _clock.monotonic
    """Monotonic time in seconds; tests put their own in its place."""

    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.clock()

    def dispatch(self, event: Event) -> None:
        """Change the state by an event and run the effects."""
        for effect in reduce(self.state, event):
            self._run(effect)

    def tick(self) -> None:
        """Let time pass."""
        self.dispatch(Ticked(self.now()))

    def _run(self, effect: Effect) -> None:
        self.runners[type(effect)](effect)
