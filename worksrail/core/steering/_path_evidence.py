"""Learns from attempts which services this entry can reach."""

from collections.abc import Iterator
from typing import Final

from worksrail.core.identity import ServiceName
from worksrail.core.steering._catalog import Upstream
from worksrail.core.steering._learning import CANCELLED, is_overdue
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering.effects import Decision, DecisionKind
from worksrail.core.steering.events import AttemptEnded, AttemptOutcome
from worksrail.core.steering.state import SteeringState

# An answer is overdue after this multiple of the typical execution time plus a
# margin in seconds.
_OVERDUE_FACTOR: Final = 2.0
_OVERDUE_MARGIN: Final = 0.2
# Seconds without an answer of any upstream from which overdue ones are counted.
_MIN_SILENCE: Final = 0.4
# Seconds for which the other upstreams that were missed are probed after one of
# them answered.
_PROBE_AFTER_RETURN: Final = 2.0
# The upstream, or another one at its address, sent something.
_ANSWERED: Final = frozenset(
    (
        AttemptOutcome.ANSWERED,
        AttemptOutcome.NOT_EXECUTED,
        AttemptOutcome.OTHER_UPSTREAM,
        AttemptOutcome.BROKE_IN_ANSWER,
        AttemptOutcome.SPOILED,
        AttemptOutcome.UNPROVEN,
    )
)


def record_path(
    state: SteeringState,
    request: SteeredRequest,
    event: AttemptEnded,
) -> Iterator[Decision]:
    """Update the evidence about a path from the end of an attempt."""
    upstream = state.catalog.upstreams.get(request.current.upstream)
    if upstream is None:
        return
    if event.outcome in _ANSWERED:
        is_new = event.connect_time > 0
        yield from record_path_answer(
            state, upstream, event.now, new_connection=is_new
        )
        return
    if event.outcome is AttemptOutcome.WITHDRAWN:
        return
    # An attempt that ends early because the caller left shows nothing.
    abandoned = request.caller_gone or event.outcome in CANCELLED
    if is_overdue(request, event) or not abandoned:
        # A new connection may also be reset right after it was accepted.
        failed = event.outcome is AttemptOutcome.NOT_CONNECTED
        failed = failed or event.connect_time > 0
        state.paths.record_miss(upstream, connecting=failed)
        yield from _update(state, event.now)


def record_path_answer(
    state: SteeringState,
    upstream: Upstream,
    now: float,
    *,
    new_connection: bool,
) -> Iterator[Decision]:
    """Update the evidence about a path after an answer."""
    paths = state.paths
    was_lost = upstream.record.service in paths.lost_since
    is_returning = was_lost or now < state.probing_until
    reached = paths.record_answer(upstream, now, new_connection=new_connection)
    if reached and is_returning:
        # Their failures came from the links of this entry.
        for name in reached:
            state.loads.of(name).forget_failures()
    if was_lost:
        state.probing_until = now + _PROBE_AFTER_RETURN
        state.next_probe_at = now
    paths.zones.record_reachable(upstream.record.zone)
    # Without a change the next tick is soon enough: this runs at each answer.
    if reached or paths.lost_since:
        yield from _update(state, now)


def watch_paths(state: SteeringState, now: float) -> Iterator[Decision]:
    """Count overdue answers, and update which services are lost."""
    silent = now - state.paths.answered_at > _MIN_SILENCE
    if silent and state.requests:
        _record_overdue(state, now)
    yield from _update(state, now)


def _record_overdue(state: SteeringState, now: float) -> None:
    for name, load in state.loads.loads.items():
        upstream = state.catalog.upstreams.get(name)
        if not load.own or upstream is None:
            continue
        known = state.typical_times.get(upstream.record.service)
        if known is None:
            continue
        slowness = max(1, load.current_slowness(now))
        timeout = known.typical * slowness * _OVERDUE_FACTOR + _OVERDUE_MARGIN
        if now - load.unanswered_since > timeout:
            state.paths.record_miss(upstream, connecting=False)


def _update(state: SteeringState, now: float) -> Iterator[Decision]:
    """Update which services are lost, and log the changes."""
    paths = state.paths
    before = paths.lost_since
    paths.update(state.catalog.services, now)
    if paths.lost_since.keys() == before.keys():
        return
    # Other entries must know soon whom to pass requests to.
    state.next_digest_at = now
    state.next_zone_digest_at = now
    for service in sorted(paths.lost_since.keys() - before.keys()):
        yield _paths_lost(state, service, now)
    for service in sorted(before.keys() - paths.lost_since.keys()):
        yield Decision(
            DecisionKind.PATHS_REGAINED,
            service,
            inputs=(('seconds', round(now - before[service], 3)),),
        )


def _paths_lost(
    state: SteeringState,
    service: ServiceName,
    now: float,
) -> Decision:
    paths = state.paths
    answered_at = max(paths.last_answer(service), state.started_at)
    return Decision(
        DecisionKind.PATHS_LOST,
        service,
        inputs=(
            ('unanswered', round(now - answered_at, 3)),
            ('missed', len(paths.missed)),
            ('isolated', int(paths.is_isolated)),
        ),
    )
