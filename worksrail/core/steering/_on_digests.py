"""Sends and receives the digests that entries exchange."""

from collections.abc import Iterator
from typing import Final

import msgspec

from worksrail.core.identity import RegionName
from worksrail.core.steering._availability import (
    leaving_to_advertise,
    receive_backoffs,
    receive_leaving,
)
from worksrail.core.steering._digests import (
    Contact,
    Digest,
    EntryDigest,
    KeySketch,
    ZoneDigest,
)
from worksrail.core.steering._on_store_answers import merge_store_report
from worksrail.core.steering._pacing import receive_named_limits
from worksrail.core.steering._quarantining import receive_crashes
from worksrail.core.steering._scarcity import (
    demand_to_advertise,
    receive_demand,
    zone_demand_to_advertise,
)
from worksrail.core.steering.effects import (
    MAX_LOGGED_EACH,
    Decision,
    DecisionKind,
    Effect,
    SendDigest,
)
from worksrail.core.steering.events import DigestReceived
from worksrail.core.steering.state import SteeringState

# Seconds between two digests.
_DIGEST_INTERVAL: Final = 0.2
# Seconds between two zone digests. They cross zones and regions, where traffic
# is expensive, and the in-flight counts of a whole zone change slowly.
_ZONE_DIGEST_INTERVAL: Final = 0.4
# Every Nth digest also goes to a few silent or remote addresses, so that
# entries discover each other.
_DISCOVERY_PERIOD: Final = 5
# Maximum number of peer addresses from the own zone in one digest, and the same
# number from all zones.
_MAX_ADDRESSES: Final = 8
# Every Nth digest carries a key sketch: the keys that regions have in common
# rarely change.
_KEYS_PERIOD: Final = 5
# Timers fire late, never early: a digest that is due within this share of the
# interval is sent now instead of one tick later.
_DUE_TOLERANCE: Final = 0.9
# Maximum number of upstreams in an entry's digest and in a zone digest.
_MAX_UPSTREAMS: Final = 60
_MAX_ZONE_UPSTREAMS: Final = 600
# Maximum number of changed crash records in an entry's digest and in a zone
# digest.
_MAX_CRASHES: Final = 64
_MAX_ZONE_CRASHES: Final = 128
# Maximum number of upstream-advertised limits, likewise.
_MAX_LIMITS: Final = 32
_MAX_ZONE_LIMITS: Final = 96
# Maximum number of upstreams that say that they leave, likewise.
_MAX_LEAVING: Final = 32
_MAX_ZONE_LEAVING: Final = 96
# Maximum number of backoffs, likewise.
_MAX_BACKOFFS: Final = 32
_MAX_ZONE_BACKOFFS: Final = 96
# Maximum number of refused requests, likewise.
_MAX_PROMISES: Final = 32
_MAX_ZONE_PROMISES: Final = 128
# Every Nth digest repeats the quarantine, limit and leaving state even if it is
# unchanged, in addition to the digests that answer a new entry.
_FULL_STATE_PERIOD: Final = 5
# Every Nth digest tells the use of the retry budgets by all others, in addition
# to the digests that answer a new entry.
_ALL_USE_PERIOD: Final = 25


def on_digest(
    state: SteeringState,
    event: DigestReceived,
) -> Iterator[Effect]:
    """Merge a digest of another entry or of another zone's relay."""
    digest = event.digest
    if isinstance(digest, EntryDigest):
        yield from _apply_entry_digest(state, digest, event.now)
    else:
        yield from _apply_zone_digest(state, digest, event.now)


def send_digests(state: SteeringState, now: float) -> Iterator[SendDigest]:
    """Send the own digest, and the zone's digest if this entry is its relay."""
    state.digests += 1
    state.next_digest_at = now + _DIGEST_INTERVAL
    fleet = state.fleet
    zone_peers = fleet.zone_peers(now)
    receivers = {contact.peer for contact in zone_peers}
    receivers.update(fleet.sample_new_addresses(now, state.rng))
    receivers.update(fleet.sample_lost(now, state.rng))
    if state.digests % _DISCOVERY_PERIOD == 1:
        receivers.update(fleet.sample_for_discovery(now, state.rng))
    if not state.budgets.is_informed(now):
        receivers.update(fleet.sample_remote(now, state.rng))
    replies = frozenset(state.pending_replies)
    state.pending_replies.clear()
    with_held = bool(replies) or not state.digests % _FULL_STATE_PERIOD
    digest = _entry_digest(
        state,
        now,
        with_held=with_held,
        with_all_use=not state.digests % _ALL_USE_PERIOD,
    )
    yield SendDigest(tuple(sorted(receivers - replies)), digest)
    if replies:
        yield SendDigest(
            tuple(sorted(replies)), _with_all_use(state, digest, now)
        )
    own = own_contact(state, now)
    if now < state.next_zone_digest_at:
        return
    # A new entry may not have met its zone peers yet and would send a digest
    # that lists only itself.
    if state.ready and fleet.is_relay(own, now):
        state.next_zone_digest_at = now + _ZONE_DIGEST_INTERVAL * _DUE_TOLERANCE
        relays = fleet.relays(now)
        if relays:
            zone_digest = _zone_digest(
                state, (own, *zone_peers), now, with_held=with_held
            )
            yield SendDigest(tuple(relays), zone_digest)


