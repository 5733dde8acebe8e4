"""Slots of an upstream, and the places in which requests wait for one."""

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field

_PERCENT = 100


@dataclass(slots=True)
class SlotQueue:
    """How many requests an upstream runs, keeps waiting and turns away."""

    slots: int = 0
    """Requests that run at once; zero if there is no bound."""

    places: int = 0
    """Requests that may wait for a slot."""

    execution: tuple[float, float] = (0.005, 0.08)
    """Least and greatest time of an execution, in seconds."""

    long_share: float = 0
    """Share of executions that take a long time."""

    long_execution: tuple[float, float] = (0, 0)
    """Least and greatest time of a long execution, in seconds."""

    pace: float = 1
    """Multiple of the usual time that an execution takes now."""

    states_pace: bool = False
    """Whether the upstream states its pace."""

    running: int = 0
    """Requests that run."""

    turned_away: int = 0
    """Requests that found no slot and no place."""

    waiting: deque[asyncio.Future[None]] = field(default_factory=deque)
    """Requests that wait for a slot, in order."""

    def is_full(self) -> bool:
        """Whether a request finds neither a slot nor a place."""
        return (
            0 < self.slots <= self.running and len(self.waiting) >= self.places
        )

    def duration(self, rng: random.Random) -> float:
        """Draw the time of an execution."""
        usual = rng.uniform(*self.execution) * self.pace
        if self.long_share and rng.random() < self.long_share:
            return rng.uniform(*self.long_execution)
        return usual

    async def enter(self) -> None:
        """Wait for a slot, and take it."""
        if not self.slots or self.running < self.slots:
            self.running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.leave()
            raise

    def leave(self) -> None:
        """Hand the slot on."""
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1

    def report(self) -> str:
        """The header that states the load; empty without a bound."""
        if not self.slots:
            return ''
        figures = [self.running, len(self.waiting), self.slots]
        if self.states_pace:
            figures.append(round(self.pace * _PERCENT))
        return f'Server-Load: {",".join(map(str, figures))}\r\n'
