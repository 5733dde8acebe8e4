"""Refused requests, by which their callers are known when they come back.

A caller that was refused usually comes back to another instance.  Its deadline
does not show that it was refused, since callers allow different times.  So
instances tell each other which requests they have refused, and when these were
asked to come back.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

import msgspec

from worksrail.core.quarantine import Fingerprint

# Seconds before the time told within which a caller counts as having waited:
# clocks and the way of the messages differ by less.
_TOLERANCE: Final = 0.2
# Seconds after the time told for which a promise is kept.
_KEPT_FOR: Final = 1.5
# Maximum number of promises that an instance keeps.
_MAX_KEPT: Final = 20_000
# Maximum number of promises that wait to be sent; older ones are dropped, since
# their callers may be back before the message.
_MAX_UNSENT: Final = 256
# Resolution of the times in messages.
_STEPS_PER_SECOND: Final = 10


class AdvertisedPromise(msgspec.Struct, frozen=True, array_like=True):
    """A request that was refused, and when it was asked to come back."""

    request: Fingerprint
    """Fingerprint of the request."""

    due_in: int
    """Tenths of a second until its caller was asked to come back."""


@unique
class Return(Enum):
    """Whether a request comes back after a refusal."""

    UNKNOWN = 'no refusal of this request is known'
    EARLY = 'it was asked to come back later'
    DUE = 'it was asked to come back now'


@dataclass(slots=True)
class Promises:
    """Refused requests that may come back, at any instance.

    >>> promises = Promises()
    >>> promises.record(7, due_at=12.0)
    >>> promises.take(7, 10.5).name, promises.take(7, 12.1).name
    ('EARLY', 'DUE')
    >>> promises.take(7, 12.1).name
    'UNKNOWN'
    """

    due_at: dict[Fingerprint, float] = field(default_factory=dict)
    """When each refused request was asked to come back, oldest refusal
    first."""

    unsent: deque[Fingerprint] = field(
        default_factory=lambda: deque(maxlen=_MAX_UNSENT)
    )
    """Requests refused here that were not advertised yet."""

    unsent_of_zone: deque[Fingerprint] = field(
        default_factory=lambda: deque(maxlen=_MAX_UNSENT)
    )
    """Requests refused in the own zone that were not advertised to others."""

    def record(self, request: Fingerprint, due_at: float) -> None:
        """Record a request that was refused here."""
        self._keep(request, due_at)
        self.unsent.append(request)
        self.unsent_of_zone.append(request)

    def receive(
        self,
        advertised: Iterable[AdvertisedPromise],
        now: float,
        *,
        of_zone: bool,
    ) -> None:
        """Record requests that another instance has refused.

        ``of_zone`` tells that it is one of the own zone.
        """
        for one in advertised:
            due_in = max(0, one.due_in) / _STEPS_PER_SECOND
            self._keep(one.request, now + due_in)
            if of_zone:
                self.unsent_of_zone.append(one.request)

    def take(self, request: Fingerprint, now: float) -> Return:
        """Return whether a request comes back; a promise is kept once."""
        due_at = self.due_at.get(request)
        if due_at is None or now > due_at + _KEPT_FOR:
            return Return.UNKNOWN
        if now < due_at - _TOLERANCE:
            return Return.EARLY
        self.due_at.pop(request)
        return Return.DUE

    def advertise(
        self, max_count: int, now: float
    ) -> tuple[AdvertisedPromise, ...]:
        """Return requests refused here that were not advertised yet."""
        return tuple(self._advertised(self.unsent, max_count, now))

    def advertise_zone(
        self, max_count: int, now: float
    ) -> tuple[AdvertisedPromise, ...]:
        """Return the same of all instances of the own zone."""
        return tuple(self._advertised(self.unsent_of_zone, max_count, now))

    def forget_expired(self, now: float) -> None:
        """Drop promises whose callers have not come back."""
        self.due_at = {
            request: due_at
            for request, due_at in self.due_at.items()
            if now <= due_at + _KEPT_FOR
        }

    def _advertised(
        self, unsent: deque[Fingerprint], max_count: int, now: float
    ) -> Iterator[AdvertisedPromise]:
        for _ in range(min(max_count, len(unsent))):
            request = unsent.popleft()
            left = self.due_at.get(request, now) - now
            if left > 0:
                yield AdvertisedPromise(
                    request, round(left * _STEPS_PER_SECOND)
                )

    def _keep(self, request: Fingerprint, due_at: float) -> None:
        self.due_at.pop(request, None)
        self.due_at[request] = due_at
        while len(self.due_at) > _MAX_KEPT:
            self.due_at.pop(next(iter(self.due_at)))