def schedule_digests(state: SteeringState, now: float) -> None:
    """Make all digests due at the next tick, because the state has changed."""
    state.next_digest_at = now
    state.next_zone_digest_at = now


def own_contact(state: SteeringState, now: float) -> Contact:
    """Return the state that this entry advertises about itself."""
    settings = state.settings
    return Contact(
        state.who,
        settings.zone,
        settings.region,
        settings.addresses.peer,
        settings.addresses.caller,
        state.ready,
        state.leaving,
        settings.capacity,
        round(state.arrivals.rate(now), 1),
        tuple(state.store_sync.revisions.values()),
        bool(state.failing_kinds),
        tuple(sorted(state.paths.lost_since)),
        state.paths.is_isolated,
        takes_requests=True,
        starting=state.budgets.is_starting(now),
    )


def _apply_entry_digest(
    state: SteeringState,
    digest: EntryDigest,
    now: float,
) -> Iterator[Effect]:
    name = digest.sender.name
    fresh = name in state.dead_entries or name not in state.fleet.entries
    if not state.fleet.apply_digest(digest, now):
        return
    yield from merge_store_report(state, digest, now)
    yield from _apply_advertised(state, digest, now)
    if digest.sender.zone == state.settings.zone:
        state.loads.update_reported(name, digest.in_flight)
        state.budgets.receive(digest.sender.who, digest.budgets, now)
        receive_demand(state, name, digest.demand, digest.sender.rate, now)
        _apply_keys(state, name, digest.sender.region, digest.keys, now)
    else:
        state.budgets.receive_from_afar(digest.budgets, now)
    is_uninformed = digest.budgets.coverage < state.budgets.bounds.window
    if fresh or is_uninformed:
        state.pending_replies.add(digest.sender.peer)
    if fresh:
        yield _entry_seen(state, digest.sender)


def _apply_zone_digest(
    state: SteeringState,
    digest: ZoneDigest,
    now: float,
) -> Iterator[Effect]:
    known = set(state.fleet.entries) - state.dead_entries
    if not state.fleet.apply_zone_digest(digest, now):
        return
    yield from merge_store_report(state, digest, now)
    yield from _apply_advertised(state, digest, now)
    state.loads.update_reported(_load_key(digest.zone), digest.in_flight)
    state.budgets.receive(digest.relay, digest.budgets, now, zone=digest.zone)
    rate = sum(member.rate for member in digest.members)
    receive_demand(state, _load_key(digest.zone), digest.demand, rate, now)
    region = state.settings.regions.get(digest.zone, '')
    _apply_keys(state, _load_key(digest.zone), region, digest.keys, now)
    fresh = [member for member in digest.members if member.name not in known]
    seen = [_entry_seen(state, contact) for contact in fresh]
    if len(seen) > MAX_LOGGED_EACH:
        count = ('count', len(seen))
        yield Decision(DecisionKind.ENTRIES_SEEN, digest.zone, inputs=(count,))
    else:
        yield from seen
    if not digest.forwarded:
        # The first entry to receive a zone digest forwards it to its zone
        # peers, even if it is not the relay: a sender may learn late that the
        # relay of this zone has changed.
        zone_peers = [contact.peer for contact in state.fleet.zone_peers(now)]
        if zone_peers:
            forwarded_digest = msgspec.structs.replace(digest, forwarded=True)
            yield SendDigest(tuple(sorted(zone_peers)), forwarded_digest)


def _apply_advertised(
    state: SteeringState,
    digest: Digest,
    now: float,
) -> Iterator[Effect]:
    """Apply what another entry advertises about requests and upstreams."""
    yield from receive_crashes(state, digest.crashes, now)
    yield from receive_named_limits(state, digest.limits, now)
    yield from receive_leaving(state, digest.leaving, now)
    receive_backoffs(state, digest.backoffs, now)
    of_zone = isinstance(digest, EntryDigest) and (
        digest.sender.zone == state.settings.zone
    )
    state.promises.receive(digest.promises, now, of_zone=of_zone)


def forget_expired_zones(state: SteeringState, now: float) -> None:
    """Drop the loads of zones from which no digest arrives any more."""
    for zone in state.fleet.expire_zones(now):
        state.loads.forget(_load_key(zone))
        state.demand.forget(_load_key(zone))


