"""What is played: a fleet, its customers, and what goes wrong."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from worksrail.core.customers import Quota
from worksrail.core.limits import QuotaBounds

ZONES: Final = 6
REGIONS: Final = 3
# Requests a second of the largest customer over those of the smallest.
_LARGEST: Final = 20
# Every so many customers there is a large one.
_LARGE_EVERY: Final = 15


@unique
class FaultKind(Enum):
    """What goes wrong."""

    KILL = 'entries are killed and start again a second later'
    CUT = 'entries hear no other entry for a while'
    LOWER = 'the quota of a customer is lowered'


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault."""

    at: float
    """Seconds from the start."""

    kind: FaultKind
    """What goes wrong."""

    share: float = 1
    """Share of the entries, or what is left of the quota."""

    lasts: float = 1
    """Seconds."""


@dataclass(frozen=True, slots=True)
class Asking:
    """One customer and what it asks."""

    name: str
    """Its name."""

    rate: float
    """Requests a second that it asks on the mean."""

    quota: Quota
    """Its quota."""

    hot: tuple[float, float, float] = (0, 0, 1)
    """From when to when it asks so many times as much."""


@dataclass(frozen=True, slots=True)
class Plan:
    """One play."""

    entries: int
    """Entries, spread evenly over six zones in three regions."""

    customers: tuple[Asking, ...]
    """Who asks; each request comes to an entry drawn at random."""

    faults: tuple[Fault, ...] = ()
    """What goes wrong."""

    seconds: float = 20
    """Length."""

    loss: float = 0.01
    """Share of datagrams that are lost."""

    seed: int = 1
    """Seed of all draws."""

    bounds: QuotaBounds = QuotaBounds(5, 0.1, 20)
    """How closely quotas are to be kept."""


def mixed_customers(
    count: int,
    rate: float,
    *,
    hot: tuple[float, float, float] = (0, 0, 1),
    headroom: float = 1.6,
) -> tuple[Asking, ...]:
    """Many small customers and a few large ones; the largest may get hot.

    ``rate`` is the requests a second of all, ``headroom`` the quota over what
    each asks on the mean.
    """
    weights = [
        _LARGEST if number % _LARGE_EVERY == 0 else 1 + number % 3
        for number in range(count)
    ]
    unit = rate / sum(weights)
    return tuple(
        Asking(
            f'c{number}',
            weight * unit,
            Quota(weight * unit * headroom, weight * unit * headroom),
            hot if number == 0 else (0, 0, 1),
        )
        for number, weight in enumerate(weights)
    )
