"""News of configuration heads, drain lists and fetched bundles."""

from collections.abc import Iterator

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
    """Take in a head read from the store."""
    instance.store_contact_at = event.now
    yield from judge_head(instance, event.generation, event.digest, event.now)


def judge_head(
    instance: Instance,
    generation: int,
    digest: str,
    now: float,
) -> Iterator[Effect]:
    """Fetch a newer bundle and tell others; ignore an older head loudly."""
    configuration = instance.configuration
    known = configuration.wanted
    verdict = configuration.evaluate_head(generation, digest, now)
    if verdict is HeadVerdict.FETCH:
        yield _fetch(instance, now)
        if generation > known:
            yield from _spread(instance, HeadNews(generation, digest), now)
    elif verdict is not HeadVerdict.KNOWN:
        yield Note(
            NoteKind.OLDER_HEAD_IGNORED, verdict.name, generation=generation
        )


def on_bundle_fetched(
    instance: Instance,
    event: BundleFetched,
) -> Iterator[Effect]:
    """Bring a bundle into force if its generation is higher."""
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
    _mind(instance, set(topology.upstreams), set(topology.upstreams) - old)
    follow_drains(instance, event.now)
    yield Note(
        NoteKind.GENERATION_APPLIED,
        event.digest,
        generation=event.generation,
    )


def on_fetch_failed(
    instance: Instance,
    event: BundleFetchFailed,
) -> Iterator[Effect]:
    """Leave the fetch to be tried again; what is in force stays."""
    yield from ()


def retry_fetch(instance: Instance, now: float) -> Iterator[Effect]:
    """Try a fetch again that has not succeeded."""
    configuration = instance.configuration
    if configuration.needs_fetch(now):
        yield from judge_head(
            instance, configuration.wanted, configuration.wanted_digest, now
        )


def on_drains_seen(instance: Instance, event: DrainsSeen) -> Iterator[Effect]:
    """Take in a drain list read from the store."""
    instance.store_contact_at = event.now
    yield from take_drains(instance, event.revision, event.targets, event.now)


def take_drains(
    instance: Instance,
    revision: int,
    targets: tuple[str, ...],
    now: float,
) -> Iterator[Effect]:
    """Bring a newer drain list into force and tell others."""
    configuration = instance.configuration
    if not configuration.apply_drains(revision, targets):
        return
    if configuration.topology:
        _mind(instance, set(configuration.topology.upstreams), set())
    follow_drains(instance, now)
    yield Note(NoteKind.DRAINS_APPLIED, ','.join(targets))
    yield from _spread(instance, DrainNews(revision, targets), now)


def follow_drains(instance: Instance, now: float) -> None:
    """Leave or come back as an entry, and set all ceilings."""
    drained = instance.is_drained_entry()
    if drained and instance.leaving is None:
        instance.leaving = LeaveState(
            now, exits=False, accepts_until=now + cached_answers_end(instance)
        )
    elif not drained and instance.leaving and not instance.leaving.exits:
        instance.leaving = None
    refresh_ceilings(instance, now)


def cached_answers_end(instance: Instance) -> float:
    """Seconds until no caller's cached answer names this instance."""
    topology = instance.configuration.topology
    age = topology.bundle.answer_age if topology else 0
    # An answer may still be given while this instance counts as live.
    return age + instance.settings.suspect_after


def refresh_ceilings(instance: Instance, now: float) -> None:
    """Set the ceilings of upstreams that are drained, ejected or cold."""
    topology = instance.configuration.topology
    region = topology and topology.regions.get(instance.place.region)
    if topology is None or not region:
        return
    drains = instance.configuration.drains
    for key in tuple(instance.attention):
        if key not in instance.ledger.pools or key not in topology.upstreams:
            instance.attention.discard(key)
            continue
        max_in_use = _ceiling(instance, key, now)
        _, upstream = topology.upstreams[key]
        if topology.is_drained(upstream, drains):
            # It comes back cold.
            instance.upstream_health(key).cold_since = now
            max_in_use = 0
        elif max_in_use is None:
            instance.attention.discard(key)
        instance.ledger.set_max_in_use(key, max_in_use)
        instance.ledger.refresh_pool(key, now)


def _ceiling(instance: Instance, key: PoolKey, now: float) -> int | None:
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


def _mind(
    instance: Instance,
    keys: set[PoolKey],
    cold: set[PoolKey],
) -> None:
    instance.attention |= keys & set(instance.ledger.pools)
    for key in cold & instance.attention:
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


def _spread(
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
