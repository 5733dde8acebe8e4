"""Learns the load that upstreams report with their answers."""

from typing import Final

from worksrail.core.steering._catalog import Upstream
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._stated_load import unexplained_ratio
from worksrail.core.steering.events import (
    AttemptEnded,
    AttemptOutcome,
    ReportedLoad,
)
from worksrail.core.steering.state import SteeringState

# Seconds before the deadline within which a rejection may mean that the request
# has waited too long, so that it says nothing about the queue's length.
_DEADLINE_MARGIN: Final = 0.25


def learn_load(
    state: SteeringState,
    request: SteeredRequest,
    report: ReportedLoad,
    now: float,
) -> None:
    """Learn the load from the head of an answer.

    The end of a long answer comes much later, when the load is another one.
    """
    request.current.load_known = True
    # The request counts as in flight until the answer ends.
    own = state.loads.of(request.current.upstream).own - 1
    _record(state, request.current.upstream, report, own, now)


def learn_end(
    state: SteeringState,
    request: SteeredRequest,
    event: AttemptEnded,
) -> None:
    """Learn the load from the end of an attempt, and from a rejection."""
    if event.load is None or event.outcome is AttemptOutcome.OTHER_UPSTREAM:
        return
    if not request.current.load_known:
        learn_load(state, request, event.load, event.now)
    if (
        event.outcome is AttemptOutcome.NOT_EXECUTED
        and not request.current.backed_off
    ):
        _learn_places(state, request, event.load, event.now)


def learn_probed_load(
    state: SteeringState,
    upstream: Upstream,
    report: ReportedLoad,
    now: float,
) -> None:
    """Learn the load from the answer to a health check."""
    own = state.loads.of(upstream.name).own
    _record(state, upstream.name, report, own, now)


def unexplained_time_ratio(
    state: SteeringState,
    request: SteeredRequest,
    ratio: float,
) -> float:
    """Return the part of a time ratio that stated paces do not explain."""
    stated = state.loads.of(request.current.upstream).stated
    if stated is None or stated.pace is None:
        return ratio
    return unexplained_ratio(ratio, request.current.pace, stated.pace)


def _learn_places(
    state: SteeringState,
    request: SteeredRequest,
    report: ReportedLoad,
    now: float,
) -> None:
    upstream = state.catalog.upstreams.get(request.current.upstream)
    common = state.loads.services.get(request.service)
    if upstream is None or common is None:
        return
    full = report.executing >= max(1, upstream.record.slots)
    if full and request.deadline - now > _DEADLINE_MARGIN:
        common.places.record_rejection(report.waiting, now)


def _record(
    state: SteeringState,
    name: str,
    report: ReportedLoad,
    own: int,
    now: float,
) -> None:
    upstream = state.catalog.upstreams.get(name)
    if upstream is not None:
        service = upstream.record.service
        state.loads.record_report(name, service, report, own, now)
