"""Which upstreams name a limit, from own answers and from other instances."""

from collections.abc import Container
from dataclasses import dataclass, field
from math import ceil, inf
from typing import Final

from worksrail.core.pacing._advertised import AGES_PER_S, AdvertisedLimit
from worksrail.core.pacing._named import NamedLimit, NoRate

# Seconds by which answers of one upstream may overtake each other on their way
# to one instance, and to different ones.
_OVERTAKING: Final = 0.1
_AGE_ERROR: Final = 0.3
# Seconds for which a change is told: several messages, each of which may be
# lost.
_TOLD_FOR: Final = 2.0
# Change of a rate from which others are told: those that use the upstream hear
# each rate from it and from the instance that issues its tokens.
_WORTH_TELLING: Final = 1.25
# Seconds after which the end of a limit is forgotten.
_ENDS_KEPT: Final = 60.0


@dataclass(frozen=True, slots=True)
class LimitChange:
    """A limit that begins, changes or ends, as this instance believes."""

    upstream: str
    """Name of the upstream."""

    before: float | None
    """Rate that was believed; None if there was no limit."""

    after: float | None
    """Rate that is believed now; None if there is no limit any more."""

    from_peer: bool = False
    """Another instance told of it."""


@dataclass(slots=True)
class _Belief:
    rate: float | None
    received_at: float
    changed_at: float = -inf
    told_rate: float | None = None
    told_at: float = -inf

    def set(self, rate: float | None, now: float) -> None:
        self.rate = rate
        if _differ(rate, self.told_rate):
            self.told_rate = rate
            self.changed_at = now


@dataclass(slots=True)
class NamedLimits:
    """The limits that upstreams named last.

    >>> limits = NamedLimits()
    >>> limits.note('u1', NamedLimit(5, received_at=1)).after
    5
    >>> limits.note('u1', NamedLimit(NoRate.NOT_NAMED, received_at=2)).after
    >>> limits.rate_of('u1')
    """

    beliefs: dict[str, _Belief] = field(default_factory=dict)
    """What is believed, by upstream; an end is kept for a while."""

    def rate_of(self, upstream: str) -> float | None:
        """Requests a second that it takes; None if it names no limit."""
        belief = self.beliefs.get(upstream)
        return belief.rate if belief else None

    def note(self, upstream: str, named: NamedLimit) -> LimitChange | None:
        """Take in an answer of an upstream; gives what it changes.

        An answer with an unreadable limit neither begins nor ends one.
        """
        belief = self.beliefs.get(upstream)
        if isinstance(named.rate, NoRate):
            if named.rate is NoRate.UNREADABLE or belief is None:
                return None
            if named.received_at <= belief.received_at + _OVERTAKING:
                return None
            return self._set(upstream, belief, None, named.received_at)
        if belief is None:
            belief = self._add(upstream, named.received_at)
        elif named.received_at < belief.received_at:
            return None
        return self._set(upstream, belief, named.rate, named.received_at)

    def take(self, told: AdvertisedLimit, now: float) -> LimitChange | None:
        """Take in what another instance tells; gives what it changes.

        Of two words that are about as old the stricter one counts.
        """
        at = now - told.age / AGES_PER_S
        belief = self.beliefs.get(told.upstream)
        if belief is None:
            if told.rate is None:
                return None
            belief = self._add(told.upstream, at)
        elif not _outweighs(told.rate, at, belief):
            return None
        received_at = max(at, belief.received_at)
        change = self._set(told.upstream, belief, told.rate, received_at)
        belief.changed_at = now if change else belief.changed_at
        return change and LimitChange(
            change.upstream, change.before, change.after, from_peer=True
        )

    def tell(self, upstream: str, now: float) -> AdvertisedLimit | None:
        """What is believed of one upstream, for another instance."""
        belief = self.beliefs.get(upstream)
        if belief is None:
            return None
        age = ceil(max(0, now - belief.received_at) * AGES_PER_S)
        return AdvertisedLimit(upstream, belief.rate, age)

    def advertise(
        self,
        most: int,
        now: float,
        *,
        with_all: bool,
    ) -> tuple[AdvertisedLimit, ...]:
        """What to tell others: changes, or whatever was told least lately.

        Instances that have just started know of no limit at all.
        """
        due = [
            (belief.told_at, upstream)
            for upstream, belief in self.beliefs.items()
            if now - belief.changed_at < _TOLD_FOR
            or (with_all and belief.rate is not None)
        ]
        chosen = [upstream for _, upstream in sorted(due)[:most]]
        for upstream in chosen:
            self.beliefs[upstream].told_at = now
        told = (self.tell(upstream, now) for upstream in chosen)
        return tuple(one for one in told if one)

    def forget(self, known: Container[str], now: float) -> None:
        """Drop upstreams that are gone, and ends of limits that are old."""
        gone = [
            upstream
            for upstream, belief in self.beliefs.items()
            if upstream not in known
            or (belief.rate is None and now - belief.received_at > _ENDS_KEPT)
        ]
        for upstream in gone:
            self.beliefs.pop(upstream)

    def _add(self, upstream: str, received_at: float) -> _Belief:
        belief = _Belief(None, received_at)
        self.beliefs[upstream] = belief
        return belief

    def _set(
        self,
        upstream: str,
        belief: _Belief,
        rate: float | None,
        received_at: float,
    ) -> LimitChange | None:
        before = belief.rate
        belief.received_at = received_at
        belief.set(rate, received_at)
        if rate == before:
            return None
        return LimitChange(upstream, before, rate)


def _differ(one: float | None, other: float | None) -> bool:
    if one is None or other is None:
        return one is not other
    least, most = sorted((one, other))
    return most > least * _WORTH_TELLING


def _outweighs(rate: float | None, at: float, belief: _Belief) -> bool:
    if at > belief.received_at + _AGE_ERROR:
        return True
    if rate is None or at < belief.received_at - _AGE_ERROR:
        return False
    return belief.rate is None or rate < belief.rate
