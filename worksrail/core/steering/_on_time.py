"""What happens as time passes: digests, readiness, stops, pauses."""

from collections.abc import Iterator
from typing import Final

from worksrail.core.identity import RegionName
from worksrail.core.steering._admitting import maintain_limits
from worksrail.core.steering._on_digests import (
    forget_silent_zones,
    tell,
    tell_at_once,
)
from worksrail.core.steering._on_store import expire_upstreams
from worksrail.core.steering._on_store_answers import check_store
from worksrail.core.steering._pacing import maintain_pacing
from worksrail.core.steering._routes import RoutingConfiguration
from worksrail.core.steering._store_watch import keep_up
from worksrail.core.steering._unresponsive import move_from_silent
from worksrail.core.steering.effects import (
    Decision,
    DecisionKind,
    Effect,
    ExitProcess,
)
from worksrail.core.steering.events import (
    StopRequested,
    Ticked,
)
from worksrail.core.steering.kinds import StoreKind
from worksrail.core.steering.state import SteeringState

# Seconds between two looks at who lives and who knows more of the store.
_UPKEEP_INTERVAL: Final = 0.1
# Seconds after the request to stop for which callers may still come with a
# look-up answer that names this entry, as a share of the grace period.
_LINGER: Final = 0.5
# Share of the grace period at whose end the process exits in any case.
_LAST_EXIT: Final = 0.95
# Seconds without any event after which the process was standing still.
_PAUSE: Final = 1.0


def on_tick(state: SteeringState, event: Ticked) -> Iterator[Effect]:
    """Do what is due."""
    yield from expire_upstreams(state, event.now)
    yield from move_from_silent(state, event.now)
    if event.now >= state.next_upkeep_at:
        yield from _look_around(state, event.now)
    yield from check_store(state, event.now)
    yield from maintain_pacing(state, event.now)
    if event.now >= state.next_digest_at:
        yield from tell(state, event.now)
    yield from _exit_when_done(state, event.now)


def on_stop(state: SteeringState, event: StopRequested) -> Iterator[Effect]:
    """Leave: tell the others at once, then let requests end."""
    if state.leaving:
        return
    state.leaving_at = event.now
    yield Decision(
        DecisionKind.LEAVING, inputs=(('requests', len(state.requests)),)
    )
    tell_at_once(state, event.now)
    yield from tell(state, event.now)


def on_pause(
    state: SteeringState,
    gap: float,
    now: float,
) -> Iterator[Effect]:
    """The process stood still: what others told meanwhile is unknown."""
    if gap < _PAUSE:
        return
    for name in tuple(state.loads.reported):
        state.loads.forget(name)
    state.limits.handle_pause(now)
    state.rates.named.handle_pause()
    state.budgets.handle_pause(now)
    state.catalog.store_health.handle_pause(now)
    yield Decision(DecisionKind.PAUSED, inputs=(('seconds', round(gap, 3)),))


def _look_around(state: SteeringState, now: float) -> Iterator[Effect]:
    """See who lives and who knows more of the store, and follow it."""
    state.next_upkeep_at = now + _UPKEEP_INTERVAL
    yield from _note_deaths(state, now)
    yield from keep_up(state, now)
    _move_homes(state, now)
    _tend_budgets(state, now)
    yield from maintain_limits(state, now)


def _note_deaths(state: SteeringState, now: float) -> Iterator[Effect]:
    dead, forgotten = state.fleet.expire(now)
    for name in dead:
        if name not in state.dead:
            state.dead.add(name)
            if name in state.loads.reported:
                state.loads.forget(name)
            heard = state.fleet.entries[name].received_at
            yield Decision(
                DecisionKind.ENTRY_LOST,
                name,
                inputs=(('silent', round(now - heard, 3)),),
            )
    state.dead.difference_update(forgotten)
    forget_silent_zones(state, now)


def _tend_budgets(state: SteeringState, now: float) -> None:
    entries = state.fleet.entries.values()
    staying = [one for one in entries if not one.contact.leaving]
    live = sum(entry.alive(now) for entry in staying)
    state.budgets.follow(state.settings.bounds.repeats, now)
    state.budgets.set_fleet_size(1 + live, 1 + len(staying))
    state.budgets.maintain(now)


def _move_homes(state: SteeringState, now: float) -> None:
    """Let the homes of keys follow where requests come from."""
    region_shares = state.region_shares
    if not region_shares.is_due(now):
        return
    region_shares.observe_demand(_rates(state, now), now)
    region = state.settings.region
    for service in tuple(region_shares.shares):
        shared = state.key_overlap.is_shared(service, region, now)
        region_shares.follow(state.catalog, service, region, shared=shared)


def _rates(state: SteeringState, now: float) -> dict[RegionName, float]:
    """Requests a second that come to the entries of each region."""
    rates = {state.settings.region: state.arrivals.rate(now)}
    for entry in state.fleet.alive(now):
        region = entry.contact.region
        rates[region] = rates.get(region, 0) + entry.contact.rate
    return rates


def become_ready(state: SteeringState, now: float) -> Iterator[Effect]:
    """Take requests as soon as enough is known, and tell the others."""
    if state.ready or state.leaving:
        return
    complete = {StoreKind.UPSTREAMS, StoreKind.EVACUATIONS} <= state.seen
    configured = isinstance(state.configuration, RoutingConfiguration)
    if complete and configured:
        state.ready = True
        yield Decision(
            DecisionKind.READY,
            inputs=(('after', round(now - state.started_at, 3)),),
        )
        tell_at_once(state, now)
        yield from tell(state, now)


def _exit_when_done(state: SteeringState, now: float) -> Iterator[Effect]:
    if not state.leaving or state.exited:
        return
    grace = state.settings.bounds.grace_period
    since = now - state.leaving_at
    # Callers that were named an entry may still come, but none was named this
    # one before it was ready.
    lingers = state.ready and since <= grace * _LINGER
    idle = not state.requests and not lingers
    if idle or since > grace * _LAST_EXIT:
        state.exited = True
        yield Decision(
            DecisionKind.STOPPED,
            inputs=(
                ('after', round(since, 3)),
                ('requests', len(state.requests)),
            ),
        )
        yield ExitProcess()
