"""Handlers for configuration heads, drain lists and fetched bundles."""

from collections.abc import Iterator

from worksrail.core._dispatching import refuse_removed
from worksrail.core.configuration import HeadVerdict
from worksrail.core.effects import (
    Effect,
    FetchBundle,
    Note,
    NoteKind,
    SendMessage,
)
from worksrail.core.events import (
    BundleFetched,
    BundleFetchFailed,
    DrainsSeen,
    HeadSeen,
)
from worksrail.core.instance import Instance, LeaveState
from worksrail.core.limits import QuotaBounds, quota_limits
from worksrail.core.messages import AnyMessage, DrainNews, HeadNews
from worksrail.core.permits import PoolKey
from worksrail.core.settings import CoreSettings


def on_head_seen(instance: Instance, event: HeadSeen) -> Iterator[Effect]:
    """Handle a head read from the store."""
    instance.store_contact_at = event.now
    yield from handle_head(instance, event.generation, event.digest, event.now)


def handle_head(
    instance: Instance,
    generation: int,
    digest: str,
    now: float,
) -> Iterator[Effect]:
    """Fetch a newer bundle and advertise its head; log an older head."""
    configuration = instance.configuration
    known = configuration.wanted
    verdict = configuration.evaluate_head(generation, digest, now)
    if verdict is HeadVerdict.FETCH:
        yield _fetch(instance, now)
        if generation > known:
            yield from _gossip(instance, HeadNews(generation, digest), now)
    elif verdict is not HeadVerdict.KNOWN:
        yield Note(
            NoteKind.OLDER_HEAD_IGNORED, verdict.name, generation=generation
        )


def on_bundle_fetched(
    instance: Instance,
    event: BundleFetched,
) -> Iterator[Effect]:
    """Apply a bundle if its generation is higher than the one in force."""
    before = instance.configuration.topology
    applied = instance.configuration.apply(
        event.generation, event.digest, event.bundle, event.now
    )
    if not applied:
        return
    topology = instance.configuration.topology
    if topology is None:
        return
    instance.ledger.configure(
        event.generation, topology.pool_specs(instance.place.region)
    )
    table = topology.customers
    customers = table.customers.values() if table else ()
    instance.limits.follow(quota_limits(customers, QuotaBounds()), event.now)
    region = topology.regions.get(instance.place.region)
    instance.seats.wanted_seats = region.seats if region else 0
    old = set(before.upstreams) if before else set(topology.upstreams)
    _monitor(instance, set(topology.upstreams), set(topology.upstreams) - old)
    enforce_drains(instance, event.now)
    yield from refuse_removed(instance, event.now)
    yield Note(
        NoteKind.GENERATION_APPLIED,
        event.digest,
        generation=event.generation,
    )


def on_fetch_failed(
    instance: Instance,
    event: BundleFetchFailed,
) -> Iterator[Effect]:
    """Keep the configuration in force; the fetch is retried on a tick."""
    yield from ()


def retry_fetch(instance: Instance, now: float) -> Iterator[Effect]:
    """Retry a fetch that has not succeeded yet."""
    configuration = instance.configuration
    if configuration.needs_fetch(now):
        yield from handle_head(
            instance, configuration.wanted, configuration.wanted_digest, now
        )


def on_drains_seen(instance: Instance, event: DrainsSeen) -> Iterator[Effect]:
    """Handle a drain list read from the store."""
    instance.store_contact_at = event.now
    yield from apply_drain_list(
        instance, event.revision, event.targets, event.now
    )


def apply_drain_list(
    instance: Instance,
    revision: int,
    targets: tuple[str, ...],
    now: float,
) -> Iterator[Effect]:
    """Apply a newer drain list and advertise it."""
    configuration = instance.configuration
    if not configuration.apply_drains(revision, targets):
        return
    if configuration.topology:
        _monitor(instance, set(configuration.topology.upstreams), set())
    enforce_drains(instance, now)
    yield Note(NoteKind.DRAINS_APPLIED, ','.join(targets))
    yield from _gossip(instance, DrainNews(revision, targets), now)


