"""What it costs others that a request takes a slot.

This answers cold work.  An execution on a cold key takes several times as
long as on a warm one, so a service that sends keys to cold places when slots
are short runs out of slots, queues, and sends more keys to cold places.  A
price on slots, which grows with their use, keeps requests at warm upstreams.
"""

from typing import Final

from worksrail.core.identity import ServiceName
from worksrail.core.steering.state import SlotUsage, SteeringState

# Share of its slots from which an upstream counts as short of room.
_ROOMY: Final = 0.5
# Seconds of others' waiting that a second of work causes at an upstream all
# of whose slots are in use.
_CROWDING: Final = 1.0
# Share of a service's slots in use from which slots are short everywhere, and
# seconds of others' waiting for each second of work when all are in use.
_SHORT: Final = 0.4
_SHORTAGE: Final = 3.0
# Seconds for which the use of a service's slots is not counted anew, and
# upstreams of a service from which it is kept for longer in proportion: to
# count 3,000 of them takes 0.8 ms, and their use changes slowly.
_SHORTAGE_AGE: Final = 0.05
_MANY_UPSTREAMS: Final = 200


def use_of_slots(
    state: SteeringState,
    service: ServiceName,
    now: float,
) -> float:
    """Requests in flight at a service over its slots; may pass 1."""
    known = state.slot_usage.get(service)
    if known is None or now - known.measured_at > _kept_for(state, service):
        known = SlotUsage(_counted(state, service), now)
        state.slot_usage[service] = known
    return known.used


def price_of(used: float) -> float:
    """Seconds of others' waiting for a second of work, by a service's use."""
    return _SHORTAGE * _excess(used, _SHORT)


def crowding(used: float) -> float:
    """The same by the use of one upstream's slots."""
    return _CROWDING * _excess(used, _ROOMY)


def _kept_for(state: SteeringState, service: ServiceName) -> float:
    count = len(state.catalog.names_of(service))
    return _SHORTAGE_AGE * max(1, count / _MANY_UPSTREAMS)


def _counted(state: SteeringState, service: ServiceName) -> float:
    slots = state.catalog.slots_of(service)
    if not slots:
        return 1
    names = state.catalog.names_of(service)
    return state.loads.in_flight_at(names) / slots


def _excess(used: float, roomy: float) -> float:
    """How far a use of slots is between a roomy share and all, 0 to 1."""
    return min(1, max(0, used - roomy) / (1 - roomy))
