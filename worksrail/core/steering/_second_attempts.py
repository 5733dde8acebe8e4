"""Begins second attempts beside those whose upstream or entry is silent.

A silent upstream may be slow or unreachable, which looks the same from here.
So the attempt there goes on: the first answer of either one counts, and only
then is the other cancelled.  Nothing is given up for an attempt that may fail.
"""

from collections.abc import Iterator
from typing import Final

from worksrail.core.steering._learning import SILENCE_FACTOR, record_silence
from worksrail.core.steering._placing import place_second
from worksrail.core.steering._quarantining import hold_time
from worksrail.core.steering._repeating import is_within_budget
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._request_log import attempt_kept
from worksrail.core.steering._routes import RouteKind
from worksrail.core.steering.effects import Decision, DecisionKind, Effect
from worksrail.core.steering.state import SteeringState

# Seconds between two looks for another upstream that can take a request.
_REVIEW_INTERVAL: Final = 0.5


def begin_second_attempts(state: SteeringState, now: float) -> Iterator[Effect]:
    """Send requests at silent upstreams and entries to others as well."""
    for request in tuple(state.requests.values()):
        if not _may_have_second(request, now):
            continue
        if request.current.helper:
            silent = _has_lost_helper(state, request, now)
        else:
            silent = _is_unresponsive(state, request, now)
        if silent:
            yield from _record(state, request, now)
            yield from _begin(state, request, now)


def _may_have_second(request: SteeredRequest, now: float) -> bool:
    """Return whether a request may be sent once more while an attempt lasts."""
    if request.other or not request.under_way or request.answering:
        return False
    if request.caller_gone or not request.route.idempotent:
        return False
    if request.sends >= request.route.max_attempts or not request.replayable:
        return False
    return now - request.reviewed_at >= _REVIEW_INTERVAL


def _has_lost_helper(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> bool:
    """Return whether the entry that has a request counts as dead."""
    helper = state.fleet.entries.get(request.current.helper)
    return helper is None or not helper.alive(now)


def _is_unresponsive(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> bool:
    current = request.current
    # Downloads may legitimately take long.
    if request.route.kind is RouteKind.DOWNLOAD:
        return False
    if now - current.sent_at <= SILENCE_FACTOR * current.expected_time:
        return False
    upstream = state.catalog.upstreams.get(current.upstream)
    slots = upstream.record.slots if upstream else 1
    typical = state.typical_time(request.service, current.expected_time).typical
    return state.loads.of(current.upstream).is_silent(typical, slots, now)


def _record(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> Iterator[Decision]:
    """Learn once for each attempt that its upstream or entry is silent."""
    current = request.current
    if current.overdue:
        return
    current.overdue = True
    if current.helper:
        # The entry may have sent it to an upstream.
        request.sends += 1
        return
    load = state.loads.of(current.upstream)
    yield Decision(
        DecisionKind.UPSTREAM_SILENT,
        current.upstream,
        request.number,
        (
            ('since', round(now - load.unanswered_since, 3)),
            ('own', load.own),
        ),
    )
    yield from record_silence(state, request, now)


def _begin(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> Iterator[Effect]:
    """Begin a second attempt if it can be sent now and end in time."""
    is_first = request.reviewed_at < request.current.sent_at
    request.reviewed_at = now
    if request.current.upstream:
        request.tried.add(request.current.upstream)
    denial = _denial(state, request, now)
    if not denial:
        yield from place_second(state, request, now)
        if request.other:
            return
        state.budgets.give_back(request.service, now)
        denial = 'nowhere to send'
    if is_first:
        yield attempt_kept(state, request, denial, now)


def _denial(state: SteeringState, request: SteeredRequest, now: float) -> str:
    """Return why no second attempt may begin; empty if one may."""
    if request.sends >= request.route.max_attempts:
        return 'attempts'
    if hold_time(state, request, now):
        return 'held'
    return '' if is_within_budget(state, request, now) else 'budget'
