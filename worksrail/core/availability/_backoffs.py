"""Times for which upstreams have asked this instance for no requests."""

from collections.abc import Container
from dataclasses import dataclass, field
from math import inf
from typing import Final

import msgspec

from worksrail.core.availability._notice import Statement

# Maximum seconds for which requests to an upstream are limited after a backoff.
_MAX_RETURN_WINDOW: Final = 2.0
# Seconds for which a change is advertised: several messages, each of which may
# be lost.
_ADVERTISED_FOR: Final = 1.0
# Resolution of the times in advertisements.
_STEPS_PER_SECOND: Final = 10


class AdvertisedBackoff(msgspec.Struct, frozen=True, array_like=True):
    """A backoff that an upstream asked an instance for."""

    upstream: str
    """Name of the upstream's incarnation."""

    left: int
    """Tenths of a second until its end, rounded down."""


@dataclass(slots=True)
class Backoff:
    """The time for which one upstream wants no requests from this instance."""

    began_at: float
    """When it first asked, without an end of the time since."""

    until: float
    """End of the time."""

    usual_rate: float
    """Requests per second that this instance sent to it before."""

    changed_at: float
    """When the end was last changed."""

    told: bool = False
    """Whether it was asked of another instance: then the upstream is only
    avoided here."""

    has_ended: bool = False
    """Whether the end of the time was reported."""

    @property
    def length(self) -> float:
        """Return the seconds of the whole time."""
        return self.until - self.began_at

    def is_active(self, now: float) -> bool:
        """Return whether the time has not ended."""
        return now < self.until

    def is_returning(self, now: float) -> bool:
        """Return whether requests refused in the time may still come back."""
        window = min(_MAX_RETURN_WINDOW, self.length)
        return self.until <= now < self.until + window


@dataclass(slots=True)
class Backoffs:
    """Backoffs that upstreams have asked this instance and others for.

    Each of them binds until its own end, so a shorter one that comes later does
    not end a longer one.

    >>> backoffs = Backoffs()
    >>> backoffs.note('u1', 3.0, 10.0), backoffs.note('u1', 0.5, 11.0)
    (True, False)
    >>> backoffs.is_active('u1', 12.9), backoffs.is_active('u1', 13.0)
    (True, False)
    """

    by_upstream: dict[str, Backoff] = field(default_factory=dict)
    """Backoffs by name of the upstream."""

    reported: set[tuple[str, Statement]] = field(default_factory=set)
    """Unreadable statements that were reported, by upstream."""

    def note(
        self,
        upstream: str,
        seconds: float,
        now: float,
        usual_rate: float = 0,
    ) -> bool:
        """Record a request for a backoff; return whether it changes the end.

        ``usual_rate`` counts only if no backoff is remembered: during and just
        after one, fewer requests than usual are sent.
        """
        until = now + seconds
        known = self.by_upstream.get(upstream)
        if known is None:
            self.by_upstream[upstream] = Backoff(now, until, usual_rate, now)
            return True
        if known.told:
            known.told = False
            known.until = now
        if until <= known.until:
            return False
        _extend(known, until, now)
        return True

    def note_told(
        self,
        advertised: AdvertisedBackoff,
        now: float,
        usual_rate: float,
    ) -> None:
        """Record a backoff that another instance was asked for."""
        until = now + advertised.left / _STEPS_PER_SECOND
        known = self.by_upstream.get(advertised.upstream)
        if known is None:
            self.by_upstream[advertised.upstream] = Backoff(
                now, until, usual_rate, now, told=True
            )
        elif until > known.until and (known.told or not known.is_active(now)):
            known.told = True
            _extend(known, until, now)

    def note_unreadable(self, upstream: str, statement: Statement) -> bool:
        """Return whether an unreadable statement is the upstream's first."""
        key = (upstream, statement)
        if key in self.reported:
            return False
        self.reported.add(key)
        return True

    def is_active(self, upstream: str, now: float) -> bool:
        """Return whether an upstream has asked for no requests now."""
        known = self.by_upstream.get(upstream)
        return known is not None and not known.told and known.is_active(now)

    def has_lately_ended(self, upstream: str, now: float) -> bool:
        """Return whether a backoff of an upstream is over but remembered."""
        known = self.by_upstream.get(upstream)
        return known is not None and not known.told and now >= known.until

    def end_of(self, upstream: str) -> float:
        """Return when the backoff of an upstream ends or ended."""
        known = self.by_upstream.get(upstream)
        return known.until if known else -inf

    def advertise(
        self, max_count: int, now: float
    ) -> tuple[AdvertisedBackoff, ...]:
        """Return the backoffs that changed lately, the longest first."""
        due = sorted(
            (-int((backoff.until - now) * _STEPS_PER_SECOND), upstream)
            for upstream, backoff in self.by_upstream.items()
            if now - backoff.changed_at < _ADVERTISED_FOR
        )
        return tuple(
            AdvertisedBackoff(upstream, -steps)
            for steps, upstream in due[:max_count]
            if steps < 0
        )

    def take_ended(self, now: float, keep_for: float) -> list[str]:
        """Return the upstreams whose backoff has just ended.

        Backoffs are remembered for ``keep_for`` seconds after their end.
        """
        ended = []
        for upstream, backoff in tuple(self.by_upstream.items()):
            if now >= backoff.until and not backoff.has_ended:
                backoff.has_ended = True
                if not backoff.told:
                    ended.append(upstream)
            if now >= backoff.until + keep_for:
                self.by_upstream.pop(upstream)
        return ended

    def keep_only(self, upstreams: Container[str]) -> None:
        """Drop upstreams that are gone."""
        for upstream in tuple(self.by_upstream):
            if upstream not in upstreams:
                self.by_upstream.pop(upstream)
        self.reported = {key for key in self.reported if key[0] in upstreams}


def _extend(known: Backoff, until: float, now: float) -> None:
    if known.has_ended or now >= known.until:
        known.began_at = now
    known.until = until
    known.changed_at = now
    known.has_ended = False
