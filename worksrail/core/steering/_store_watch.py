"""Who reads the store, and who learns from other entries instead.

Two entries of each region watch the store.  Digests say how far each entry
knows it; one that is behind asks another entry for what it lacks.  So calls
to the store grow with the regions, and an entry that the store turns away
still learns of every change.  A fresh entry cannot know yet who else reads:
it lists the store once, cheaply, and reads on only if that is its duty.
"""

from collections.abc import Iterator
from typing import Final

from worksrail.core.steering import _on_store
from worksrail.core.steering._digests import Contact
from worksrail.core.steering._on_digests import own_contact, tell_at_once
from worksrail.core.steering._on_store_answers import hear_of_store
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

# Entries of each region that watch the store: when one dies or is cut off, the
# other one still tells the region, and other regions tell it as well.
_WATCHERS: Final = 2
# Seconds after which a fresh entry has heard enough of its region to take up
# the duty.
_UNDECIDED: Final = 1.0
# Seconds after which it watches in any case if it lacks anything.
_PATIENCE: Final = 2.0
# Seconds for which an entry that watches, and is answered, may be behind others
# before it asks them: usually its own watch tells it sooner.
_WATCHER_LAG: Final = 0.4


def keep_up(state: SteeringState, now: float) -> Iterator[Effect]:
    """Watch the store if it is this entry's duty; catch up with others."""
    if _shall_list(state, now):
        state.listed = True
        yield ListStore()
    watching = _shall_watch(state, now)
    if watching != state.watching:
        state.watching = watching
        if not watching:
            # Others tell from now on; what the store does is their matter.
            state.failing_kinds.clear()
        yield Decision(DecisionKind.WATCH, 'begun' if watching else 'ended')
        yield WatchStore(watching)
    others = _tellers(state, now)
    for kind in StoreKind:
        yield from _catch_up(state, kind, others, now)
    told = (
        tuple(state.store_sync.revisions.values()),
        bool(state.failing_kinds),
    )
    if told != state.told:
        # Others wait for news, or have to read in this one's place.
        state.told = told
        tell_at_once(state, now)


def on_fetched(
    state: SteeringState, event: StoreUpdateFetched
) -> Iterator[Effect]:
    """Take in what another entry told of the store."""
    state.fetching.discard(event.kind)
    news = event.news
    if news.revision <= state.store_sync.revisions[event.kind]:
        # Meanwhile more has become known here than was told.
        return
    # Whether it has been away decides what removals mean.
    yield from hear_of_store(state, news, event.now)
    yield Decision(
        DecisionKind.NEWS_FETCHED,
        event.kind.value,
        inputs=(('from', event.peer), ('revision', news.revision)),
    )
    yield from _apply(state, event.kind, news, event.now)


def on_missed(
    state: SteeringState, event: StoreUpdateFailed
) -> Iterator[Effect]:
    """Another entry did not tell; the next attempt may ask another one."""
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
    """What this entry knows of a kind beyond a revision."""
    store_sync = state.store_sync
    revision = store_sync.revisions[kind]
    if kind is StoreKind.UPSTREAMS:
        news = store_sync.upstreams_since(state.catalog, since)
        return StoreUpdate(
            news.revision,
            records=news.records,
            missing=news.missing,
            removed=news.removed,
            complete=news.complete,
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


def _shall_list(state: SteeringState, now: float) -> bool:
    if state.listed or state.leaving:
        return False
    return not all(state.store_sync.revisions.values())


def _shall_watch(state: SteeringState, now: float) -> bool:
    if state.leaving:
        return state.watching
    age = now - state.started_at
    if age < _UNDECIDED:
        return False
    if age > _PATIENCE and not all(state.store_sync.revisions.values()):
        return True
    own = own_contact(state, now)
    return own in state.fleet.store_readers(own, _WATCHERS, now)


def _catch_up(
    state: SteeringState,
    kind: StoreKind,
    others: list[Contact],
    now: float,
) -> Iterator[Effect]:
    known = state.store_sync.revisions[kind]
    ahead = [other for other in others if other.revision(kind) > known]
    if not ahead:
        state.behind_since.pop(kind, None)
        return
    behind = now - state.behind_since.setdefault(kind, now)
    answered = state.watching and not state.failing_kinds
    patience = _WATCHER_LAG if answered else 0
    if behind >= patience and kind not in state.fetching:
        state.fetching.add(kind)
        zone = state.settings.zone
        near = [other for other in ahead if other.zone == zone]
        source = state.rng.choice(near or ahead)
        yield FetchStoreUpdate(kind, source.peer, known)


def _tellers(state: SteeringState, now: float) -> list[Contact]:
    """The entries that this one may ask.

    Only the speaker asks other zones, for all of its own.
    """
    zone_peers = state.fleet.zone_peers(now)
    if state.fleet.is_relay(own_contact(state, now), now):
        return zone_peers + state.fleet.far(now)
    return zone_peers


def _apply(
    state: SteeringState,
    kind: StoreKind,
    news: StoreUpdate,
    now: float,
) -> Iterator[Effect]:
    revision = news.revision
    if kind is StoreKind.EVACUATIONS:
        zones = frozenset(news.zones)
        yield from _on_store.on_evacuations(
            state, EvacuationsRead(now, zones, revision)
        )
    elif kind is StoreKind.CONFIGURATION:
        if news.configuration:
            yield from _on_store.on_configuration(
                state, ConfigurationRead(now, news.configuration, revision)
            )
    elif news.complete:
        known = news.records + news.missing
        yield from _on_store.on_listed(
            state, UpstreamsListed(now, known, revision)
        )
        gone = tuple(record.discovery_id for record in news.missing)
        yield from _on_store.on_changed(
            state, UpstreamsChanged(now, (), gone, revision)
        )
    else:
        yield from _on_store.on_changed(
            state, UpstreamsChanged(now, news.records, news.removed, revision)
        )
