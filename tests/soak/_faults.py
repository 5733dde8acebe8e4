"""Which faults a seed brings, and when; they come in series and overlap."""

import random
from dataclasses import dataclass
from enum import Enum, unique

# Seconds between two faults, and for which one lasts.
_GAPS = (0.2, 2.5)
_LASTS = (0.5, 4.0)
# The same for entries that lose their links: rather long, so that others stop,
# start and read settings meanwhile.
_CUT_GAPS = (2.0, 7.0)
_CUT_LASTS = (2.0, 9.0)
# Seconds from a stop until the entry gets one more signal.
_SIGNAL_AFTER = (0.1, 3.0)
# Seconds without faults at the end.
_QUIET = 3.0


@unique
class Fault(Enum):
    """What is done to the programs from outside."""

    STOP = 'an entry gets SIGTERM and is started again'
    HUP = 'an entry gets SIGHUP'
    CONFIGURE = 'a new configuration moves a route'
    DRAIN = 'an upstream drains, leaves and comes back as another one'
    KILL = 'an entry is killed and started again'
    FREEZE = 'an entry is stopped by a signal and goes on later'
    STORE_MOOD = 'the store is busy, silent or loses answers'
    STORE_HISTORY = 'the store forgets its history'
    STORE_LINK = 'the way of one entry to the store is disturbed'
    UPSTREAM_LINK = 'the way to one upstream is disturbed'
    UPSTREAM_HABIT = 'an upstream answers badly'
    REUSE = 'the address of an upstream goes to another service'
    SIGNAL_STOPPING = 'an entry that stops gets SIGTERM again or SIGHUP'
    ENTRY_CUT = 'an entry loses its links to all upstreams'

    @property
    def planned(self) -> bool:
        """Whether operators do it on purpose: it must cut nothing."""
        return self in _PLANNED


_PLANNED = frozenset(
    (
        Fault.STOP,
        Fault.HUP,
        Fault.CONFIGURE,
        Fault.DRAIN,
        Fault.SIGNAL_STOPPING,
    )
)


@dataclass(frozen=True, slots=True)
class Step:
    """One fault of a seed."""

    at: float
    """Seconds from the start."""

    fault: Fault
    """What is done."""

    target: int
    """Number that picks the entry, upstream, mood or link."""

    lasts: float
    """Seconds until it ends."""


_DRAWN = [
    fault
    for fault in Fault
    if fault not in {Fault.ENTRY_CUT, Fault.SIGNAL_STOPPING}
]
# What is drawn where entries stop all the while.
_STOPPING = (Fault.STOP, Fault.STOP, Fault.STOP, Fault.HUP, Fault.CONFIGURE)


def stops_of(seed: int, seconds: float) -> list[Step]:
    """Stops in series and overlapping, with signals while they last."""
    rng = random.Random(f'stops of {seed}')
    steps = []
    at = rng.uniform(*_GAPS)
    while at < seconds - _QUIET:
        fault = rng.choice(_STOPPING)
        steps.append(Step(at, fault, rng.randrange(1000), 0))
        signal_at = at + rng.uniform(*_SIGNAL_AFTER)
        if rng.random() < 0.5 and signal_at < seconds:
            number = rng.randrange(1000)
            steps.append(Step(signal_at, Fault.SIGNAL_STOPPING, number, 0))
        at += rng.uniform(*_GAPS)
    return sorted(steps, key=lambda step: step.at)


def cuts_of(seed: int, seconds: float) -> list[Step]:
    """Cuts of entries that are added to the faults of a seed."""
    rng = random.Random(f'cuts of {seed}')
    steps = []
    at = rng.uniform(*_GAPS)
    while at < seconds - _QUIET:
        lasts = min(rng.uniform(*_CUT_LASTS), seconds - _QUIET - at)
        steps.append(Step(at, Fault.ENTRY_CUT, rng.randrange(1000), lasts))
        at += rng.uniform(*_CUT_GAPS)
    return steps


def steps_of(seed: int, seconds: float) -> list[Step]:
    """The faults of a seed."""
    rng = random.Random(seed)
    steps = []
    at = rng.uniform(*_GAPS)
    while at < seconds - _QUIET:
        fault = rng.choice(_DRAWN)
        lasts = min(rng.uniform(*_LASTS), seconds - _QUIET - at)
        steps.append(Step(at, fault, rng.randrange(1000), lasts))
        at += rng.uniform(*_GAPS)
    return steps
