"""What entries tell each other, sent and received."""

from collections.abc import Iterator
from typing import Final

import msgspec

from worksrail.core.identity import RegionName
from worksrail.core.steering._digests import (
    Contact,
    Digest,
    EntryDigest,
    KeySketch,
    ZoneDigest,
)
from worksrail.core.steering._on_store_answers import hear_of_store
from worksrail.core.steering._pacing import receive_named_limits
from worksrail.core.steering._quarantining import receive_crashes
from worksrail.core.steering.effects import (
    MANY,
    Decision,
    DecisionKind,
    Effect,
    SendDigest,
)
from worksrail.core.steering.events import DigestReceived
from worksrail.core.steering.state import SteeringState

# Seconds between two digests.
_DIGEST_INTERVAL: Final = 0.2
# Seconds between two digests of a zone to the others.  They cross zones and
# regions, whose bytes are dear, and what is in flight there changes slowly.
_ZONE_DIGEST_INTERVAL: Final = 0.4
# Every so many digests, a few addresses that are silent or far are written
# to as well, so that entries find each other.
_DISCOVERY: Final = 5
# Addresses of other entries that one digest carries: so many of the own zone,
# and so many of all.
_KNOWN_LIMIT: Final = 8
# A digest in so many tells a sketch of keys: what regions share hardly changes.
_KEYS_EVERY: Final = 5
# Timers fire late, never early: a digest that is due by this share of the
# interval is not put off to the next turn.
_ON_THE_DOT: Final = 0.9
# Upstreams that a digest of one entry carries, and that of a zone.
_IN_FLIGHT_LIMIT: Final = 60
_ZONE_IN_FLIGHT_LIMIT: Final = 600
# Changes in what is known of requests with crashes under them, in a digest of
# one entry and of a zone.
_CRASHES_LIMIT: Final = 64
_ZONE_CRASHES_LIMIT: Final = 128
# Limits that upstreams named, the same.
_NAMED_LIMITS_LIMIT: Final = 32
_ZONE_NAMED_LIMITS_LIMIT: Final = 96
# A digest in so many tells what is held although nothing has changed, besides
# those that greet an entry.
_HELD_EVERY: Final = 5


def on_digest(
    state: SteeringState,
    event: DigestReceived,
) -> Iterator[Effect]:
    """Take in what another entry, or the speaker of a zone, tells."""
    digest = event.digest
    if isinstance(digest, EntryDigest):
        yield from _take_entry(state, digest, event.now)
    else:
        yield from _take_zone(state, digest, event.now)


def tell(state: SteeringState, now: float) -> Iterator[SendDigest]:
    """Tell the own zone, and the other zones if this entry speaks."""
    state.digests += 1
    state.next_digest_at = now + _DIGEST_INTERVAL
    fleet = state.fleet
    zone_peers = fleet.zone_peers(now)
    receivers = {contact.peer for contact in zone_peers}
    receivers.update(state.greeted, fleet.newcomers(now, state.rng))
    with_held = bool(state.greeted) or not state.digests % _HELD_EVERY
    state.greeted.clear()
    if state.digests % _DISCOVERY == 1:
        receivers.update(fleet.distant(now, state.rng))
    digest = _digest_of(state, now, with_held=with_held)
    yield SendDigest(tuple(sorted(receivers)), digest)
    own = own_contact(state, now)
    if now < state.next_zone_digest_at:
        return
    # A fresh entry may not have met its zone yet, and would speak for itself.
    if state.ready and fleet.is_relay(own, now):
        state.next_zone_digest_at = now + _ZONE_DIGEST_INTERVAL * _ON_THE_DOT
        relays = fleet.relays(now)
        if relays:
            told = _zone_digest(
                state, (own, *zone_peers), now, with_held=with_held
            )
            yield SendDigest(tuple(relays), told)


def tell_at_once(state: SteeringState, now: float) -> None:
    """Let the next tick tell all others: something is new."""
    state.next_digest_at = now
    state.next_zone_digest_at = now


def own_contact(state: SteeringState, now: float) -> Contact:
    """What others shall know of this entry."""
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
    )


def _take_entry(
    state: SteeringState,
    digest: EntryDigest,
    now: float,
) -> Iterator[Effect]:
    name = digest.sender.name
    fresh = name in state.dead or name not in state.fleet.entries
    if not state.fleet.take(digest, now):
        return
    yield from hear_of_store(state, digest, now)
    yield from receive_crashes(state, digest.crashes, now)
    yield from receive_named_limits(state, digest.limits, now)
    if digest.sender.zone == state.settings.zone:
        state.loads.update_reported(name, digest.in_flight)
        state.budgets.receive(digest.sender.who, digest.budgets, now)
        _take_keys(state, name, digest.sender.region, digest.keys, now)
    if fresh:
        state.greeted.add(digest.sender.peer)
        yield _seen(state, digest.sender)


