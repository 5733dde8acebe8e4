"""Answers look-ups: which entries callers should use."""

from dataclasses import dataclass
from typing import Final

from worksrail.core.identity import RegionName, ZoneName
from worksrail.core.results import ResultCode
from worksrail.core.steering._digests import Contact
from worksrail.core.steering._on_digests import own_contact
from worksrail.core.steering.state import SteeringState

# Seconds for which callers keep an answer. A short time removes a stopped or
# dead entry from all answers soon, at the cost of more look-ups.
_MAX_AGE: Final = 1.5
_MAX_ENTRIES: Final = 64
# Callers pick a listed entry at random, so small entries are listed only if the
# large ones would otherwise be used beyond this share of their capacity. At
# least a minimum number is listed, so that one may fail.
_TARGET_UTILIZATION: Final = 0.4
_MIN_ENTRIES: Final = 4
# Entries have similar capacity if one has at least this share of the other's.
_SIMILAR_CAPACITY: Final = 0.9


@dataclass(frozen=True, slots=True)
class EntryList:
    """The answer to a look-up."""

    addresses: tuple[str, ...]
    """IP addresses and ports of the entries to use, nearest first."""

    max_age: float
    """Seconds for which the answer may be kept."""


def look_up(
    state: SteeringState,
    region: RegionName,
    zone: ZoneName,
    now: float,
) -> EntryList | ResultCode:
    """Return the entries that callers of a zone should use.

    These are the largest ready entries of their region, as many as its requests
    need. If the region has none, entries of all regions are returned.
    """
    if not state.settled(now):
        # Callers keep their previous answer, which is better than an incomplete
        # one.
        return ResultCode.NOT_READY
    available = [
        entry.contact
        for entry in state.fleet.entries.values()
        if entry.accepts_requests(now)
    ]
    own = own_contact(state, now)
    if own.accepts_requests:
        available.append(own)
    near = [
        contact for contact in available if contact.region == region
    ] or available
    if not near:
        return ResultCode.NOT_READY
    selected = _select_largest(_without_isolated(near))
    selected.sort(key=lambda contact: (contact.zone != zone, contact.caller))
    addresses = tuple(contact.caller for contact in selected[:_MAX_ENTRIES])
    max_age = min(_MAX_AGE, state.settings.bounds.look_up_age)
    return EntryList(addresses, max_age)


def _without_isolated(contacts: list[Contact]) -> list[Contact]:
    """Leave out the entries that reach no upstream, unless all are needed.

    They can serve callers only through the others, which costs an additional
    hop and the capacity of two entries.
    """
    others = [contact for contact in contacts if not contact.isolated]
    needed = sum(contact.rate for contact in contacts) / _TARGET_UTILIZATION
    capacity = sum(contact.capacity for contact in others)
    return others if others and capacity >= needed else contacts


def _select_largest(contacts: list[Contact]) -> list[Contact]:
    """Return the largest entries that can carry the requests of all."""
    needed = sum(contact.rate for contact in contacts) / _TARGET_UTILIZATION
    ordered = sorted(
        contacts, key=lambda contact: contact.capacity, reverse=True
    )
    selected: list[Contact] = []
    for contact in ordered:
        enough = len(selected) >= _MIN_ENTRIES and needed <= 0
        if (
            enough
            and contact.capacity < selected[-1].capacity * _SIMILAR_CAPACITY
        ):
            break
        needed -= contact.capacity
        selected.append(contact)
    return selected
