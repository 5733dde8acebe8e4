"""Timer-driven work: digests, readiness, pause detection."""

from collections.abc import Iterable, Iterator
from typing import Final

from worksrail.core.identity import RegionName
from worksrail.core.steering._admitting import maintain_limits
from worksrail.core.steering._availability import maintain_availability
from worksrail.core.steering._discovery import discover_entries
from worksrail.core.steering._failing import Step, run_step
from worksrail.core.steering._on_digests import (
    forget_expired_zones,
    schedule_digests,
    send_digests,
)
from worksrail.core.steering._on_store import expire_upstreams
from worksrail.core.steering._on_store_answers import check_store
from worksrail.core.steering._pacing import maintain_pacing
from worksrail.core.steering._path_evidence import watch_paths
from worksrail.core.steering._probing import probe_paths
from worksrail.core.steering._routes import RoutingConfiguration
from worksrail.core.steering._second_attempts import begin_second_attempts
from worksrail.core.steering._stopping import exit_when_done
from worksrail.core.steering._store_watch import sync_with_store
from worksrail.core.steering.effects import (
    Decision,
    DecisionKind,
    Effect,
)
from worksrail.core.steering.events import Ticked
from worksrail.core.steering.kinds import StoreKind
from worksrail.core.steering.state import SteeringState

# Seconds between two checks of which entries are alive and whether another one
# has a newer view of the store.
_UPKEEP_INTERVAL: Final = 0.1
# Seconds without any event after which the process is taken to have been
# suspended.
_MIN_PAUSE: Final = 1.0


def on_tick(state: SteeringState, event: Ticked) -> Iterator[Effect]:
    """Run all work that is due; an error in one step ends only that step."""
    for step in _due_steps(state, event.now):
        yield from run_step(state, step, event.now)


def on_pause(state: SteeringState, now: float) -> Iterator[Effect]:
    """Discard reported state that aged while the process was suspended."""
    gap = now - state.last_event_at
    state.last_event_at = now
    if gap < _MIN_PAUSE:
        return
    for name in tuple(state.loads.reported):
        state.loads.forget(name)
    state.demand.forget_others()
    state.limits.handle_pause(now)
    state.rates.named.handle_pause()
    state.budgets.handle_pause(now)
    state.catalog.store_health.handle_pause(now)
    yield Decision(DecisionKind.PAUSED, inputs=(('seconds', round(gap, 3)),))


def _due_steps(state: SteeringState, now: float) -> Iterator[Step]:
    yield expire_upstreams
    yield begin_second_attempts
    if now >= state.next_upkeep_at:
        state.next_upkeep_at = now + _UPKEEP_INTERVAL
        yield from _UPKEEP
    yield check_store
    yield maintain_pacing
    if now >= state.next_digest_at:
        yield send_digests
    yield exit_when_done


def _detect_dead_entries(state: SteeringState, now: float) -> Iterator[Effect]:
    dead, forgotten = state.fleet.expire(now)
    for name in dead:
        if name not in state.dead_entries:
            state.dead_entries.add(name)
            if name in state.loads.reported:
                state.loads.forget(name)
            state.demand.forget(name)
            last_seen = state.fleet.entries[name].last_seen_at
            yield Decision(
                DecisionKind.ENTRY_LOST,
                name,
                inputs=(('silent', round(now - last_seen, 3)),),
            )
    state.dead_entries.difference_update(forgotten)
    forget_expired_zones(state, now)
    state.promises.forget_expired(now)


def _update_budgets(state: SteeringState, now: float) -> Iterable[Effect]:
    entries = state.fleet.entries.values()
    staying = [peer for peer in entries if not peer.contact.leaving]
    live = sum(entry.alive(now) for entry in staying)
    state.budgets.follow(state.settings.bounds.repeats, now)
    state.budgets.set_fleet_size(1 + live, 1 + len(staying))
    state.budgets.maintain(now)
    return ()


def _update_key_homes(state: SteeringState, now: float) -> Iterable[Effect]:
    """Adapt the key homes to where requests come from."""
    region_shares = state.region_shares
    if not region_shares.is_due(now):
        return ()
    region_shares.observe_demand(_arrival_rates(state, now), now)
    region = state.settings.region
    for service in tuple(region_shares.shares):
        shared = state.key_overlap.is_shared(service, region, now)
        region_shares.follow(state.catalog, service, region, shared=shared)
    return ()


def _arrival_rates(state: SteeringState, now: float) -> dict[RegionName, float]:
    """Return the arrivals a second at the entries of each region."""
    rates = {state.settings.region: state.arrivals.rate(now)}
    for entry in state.fleet.alive(now):
        region = entry.contact.region
        rates[region] = rates.get(region, 0) + entry.contact.rate
    return rates


def become_ready(state: SteeringState, now: float) -> Iterator[Effect]:
    """Accept requests once all required state is known, and advertise it."""
    if state.ready or state.leaving:
        return
    complete = {StoreKind.UPSTREAMS, StoreKind.EVACUATIONS} <= state.kinds_read
    configured = isinstance(state.configuration, RoutingConfiguration)
    if complete and configured:
        state.ready = True
        yield Decision(
            DecisionKind.READY,
            inputs=(('after', round(now - state.started_at, 3)),),
        )
        schedule_digests(state, now)
        yield from send_digests(state, now)


# Updates entry liveness and the store's state, and adapts to both.
_UPKEEP: Final[tuple[Step, ...]] = (
    _detect_dead_entries,
    watch_paths,
    probe_paths,
    maintain_availability,
    sync_with_store,
    discover_entries,
    _update_key_homes,
    _update_budgets,
    maintain_limits,
)