def _take_zone(
    state: SteeringState,
    digest: ZoneDigest,
    now: float,
) -> Iterator[Effect]:
    known = set(state.fleet.entries) - state.dead
    if not state.fleet.take_zone(digest, now):
        return
    yield from hear_of_store(state, digest, now)
    yield from receive_crashes(state, digest.crashes, now)
    yield from receive_named_limits(state, digest.limits, now)
    state.loads.update_reported(_label(digest.zone), digest.in_flight)
    state.budgets.receive(digest.relay, digest.budgets, now, zone=digest.zone)
    region = state.settings.regions.get(digest.zone, '')
    _take_keys(state, _label(digest.zone), region, digest.keys, now)
    fresh = [one for one in digest.members if one.name not in known]
    seen = [_seen(state, contact) for contact in fresh]
    if len(seen) > MANY:
        count = ('count', len(seen))
        yield Decision(DecisionKind.ENTRIES_SEEN, digest.zone, inputs=(count,))
    else:
        yield from seen
    if not digest.passed_on:
        # Whoever gets it first passes it on, speaker or not: a zone may know
        # of a new speaker later than that one itself.
        zone_peers = [contact.peer for contact in state.fleet.zone_peers(now)]
        if zone_peers:
            passed = msgspec.structs.replace(digest, passed_on=True)
            yield SendDigest(tuple(sorted(zone_peers)), passed)


def forget_silent_zones(state: SteeringState, now: float) -> None:
    """Drop the loads of zones that nothing is heard of."""
    for zone in state.fleet.silent_zones(now):
        state.loads.forget(_label(zone))


def _seen(state: SteeringState, contact: Contact) -> Decision:
    state.dead.discard(contact.name)
    return Decision(
        DecisionKind.ENTRY_SEEN,
        contact.name,
        inputs=(('incarnation', contact.who.number),),
    )


def _take_keys(
    state: SteeringState,
    teller: str,
    region: RegionName,
    keys: KeySketch,
    now: float,
) -> None:
    if keys.service:
        state.key_overlap.set_sketch(
            teller, region, keys.service, keys.hashes, now
        )


def _told_keys(
    state: SteeringState,
    tellers: list[str],
    now: float,
) -> KeySketch:
    """Sketch of the keys of this entry and of some others, now and then."""
    services = sorted(state.key_overlap.own)
    turn, rest = divmod(state.digests, _KEYS_EVERY)
    if rest or not services:
        return KeySketch()
    service = services[turn % len(services)]
    return KeySketch(service, state.key_overlap.sketch(service, tellers, now))


def _label(zone: str) -> str:
    # Zones and entries tell of loads side by side; names must not meet.
    return f'zone {zone}'


def _digest_of(
    state: SteeringState,
    now: float,
    *,
    with_held: bool,
) -> Digest:
    zone_peers = [mate.peer for mate in state.fleet.zone_peers(now)]
    alive = [entry.contact.peer for entry in state.fleet.alive(now)]
    known = state.rng.sample(zone_peers, min(_KNOWN_LIMIT, len(zone_peers)))
    known += state.rng.sample(alive, min(_KNOWN_LIMIT, len(alive)))
    return EntryDigest(
        own_contact(state, now),
        state.digests,
        _busiest(state.loads.own_in_flight(), _IN_FLIGHT_LIMIT),
        tuple(sorted(set(known))),
        _told_keys(state, [], now),
        state.catalog.store_health.advertised_age(now),
        state.catalog.store_health.advertised_return(now),
        state.quarantine.advertise(
            _CRASHES_LIMIT, now, state.rng, with_held=with_held
        ),
        state.rates.named.limits.advertise(
            _NAMED_LIMITS_LIMIT, now, with_all=with_held
        ),
        state.budgets.advertise(now),
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
        _busiest(
            state.loads.total_in_flight(zone_peers), _ZONE_IN_FLIGHT_LIMIT
        ),
        keys=_told_keys(state, zone_peers, now),
        store_age=state.catalog.store_health.advertised_age(now),
        store_return=state.catalog.store_health.advertised_return(now),
        crashes=state.quarantine.advertise(
            _ZONE_CRASHES_LIMIT, now, state.rng, with_held=with_held
        ),
        limits=state.rates.named.limits.advertise(
            _ZONE_NAMED_LIMITS_LIMIT, now, with_all=with_held
        ),
        budgets=state.budgets.advertise_zone(now),
    )


def _busiest(in_flight: dict[str, int], limit: int) -> dict[str, int]:
    # A digest has to fit into a datagram.
    if len(in_flight) <= limit:
        return in_flight
    ordered = sorted(in_flight, key=lambda name: in_flight[name], reverse=True)
    return {name: in_flight[name] for name in ordered[:limit]}
