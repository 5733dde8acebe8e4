"""What the end of an attempt teaches: distance, speed, warmth, faults."""

from collections.abc import Iterator
from typing import Final

from worksrail.core.steering._choosing import distance
from worksrail.core.steering._load import UpstreamLoad
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._warm_keys import RouteTimes
from worksrail.core.steering.effects import Decision, DecisionKind, Effect
from worksrail.core.steering.events import AttemptEnded, AttemptOutcome
from worksrail.core.steering.state import SteeringState

# Seconds after which a connection that was not made has met silence: an
# upstream that is down, on an instance that is up, refuses sooner.
_HUNG: Final = 0.4
# The upstream executed the request and answered, well or badly.
_EXECUTED: Final = frozenset(
    (
        AttemptOutcome.ANSWERED,
        AttemptOutcome.SPOILED,
        AttemptOutcome.BROKE_IN_ANSWER,
    )
)
# Its zone can be reached.
_REACHED: Final = _EXECUTED | {
    AttemptOutcome.NOT_EXECUTED,
    AttemptOutcome.OTHER_UPSTREAM,
}
_SERVER_ERROR: Final = 500
# An expected time below this says nothing of an upstream's speed; seconds.
_LEAST_EXPECTED: Final = 0.02
# Times the expected time up to which an execution is an ordinary one, since
# executions of one kind differ, and upstreams of one service do.
_ORDINARY: Final = 1.5
# Expected times after which an attempt that ends without an answer speaks
# against its upstream, also if the caller left.
SILENCE_FACTOR: Final = 4.0


def record_attempt(
    state: SteeringState,
    request: SteeredRequest,
    event: AttemptEnded,
) -> Iterator[Effect]:
    """Take in how an attempt ended; say what it changes."""
    name = request.upstream
    load = state.loads.of(name)
    silent = (
        event.now - request.sent_at > SILENCE_FACTOR * request.expected_time
    )
    load.note_ended(event.now)
    yield from _learn_reach(state, request, event)
    outcome = event.outcome
    _learn_shares(load, event)
    if outcome is AttemptOutcome.CANCELLED and not silent:
        return
    if outcome is AttemptOutcome.OTHER_UPSTREAM:
        state.catalog.mark_misdirected(name)
        yield Decision(DecisionKind.UPSTREAM_MISDIRECTED, name, event.request)
    elif outcome is AttemptOutcome.ANSWERED:
        _learn_times(state, request, event)
        if event.status < _SERVER_ERROR:
            load.note_success(event.now)
            return
    elif outcome is AttemptOutcome.NOT_EXECUTED:
        return
    if load.note_failure(event.now, silent=request.rerouting):
        yield Decision(
            DecisionKind.UPSTREAM_EJECTED,
            name,
            event.request,
            (
                ('failures', load.failures),
                ('seconds', round(load.ejected_until - event.now, 3)),
            ),
        )


def _learn_shares(load: UpstreamLoad, event: AttemptEnded) -> None:
    """Learn what share an upstream rejects, and how much of the rest fails."""
    outcome = event.outcome
    if outcome is AttemptOutcome.NOT_EXECUTED:
        load.note_acceptance(event.now, rejected=True)
    elif outcome in _EXECUTED:
        failed = outcome is not AttemptOutcome.ANSWERED
        failed = failed or event.status >= _SERVER_ERROR
        load.note_acceptance(event.now, rejected=False)
        load.record_response(event.now, failed=failed)


def _learn_reach(
    state: SteeringState,
    request: SteeredRequest,
    event: AttemptEnded,
) -> Iterator[Effect]:
    upstream = state.catalog.upstreams.get(request.upstream)
    if upstream is None:
        return
    if event.connect_time:
        distance(state, upstream.region).add(event.connect_time)
    zone = upstream.record.zone
    if event.outcome in _REACHED or event.connect_time:
        state.reachability.record_reachable(zone)
        return
    hung = event.now - request.sent_at > _HUNG
    dark = event.outcome is AttemptOutcome.NOT_CONNECTED and hung
    if dark or request.rerouting:
        if state.reachability.record_unreachable(
            zone, upstream.name, event.now
        ):
            yield Decision(
                DecisionKind.ZONE_UNREACHED,
                zone,
                event.request,
                (('upstream', upstream.name),),
            )


def _learn_times(
    state: SteeringState,
    request: SteeredRequest,
    event: AttemptEnded,
) -> None:
    if event.status >= _SERVER_ERROR:
        return
    name = request.upstream
    taken = event.now - request.sent_at
    key = request.affinity_key
    known = not key or name in state.warm_keys.warm_at(
        request.service, key, event.now
    )
    times = state.warm_keys.of(request.route, request.service)
    ratio = taken / max(request.expected_time, _LEAST_EXPECTED)
    # Elsewhere it is not known whether other entries warmed the key.
    telling = known == request.warm
    if key and request.warm and _may_be_cold(ratio, times):
        telling = False
    if telling:
        # A cold execution where a warm one was expected is no slow upstream:
        # taken for one, it sends keys away to where they are cold once more.
        state.loads.of(name).record_speed(ratio, event.now)
    upstream = state.catalog.upstreams.get(name)
    if upstream is None:
        return
    executed = max(0, taken - distance(state, upstream.region).typical)
    state.typical_time(request.service, executed).add(
        executed / (1 + request.queue)
    )
    if telling and not request.queue:
        average = times.warm if known else times.cold
        average.add(executed)
    if key:
        state.warm_keys.note_served(request.service, key, name, event.now)


def _may_be_cold(ratio: float, times: RouteTimes) -> bool:
    """Whether an upstream that has forgotten a key could take so long.

    Then it says nothing of its speed, nor of the time of a warm execution.
    """
    cold = times.cold.typical / max(times.warm.typical, _LEAST_EXPECTED)
    return _ORDINARY < ratio < cold * _ORDINARY
