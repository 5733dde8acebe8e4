"""Choosing where a request runs, and acquiring the permits it needs there."""

import heapq
from collections.abc import Container, Iterator
from dataclasses import dataclass
from typing import Final

from worksrail.core._availability import code_if_unavailable
from worksrail.core._tokens import MAX_TOKEN_REQUESTS, has_token
from worksrail.core.bundle import CompiledService, Topology
from worksrail.core.effects import Effect, Note, NoteKind, SendUpstream
from worksrail.core.identity import InstanceName, RegionName
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

_SAMPLE_SIZE: Final = 3
_RATE_WINDOW: Final = 1.0
# A shifted request is not sent later than this after its permits were taken.
_MAX_START_DELAY: Final = 0.05
_MIN_RETRY_DELAY: Final = 0.5
_MAX_RETRY_DELAY: Final = 5.0
_RETRY_JITTER: Final = (0.5, 1.5)


@dataclass(frozen=True, slots=True)
class Placement:
    """A local upstream and the permits for one attempt at it."""

    upstream: PoolKey
    """Slot pool of the chosen upstream."""

    holds: tuple[Hold, ...]
    """The slot permit, then the shift-cap permits of a shifted request."""


def acquire_local_permits(
    instance: Instance,
    active: ActiveRequest,
    now: float,
) -> Placement | ResultCode:
    """Take all permits that the request needs in this region, or none."""
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
    slot = _acquire_slot(instance, active, now)
    if isinstance(slot, NoPermit):
        release_all(instance, caps, now)
        return _code_without_slot(instance, active.service, slot, now)
    if shifted:
        instance.service_state(active.service).rise(active.home).note(now)
    return Placement(slot.pool, (slot, *caps))


def _code_without_slot(
    instance: Instance,
    service: str,
    reason: NoPermit,
    now: float,
) -> ResultCode:
    unavailable = code_if_unavailable(instance, service, now)
    if unavailable:
        return unavailable
    if reason is NoPermit.RATE_LIMITED:
        return ResultCode.UPSTREAMS_LIMITED
    return ResultCode.NO_SLOT


def send(
    instance: Instance,
    active: ActiveRequest,
    placement: Placement,
    now: float,
) -> Iterator[Effect]:
    """Send a request to the upstream for which permits were taken."""
    topology = _topology(instance)
    _, upstream = topology.upstreams[placement.upstream]
    active.state = RequestState.SENT
    active.attempts += 1
    active.upstream = placement.upstream
    active.sent_at = now
    active.backed_off = False
    instance.pacer.record_sent(placement.upstream, now)
    active.crash_number = instance.quarantine.begin(active.fingerprint, now)
    active.holds = tuple(hold for hold in placement.holds if not _is_rate(hold))
    _hold_rate_permits(instance, placement.holds, now)
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
    return min(latest, now + _MAX_START_DELAY) if shifted else latest


def choose_remote_instance(
    instance: Instance,
    active: ActiveRequest,
    now: float,
) -> MemberRecord | None:
    """Choose an instance of another region that can serve the request."""
    topology = _topology(instance)
    caps = topology.services[active.service].caps
    for region in _regions_to_try(instance, active, topology):
        if region != active.home and (active.home, region) not in caps:
            continue
        target = _choose_by_free_slots(instance, active.service, region, now)
        if target:
            return target
        active.tried_regions.add(region)
    return None


def choose_neighbour(
    instance: Instance,
    active: ActiveRequest,
    now: float,
) -> MemberRecord | None:
    """Choose another instance of this region with free slots."""
    region = instance.place.region
    avoided = {instance.who.name, *active.tried_instances}
    return _choose_by_free_slots(instance, active.service, region, now, avoided)


def release_all(
    instance: Instance,
    holds: tuple[Hold, ...],
    now: float,
) -> None:
    """Return permits to the ledger."""
    for hold in holds:
        instance.ledger.release(hold, now)


