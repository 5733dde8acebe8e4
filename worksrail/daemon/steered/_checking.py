"""Asks the store something small, to know whether it answers."""

from dataclasses import dataclass
from typing import Final

from worksrail.core.steering.events import StoreChecked
from worksrail.core.steering.kinds import StoreKind
from worksrail.daemon.steered._adapter import SteeringStore, StoreFault
from worksrail.daemon.steered._engine import SteeringEngine

# Seconds for the answer: a slow store takes 0.25 s, the way to it 0.1 s.  One
# check that is lost and the next one together are shorter than an outage from
# which upstreams' entries may lapse.
_CHECK_TIME: Final = 0.7


@dataclass(slots=True)
class StoreChecker:
    """Makes one check at a time."""

    engine: SteeringEngine
    """Takes the events."""

    store: SteeringStore
    """Is asked."""

    async def check(self) -> None:
        """Ask the store; an event follows in any case."""
        asked_at = self.engine.now()
        # Evacuations are few, and a list of them may be old.
        answer = await self.store.read_all(
            StoreKind.EVACUATIONS, stale=True, seconds=_CHECK_TIME
        )
        failure = answer.value if isinstance(answer, StoreFault) else ''
        now = self.engine.now()
        self.engine.dispatch(StoreChecked(now, failure, now - asked_at))