def _entry_seen(state: SteeringState, contact: Contact) -> Decision:
    state.dead_entries.discard(contact.name)
    return Decision(
        DecisionKind.ENTRY_SEEN,
        contact.name,
        inputs=(('incarnation', contact.who.number),),
    )


def _apply_keys(
    state: SteeringState,
    source: str,
    region: RegionName,
    keys: KeySketch,
    now: float,
) -> None:
    if keys.service:
        state.key_overlap.set_sketch(
            source, region, keys.service, keys.hashes, now
        )


def _key_sketch(
    state: SteeringState,
    sources: list[str],
    now: float,
) -> KeySketch:
    """Return a sketch of the keys of this entry and some others, or none.

    Only every Nth digest carries one.
    """
    services = sorted(state.key_overlap.own)
    turn, rest = divmod(state.digests, _KEYS_PERIOD)
    if rest or not services:
        return KeySketch()
    service = services[turn % len(services)]
    return KeySketch(service, state.key_overlap.sketch(service, sources, now))


def _load_key(zone: str) -> str:
    # Loads are stored by entry name or by zone; the prefix keeps the two kinds
    # of key apart.
    return f'zone {zone}'


def _with_all_use(
    state: SteeringState, digest: EntryDigest, now: float
) -> EntryDigest:
    """Return the same digest for an entry that is new, with the use of all."""
    # The other parts are not built again: each is advertised once a round.
    budgets = state.budgets.advertise(now, with_all=True)
    return msgspec.structs.replace(digest, budgets=budgets)


def _entry_digest(
    state: SteeringState,
    now: float,
    *,
    with_held: bool,
    with_all_use: bool,
) -> EntryDigest:
    zone_peers = [contact.peer for contact in state.fleet.zone_peers(now)]
    alive = [entry.contact.peer for entry in state.fleet.alive(now)]
    known = state.rng.sample(zone_peers, min(_MAX_ADDRESSES, len(zone_peers)))
    known += state.rng.sample(alive, min(_MAX_ADDRESSES, len(alive)))
    return EntryDigest(
        own_contact(state, now),
        state.digests,
        _busiest(state.loads.own_in_flight(), _MAX_UPSTREAMS),
        tuple(sorted(set(known))),
        _key_sketch(state, [], now),
        state.catalog.store_health.advertised_age(now),
        state.catalog.store_health.advertised_return(now),
        state.quarantine.advertise(
            _MAX_CRASHES, now, state.rng, with_held=with_held
        ),
        state.rates.named.limits.advertise(
            _MAX_LIMITS, now, with_all=with_held
        ),
        state.budgets.advertise(
            now, with_ended=with_held, with_all=with_all_use
        ),
        leaving_to_advertise(state, _MAX_LEAVING, now, with_all=with_held),
        state.rates.backoffs.advertise(_MAX_BACKOFFS, now),
        demand_to_advertise(state, now, to_new=with_held),
        state.promises.advertise(_MAX_PROMISES, now),
    )


def _zone_digest(
    state: SteeringState,
    members: tuple[Contact, ...],
    now: float,
    *,
    with_held: bool,
) -> Digest:
    zone_peers = [member.name for member in members if member.who != state.who]
    return ZoneDigest(
        state.who,
        state.settings.zone,
        state.digests,
        members,
        _busiest(state.loads.total_in_flight(zone_peers), _MAX_ZONE_UPSTREAMS),
        keys=_key_sketch(state, zone_peers, now),
        store_age=state.catalog.store_health.advertised_age(now),
        store_return=state.catalog.store_health.advertised_return(now),
        crashes=state.quarantine.advertise(
            _MAX_ZONE_CRASHES, now, state.rng, with_held=with_held
        ),
        limits=state.rates.named.limits.advertise(
            _MAX_ZONE_LIMITS, now, with_all=with_held
        ),
        budgets=state.budgets.advertise_zone(now),
        leaving=leaving_to_advertise(
            state, _MAX_ZONE_LEAVING, now, with_all=with_held
        ),
        backoffs=state.rates.backoffs.advertise(_MAX_ZONE_BACKOFFS, now),
        demand=zone_demand_to_advertise(
            state, zone_peers, now, to_new=with_held
        ),
        promises=state.promises.advertise_zone(_MAX_ZONE_PROMISES, now),
    )


def _busiest(in_flight: dict[str, int], limit: int) -> dict[str, int]:
    # A digest has to fit into a datagram.
    if len(in_flight) <= limit:
        return in_flight
    ordered = sorted(in_flight, key=lambda name: in_flight[name], reverse=True)
    return {name: in_flight[name] for name in ordered[:limit]}
