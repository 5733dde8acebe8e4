"""What upstreams state of themselves, and the requests that they get after it."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import inf

# Seconds after an answer that says so was passed on, from which no request of
# a caller may reach a leaving upstream from that entry.
DRAIN_BOUND_S = 2.5
# Requests that an upstream may get in a backoff, and the seconds from which
# they count.
ALLOWED_IN_BACKOFF = 2
BACKOFF_GRACE_S = 0.5


@dataclass(frozen=True, slots=True)
class Stated:
    """A statement in an answer of an upstream."""

    upstream: str
    """Its name."""

    entry: str
    """Host of the entry that got the answer."""

    trace: str
    """Request that was answered."""

    at: float
    """When it answered."""

    backoff: float = 0
    """Seconds for which it wants no requests; zero if it leaves."""


@dataclass(frozen=True, slots=True)
class Met:
    """A request that reached an upstream."""

    upstream: str
    """Its name."""

    entry: str
    """Host of the entry that sent it."""

    trace: str
    """The request."""

    at: float
    """When it arrived."""


Excused = Callable[[str, float, float], bool]
"""Whether an entry is excused by something between two moments."""


def late_requests(
    stated: Iterable[Stated],
    met: Iterable[Met],
    passed_on_at: Callable[[Stated], float],
    asked_at: Callable[[str], float],
    excused: Excused,
) -> list[Met]:
    """Return the requests that came too late to upstreams that leave."""
    told: dict[tuple[str, str], float] = {}
    for one in stated:
        if not one.backoff:
            key = (one.entry, one.upstream)
            told[key] = min(told.get(key, inf), passed_on_at(one))
    return [
        one
        for one in met
        if asked_at(one.trace)
        > told.get((one.entry, one.upstream), inf) + DRAIN_BOUND_S
        and not excused(one.entry, told[one.entry, one.upstream], one.at)
    ]


def broken_backoffs(
    stated: Iterable[Stated],
    met: Iterable[Met],
    excused: Excused,
) -> list[tuple[Stated, int]]:
    """Return the backoffs in which an upstream got too many requests."""
    by_pair: dict[tuple[str, str], list[float]] = {}
    for one in met:
        by_pair.setdefault((one.entry, one.upstream), []).append(one.at)
    found = []
    for asked in stated:
        end = asked.at + asked.backoff
        count = sum(
            asked.at + BACKOFF_GRACE_S < at < end
            for at in by_pair.get((asked.entry, asked.upstream), [])
        )
        if count > ALLOWED_IN_BACKOFF:
            if not excused(asked.entry, asked.at, end):
                found.append((asked, count))
    return found
