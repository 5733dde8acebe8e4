"""Finds other entries through the store, where no address is known.

The seeds of an entry may all be out of date, and two parts of a fleet may know
no address of each other.  The relay of each zone therefore keeps some
addresses of its zone in the store and reads those of all zones, seldom while it
knows other entries.  An entry that knows none is the relay of its zone.  The
store has one record for each zone, so nothing has to be removed from it.
"""

from collections.abc import Iterator, Mapping
from typing import Any, Final

from worksrail.core._doubling import doubled
from worksrail.core.identity import ZoneName
from worksrail.core.steering._on_digests import own_contact
from worksrail.core.steering.effects import (
    Decision,
    DecisionKind,
    Effect,
    ReadEntryAddresses,
    WriteEntryAddresses,
)
from worksrail.core.steering.events import EntryAddressesRead
from worksrail.core.steering.state import SteeringState

# Seconds between two reads while other entries are known, and the first of the
# times between reads while none is; these double up to the former.
_INTERVAL: Final = 60.0
_MIN_INTERVAL: Final = 2.0
_JITTER: Final = (0.8, 1.2)
# Maximum number of addresses in the record of a zone, and the number of live
# ones below which it is written again.
_MAX_ADDRESSES: Final = 8
_MIN_LIVE: Final = 2


def discover_entries(state: SteeringState, now: float) -> Iterator[Effect]:
    """Read the addresses of other entries from the store when that is due."""
    schedule = state.discovery
    if state.leaving or schedule.reading or now < schedule.next_read_at:
        return
    if not state.settled(now):
        return
    if state.fleet.is_relay(own_contact(state, now), now):
        schedule.reading = True
        yield ReadEntryAddresses()


def on_addresses_read(
    state: SteeringState, event: EntryAddressesRead
) -> Iterator[Effect]:
    """Contact unknown entries, and renew the record of the own zone."""
    now = event.now
    schedule = state.discovery
    schedule.reading = False
    schedule.reads_alone += 1
    if state.fleet.alive(now):
        schedule.reads_alone = 0
    wait = _INTERVAL
    if schedule.reads_alone:
        wait = doubled(_MIN_INTERVAL, schedule.reads_alone - 1, _INTERVAL)
    schedule.next_read_at = now + wait * state.rng.uniform(*_JITTER)
    if event.addresses is None:
        return
    found = {one for known in event.addresses.values() for one in known}
    unknown = state.fleet.add_unknown(found, now)
    if unknown:
        yield Decision(
            DecisionKind.ADDRESSES_FOUND, inputs=(('count', unknown),)
        )
    yield from _renew(state, event.addresses, now)


def _renew(
    state: SteeringState,
    recorded: Mapping[ZoneName, tuple[str, ...]],
    now: float,
) -> Iterator[Effect]:
    zone = state.settings.zone
    peers = [contact.peer for contact in state.fleet.zone_peers(now)]
    live = {state.fleet.peer, *peers}
    known = live.intersection(recorded.get(zone, ()))
    if len(known) >= min(_MIN_LIVE, len(live)):
        return
    addresses = (state.fleet.peer, *sorted(peers))[:_MAX_ADDRESSES]
    yield WriteEntryAddresses(zone, addresses, is_new=zone not in recorded)


HANDLERS: Final[dict[type, Any]] = {EntryAddressesRead: on_addresses_read}
"""Handlers of the events that deliver addresses of other entries."""
