"""Tracks whether the store answers this entry."""

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
    """Ages of the store's answers, as one entry reports them to another."""

    @property
    def store_age(self) -> int | None:
        """Tenths of a second since the store last answered any entry."""

    @property
    def store_return(self) -> int | None:
        """Tenths of a second since the store recovered from an outage."""


def on_store_lost(
    state: SteeringState,
    event: StoreLost,
) -> Iterator[Effect]:
    """Keep the last known state while the store does not answer."""
    yield from _mark_failing(state, event.kind, event.reason, event.waited)


def on_store_answered(
    state: SteeringState,
    event: StoreAnswered,
) -> Iterator[Effect]:
    """Mark reads as working again; missing upstreams expire only later."""
    yield from _record_answer(state, event.now)
    if event.kind in state.failing_kinds:
        state.failing_kinds.discard(event.kind)
        yield Decision(DecisionKind.STORE_REGAINED, event.kind.value)


def on_store_checked(
    state: SteeringState,
    event: StoreChecked,
) -> Iterator[Effect]:
    """Handle the result of a health check, independently of pending calls."""
    store_health = state.catalog.store_health
    store_health.checking = False
    if not event.failure:
        yield from _record_answer(state, event.now)
        if store_health.last_check_failed:
            store_health.last_check_failed = False
            yield RestartStoreCalls()
        return
    if not state.watching:
        return
    store_health.last_check_failed = True
    for kind in StoreKind:
        yield from _mark_failing(state, kind, event.failure, event.waited)


def check_store(state: SteeringState, now: float) -> Iterator[Effect]:
    """Check the store periodically while this entry reads it."""
    store_health = state.catalog.store_health
    if not state.watching:
        store_health.reset_calls()
    elif now >= store_health.next_check_at and not store_health.checking:
        store_health.checking = True
        store_health.next_check_at = now + CHECK_INTERVAL
        store_health.record_call(now)
        yield CheckStore()


def merge_store_report(
    state: SteeringState,
    report: StoreAges,
    now: float,
) -> Iterator[Effect]:
    """Merge another entry's report about the store's answers."""
    store_health = state.catalog.store_health
    ended_at, recovered_at = (
        store_health.gap_ended_at,
        store_health.recovered_at,
    )
    store_health.merge_age(report.store_age, now)
    store_health.merge_return(report.store_return, now)
    yield from _log_gap(state, ended_at, recovered_at)


def _record_answer(state: SteeringState, now: float) -> Iterator[Effect]:
    """Record that the store answered this entry."""
    store_health = state.catalog.store_health
    ended_at, recovered_at = (
        store_health.gap_ended_at,
        store_health.recovered_at,
    )
    unanswered = store_health.unanswered_time(now)
    store_health.record_own_answer(now)
    yield from _log_gap(state, ended_at, recovered_at, unanswered)


def _log_gap(
    state: SteeringState,
    ended_at: float,
    recovered_at: float,
    unanswered: float = 0,
) -> Iterator[Effect]:
    """Log whether a gap between answers that has just ended was an outage.

    ``ended_at`` and ``recovered_at`` are the end of the last gap and the last
    recovery before the update.
    """
    store_health = state.catalog.store_health
    outage = store_health.recovered_at > recovered_at
    answers_resumed = ended_at > -inf and store_health.gap_ended_at > ended_at
    if not (outage or answers_resumed):
        return
    yield Decision(
        DecisionKind.STORE_BACK if outage else DecisionKind.STORE_UNHEARD,
        inputs=(
            (
                'away',
                round(
                    store_health.gap_ended_at - store_health.gap_started_at, 3
                ),
            ),
            ('asked', round(unanswered, 3)),
        ),
    )


def _mark_failing(
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
"""Handlers of the events that report whether the store answers."""
