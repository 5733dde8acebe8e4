"""Which entries callers shall use."""

from dataclasses import dataclass
from typing import Final

from worksrail.core.identity import RegionName, ZoneName
from worksrail.core.results import ResultCode
from worksrail.core.steering.state import SteeringState

# Seconds for which callers keep an answer: an entry that stops or dies is
# out of all answers soon, at some look-ups more.
_MAX_AGE: Final = 1.5
_LIMIT: Final = 16


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

    All ready entries of their region; if there is none, those of all
    regions.
    """
    known = [
        (entry.digest.region, entry.digest.zone, entry.digest.caller)
        for entry in state.fleet.entries.values()
        if entry.takes_requests(now)
    ]
    settings = state.settings
    if state.ready and not state.leaving:
        own = settings.addresses.caller
        known.append((settings.region, settings.zone, own))
    near = [place for place in known if place[0] == region] or known
    if not near:
        return ResultCode.NOT_READY
    near.sort(key=lambda place: (place[1] != zone, place[2]))
    addresses = tuple(address for _, _, address in near[:_LIMIT])
    max_age = min(_MAX_AGE, settings.bounds.look_up_age)
    return EntryList(addresses, max_age)