def enforce_drains(instance: Instance, now: float) -> None:
    """Start or end leaving if this entry's drain changed; update upstreams."""
    drained = instance.is_drained_entry()
    if drained and instance.leaving is None:
        instance.leaving = LeaveState(
            now,
            exits=False,
            accepts_until=now + cached_answer_lifetime(instance),
        )
    elif not drained and instance.leaving and not instance.leaving.exits:
        instance.leaving = None
    refresh_ceilings(instance, now)


def cached_answer_lifetime(instance: Instance) -> float:
    """Seconds until every cached look-up answer with this instance expires."""
    topology = instance.configuration.topology
    age = topology.bundle.answer_age if topology else 0
    # Peers may still return this instance while they consider it live.
    return age + instance.settings.suspect_after


def refresh_ceilings(instance: Instance, now: float) -> None:
    """Update how many permits drained, ejected and cold upstreams may use."""
    topology = instance.configuration.topology
    region = topology and topology.regions.get(instance.place.region)
    if topology is None or not region:
        return
    drains = instance.configuration.drains
    for key in tuple(instance.monitored):
        if key not in instance.ledger.pools or key not in topology.upstreams:
            instance.monitored.discard(key)
            continue
        max_in_use = _max_in_use(instance, key, now)
        _, upstream = topology.upstreams[key]
        if topology.is_drained(upstream, drains):
            # After the drain the upstream starts cold.
            instance.upstream_health(key).cold_since = now
            max_in_use = 0
        elif max_in_use is None:
            instance.monitored.discard(key)
        instance.ledger.limit_pool(key, max_in_use)
        instance.ledger.refresh_pool(key, now)


def _max_in_use(instance: Instance, key: PoolKey, now: float) -> int | None:
    topology = instance.configuration.topology
    if topology is None:
        return None
    service, upstream = topology.upstreams[key]
    view = topology.services[service]
    region = topology.regions[instance.place.region]
    health = instance.upstream_health(key)
    state = instance.service_state(service)
    if health.ejected_until and now >= health.ejected_until:
        health.ejected_until = 0
        health.begin_trial()
        health.cold_since = now
        state.ejected -= 1
    if not instance.wants_requests(key, now):
        health.cold_since = now
        return 0
    if health.leaving_until:
        health.leaving_until = 0
        health.begin_trial()
    may_eject = _may_eject(
        instance.settings, state.ejected, len(view.regional[region.name])
    )
    if health.is_outlier(state.typical_latency) and not health.ejected_until:
        if may_eject:
            health.eject(now, instance.settings)
            state.ejected += 1
    return health.max_in_use(
        upstream.slots, region.seats, view.service.slow_start, now
    )


def _may_eject(settings: CoreSettings, ejected: int, count: int) -> bool:
    return ejected + 1 <= count * settings.ejection_share


def _monitor(
    instance: Instance,
    keys: set[PoolKey],
    cold: set[PoolKey],
) -> None:
    instance.monitored |= keys & set(instance.ledger.pools)
    for key in cold & instance.monitored:
        instance.upstream_health(key).cold_since = instance.last_event_at


def _fetch(instance: Instance, now: float) -> FetchBundle:
    configuration = instance.configuration
    holders = [
        record
        for record in instance.membership.live(now, instance.settings)
        if record.generation >= configuration.wanted
    ]
    holders.sort(
        key=lambda record: record.place.region != instance.place.region
    )
    return FetchBundle(
        configuration.wanted,
        configuration.wanted_digest,
        tuple(record.who.name for record in holders),
    )


def _gossip(
    instance: Instance,
    message: AnyMessage,
    now: float,
) -> Iterator[Effect]:
    names = sorted(
        record.who.name
        for record in instance.membership.live(now, instance.settings)
    )
    fanout = 2 * instance.settings.heartbeat_fanout
    for name in instance.rng.sample(names, min(fanout, len(names))):
        yield SendMessage(name, message)
