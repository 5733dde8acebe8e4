"""The instances among which the issuers and owners of limits are chosen."""

from typing import Final

from worksrail.core.identity import RegionName
from worksrail.core.instance import Instance
from worksrail.core.limits import Members
from worksrail.core.messages import MemberRecord, MemberStatus
from worksrail.core.pacing import ALL_REGIONS

_GONE: Final = frozenset((MemberStatus.LEAVING, MemberStatus.LEFT))


def members_by_region(
    instance: Instance,
    now: float,
) -> dict[RegionName, Members]:
    """Ready instances by name, for each region and for all regions.

    Names also stand in for addresses: effects address instances by name.
    """
    live = instance.membership.live(now, instance.settings)
    ready = [peer for peer in live if peer.status is MemberStatus.READY]
    present = [
        member.record
        for member in instance.membership.members.values()
        if member.record.status not in _GONE
    ]
    regions = {ALL_REGIONS, instance.place.region}
    regions.update(record.place.region for record in present)
    return {
        region: _members(instance, region, ready, present, now)
        for region in sorted(regions)
    }


def _members(
    instance: Instance,
    region: RegionName,
    ready: list[MemberRecord],
    present: list[MemberRecord],
    now: float,
) -> Members:
    peers = {
        record.who.name: record.who.name
        for record in ready
        if region in {ALL_REGIONS, record.place.region}
    }
    known = sum(
        region in {ALL_REGIONS, record.place.region} for record in present
    )
    if region in {ALL_REGIONS, instance.place.region}:
        known += 1
        if instance.status(now) is MemberStatus.READY:
            peers[instance.who.name] = instance.who.name
    return Members(peers, max(1, known))
