"""Health check of the store: a small call that shows whether it answers."""

from dataclasses import dataclass
from typing import Final

from worksrail.core.steering.events import StoreChecked
from worksrail.core.steering.kinds import StoreKind
from worksrail.daemon.steered._adapter import SteeringStore, StoreFault
from worksrail.daemon.steered._engine import SteeringEngine

# Timeout in seconds: a slow store takes 0.25 s, the network 0.1 s.  A lost
# check and the next one together take less time than the shortest outage after
# which the registrations of upstreams may expire.
_CHECK_TIMEOUT: Final = 0.7


@dataclass(slots=True)
class StoreChecker:
    """Runs health checks of the store."""

    engine: SteeringEngine
    """Handles the events."""

    store: SteeringStore
    """The store to check."""

    async def check(self) -> None:
        """Call the store and dispatch an event with the result."""
        called_at = self.engine.now()
        # Evacuations are few, and a stale list of them is cheapest.
        answer = await self.store.read_all(
            StoreKind.EVACUATIONS, stale=True, seconds=_CHECK_TIMEOUT
        )
        failure = answer.value if isinstance(answer, StoreFault) else ''
        now = self.engine.now()
        self.engine.dispatch(StoreChecked(now, failure, now - called_at))
