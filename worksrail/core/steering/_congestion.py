"""Congestion price of a slot: the delay that its use causes other requests.

An execution with a cold key takes several times as long as one with a warm
key.  A service that sends keys to upstreams where they are cold when slots are
scarce runs out of slots, builds queues, and then sends even more keys to such
upstreams.  A price that grows with the use of slots prevents this: it keeps
requests at upstreams where their keys are warm.
"""

from typing import Final

from worksrail.core.identity import ServiceName
from worksrail.core.steering._backing_off import slots_backing_off
from worksrail.core.steering.state import SlotUsage, SteeringState

# Share of an upstream's slots in use from which its slots have a price.
_UPSTREAM_THRESHOLD: Final = 0.5
# Seconds of delay to other requests that a second of execution causes at an
# upstream all of whose slots are in use.
_UPSTREAM_PRICE: Final = 1.0
# Share of a service's slots in use from which all its slots have a price, and
# the seconds of delay to other requests for each second of execution when all
# of them are in use.
_SERVICE_THRESHOLD: Final = 0.4
_SERVICE_PRICE: Final = 3.0
# Seconds for which the use of a service's slots is cached, and the number of
# upstreams from which it is cached longer in proportion: summing up 3,000
# upstreams takes 0.8 ms, and the use of so many slots changes slowly.
_USAGE_TTL: Final = 0.05
_MANY_UPSTREAMS: Final = 200


def current_slot_usage(
    state: SteeringState,
    service: ServiceName,
    now: float,
) -> float:
    """Return the share of a service's slots that are in use.

    Requests that wait for a slot do not count: if a few upstreams have long
    queues, the slots of the others are free all the same.
    """
    cached = state.slot_usage.get(service)
    if cached is None or now - cached.measured_at > _usage_ttl(state, service):
        cached = SlotUsage(_measured_usage(state, service, now), now)
        state.slot_usage[service] = cached
    return cached.used


def service_congestion_price(used: float) -> float:
    """Return the price of a second of execution, by the service's slot use.

    It is the seconds of delay that the execution causes other requests.
    """
    return _SERVICE_PRICE * _excess(used, _SERVICE_THRESHOLD)


def upstream_congestion_price(used: float) -> float:
    """Return the same by the slot use of one upstream."""
    return _UPSTREAM_PRICE * _excess(used, _UPSTREAM_THRESHOLD)


def _usage_ttl(state: SteeringState, service: ServiceName) -> float:
    count = len(state.catalog.names_of(service))
    return _USAGE_TTL * max(1, count / _MANY_UPSTREAMS)


def _measured_usage(
    state: SteeringState, service: ServiceName, now: float
) -> float:
    slots = state.catalog.slots_of(service)
    if state.rates.backoffs.by_upstream:
        slots -= slots_backing_off(state, service, now)
    if slots <= 0:
        return 1
    loads = state.loads.loads
    used = 0
    for upstream in state.catalog.usable(service):
        load = loads.get(upstream.name)
        if load is not None:
            used += min(load.own + load.others, upstream.record.slots)
    return used / slots


def _excess(used: float, threshold: float) -> float:
    """Scale the use of slots from the threshold to all slots into 0 to 1."""
    return min(1, max(0, used - threshold) / (1 - threshold))
