"""Updates estimates from the end of an attempt.

These are round-trip times, speed, warm keys, faults and reachability.
"""

from collections.abc import Iterator
from typing import Final

from worksrail.core.steering._catalog import Upstream
from worksrail.core.steering._choosing import region_rtt
from worksrail.core.steering._ending import release
from worksrail.core.steering._load import UpstreamLoad
from worksrail.core.steering._reports import unexplained_time_ratio
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._warm_keys import RouteTimes
from worksrail.core.steering.effects import Decision, DecisionKind, Effect
from worksrail.core.steering.events import AttemptEnded, AttemptOutcome
from worksrail.core.steering.state import SteeringState

# Seconds without a connection after which a connect attempt counts as
# unanswered: if only the upstream process is down, its machine refuses sooner.
_CONNECT_TIMEOUT: Final = 0.4
# Outcomes after which the upstream has, or may have, executed the request.
_EXECUTED: Final = frozenset(
    (
        AttemptOutcome.ANSWERED,
        AttemptOutcome.SPOILED,
        AttemptOutcome.UNPROVEN,
        AttemptOutcome.BROKE_IN_ANSWER,
    )
)
# Outcomes that show that the zone of the upstream can be reached.
_REACHED: Final = _EXECUTED | {
    AttemptOutcome.NOT_EXECUTED,
    AttemptOutcome.OTHER_UPSTREAM,
}
# Outcomes that show no fault of the upstream.
_NO_FAULT: Final = frozenset(
    (AttemptOutcome.NOT_EXECUTED, AttemptOutcome.WITHDRAWN)
)
# Outcomes of attempts that this entry ended itself.
CANCELLED: Final = frozenset(
    (AttemptOutcome.CANCELLED, AttemptOutcome.CANCELLED_UNSENT)
)
# Outcomes of attempts at upstreams that may have been silent all the time.
_SILENT: Final = CANCELLED | {AttemptOutcome.TIMED_OUT}
_SERVER_ERROR: Final = 500
# Minimum expected time that an execution is compared with; seconds.
_MIN_EXPECTED: Final = 0.02
# Multiple of the expected time up to which the variation of an execution is
# normal: executions of one kind differ, and so do upstreams of one service.
_NORMAL_VARIATION: Final = 1.5
# Multiple of the expected time after which an attempt without an answer counts
# as a failure of its upstream even if the caller disconnected.
SILENCE_FACTOR: Final = 4.0


def record_attempt(
    state: SteeringState,
    request: SteeredRequest,
    event: AttemptEnded,
) -> Iterator[Effect]:
    """Update all estimates from an attempt that has ended."""
    name = request.current.upstream
    load = state.loads.of(name)
    release(state, request.current, event.now)
    yield from _record_reachability(state, request, event)
    outcome = event.outcome
    if request.current.backed_off:
        # A backoff is no fault, and its end is known exactly.
        return
    _record_rates(load, event)
    if outcome in CANCELLED and not is_overdue(request, event):
        return
    if outcome in _SILENT and request.current.overdue:
        # Its silence has been recorded.
        return
    if outcome is AttemptOutcome.OTHER_UPSTREAM:
        state.catalog.mark_misdirected(name)
        yield Decision(DecisionKind.UPSTREAM_MISDIRECTED, name, event.request)
    elif outcome is AttemptOutcome.ANSWERED:
        _record_times(state, request, event)
        if event.status < _SERVER_ERROR:
            load.record_success(event.now)
            return
    elif outcome in _NO_FAULT:
        return
    if load.record_failure(event.now):
        yield _ejected(load, request, event.now)


