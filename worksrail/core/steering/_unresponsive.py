"""Moves requests away from upstreams that owe answers for too long."""

from collections.abc import Iterator

from worksrail.core.steering._learning import SILENCE_FACTOR
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._routes import RouteKind
from worksrail.core.steering.effects import (
    CancelAttempt,
    Decision,
    DecisionKind,
    Effect,
)
from worksrail.core.steering.state import SteeringState


def move_from_silent(state: SteeringState, now: float) -> Iterator[Effect]:
    """Cut off what silent upstreams owe, where it may be sent once more.

    Nothing is cut off that could not go elsewhere: a request that must not
    be repeated waits on, and so does one whose attempts are used up.
    """
    silent: set[str] = set()
    for request in state.requests.values():
        if not request.upstream or not _may_move(request, now):
            continue
        if not _is_silent(state, request, now):
            continue
        load = state.loads.of(request.upstream)
        request.rerouting = True
        if request.upstream not in silent:
            silent.add(request.upstream)
            yield Decision(
                DecisionKind.UPSTREAM_SILENT,
                request.upstream,
                inputs=(
                    ('since', round(now - load.unanswered_since, 3)),
                    ('own', load.own),
                ),
            )
        yield CancelAttempt(request.number)


def _is_silent(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> bool:
    upstream = state.catalog.upstreams.get(request.upstream)
    slots = upstream.record.slots if upstream else 1
    usual = state.typical_time(request.service, request.expected_time).typical
    load = state.loads.of(request.upstream)
    return load.is_silent(usual, slots, now)


def _may_move(request: SteeredRequest, now: float) -> bool:
    if request.rerouting or request.caller_gone or not request.route.idempotent:
        return False
    if request.sends >= request.route.max_attempts:
        return False
    # Downloads may be on their way for long.
    if request.route.kind is RouteKind.DOWNLOAD:
        return False
    return now - request.sent_at > SILENCE_FACTOR * request.expected_time
