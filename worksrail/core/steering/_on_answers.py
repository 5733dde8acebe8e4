"""Whether the store answers this entry, and what follows from it."""

from collections.abc import Iterator
from typing import Any, Final

from worksrail.core.steering._pulse import CHECK_INTERVAL
from worksrail.core.steering.effects import (
    AskStoreAnew,
    CheckStore,
    Decision,
    DecisionKind,
    Effect,
)
from worksrail.core.steering.events import (
    StoreAnswered,
    StoreChecked,
    StoreLost,
)
from worksrail.core.steering.kinds import StoreKind
from worksrail.core.steering.state import SteeringState


def on_store_lost(
    state: SteeringState,
    event: StoreLost,
) -> Iterator[Effect]:
    """Keep what is known while the store does not answer."""
    yield from _lose(state, event.kind, event.reason, event.waited)


def on_store_answered(
    state: SteeringState,
    event: StoreAnswered,
) -> Iterator[Effect]:
    """Trust the store again, what is missing only after a while."""
    yield from _hear(state, event.now)
    if event.kind in state.lost:
        state.lost.discard(event.kind)
        yield Decision(DecisionKind.STORE_REGAINED, event.kind.value)


def on_store_checked(
    state: SteeringState,
    event: StoreChecked,
) -> Iterator[Effect]:
    """Learn whether the store answers, whatever waits for it meanwhile."""
    pulse = state.catalog.pulse
    pulse.checking = False
    if not event.failure:
        yield from _hear(state, event.now)
        if pulse.silent:
            pulse.silent = False
            yield AskStoreAnew()
        return
    if not state.watching:
        return
    pulse.silent = True
    for kind in StoreKind:
        yield from _lose(state, kind, event.failure, event.waited)


def check_store(state: SteeringState, now: float) -> Iterator[Effect]:
    """Check the store from time to time while this entry reads it."""
    pulse = state.catalog.pulse
    if not state.watching:
        pulse.silent = False
    elif now >= pulse.next_check_at and not pulse.checking:
        pulse.checking = True
        pulse.next_check_at = now + CHECK_INTERVAL
        yield CheckStore()


def _hear(state: SteeringState, now: float) -> Iterator[Effect]:
    pulse = state.catalog.pulse
    before = pulse.answered_at
    pulse.hear(now)
    if pulse.returned_at == now:
        away = round(now - before, 3)
        yield Decision(DecisionKind.STORE_BACK, inputs=(('away', away),))


def _lose(
    state: SteeringState,
    kind: StoreKind,
    reason: str,
    waited: float,
) -> Iterator[Effect]:
    if kind in state.lost:
        return
    state.lost.add(kind)
    yield Decision(
        DecisionKind.STORE_LOST,
        kind.value,
        inputs=(('reason', reason), ('waited', round(waited, 3))),
    )


HANDLERS: Final[dict[type, Any]] = {
    StoreLost: on_store_lost,
    StoreAnswered: on_store_answered,
    StoreChecked: on_store_checked,
}
"""Handlers of the events that tell whether the store answers."""
