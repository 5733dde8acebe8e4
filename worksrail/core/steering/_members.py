"""The entries among which the owners of limits are chosen."""

from worksrail.core.identity import RegionName
from worksrail.core.limits import Members
from worksrail.core.pacing import ALL_REGIONS
from worksrail.core.steering.state import SteeringState


def members_by_region(
    state: SteeringState,
    now: float,
) -> dict[RegionName, Members]:
    """Return the entries that accept requests, by region and in total.

    This entry is included if it is ready and not leaving.
    """
    regions = {ALL_REGIONS, *state.settings.regions.values()}
    peers: dict[RegionName, dict[str, str]] = {name: {} for name in regions}
    staying = dict.fromkeys(regions, 0)
    for name, entry in state.fleet.entries.items():
        contact = entry.contact
        takes = entry.accepts_requests(now)
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
