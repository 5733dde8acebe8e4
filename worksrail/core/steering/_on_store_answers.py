"""Whether the store answers this entry, and what follows from it."""

from collections.abc import Iterator
from math import inf
from typing import Any, Final, Protocol

from worksrail.core.steering._store_health import CHECK_INTERVAL
from worksrail.core.steering.effects import (
    CheckStore,
    Decision,
    DecisionKind,
    Effect,
    RestartStoreCalls,
)
from worksrail.core.steering.events import (
    StoreAnswered,
    StoreChecked,
    StoreLost,
)
from worksrail.core.steering.kinds import StoreKind
from worksrail.core.steering.state import SteeringState


class StoreAges(Protocol):
    """How long ago the store answered, as one entry tells another."""

    @property
    def store_age(self) -> int | None:
        """Tenths of a second since it answered anybody."""

    @property
    def store_return(self) -> int | None:
        """Tenths of a second since it came back from an outage."""


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
    if event.kind in state.failing_kinds:
        state.failing_kinds.discard(event.kind)
        yield Decision(DecisionKind.STORE_REGAINED, event.kind.value)


def on_store_checked(
    state: SteeringState,
    event: StoreChecked,
) -> Iterator[Effect]:
    """Learn whether the store answers, whatever waits for it meanwhile."""
    store_health = state.catalog.store_health
    store_health.checking = False
    if not event.failure:
        yield from _hear(state, event.now)
        if store_health.silent:
            store_health.silent = False
            yield RestartStoreCalls()
        return
    if not state.watching:
        return
    store_health.silent = True
    for kind in StoreKind:
        yield from _lose(state, kind, event.failure, event.waited)


def check_store(state: SteeringState, now: float) -> Iterator[Effect]:
    """Check the store from time to time while this entry reads it."""
    store_health = state.catalog.store_health
    if not state.watching:
        store_health.cease_to_ask()
    elif now >= store_health.next_check_at and not store_health.checking:
        store_health.checking = True
        store_health.next_check_at = now + CHECK_INTERVAL
        store_health.record_call(now)
        yield CheckStore()


def hear_of_store(
    state: SteeringState,
    told: StoreAges,
    now: float,
) -> Iterator[Effect]:
    """Take in what another entry tells of the store's answers."""
    store_health = state.catalog.store_health
    ended_at, returned_at = store_health.gap_ended_at, store_health.returned_at
    store_health.hear_age(told.store_age, now)
    store_health.hear_return(told.store_return, now)
    yield from _explain_gap(state, ended_at, returned_at)


def _hear(state: SteeringState, now: float) -> Iterator[Effect]:
    """Take in an answer to this entry."""
    store_health = state.catalog.store_health
    ended_at, returned_at = store_health.gap_ended_at, store_health.returned_at
    in_vain = store_health.time_in_vain(now)
    store_health.record_own_answer(now)
    yield from _explain_gap(state, ended_at, returned_at, in_vain)


def _explain_gap(
    state: SteeringState,
    ended_at: float,
    returned_at: float,
    in_vain: float = 0,
) -> Iterator[Effect]:
    """Say whether a gap between answers that has just ended was an outage.

    The times are those of the last gap and of the last return before.
    """
    store_health = state.catalog.store_health
    outage = store_health.returned_at > returned_at
    heard_again = ended_at > -inf and store_health.gap_ended_at > ended_at
    if not (outage or heard_again):
        return
    yield Decision(
        DecisionKind.STORE_BACK if outage else DecisionKind.STORE_UNHEARD,
        inputs=(
            (
                'away',
                round(store_health.gap_ended_at - store_health.gap_began_at, 3),
            ),
            ('asked', round(in_vain, 3)),
        ),
    )


def _lose(
    state: SteeringState,
    kind: StoreKind,
    reason: str,
    waited: float,
) -> Iterator[Effect]:
    if kind in state.failing_kinds:
        return
    state.failing_kinds.add(kind)
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