def record_silence(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> Iterator[Decision]:
    """Record that an upstream has been silent for too long.

    Its attempt goes on, but other requests avoid the upstream.
    """
    name = request.current.upstream
    load = state.loads.of(name)
    if load.record_failure(now, silent=True):
        yield _ejected(load, request, now)
    upstream = state.catalog.upstreams.get(name)
    if upstream is None:
        return
    state.paths.record_miss(upstream, connecting=False)
    yield from _record_unreachable(state, request, upstream, now)


def _ejected(
    load: UpstreamLoad,
    request: SteeredRequest,
    now: float,
) -> Decision:
    return Decision(
        DecisionKind.UPSTREAM_EJECTED,
        request.current.upstream,
        request.number,
        (
            ('failures', load.failures),
            ('seconds', round(load.ejected_until - now, 3)),
        ),
    )


def is_overdue(request: SteeredRequest, event: AttemptEnded) -> bool:
    """Return whether an attempt took much longer than expected."""
    return (
        event.now - request.current.sent_at
        > SILENCE_FACTOR * request.current.expected_time
    )


def _record_rates(load: UpstreamLoad, event: AttemptEnded) -> None:
    """Update the rejection and failure rates of an upstream."""
    outcome = event.outcome
    if outcome is AttemptOutcome.NOT_EXECUTED:
        load.record_admission(event.now, rejected=True)
    elif outcome in _EXECUTED:
        failed = outcome is not AttemptOutcome.ANSWERED
        failed = failed or event.status >= _SERVER_ERROR
        load.record_admission(event.now, rejected=False)
        load.record_response(event.now, failed=failed)


def _record_reachability(
    state: SteeringState,
    request: SteeredRequest,
    event: AttemptEnded,
) -> Iterator[Effect]:
    upstream = state.catalog.upstreams.get(request.current.upstream)
    if upstream is None:
        return
    if event.connect_time:
        region_rtt(state, upstream.region).add(event.connect_time)
    zone = upstream.record.zone
    if event.outcome in _REACHED or event.connect_time:
        state.paths.zones.record_reachable(zone)
        return
    hung = event.now - request.current.sent_at > _CONNECT_TIMEOUT
    if event.outcome is AttemptOutcome.NOT_CONNECTED and hung:
        yield from _record_unreachable(state, request, upstream, event.now)


def _record_unreachable(
    state: SteeringState,
    request: SteeredRequest,
    upstream: Upstream,
    now: float,
) -> Iterator[Decision]:
    zone = upstream.record.zone
    if state.paths.zones.record_unreachable(zone, upstream.name, now):
        yield Decision(
            DecisionKind.ZONE_UNREACHED,
            zone,
            request.number,
            (('upstream', upstream.name),),
        )


def _record_times(
    state: SteeringState,
    request: SteeredRequest,
    event: AttemptEnded,
) -> None:
    if event.status >= _SERVER_ERROR:
        return
    name = request.current.upstream
    elapsed = event.now - request.current.sent_at
    key = request.affinity_key
    recently_served = not key or name in state.warm_keys.warm_upstreams(
        request.service, key, event.now
    )
    times = state.warm_keys.times_of(request.route, request.service)
    ratio = elapsed / max(request.current.expected_time, _MIN_EXPECTED)
    ratio = unexplained_time_ratio(state, request, ratio)
    # If the key was expected to be warm but this entry has not sent it there
    # recently, or the other way round, it is unknown whether the key was warm:
    # other entries may have sent it as well.
    conclusive = recently_served == request.current.warm
    if key and request.current.warm and _may_be_cold(ratio, times):
        conclusive = False
    if conclusive:
        # A cold execution where a warm one was expected does not mean that the
        # upstream is slow: if it did, keys would move to upstreams where they
        # are cold again.
        state.loads.of(name).record_speed(ratio, event.now)
    upstream = state.catalog.upstreams.get(name)
    if upstream is None:
        return
    execution = max(0, elapsed - region_rtt(state, upstream.region).typical)
    state.typical_time(request.service, execution).add(
        execution / (1 + request.current.queue)
    )
    if (
        key
        and not request.current.queue
        and _record_warmth(
            request, times, execution, recently_served=recently_served
        )
    ):
        conclusive = False
    if conclusive and not request.current.queue:
        average = times.warm if recently_served else times.cold
        average.add(execution)
    if key:
        state.warm_keys.record_served(request.service, key, name, event.now)


def _record_warmth(
    request: SteeredRequest,
    times: RouteTimes,
    execution: float,
    *,
    recently_served: bool,
) -> bool:
    """Learn how often keys are warm at their homes.

    Returns whether the key was unexpectedly warm, so that its time is not that
    of a cold execution.
    """
    if request.current.home == 1:
        times.record_primary(execution)
        return False
    if not request.current.home or recently_served:
        return False
    return times.record_spill(request.current.home, execution)


def _may_be_cold(ratio: float, times: RouteTimes) -> bool:
    """Whether a key evicted from the cache would explain the time.

    If so, the time says nothing about the upstream's speed or the time of a
    warm execution.
    """
    cold = times.cold.typical / max(times.warm.typical, _MIN_EXPECTED)
    return _NORMAL_VARIATION < ratio < cold * _NORMAL_VARIATION
