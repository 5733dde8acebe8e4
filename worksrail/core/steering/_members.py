"""The entries among which duties for limits are drawn."""

from worksrail.core.identity import RegionName
from worksrail.core.limits import Members
from worksrail.core.pacing import ALL_REGIONS
from worksrail.core.steering.state import SteeringState


def members_by_region(
    state: SteeringState,
    now: float,
) -> dict[RegionName, Members]:
    """The entries that take requests, in each region and in all of them.

    This entry is one of them if it is ready and stays.
    """
    regions = {ALL_REGIONS, *state.settings.regions.values()}
    peers: dict[RegionName, dict[str, str]] = {name: {} for name in regions}
    staying = dict.fromkeys(regions, 0)
    for name, entry in state.fleet.entries.items():
        contact = entry.contact
        takes = entry.takes_requests(now)
        for region in (ALL_REGIONS, contact.region):
            staying[region] = staying.get(region, 0) + (not contact.leaving)
            if takes:
                peers.setdefault(region, {})[name] = contact.peer
    for own in (ALL_REGIONS, state.settings.region):
        staying[own] += 1
        if state.ready and not state.leaving:
            peers[own][state.who.name] = state.fleet.peer
    return {
        region: Members(found, max(1, staying[region]))
        for region, found in peers.items()
    }
