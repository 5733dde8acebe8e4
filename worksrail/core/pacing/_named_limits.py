"""Rate limits of upstreams, from their answers and from other instances."""

from collections.abc import Container
from dataclasses import dataclass, field
from math import ceil, inf
from typing import Final

from worksrail.core.pacing._advertised import (
    AGE_STEPS_PER_SECOND,
    AdvertisedLimit,
)
from worksrail.core.pacing._named import NamedLimit, NoRate

# Seconds by which answers of one upstream may be reordered on their way to one
# instance, and to different ones.
_REORDER_TOLERANCE: Final = 0.1
_AGE_TOLERANCE: Final = 0.3
# Seconds for which a change is advertised: several messages, each of which may
# be lost.
_ADVERTISED_FOR: Final = 2.0
# Factor by which a rate must change to be advertised at once.  Smaller changes
# need not be: instances that use the upstream learn each rate from its answers
# and from the instance that issues its tokens.
_SIGNIFICANT_FACTOR: Final = 1.25
# Seconds for which the end of a limit is remembered.
_ENDED_TTL: Final = 60.0


@dataclass(frozen=True, slots=True)
class LimitChange:
    """A limit that begins, changes or ends, as observed by this instance."""

    upstream: str
    """Name of the upstream."""

    before: float | None
    """Previous rate; None if there was no limit."""

    after: float | None
    """Present rate; None if there is no limit any more."""

    from_peer: bool = False
    """Whether another instance advertised the change."""


@dataclass(slots=True)
class _Observation:
    rate: float | None
    received_at: float
    changed_at: float = -inf
    advertised_rate: float | None = None
    advertised_at: float = -inf

    def set(self, rate: float | None, now: float) -> None:
        self.rate = rate
        if _differ_significantly(rate, self.advertised_rate):
            self.advertised_rate = rate
            self.changed_at = now


@dataclass(slots=True)
class NamedLimits:
    """The rate limits that upstreams last named.

    >>> limits = NamedLimits()
    >>> limits.note('u1', NamedLimit(5, received_at=1)).after
    5
    >>> limits.note('u1', NamedLimit(NoRate.NOT_NAMED, received_at=2)).after
    >>> limits.rate_of('u1')
    """

    observations: dict[str, _Observation] = field(default_factory=dict)
    """Latest observation by upstream; ended limits are kept for a while."""

    def rate_of(self, upstream: str) -> float | None:
        """Return the rate that an upstream accepts; None without a limit."""
        observation = self.observations.get(upstream)
        return observation.rate if observation else None

    def note(self, upstream: str, named: NamedLimit) -> LimitChange | None:
        """Record an answer of an upstream; return the change, if any.

        An answer with an unreadable limit neither begins nor ends one.
        """
        observation = self.observations.get(upstream)
        if isinstance(named.rate, NoRate):
            if named.rate is NoRate.UNREADABLE or observation is None:
                return None
            if (
                named.received_at
                <= observation.received_at + _REORDER_TOLERANCE
            ):
                return None
            return self._set(upstream, observation, None, named.received_at)
        if observation is None:
            observation = self._add(upstream, named.received_at)
        elif named.received_at < observation.received_at:
            return None
        return self._set(upstream, observation, named.rate, named.received_at)

    def receive(
        self, advertised: AdvertisedLimit, now: float
    ) -> LimitChange | None:
        """Merge what another instance advertises; return the change, if any.

        Of two observations of about the same age the stricter one counts.
        """
        at = now - advertised.age / AGE_STEPS_PER_SECOND
        observation = self.observations.get(advertised.upstream)
        if observation is None:
            if advertised.rate is None:
                return None
            observation = self._add(advertised.upstream, at)
        elif not _supersedes(advertised.rate, at, observation):
            return None
        received_at = max(at, observation.received_at)
        change = self._set(
            advertised.upstream, observation, advertised.rate, received_at
        )
        observation.changed_at = now if change else observation.changed_at
        return change and LimitChange(
            change.upstream, change.before, change.after, from_peer=True
        )

    def snapshot(self, upstream: str, now: float) -> AdvertisedLimit | None:
        """Return the limit of one upstream, to be sent to another instance."""
        observation = self.observations.get(upstream)
        if observation is None:
            return None
        age = ceil(max(0, now - observation.received_at) * AGE_STEPS_PER_SECOND)
        return AdvertisedLimit(upstream, observation.rate, age)

    def advertise(
        self,
        max_count: int,
        now: float,
        *,
        with_all: bool,
    ) -> tuple[AdvertisedLimit, ...]:
        """Return what to advertise, the least recently advertised first.

        These are recent changes; with ``with_all`` all limits, as instances
        that have just started know none.
        """
        due = [
            (observation.advertised_at, upstream)
            for upstream, observation in self.observations.items()
            if now - observation.changed_at < _ADVERTISED_FOR
            or (with_all and observation.rate is not None)
        ]
        chosen = [upstream for _, upstream in sorted(due)[:max_count]]
        for upstream in chosen:
            self.observations[upstream].advertised_at = now
        snapshots = (self.snapshot(upstream, now) for upstream in chosen)
        return tuple(one for one in snapshots if one)

    def forget(self, known: Container[str], now: float) -> None:
        """Drop upstreams that are gone, and limits that ended long ago."""
        gone = [
            upstream
            for upstream, observation in self.observations.items()
            if upstream not in known
            or (
                observation.rate is None
                and now - observation.received_at > _ENDED_TTL
            )
        ]
        for upstream in gone:
            self.observations.pop(upstream)

    def _add(self, upstream: str, received_at: float) -> _Observation:
        observation = _Observation(None, received_at)
        self.observations[upstream] = observation
        return observation

    def _set(
        self,
        upstream: str,
        observation: _Observation,
        rate: float | None,
        received_at: float,
    ) -> LimitChange | None:
        before = observation.rate
        observation.received_at = received_at
        observation.set(rate, received_at)
        if rate == before:
            return None
        return LimitChange(upstream, before, rate)


def _differ_significantly(one: float | None, other: float | None) -> bool:
    if one is None or other is None:
        return one is not other
    low, high = sorted((one, other))
    return high > low * _SIGNIFICANT_FACTOR


def _supersedes(
    rate: float | None, at: float, observation: _Observation
) -> bool:
    if at > observation.received_at + _AGE_TOLERANCE:
        return True
    if rate is None or at < observation.received_at - _AGE_TOLERANCE:
        return False
    return observation.rate is None or rate < observation.rate
