"""Passes requests to entries that reach upstreams which this one does not."""

from collections.abc import Iterator
from typing import Final

from worksrail.core.steering._attempt import Attempt
from worksrail.core.steering._digests import Contact
from worksrail.core.steering._passing_terms import PassingTerms
from worksrail.core.steering._paths import in_regions
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._routes import RoutingConfiguration
from worksrail.core.steering.effects import (
    Decision,
    DecisionKind,
    Effect,
    PassRequest,
)
from worksrail.core.steering.state import SteeringState

# Maximum number of entries that a request is passed to, one after the other.
_MAX_PASSES: Final = 3
# Connections of one request that must have failed before it is passed on even
# though its service is not known to be lost.
_MIN_UNCONNECTED: Final = 3
# Seconds after a request was passed on for which upstreams are probed.
_PROBE_AFTER_PASS: Final = 2.0
# Minimum weight of an entry without spare capacity when one is chosen.
_MIN_SPARE: Final = 1.0
# Seconds beyond the deadline for which the other entry is awaited, so that its
# own timeout answer can still arrive.
_ANSWER_MARGIN: Final = 0.2


def cannot_send(state: SteeringState, request: SteeredRequest) -> bool:
    """Return whether this entry is known to reach no upstream for a request."""
    if request.passed_by:
        return False
    if request.unconnected >= _MIN_UNCONNECTED:
        return True
    paths = state.paths
    if not request.regions:
        return request.service in paths.lost_since
    if not paths.missed:
        return False
    usable = state.catalog.usable(request.service)
    return paths.reaches_none(in_regions(usable, request.regions))


def choose_entry(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> Contact | None:
    """Choose an entry that can send a request, or None if there is none.

    Entries of the own region come first.  Among these one is drawn by its
    spare capacity, so that the entries share the load.
    """
    if len(request.passed_to) >= _MAX_PASSES:
        return None
    able = [
        entry.contact
        for entry in state.fleet.entries.values()
        if entry.accepts_requests(now) and _can_send(entry.contact, request)
    ]
    region = state.settings.region
    near = [contact for contact in able if contact.region == region]
    chosen = near or able
    if not chosen:
        return None
    weights = [
        max(_MIN_SPARE, contact.capacity - contact.rate) for contact in chosen
    ]
    return state.rng.choices(chosen, weights)[0]


def pass_on(
    state: SteeringState,
    request: SteeredRequest,
    target: Contact,
    now: float,
) -> Iterator[Effect]:
    """Pass a request to another entry."""
    request.attempts += 1
    request.begin(
        Attempt(
            request.attempts,
            helper=target.name,
            sent_at=now,
            crash_number=request.current.crash_number,
        )
    )
    request.passed_to.append(target.name)
    state.probing_until = now + _PROBE_AFTER_PASS
    yield PassRequest(
        request.number,
        request.attempts,
        target.peer,
        request.deadline,
        request.deadline + _ANSWER_MARGIN,
        _terms_of(state, request),
    )
    yield Decision(
        DecisionKind.REQUEST_PASSED,
        target.name,
        request.number,
        (
            ('service', request.service),
            ('region', target.region),
            ('unconnected', request.unconnected),
            ('isolated', int(state.paths.is_isolated)),
            ('sends', request.sends),
        ),
    )


def _terms_of(state: SteeringState, request: SteeredRequest) -> PassingTerms:
    route = request.route
    version = 0
    if isinstance(state.configuration, RoutingConfiguration):
        version = state.configuration.version
    return PassingTerms(
        state.settings.name,
        request.service,
        route.name,
        route.kind.name,
        route.target_latency,
        request.priority,
        route.max_attempts,
        route.affinity,
        tuple(sorted(request.regions)),
        request.customer_name,
        request.sends,
        version,
    )


def _can_send(contact: Contact, request: SteeredRequest) -> bool:
    if not contact.takes_requests or contact.name in request.passed_to:
        return False
    if request.service in contact.unreachable:
        return False
    # A body goes only to regions that may serve the request.
    return not request.regions or contact.region in request.regions
