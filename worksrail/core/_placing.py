"""Where a request goes: an upstream here, another region, or nowhere."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from worksrail.core._tokens import MOST_ASKED, has_token
from worksrail.core.bundle import CompiledService, Topology
from worksrail.core.effects import Effect, Note, NoteKind, SendUpstream
from worksrail.core.identity import RegionName
from worksrail.core.instance import Instance, TimedRelease
from worksrail.core.messages import MemberRecord
from worksrail.core.permits import (
    Group,
    Hold,
    NoPermit,
    PoolKey,
    PoolKind,
    PoolSpec,
    cap_group,
    cap_pool,
    seat_share,
    slot_group,
)
from worksrail.core.requests.active import ActiveRequest, RequestState
from worksrail.core.results import ResultCode

_DRAWS: Final = 3
_RATE_WINDOW: Final = 1.0
# A shifted request is written within this time after the decision, or not.
_START_SLACK: Final = 0.05
_SHORTEST_RETRY: Final = 0.5
_LONGEST_RETRY: Final = 5.0
_RETRY_SPREAD: Final = (0.5, 1.5)


@dataclass(frozen=True, slots=True)
class Placement:
    """Permits for an upstream here."""

    upstream: PoolKey
    """Slot pool of the chosen upstream."""

    holds: tuple[Hold, ...]
    """Permits held for the request."""


def placement_here(
    instance: Instance,
    active: ActiveRequest,
    now: float,
) -> Placement | ResultCode:
    """Take all permits that the request needs here, or none."""
    topology = _topology(instance)
    view = topology.services[active.service]
    shifted = active.home != instance.place.region
    if shifted:
        refusal = _headroom_refusal(instance, active, topology)
        if refusal:
            return refusal
    caps = _cap_holds(instance, active, view, now) if shifted else ()
    if isinstance(caps, ResultCode):
        return caps
    slot = _slot_hold(instance, active, now)
    if isinstance(slot, NoPermit):
        release_all(instance, caps, now)
        if slot is NoPermit.RATE_LIMITED:
            return ResultCode.UPSTREAMS_LIMITED
        return ResultCode.NO_SLOT
    if shifted:
        instance.service_state(active.service).rise(active.home).note(now)
    return Placement(slot.pool, (slot, *caps))


def send(
    instance: Instance,
    active: ActiveRequest,
    placement: Placement,
    now: float,
) -> Iterator[Effect]:
    """Send a request to the upstream it has permits for."""
    topology = _topology(instance)
    _, upstream = topology.upstreams[placement.upstream]
    active.state = RequestState.SENT
    active.attempts += 1
    active.upstream = placement.upstream
    active.sent_at = now
    instance.pacer.record_sent(placement.upstream, now)
    active.crash_number = instance.quarantine.begin(active.fingerprint, now)
    active.holds = tuple(hold for hold in placement.holds if not _is_rate(hold))
    _hold_for_a_second(instance, placement.holds, now)
    yield SendUpstream(
        active.number,
        upstream.name,
        upstream.address,
        _latest_start(placement, now),
        active.deadline,
        may_cancel=active.idempotent,
    )
    yield Note(NoteKind.REQUEST_SENT, upstream.name, active.number)


def _latest_start(placement: Placement, now: float) -> float:
    latest = min(hold.not_after for hold in placement.holds)
    shifted = len(placement.holds) > 1
    return min(latest, now + _START_SLACK) if shifted else latest


def passing_target(
    instance: Instance,
    active: ActiveRequest,
    now: float,
) -> MemberRecord | None:
    """An instance of another region that could serve the request."""
    topology = _topology(instance)
    caps = topology.services[active.service].caps
    for region in _regions_to_try(instance, active, topology):
        if region != active.home and (active.home, region) not in caps:
            continue
        target = _roomiest(instance, active.service, region, now)
        if target:
            return target
        active.tried_regions.add(region)
    return None


def release_all(
    instance: Instance,
    holds: tuple[Hold, ...],
    now: float,
) -> None:
    """Give back permits."""
    for hold in holds:
        instance.ledger.release(hold, now)


def retry_after(instance: Instance, service: str) -> float:
    """Seconds after which a refused caller should come back.

    It grows with the queue and is spread, so that callers that were refused
    together do not come back together.
    """
    state = instance.service_state(service)
    group = instance.ledger.groups.get(slot_group(service))
    servers = group.usable if group else 0
    wait = state.queue.expected_wait(state.typical_latency, servers)
    base = min(_LONGEST_RETRY, max(_SHORTEST_RETRY, wait))
    return round(base * instance.rng.uniform(*_RETRY_SPREAD), 2)


def _topology(instance: Instance) -> Topology:
    topology = instance.configuration.topology
    if topology is None:
        raise AssertionError('placed before a configuration was in force')
    return topology


def _headroom_refusal(
    instance: Instance,
    active: ActiveRequest,
    topology: Topology,
) -> ResultCode | None:
    group = instance.ledger.groups.get(slot_group(active.service))
    if group is None:
        return ResultCode.NO_SLOT
    region = topology.regions[instance.place.region]
    open_share = 1 - region.headroom
    if group.in_use + 1 > int(group.usable * open_share):
        return ResultCode.HEADROOM_REACHED
    # What the other entries use is known from their heartbeats, a little
    # late; the bound above holds in any case.
    use = instance.region_use.get(active.service, 0) + group.in_use + 1
    slots = topology.undrained_slots(
        active.service, region.name, instance.configuration.drains
    )
    if use > int(slots * open_share):
        return ResultCode.HEADROOM_REACHED
    return None


def _cap_holds(
    instance: Instance,
    active: ActiveRequest,
    view: CompiledService,
    now: float,
) -> tuple[Hold, ...] | ResultCode:
    cap = view.caps.get((active.home, instance.place.region))
    if cap is None:
        return ResultCode.CAP_REACHED
    if not _rise_allows(instance, active, cap.rise, now):
        return ResultCode.CAP_REACHED
    taken: list[Hold] = []
    for kind in (PoolKind.RATE, PoolKind.FLIGHT):
        key = cap_pool(kind, active.service, active.home)
        hold = instance.ledger.take(key, now)
        instance.lending.record_use(cap_group(key))
        if isinstance(hold, NoPermit):
            release_all(instance, tuple(taken), now)
            instance.lending.set_shortage(cap_group(key), 1)
            return ResultCode.CAP_REACHED
        instance.lending.set_shortage(cap_group(key), 0)
        taken.append(hold)
    return tuple(taken)


def _rise_allows(
    instance: Instance,
    active: ActiveRequest,
    rise: int,
    now: float,
) -> bool:
    region = _topology(instance).regions[instance.place.region]
    key = cap_pool(PoolKind.RATE, active.service, active.home)
    spec = PoolSpec(key, cap_group(key), rise, region.seats)
    share = sum(seat_share(spec, seat) for seat in instance.ledger.seats)
    limit = instance.service_state(active.service).rise(active.home)
    return limit.allows(share, now)


def _slot_hold(
    instance: Instance,
    active: ActiveRequest,
    now: float,
) -> Hold | NoPermit:
    group = instance.ledger.groups.get(slot_group(active.service))
    if group is None:
        return NoPermit.UNKNOWN_POOL
    typical = instance.service_state(active.service).typical_latency
    drawn = [
        key
        for key in group.available.draw(instance.rng, _draws(instance, group))
        if key not in active.tried
    ]
    drawn.sort(
        key=lambda key: instance.upstream_health(key).score(typical, now)
    )
    asked = 0
    for key in drawn:
        if not has_token(instance, key, now, may_ask=asked < MOST_ASKED):
            asked += 1
            continue
        hold = instance.ledger.take(key, now)
        if isinstance(hold, Hold):
            instance.lending.record_use(group.key)
            return hold
    if group.pools and all(map(instance.pacer.is_limited, group.pools)):
        return NoPermit.RATE_LIMITED
    return NoPermit.ALL_IN_USE


def _draws(instance: Instance, group: Group) -> int:
    # Upstreams without a token may be drawn in vain.
    return len(group.available.keys) if instance.pacer.has_limits else _DRAWS


def _is_rate(hold: Hold) -> bool:
    return hold.pool.startswith(PoolKind.RATE.value)


def _hold_for_a_second(
    instance: Instance,
    holds: tuple[Hold, ...],
    now: float,
) -> None:
    # A rate permit allows one start within a second: it is held that long.
    for hold in holds:
        if _is_rate(hold):
            until = now + _RATE_WINDOW + _START_SLACK
            release = TimedRelease(until, hold)
            hold_until(instance, release)


def hold_until(instance: Instance, release: TimedRelease) -> None:
    """Hold a permit until a point in time."""
    heapq.heappush(instance.releases, release)


def _regions_to_try(
    instance: Instance,
    active: ActiveRequest,
    topology: Topology,
) -> list[RegionName]:
    home = topology.regions.get(active.home)
    fallbacks = home.fallbacks if home else ()
    return [
        region
        for region in (active.home, *fallbacks)
        if region != instance.place.region
        and region not in active.tried_regions
    ]


def _roomiest(
    instance: Instance,
    service: str,
    region: RegionName,
    now: float,
) -> MemberRecord | None:
    candidates = [
        (spare.slots, instance.rng.random(), record)
        for record in instance.membership.accepting_work(
            now, instance.settings, region
        )
        for spare in record.spares
        if spare.service == service and spare.slots > 0
    ]
    if not candidates:
        return None
    drawn = instance.rng.sample(candidates, min(2, len(candidates)))
    return max(drawn, key=lambda drawn_one: drawn_one[:2])[2]
