"""Keeps requests away from upstreams that have asked for a backoff."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.availability import Backoff
from worksrail.core.identity import ServiceName
from worksrail.core.steering._catalog import Upstream
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering.state import SteeringState

# Multiple of the usual rate of requests that returning upstreams may get.
_RETURN_FACTOR: Final = 1.4
# Refused callers are asked to come back over this multiple of the time for
# which their upstreams were unavailable, at most so many seconds.
_SPREAD_FACTOR: Final = 2.0
_MAX_SPREAD: Final = 60.0
# Seconds over which callers are spread that are refused after a backoff.
_RETURN_SPREAD: Final = 1.0
# Probability that a request leaves returning upstreams to more urgent ones
# while those are refused.
_YIELD_PROBABILITY: Final = 0.9


@dataclass(slots=True)
class BackoffFilter:
    """Which upstreams may get one request, as far as backoffs decide."""

    backoffs: dict[str, Backoff]
    """Backoffs that are active or ended lately, by upstream."""

    now: float
    """Monotonic time in seconds."""

    may_return: bool
    """Whether the request may go to an upstream whose backoff ended lately."""

    excluded: list[str] = field(default_factory=list)
    """Upstreams that were excluded, once for each evaluation."""

    @classmethod
    def from_request(
        cls,
        state: SteeringState,
        request: SteeredRequest,
        now: float,
    ) -> 'BackoffFilter':
        """Decide what is the same for all upstreams."""
        backoffs = state.rates.backoffs.by_upstream
        return cls(
            backoffs, now, not backoffs or _may_return(state, request, now)
        )

    def allows(self, upstream: str) -> bool:
        """Return whether an upstream may get the request."""
        backoff = self.backoffs.get(upstream)
        if backoff is None:
            return True
        if backoff.is_returning(self.now):
            allowed = self.may_return
        else:
            allowed = backoff.told or not backoff.is_active(self.now)
        if not allowed:
            self.excluded.append(upstream)
        return allowed

    def avoids(self, upstream: str) -> bool:
        """Return whether an upstream has asked another entry for a backoff.

        It gets requests only if there is no other: it may have asked that entry
        alone, and this one need not ask each upstream in need for itself.
        """
        backoff = self.backoffs.get(upstream)
        return (
            backoff is not None and backoff.told and backoff.is_active(self.now)
        )


def usual_rate_at(state: SteeringState, name: str, now: float) -> float:
    """Return the requests per second that an upstream usually gets."""
    service = state.catalog.upstreams[name].record.service
    sends = state.rates.sends.get(service)
    count = len(state.catalog.names_of(service))
    return sends.usual(now) / count if sends and count else 0


def record_return(state: SteeringState, upstream: Upstream, now: float) -> None:
    """Count a request to an upstream whose backoff ended lately."""
    backoff = state.rates.backoffs.by_upstream.get(upstream.name)
    if backoff and backoff.is_returning(now):
        state.rates.returns.record_sent(upstream.record.service)


def delay_after_backoffs(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> float:
    """Return after how many seconds a refused caller should come back.

    That is the first end of a backoff, plus a random time, so that callers do
    not return all at once.
    """
    backoffs = state.rates.backoffs.by_upstream
    known = [
        backoffs[one.name]
        for one in state.catalog.usable(request.service)
        if one.name in backoffs
        and not (backoffs[one.name].told and backoffs[one.name].is_active(now))
        and (not request.regions or one.region in request.regions)
    ]
    first = min(known, key=lambda backoff: backoff.until, default=None)
    if first is None:
        return 0
    if first.until <= now:
        rate = _return_rate(state, request.service, now)
        wait = state.rates.returns.wait(request.service, rate)
        return wait + state.rng.uniform(0, _RETURN_SPREAD)
    spread = min(_MAX_SPREAD, first.length * _SPREAD_FACTOR)
    return first.until - now + state.rng.uniform(0, spread)


def slots_backing_off(
    state: SteeringState,
    service: ServiceName,
    now: float,
) -> int:
    """Return the slots of a service's upstreams that are in a backoff."""
    return sum(
        one.record.slots
        for one in state.catalog.usable(service)
        if state.rates.backoffs.end_of(one.name) > now
    )


def _may_return(
    state: SteeringState,
    request: SteeredRequest,
    now: float,
) -> bool:
    rates = state.rates
    returning = list(_returning(state, request.service, now))
    if not returning:
        return True
    since = min(backoff.until for backoff in returning)
    rate = _return_rate(state, request.service, now)
    rates.returns.update(request.service, rate, since, now, state.rng)
    if not rates.returns.allows(request.service):
        return False
    if not rates.refused_in_backoff.is_needed(request.priority, now):
        return True
    return state.rng.random() >= _YIELD_PROBABILITY


def _return_rate(
    state: SteeringState,
    service: ServiceName,
    now: float,
) -> float:
    usual = sum(one.usual_rate for one in _returning(state, service, now))
    return usual * _RETURN_FACTOR


def _returning(
    state: SteeringState,
    service: ServiceName,
    now: float,
) -> Iterator[Backoff]:
    """Yield the backoffs of a service that ended lately."""
    for name, backoff in state.rates.backoffs.by_upstream.items():
        if not backoff.is_returning(now):
            continue
        upstream = state.catalog.upstreams.get(name)
        if upstream and upstream.record.service == service:
            yield backoff
