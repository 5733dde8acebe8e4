"""What happens as time passes: digests, readiness, stops, pauses."""

from collections.abc import Iterator
from typing import Final

from worksrail.core.steering._fleet import EntryDigest
from worksrail.core.steering._on_store import expire_upstreams
from worksrail.core.steering._routes import RoutingConfiguration
from worksrail.core.steering._silence import move_from_silent
from worksrail.core.steering.effects import (
    Decision,
    DecisionKind,
    Effect,
    ExitProcess,
    SendDigest,
)
from worksrail.core.steering.events import (
    DigestReceived,
    StopRequested,
    StoreKind,
    Ticked,
)
from worksrail.core.steering.state import SteeringState

# Seconds between two digests: fresher ones brought no more in trials.
_DIGEST_INTERVAL: Final = 0.2
# Every so many digests, silent addresses are written to as well.
_EVERYONE: Final = 5
# Addresses of other entries that one digest carries.
_KNOWN_LIMIT: Final = 8
# Upstreams that one digest carries, so that it fits into a datagram.
_IN_FLIGHT_LIMIT: Final = 60
# Seconds for which a fresh entry waits for digests of the others.
_SETTLING: Final = 0.5
# Seconds after the request to stop for which callers may still come with a
# look-up answer that names this entry, as a share of the grace period.
_LINGER: Final = 0.5
# Share of the grace period at whose end the process exits in any case.
_LAST_EXIT: Final = 0.95
# Seconds without any event after which the process was standing still.
_PAUSE: Final = 1.0


def on_tick(state: SteeringState, event: Ticked) -> Iterator[Effect]:
    """Do what is due."""
    yield from _note_deaths(state, event.now)
    yield from expire_upstreams(state, event.now)
    yield from _become_ready(state, event.now)
    yield from move_from_silent(state, event.now)
    if event.now >= state.next_digest_at:
        yield _digest(state, event.now)
    yield from _exit_when_done(state, event.now)


def on_digest(
    state: SteeringState,
    event: DigestReceived,
) -> Iterator[Effect]:
    """Take in what another entry tells."""
    digest = event.digest
    name = digest.who.name
    fresh = name in state.dead or name not in state.fleet.entries
    if not state.fleet.take(digest, event.now):
        return
    state.loads.take(name, digest.in_flight)
    if fresh:
        state.dead.discard(name)
        yield Decision(
            DecisionKind.ENTRY_SEEN,
            name,
            inputs=(('incarnation', digest.who.number),),
        )


def on_stop(state: SteeringState, event: StopRequested) -> Iterator[Effect]:
    """Leave: tell the others at once, then let requests end."""
    if state.leaving:
        return
    state.leaving_at = event.now
    yield Decision(
        DecisionKind.LEAVING, inputs=(('requests', len(state.requests)),)
    )
    yield _digest(state, event.now)


def on_pause(
    state: SteeringState,
    gap: float,
    now: float,
) -> Iterator[Effect]:
    """The process stood still: what others told meanwhile is unknown."""
    if gap < _PAUSE:
        return
    for name in tuple(state.loads.told):
        state.loads.forget_entry(name)
    yield Decision(DecisionKind.PAUSED, inputs=(('seconds', round(gap, 3)),))


def _note_deaths(state: SteeringState, now: float) -> Iterator[Effect]:
    dead, forgotten = state.fleet.expire(now)
    for name in dead:
        if name not in state.dead:
            state.dead.add(name)
            if name in state.loads.told:
                state.loads.forget_entry(name)
            heard = state.fleet.entries[name].heard_at
            yield Decision(
                DecisionKind.ENTRY_LOST,
                name,
                inputs=(('silent', round(now - heard, 3)),),
            )
    state.dead.difference_update(forgotten)


def _become_ready(state: SteeringState, now: float) -> Iterator[Effect]:
    if state.ready or state.leaving:
        return
    complete = {StoreKind.UPSTREAMS, StoreKind.EVACUATIONS} <= state.seen
    configured = isinstance(state.configuration, RoutingConfiguration)
    settled = now - state.started_at > _SETTLING
    if complete and configured and settled:
        state.ready = True
        yield Decision(
            DecisionKind.READY,
            inputs=(('after', round(now - state.started_at, 3)),),
        )
        yield _digest(state, now)


def _digest(state: SteeringState, now: float) -> SendDigest:
    state.digests += 1
    state.next_digest_at = now + _DIGEST_INTERVAL
    everyone = state.digests % _EVERYONE == 1 or state.leaving
    receivers = state.fleet.receivers(now, everyone=everyone)
    return SendDigest(tuple(receivers), digest_of(state, now))


def digest_of(state: SteeringState, now: float) -> EntryDigest:
    """What this entry tells the others."""
    settings = state.settings
    alive = state.fleet.alive(now)
    known = state.rng.sample(alive, min(_KNOWN_LIMIT, len(alive)))
    own = state.loads.own_in_flight()
    if len(own) > _IN_FLIGHT_LIMIT:
        busiest = sorted(own, key=lambda name: own[name], reverse=True)
        own = {name: own[name] for name in busiest[:_IN_FLIGHT_LIMIT]}
    configuration = state.configuration
    version = 0
    if isinstance(configuration, RoutingConfiguration):
        version = configuration.version
    return EntryDigest(
        state.who,
        state.digests,
        settings.zone,
        settings.region,
        settings.addresses.peer,
        settings.addresses.caller,
        state.ready,
        state.leaving,
        version,
        own,
        {entry.digest.who.name: entry.digest.peer for entry in known},
    )


def _exit_when_done(state: SteeringState, now: float) -> Iterator[Effect]:
    if not state.leaving or state.exited:
        return
    grace = state.settings.bounds.grace_period
    since = now - state.leaving_at
    idle = not state.requests and since > grace * _LINGER
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
