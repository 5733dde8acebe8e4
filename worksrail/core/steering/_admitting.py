"""Whether a customer's quota has room for a request."""

from collections.abc import Iterator
from typing import Final

from worksrail.core.customers import Customer, Quota
from worksrail.core.limits import (
    Addressed,
    Admission,
    Members,
    SharedLimit,
    Verdict,
)
from worksrail.core.results import ResultCode
from worksrail.core.steering._placing import place, quota_name, refuse
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._routes import RoutingConfiguration
from worksrail.core.steering._settings import SteeringBounds
from worksrail.core.steering.effects import (
    AnswerResult,
    Decision,
    DecisionKind,
    Effect,
    SendLimitMessage,
)
from worksrail.core.steering.events import LimitMessageReceived
from worksrail.core.steering.state import SteeringState

# Share of what operators tolerate beyond a quota that callers get, since their
# requests come unevenly.  The rest covers what entries admit before the word of
# a shortage reaches them.
_GIVEN_BEYOND: Final = 0.2
# Spread of the time after which callers over a quota shall come back, as
# multiples of the time at which a token is expected.
_RETURN_SPREAD: Final = (1.0, 1.3)


def limits_of(
    configuration: RoutingConfiguration,
    bounds: SteeringBounds,
) -> dict[str, SharedLimit]:
    """The shared limits of a configuration, by name."""
    if configuration.customers is None:
        return {}
    return {
        quota_name(customer.name): limit_of(customer.quota, bounds)
        for customer in configuration.customers.customers.values()
        if customer.quota
    }


def limit_of(quota: Quota, bounds: SteeringBounds) -> SharedLimit:
    """The rate and capacity that keep a quota within its bounds."""
    in_window = quota.rate * bounds.quota_window + quota.burst
    beyond = in_window * bounds.quota_overage + bounds.quota_slack
    capacity = quota.burst + beyond * _GIVEN_BEYOND
    return SharedLimit(quota.rate, max(1, capacity))


def admit(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> Iterator[Effect]:
    """Place a request that its customer's quota has room for."""
    if not isinstance(request.customer, Customer):
        yield from place(state, request, now)
        return
    name = quota_name(request.customer.name)
    verdict = state.limits.admit(name, request.number, now)
    if verdict.admission is not Admission.WAITING:
        yield from _follow(state, request, verdict, now)
    yield from follow_limits(state, now)


def on_limit_message(
    state: SteeringState,
    event: LimitMessageReceived,
) -> Iterator[Effect]:
    """Take in what another entry tells of a shared limit."""
    state.limits.receive(event.message, event.now)
    yield from follow_limits(state, event.now)


def tend_limits(state: SteeringState, now: float) -> Iterator[Effect]:
    """Report what was admitted, and take in who lives."""
    if not state.limits.limits:
        return
    if state.settled(now):
        state.limits.join(_members(state, now), now)
    state.limits.tick(now)
    yield from follow_limits(state, now)


def follow_limits(state: SteeringState, now: float) -> Iterator[Effect]:
    """Send what the limits have to tell, and go on with what waited."""
    for output in state.limits.take_outputs():
        if isinstance(output, Addressed):
            yield SendLimitMessage(output.peer, output.message)
            continue
        request = state.requests.get(output.ticket)
        if request:
            yield from _follow(state, request, output.verdict, now)


def _follow(
    state: SteeringState,
    request: SteeredRequest,
    verdict: Verdict,
    now: float,
) -> Iterator[Effect]:
    request.admitted = verdict.admission is Admission.ADMITTED
    if request.caller_gone:
        yield from _drop(state, request)
    elif request.admitted:
        yield from place(state, request, now)
    else:
        spread = state.rng.uniform(*_RETURN_SPREAD)
        pause = round(verdict.wait * spread, 3)
        yield from refuse(
            state, request, ResultCode.QUOTA_REACHED, now, pause=pause
        )


def _drop(state: SteeringState, request: SteeredRequest) -> Iterator[Effect]:
    """End a request whose caller left while it waited for its quota."""
    state.requests.pop(request.number)
    if request.admitted:
        state.limits.give_back(quota_name(request.customer_name))
    yield Decision(
        DecisionKind.REQUEST_DROPPED, 'before any attempt', request.number
    )
    yield AnswerResult(request.number, ResultCode.DEADLINE_EXPIRED)


def _members(state: SteeringState, now: float) -> Members:
    fleet = state.fleet
    peers = {
        name: entry.contact.peer
        for name, entry in fleet.entries.items()
        if entry.takes_requests(now)
    }
    if state.ready and not state.leaving:
        peers[state.who.name] = fleet.peer
    staying = sum(not entry.contact.leaving for entry in fleet.entries.values())
    return Members(peers, 1 + staying)
