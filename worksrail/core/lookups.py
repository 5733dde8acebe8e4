"""Look-ups: ranking the entries that a caller may use."""

from collections.abc import Iterable
from dataclasses import dataclass

from worksrail.core.bundle import Drain, DrainKind, Topology
from worksrail.core.identity import Incarnation, RegionName, ServiceName
from worksrail.core.instance import Instance
from worksrail.core.membership import rendezvous, rendezvous_weight
from worksrail.core.messages import MemberRecord, MemberStatus
from worksrail.core.requests import Ticket
from worksrail.core.results import ResultCode


@dataclass(frozen=True, slots=True)
class RankedEntry:
    """An entry that a caller may use."""

    name: str
    """Name of the instance."""

    address: str
    """IP address and port for requests."""

    zone: str
    """Availability zone it runs in."""

    region: str
    """Region it runs in."""

    spare: int
    """Slots it could still serve, as last reported."""


@dataclass(frozen=True, slots=True)
class LookUpAnswer:
    """The answer to a look-up."""

    service: ServiceName
    """Service that was looked up."""

    home: RegionName
    """Home region of the caller."""

    entries: tuple[RankedEntry, ...]
    """Entries, best first."""

    max_age: float
    """Seconds for which the answer may be cached."""

    generation: int
    """Configuration generation of the answer."""

    ticket: Ticket
    """Ticket for non-idempotent requests, which only its owner runs."""


def look_up(
    instance: Instance,
    client: str,
    service: str,
    now: float,
) -> LookUpAnswer | ResultCode:
    """Rank the entries for a caller.

    Entries of the home region come first, then those of fallback regions to
    which a shift cap allows requests.  Within a region, callers are spread by
    rendezvous hashing of their addresses; entries without spare slots come
    last.
    """
    topology = instance.configuration.topology
    if topology is None:
        return ResultCode.NOT_READY
    name = topology.hosts.get(service, service)
    if name not in topology.services:
        return ResultCode.UNKNOWN_SERVICE
    home = topology.region_of_caller(client, instance.place.region)
    records = _candidates(instance, now)
    regions = _regions(instance, topology, name, home)
    entries = [
        entry
        for region in regions
        for entry in _ranked(records, region, name, client)
    ]
    owner = _owner(instance, regions, client, now)
    if not entries or owner is None:
        return ResultCode.NOT_READY
    expires = instance.wall + instance.settings.ticket_age
    return LookUpAnswer(
        name,
        home,
        tuple(entries),
        topology.bundle.answer_age,
        instance.configuration.generation,
        Ticket(owner, name, expires),
    )


def _candidates(instance: Instance, now: float) -> list[MemberRecord]:
    membership = instance.membership
    return _with_own_record(
        instance, membership.accepting_work(now, instance.settings), now
    )


def _owner(
    instance: Instance,
    regions: list[RegionName],
    client: str,
    now: float,
) -> Incarnation | None:
    """Choose the entry that owns the idempotency keys of a caller.

    A key with two owners may run twice, so the choice must not depend on state
    that differs slightly between entries, such as spare slots: with those, two
    of six pairs of look-ups named two owners.  It depends on which entries are
    live and hold seats, which rarely changes; an entry without a seat has no
    permits and would refuse the requests it owns.  Entries pass requests on to
    the owner.
    """
    live = _with_own_record(
        instance, instance.membership.live(now, instance.settings), now
    )
    ready = [record for record in live if record.status is MemberStatus.READY]
    with_seats = [record for record in ready if record.seats]
    for region in regions:
        owners = {
            record.who.name: record.who
            for record in with_seats or ready
            if record.place.region == region
        }
        if owners:
            return owners[rendezvous(client, owners)]
    return None


def _with_own_record(
    instance: Instance,
    others: Iterable[MemberRecord],
    now: float,
) -> list[MemberRecord]:
    """Add the record of this entry if it is ready; drop drained entries."""
    records = list(others)
    own = instance.record(now)
    if own.status is MemberStatus.READY:
        records.append(own)
    drains = instance.configuration.drains
    return [
        record
        for record in records
        if Drain(DrainKind.ENTRY, record.who.name) not in drains
    ]


def _regions(
    instance: Instance,
    topology: Topology,
    service: ServiceName,
    home: RegionName,
) -> list[RegionName]:
    view = topology.services[service]
    region = topology.regions.get(home)
    order = [home, *(region.fallbacks if region else ())]
    drains = instance.configuration.drains
    return [
        name
        for name in order
        if (name == home or (home, name) in view.caps)
        and any(
            not topology.is_drained(upstream, drains)
            for upstream in view.regional.get(name, ())
        )
    ]


def _ranked(
    records: list[MemberRecord],
    region: RegionName,
    service: ServiceName,
    client: str,
) -> list[RankedEntry]:
    entries = [
        RankedEntry(
            record.who.name,
            record.endpoints.caller,
            record.place.zone,
            region,
            _spare(record, service),
        )
        for record in records
        if record.place.region == region
    ]
    entries.sort(
        key=lambda entry: (
            entry.spare == 0,
            -rendezvous_weight(client, entry.name),
        ),
    )
    return entries


def _spare(record: MemberRecord, service: ServiceName) -> int:
    for spare in record.spares:
        if spare.service == service:
            return spare.slots
    return 0
