"""Decides which entries read the store; the others sync from their peers.

Two entries of each region watch the store. Digests carry the store revisions
that each entry knows, and an entry that is behind fetches the difference from
another one. The number of store calls therefore grows with the regions, not
with the entries, and an entry that the store rejects still receives every
change. A new entry cannot know yet which others read the store: it lists
everything once, which is cheap, and continues to read only if it is one of the
watchers.
"""

from collections.abc import Iterator
from typing import Final

from worksrail.core.steering import _on_store
from worksrail.core.steering._digests import Contact
from worksrail.core.steering._on_digests import own_contact, schedule_digests
from worksrail.core.steering._on_store_answers import merge_store_report
from worksrail.core.steering._routes import RoutingConfiguration
from worksrail.core.steering._store_sync import StoreUpdate
from worksrail.core.steering.effects import (
    Decision,
    DecisionKind,
    Effect,
    FetchStoreUpdate,
    ListStore,
    WatchStore,
)
from worksrail.core.steering.events import (
    ConfigurationRead,
    EvacuationsRead,
    StoreUpdateFailed,
    StoreUpdateFetched,
    UpstreamsChanged,
    UpstreamsListed,
)
from worksrail.core.steering.kinds import StoreKind
from worksrail.core.steering.state import SteeringState

# Entries of each region that watch the store. If one of them dies or is cut
# off, the other one still keeps the region up to date, and so do other regions.
_WATCHERS_PER_REGION: Final = 2
# Seconds after which a new entry has received enough digests of its region to
# decide whether it is a watcher.
_DECISION_DELAY: Final = 1.0
# Seconds after which an entry watches in any case if it lacks a kind.
_FORCED_WATCH_DELAY: Final = 2.0
# Seconds for which a watcher that the store answers may be behind other entries
# before it fetches from them: its own watch usually delivers the change sooner.
_MAX_WATCHER_LAG: Final = 0.4


def sync_with_store(state: SteeringState, now: float) -> Iterator[Effect]:
    """Watch the store if this entry is a watcher, and catch up with peers."""
    if _should_list(state, now):
        state.has_listed = True
        yield ListStore()
    watching = _should_watch(state, now)
    if watching != state.watching:
        state.watching = watching
        if not watching:
            # The watchers report from now on; failures of this entry's own
            # reads no longer matter.
            state.failing_kinds.clear()
        yield Decision(DecisionKind.WATCH, 'begun' if watching else 'ended')
        yield WatchStore(watching)
    sources = _sync_sources(state, now)
    for kind in StoreKind:
        yield from _catch_up(state, kind, sources, now)
    advertised = (
        tuple(state.store_sync.revisions.values()),
        bool(state.failing_kinds),
    )
    if advertised != state.advertised_store_state:
        # Other entries wait for the new revisions, or have to take over as
        # watchers.
        state.advertised_store_state = advertised
        schedule_digests(state, now)


def on_update_fetched(
    state: SteeringState, event: StoreUpdateFetched
) -> Iterator[Effect]:
    """Apply a store update that was fetched from another entry."""
    state.fetching.discard(event.kind)
    update = event.update
    if update.revision <= state.store_sync.revisions[event.kind]:
        # This entry has learned of a later revision in the meantime.
        return
    # Recent outages are merged first, since they decide how removals are
    # treated.
    yield from merge_store_report(state, update, event.now)
    yield Decision(
        DecisionKind.NEWS_FETCHED,
        event.kind.value,
        inputs=(('from', event.peer), ('revision', update.revision)),
    )
    yield from _apply_update(state, event.kind, update, event.now)


def on_update_failed(
    state: SteeringState, event: StoreUpdateFailed
) -> Iterator[Effect]:
    """Record a failed fetch; the next one may go to another entry."""
    state.fetching.discard(event.kind)
    yield Decision(
        DecisionKind.NEWS_MISSED,
        event.kind.value,
        inputs=(('from', event.peer),),
    )


def store_update_since(
    state: SteeringState,
    kind: StoreKind,
    since: int,
    now: float,
) -> StoreUpdate:
    """Return what this entry knows of a kind beyond a revision."""
    store_sync = state.store_sync
    revision = store_sync.revisions[kind]
    if kind is StoreKind.UPSTREAMS:
        update = store_sync.upstreams_since(state.catalog, since)
        return StoreUpdate(
            update.revision,
            records=update.records,
            missing=update.missing,
            removed=update.removed,
            complete=update.complete,
            store_age=state.catalog.store_health.advertised_age(now),
            store_return=state.catalog.store_health.advertised_return(now),
        )
    if kind is StoreKind.EVACUATIONS:
        zones = tuple(sorted(state.catalog.evacuated))
        return StoreUpdate(revision, zones=zones, complete=True)
    configuration = state.configuration
    if isinstance(configuration, RoutingConfiguration):
        return StoreUpdate(revision, configuration, complete=True)
    return StoreUpdate(0)


def _should_list(state: SteeringState, now: float) -> bool:
    if state.has_listed or state.leaving:
        return False
    return not all(state.store_sync.revisions.values())


def _should_watch(state: SteeringState, now: float) -> bool:
    if state.leaving:
        return state.watching
    age = now - state.started_at
    if age < _DECISION_DELAY:
        return False
    if age > _FORCED_WATCH_DELAY and not all(
        state.store_sync.revisions.values()
    ):
        return True
    own = own_contact(state, now)
    return own in state.fleet.store_readers(own, _WATCHERS_PER_REGION, now)


def _catch_up(
    state: SteeringState,
    kind: StoreKind,
    sources: list[Contact],
    now: float,
) -> Iterator[Effect]:
    known = state.store_sync.revisions[kind]
    ahead = [entry for entry in sources if entry.revision(kind) > known]
    if not ahead:
        state.behind_since.pop(kind, None)
        return
    lag = now - state.behind_since.setdefault(kind, now)
    answered = state.watching and not state.failing_kinds
    max_lag = _MAX_WATCHER_LAG if answered else 0
    if lag >= max_lag and kind not in state.fetching:
        state.fetching.add(kind)
        zone = state.settings.zone
        near = [entry for entry in ahead if entry.zone == zone]
        source = state.rng.choice(near or ahead)
        yield FetchStoreUpdate(kind, source.peer, known)


def _sync_sources(state: SteeringState, now: float) -> list[Contact]:
    """Return the entries from which this one may fetch.

    Only the relay fetches from other zones, on behalf of its own.
    """
    zone_peers = state.fleet.zone_peers(now)
    if state.fleet.is_relay(own_contact(state, now), now):
        return zone_peers + state.fleet.remote_entries(now)
    return zone_peers


def _apply_update(
    state: SteeringState,
    kind: StoreKind,
    update: StoreUpdate,
    now: float,
) -> Iterator[Effect]:
    revision = update.revision
    if kind is StoreKind.EVACUATIONS:
        zones = frozenset(update.zones)
        yield from _on_store.on_evacuations(
            state, EvacuationsRead(now, zones, revision)
        )
    elif kind is StoreKind.CONFIGURATION:
        if update.configuration:
            yield from _on_store.on_configuration(
                state, ConfigurationRead(now, update.configuration, revision)
            )
    elif update.complete:
        known = update.records + update.missing
        yield from _on_store.on_listed(
            state, UpstreamsListed(now, known, revision)
        )
        gone = tuple(record.discovery_id for record in update.missing)
        yield from _on_store.on_changed(
            state, UpstreamsChanged(now, (), gone, revision)
        )
    else:
        yield from _on_store.on_changed(
            state,
            UpstreamsChanged(now, update.records, update.removed, revision),
        )
