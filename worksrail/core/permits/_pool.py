"""Pools of permits, how they are split over seats, and their keys."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, NewType

import xxhash

PoolKey = NewType('PoolKey', str)
GroupKey = NewType('GroupKey', str)

_SEPARATOR: Final = '/'


@unique
class PoolKind(Enum):
    """What one permit of a pool allows."""

    SLOT = 'slot'
    """One request in progress at an upstream."""

    FLIGHT = 'flight'
    """One request in flight that was shifted from another region."""

    RATE = 'rate'
    """The start of one shifted request per second."""


def slot_pool(upstream: str) -> PoolKey:
    """Return the key of the pool with the slots of one upstream."""
    return PoolKey(_SEPARATOR.join((PoolKind.SLOT.value, upstream)))


def cap_pool(kind: PoolKind, service: str, source: str) -> PoolKey:
    """Return the key of a pool that caps traffic from a source region."""
    return PoolKey(_SEPARATOR.join((kind.value, service, source)))


def slot_group(service: str) -> GroupKey:
    """Return the key of the group with all slot pools of a service."""
    return GroupKey(_SEPARATOR.join(('slots', service)))


def cap_group(pool: PoolKey) -> GroupKey:
    """Return the key of the group that consists of one cap pool."""
    return GroupKey(_SEPARATOR.join(('cap', pool)))


@dataclass(frozen=True, slots=True)
class PoolSpec:
    """Split of a pool over the seats of a region, in one generation."""

    key: PoolKey
    """Key of the pool."""

    group: GroupKey
    """Group of pools that are lent together with this one."""

    limit: int
    """Total permits of the pool, over all seats."""

    seats: int
    """Number of seats that the permits are split over."""


def seat_share(spec: PoolSpec, seat: int) -> int:
    """Return the permits of the pool that belong to one seat.

    The shares of all seats add up to the limit.  Which seats get one permit
    of the remainder depends on the pool, so that no seat gets the remainders
    of all pools.

    >>> spec = PoolSpec(PoolKey('slot/a'), GroupKey('slots/s'), 9, 3)
    >>> [seat_share(spec, seat) for seat in range(3)]
    [3, 3, 3]
    """
    if not 0 <= seat < spec.seats:
        return 0
    base, remainder = divmod(spec.limit, spec.seats)
    offset = xxhash.xxh32_intdigest(spec.key.encode()) % spec.seats
    return base + ((seat - offset) % spec.seats < remainder)


def smallest_share(specs: Iterable[PoolSpec], seats: Iterable[int]) -> int:
    """Return the permits that the seats may use under every given split.

    While an instance may still use an older split, each seat is limited to
    the smallest share that any of the splits assigns to it.
    """
    versions = tuple(specs)
    return sum(
        min(seat_share(spec, seat) for spec in versions) for seat in seats
    )
