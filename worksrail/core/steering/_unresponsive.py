"""Reroutes requests away from unresponsive upstreams."""

from collections.abc import Iterator

from worksrail.core.steering._learning import SILENCE_FACTOR
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._request_log import attempt_cancelled
from worksrail.core.steering._routes import RouteKind
from worksrail.core.steering.effects import (
    CancelAttempt,
    Decision,
    DecisionKind,
    Effect,
)
from worksrail.core.steering.state import SteeringState


def reroute_unresponsive(state: SteeringState, now: float) -> Iterator[Effect]:
    """Cancel attempts at unresponsive upstreams if they may be retried.

    Requests that must not be repeated, or whose attempts are used up, continue
    to wait.
    """
    yield from _reroute_from_dead_helpers(state, now)
    unresponsive: set[str] = set()
    for request in state.requests.values():
        if not request.upstream or not _may_reroute(request, now):
            continue
        if not _is_unresponsive(state, request, now):
            continue
        load = state.loads.of(request.upstream)
        request.rerouting = True
        if request.upstream not in unresponsive:
            unresponsive.add(request.upstream)
            yield Decision(
                DecisionKind.UPSTREAM_SILENT,
                request.upstream,
                inputs=(
                    ('since', round(now - load.unanswered_since, 3)),
                    ('own', load.own),
                ),
            )
        yield attempt_cancelled(state, request, 'upstream silent', now)
        yield CancelAttempt(request.number)


def _reroute_from_dead_helpers(
    state: SteeringState,
    now: float,
) -> Iterator[Effect]:
    for request in state.requests.values():
        if request.helper and _has_lost_helper(state, request, now):
            request.rerouting = True
            yield attempt_cancelled(state, request, 'entry silent', now)
            yield CancelAttempt(request.number)


def _has_lost_helper(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> bool:
    """Whether the entry that has a request is dead, and it may be retried."""
    if request.rerouting or request.caller_gone or not request.route.idempotent:
        return False
    helper = state.fleet.entries.get(request.helper)
    return helper is None or not helper.alive(now)


def _is_unresponsive(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> bool:
    upstream = state.catalog.upstreams.get(request.upstream)
    slots = upstream.record.slots if upstream else 1
    typical = state.typical_time(request.service, request.expected_time).typical
    load = state.loads.of(request.upstream)
    return load.is_silent(typical, slots, now)


def _may_reroute(request: SteeredRequest, now: float) -> bool:
    if request.rerouting or request.caller_gone or not request.route.idempotent:
        return False
    if request.sends >= request.route.max_attempts:
        return False
    # Downloads may legitimately take long.
    if request.route.kind is RouteKind.DOWNLOAD:
        return False
    return now - request.sent_at > SILENCE_FACTOR * request.expected_time
