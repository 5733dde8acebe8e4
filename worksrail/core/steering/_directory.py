"""Which entries callers shall use."""

from dataclasses import dataclass
from typing import Final

from worksrail.core.identity import RegionName, ZoneName
from worksrail.core.results import ResultCode
from worksrail.core.steering._digests import Contact
from worksrail.core.steering._on_digests import own_contact
from worksrail.core.steering.state import SteeringState

# Seconds for which callers keep an answer: an entry that stops or dies is
# out of all answers soon, at some look-ups more.
_MAX_AGE: Final = 1.5
_LIMIT: Final = 64
# Callers choose among the named entries at random, so small entries are
# named only when the large ones would be in use beyond this share of their
# capacity; and never fewer entries than this, so that one may be lost.
_IN_USE: Final = 0.4
_LEAST: Final = 4
# Entries whose capacity is within this share of another's are alike.
_ALIKE: Final = 0.9


@dataclass(frozen=True, slots=True)
class EntryList:
    """The answer to a look-up."""

    addresses: tuple[str, ...]
    """Entries to use, IP number and port each; nearest first."""

    max_age: float
    """Seconds for which the answer may be kept."""


def look_up(
    state: SteeringState,
    region: RegionName,
    zone: ZoneName,
    now: float,
) -> EntryList | ResultCode:
    """Name the entries that callers of a zone shall use.

    The largest ready entries of their region, as many as its requests need;
    if there is none in the region, those of all regions.
    """
    if not state.settled(now):
        # Callers keep their last answer rather than one that names few.
        return ResultCode.NOT_READY
    known = [
        entry.contact
        for entry in state.fleet.entries.values()
        if entry.takes_requests(now)
    ]
    own = own_contact(state, now)
    if own.takes_requests:
        known.append(own)
    near = [contact for contact in known if contact.region == region] or known
    if not near:
        return ResultCode.NOT_READY
    named = _largest(near)
    named.sort(key=lambda contact: (contact.zone != zone, contact.caller))
    addresses = tuple(contact.caller for contact in named[:_LIMIT])
    max_age = min(_MAX_AGE, state.settings.bounds.look_up_age)
    return EntryList(addresses, max_age)


def _largest(contacts: list[Contact]) -> list[Contact]:
    """The largest entries that carry the requests of all of them."""
    needed = sum(contact.rate for contact in contacts) / _IN_USE
    ordered = sorted(
        contacts, key=lambda contact: contact.capacity, reverse=True
    )
    named: list[Contact] = []
    for contact in ordered:
        enough = len(named) >= _LEAST and needed <= 0
        if enough and contact.capacity < named[-1].capacity * _ALIKE:
            break
        needed -= contact.capacity
        named.append(contact)
    return named
