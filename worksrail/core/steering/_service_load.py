"""What is known of the load of a whole service when its slots are short.

Other entries' requests in flight are up to 0.4 s old.  Where requests stay for
a shorter time, an upstream that was reported to be the emptiest need not be it
any more, and all entries would send to it at once.  The fewer of the reported
requests can still be there, the more an upstream is assumed to have as many of
them as the average one.
"""

from dataclasses import dataclass
from math import exp
from typing import TYPE_CHECKING, Final

from worksrail.core.identity import ServiceName

if TYPE_CHECKING:
    from worksrail.core.steering.state import SteeringState

# Average age of the requests in flight that others advertise, in seconds.
_REPORT_AGE: Final = 0.3
# Share of the slots in use from which a service is short of slots.  Queues at
# some upstreams do not count: slots of others may be free.
_SHORT_USAGE: Final = 0.8
# Part of a slowness that queues cause which are not known at all.
_NORMAL_VARIATION: Final = 0.5
# Seconds for which a summary is used, and the number of upstreams from which
# it is used longer in proportion.
_TTL: Final = 0.05
_MANY_UPSTREAMS: Final = 200


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Summary of the requests in flight at a service."""

    is_short: bool
    """Whether the service is short of slots."""

    others_per_slot: float
    """Requests of other entries in flight, over the slots."""

    share_in_slots: float
    """Share of the requests in flight that are in slots and do not queue."""

    report_weight: float
    """Share of the requests that others reported which are still there."""

    own: int
    """Requests of this entry in flight."""

    measured_at: float
    """When it was computed."""

    def in_flight_at(self, own: int, others: int, slots: int) -> float:
        """Return the expected requests in flight at one upstream."""
        if not self.is_short:
            return own + others
        average = self.others_per_slot * slots
        return own + average + self.report_weight * (others - average)

    def normal_slowness(self, slowness: float) -> float:
        """Return an upstream's slowness as far as it is significant."""
        if not self.is_short:
            return slowness
        unknown = 1 - self.report_weight
        if slowness < 1 + unknown * _NORMAL_VARIATION:
            return 1 + self.report_weight**2 * (slowness - 1)
        return slowness


NOT_SHORT: Final = ServiceLoad(
    is_short=False,
    others_per_slot=0,
    share_in_slots=1,
    report_weight=1,
    own=0,
    measured_at=0,
)
"""Stands for services whose slots nobody competes for."""


def service_load(
    state: 'SteeringState',
    service: ServiceName,
    slot_seconds: float,
    now: float,
) -> ServiceLoad:
    """Return the summary of a service's load, at most briefly outdated.

    ``slot_seconds`` is the time for which a request occupies a slot.
    """
    known = state.service_loads.get(service)
    count = len(state.catalog.names_of(service))
    if known is None or now - known.measured_at > _TTL * max(
        1, count / _MANY_UPSTREAMS
    ):
        known = _measure(state, service, slot_seconds, now)
        state.service_loads[service] = known
    return known


def _measure(
    state: 'SteeringState',
    service: ServiceName,
    slot_seconds: float,
    now: float,
) -> ServiceLoad:
    in_flight = 0
    in_slots = 0
    others = 0
    own = 0
    for upstream in state.catalog.usable(service):
        load = state.loads.of(upstream.name)
        in_flight += load.in_flight
        in_slots += min(load.in_flight, upstream.record.slots)
        others += load.others
        own += load.own
    slots = max(1, state.catalog.slots_of(service))
    stay = slot_seconds * max(1, in_flight / slots)
    return ServiceLoad(
        in_slots >= slots * _SHORT_USAGE,
        others / slots,
        in_slots / in_flight if in_flight else 1,
        exp(-_REPORT_AGE / stay) if stay > 0 else 1,
        own,
        now,
    )