def retry_after(instance: Instance, service: str) -> float:
    """Seconds after which a refused caller should retry.

    The delay grows with the expected queueing time.  Jitter keeps callers that
    were refused together from retrying together.
    """
    state = instance.service_state(service)
    group = instance.ledger.groups.get(slot_group(service))
    slots = group.usable if group else 0
    wait = state.queue.expected_wait(state.typical_latency, slots)
    base = min(_MAX_RETRY_DELAY, max(_MIN_RETRY_DELAY, wait))
    return round(base * instance.rng.uniform(*_RETRY_JITTER), 2)


def _topology(instance: Instance) -> Topology:
    topology = instance.configuration.topology
    if topology is None:
        raise AssertionError('no configuration is in force')
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
    # Usage of the other entries comes from their heartbeats and lags a little.
    # The check above uses local state only, so its bound always holds.
    use = instance.peer_slot_usage.get(active.service, 0) + group.in_use + 1
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
    acquired: list[Hold] = []
    for kind in (PoolKind.RATE, PoolKind.FLIGHT):
        key = cap_pool(kind, active.service, active.home)
        hold = instance.ledger.take(key, now)
        instance.lending.note_use(cap_group(key))
        if isinstance(hold, NoPermit):
            release_all(instance, tuple(acquired), now)
            instance.lending.note_shortage(cap_group(key), 1)
            return ResultCode.CAP_REACHED
        instance.lending.note_shortage(cap_group(key), 0)
        acquired.append(hold)
    return tuple(acquired)


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


def _acquire_slot(
    instance: Instance,
    active: ActiveRequest,
    now: float,
) -> Hold | NoPermit:
    group = instance.ledger.groups.get(slot_group(active.service))
    if group is None:
        return NoPermit.UNKNOWN_POOL
    typical = instance.service_state(active.service).typical_latency
    sampled = [
        key
        for key in group.available.draw(
            instance.rng, _sample_size(instance, group)
        )
        if key not in active.tried
    ]
    sampled.sort(
        key=lambda key: instance.upstream_health(key).score(typical, now)
    )
    asked = 0
    for key in sampled:
        if not has_token(
            instance, key, now, may_request=asked < MAX_TOKEN_REQUESTS
        ):
            asked += 1
            continue
        hold = instance.ledger.take(key, now)
        if isinstance(hold, Hold):
            instance.lending.note_use(group.key)
            return hold
    if group.pools and all(map(instance.pacer.is_limited, group.pools)):
        return NoPermit.RATE_LIMITED
    return NoPermit.ALL_IN_USE


def _sample_size(instance: Instance, group: Group) -> int:
    # Sampled upstreams may lack a token, so with rate limits all are tried.
    return (
        len(group.available.keys) if instance.pacer.has_limits else _SAMPLE_SIZE
    )


def _is_rate(hold: Hold) -> bool:
    return hold.pool.startswith(PoolKind.RATE.value)


def _hold_rate_permits(
    instance: Instance,
    holds: tuple[Hold, ...],
    now: float,
) -> None:
    # A rate permit allows one start per window, so it is held for the window.
    for hold in holds:
        if _is_rate(hold):
            until = now + _RATE_WINDOW + _MAX_START_DELAY
            release = TimedRelease(until, hold)
            hold_until(instance, release)


def hold_until(instance: Instance, release: TimedRelease) -> None:
    """Schedule the release of a permit."""
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


def _choose_by_free_slots(
    instance: Instance,
    service: str,
    region: RegionName,
    now: float,
    avoided: Container[InstanceName] = (),
) -> MemberRecord | None:
    candidates = [
        (spare.slots, instance.rng.random(), record)
        for record in instance.membership.accepting_work(
            now, instance.settings, region
        )
        if record.who.name not in avoided
        for spare in record.spares
        if spare.service == service and spare.slots > 0
    ]
    if not candidates:
        return None
    sampled = instance.rng.sample(candidates, min(2, len(candidates)))
    return max(sampled, key=lambda candidate: candidate[:2])[2]
