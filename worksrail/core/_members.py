"""The instances among which duties for limits are drawn."""

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
    """Instances that are ready, in each region and in all, by their names.

    Instances are addressed by name.
    """
    live = instance.membership.live(now, instance.settings)
    ready = [one for one in live if one.status is MemberStatus.READY]
    staying = [
        member.record
        for member in instance.membership.members.values()
        if member.record.status not in _GONE
    ]
    regions = {ALL_REGIONS, instance.place.region}
    regions.update(record.place.region for record in staying)
    return {
        region: _members(instance, region, ready, staying, now)
        for region in sorted(regions)
    }


def _members(
    instance: Instance,
    region: RegionName,
    ready: list[MemberRecord],
    staying: list[MemberRecord],
    now: float,
) -> Members:
    peers = {
        record.who.name: record.who.name
        for record in ready
        if region in {ALL_REGIONS, record.place.region}
    }
    known = sum(
        region in {ALL_REGIONS, record.place.region} for record in staying
    )
    if region in {ALL_REGIONS, instance.place.region}:
        known += 1
        if instance.status(now) is MemberStatus.READY:
            peers[instance.who.name] = instance.who.name
    return Members(peers, max(1, known))
