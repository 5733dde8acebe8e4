"""Decides when refused callers are asked to come back.

A burst leaves more callers than the slots hold, and all of them have some time
left.  If they all come back after the same short time, most are refused again,
while the slots are idle later.  Each caller is therefore promised a part of the
slots that new requests are expected to leave free.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

# Seconds for which promises are counted together.  Callers spread at random
# within them, which the queues of upstreams absorb.
BUCKET_S: Final = 0.25
_HORIZON_S: Final = 15.0
# Share of the slots that callers who come back have in any case.
_RESERVED_SHARE: Final = 0.1


class NoCapacity(Enum):
    """Why no time can be promised."""

    IN_TIME = 'in time'
    """Slots are promised to others for as long as the caller can wait."""


@dataclass(frozen=True, slots=True)
class SlotForecast:
    """The requests that an entry's part of the slots can serve.

    >>> round(SlotForecast(100, 0.6).spare), round(SlotForecast(100, 1).spare)
    (40, 10)
    """

    capacity: float
    """Requests per second that the entry's part of the slots serves."""

    usage: float
    """Share of the slots that new requests usually have in use."""

    @property
    def spare(self) -> float:
        """Return requests per second left for callers that come back.

        During a burst, new requests give way to callers that come back, and are
        asked to come back later themselves.  Promises are therefore kept
        however long the burst lasts.
        """
        return self.capacity * max(_RESERVED_SHARE, 1 - self.usage)


@dataclass(slots=True)
class RetrySchedule:
    """What one entry has promised to refused callers of one service."""

    promised: dict[int, int] = field(default_factory=dict)
    """Callers that were asked to come back in each bucket of time."""

    def promise(
        self,
        forecast: SlotForecast,
        now: float,
        window: tuple[float, float],
        rng: random.Random,
    ) -> float | NoCapacity:
        """Return after how many seconds a refused caller has a slot.

        ``window`` holds the first and the last such time that the caller can
        use.  The first bucket with spare slots is chosen.
        """
        first, last = window
        self._forget(now)
        for begin, end in self._spans_with_capacity(forecast, now, last):
            if end <= first:
                continue
            earliest = max(first, begin)
            # A request that needs the slots of several buckets may come in any
            # of them; otherwise all entries with low rates would choose the
            # first one.
            latest = max(end, earliest + 1 / forecast.spare)
            if earliest < last:
                bucket = _bucket_of(now + earliest)
                self.promised[bucket] = self.promised.get(bucket, 0) + 1
                return rng.uniform(earliest, min(last, latest))
        return NoCapacity.IN_TIME

    def outstanding(self, now: float) -> int:
        """Return the callers that have yet to come back."""
        self._forget(now)
        return sum(self.promised.values())

    def _spans_with_capacity(
        self,
        forecast: SlotForecast,
        now: float,
        last: float,
    ) -> Iterator[tuple[float, float]]:
        """Yield the begin and end of buckets in which slots are spare.

        What exceeds the slots of a bucket takes those of the next ones.
        """
        backlog: float = 0
        bucket = _bucket_of(now)
        begin: float = 0
        while begin < min(last, _HORIZON_S):
            end = (bucket + 1) * BUCKET_S - now
            capacity = forecast.spare * (end - begin)
            backlog += self.promised.get(bucket, 0)
            if backlog < capacity:
                yield begin, end
            backlog = max(0, backlog - capacity)
            begin = end
            bucket += 1

    def _forget(self, now: float) -> None:
        current = _bucket_of(now)
        for bucket in tuple(self.promised):
            if bucket < current:
                self.promised.pop(bucket)


def _bucket_of(now: float) -> int:
    return int(now // BUCKET_S)
