"""The part of all callers' requests that arrives at one entry."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import exp, inf
from typing import Final

# Time constant of the average, in seconds.
_TIME_CONSTANT: Final = 5.0
# Seconds between two samples.
_SAMPLE_INTERVAL: Final = 0.5
# Requests per second that are added to the rate of each entry: the rates of
# entries with few requests are uncertain.
_PRIOR_RATE: Final = 0.5


@dataclass(slots=True)
class OwnShare:
    """Average of an entry's share in the requests of all entries.

    Each entry promises only this share of the slots, so that entries need not
    tell each other what they have promised.

    >>> share = OwnShare()
    >>> share.update(9.5, lambda: [19.5], 100)
    >>> round(share.average, 2)
    0.33
    """

    average: float = 1
    """The average; one before the first sample."""

    sampled_at: float = -inf
    """When it was updated."""

    def update(
        self,
        own: float,
        rates_of_others: Callable[[], Iterable[float]],
        now: float,
    ) -> None:
        """Add a sample if the last one is old: the entry's rate and others'."""
        passed = now - self.sampled_at
        if passed < _SAMPLE_INTERVAL:
            return
        rates = [own + _PRIOR_RATE]
        rates.extend(rate + _PRIOR_RATE for rate in rates_of_others())
        sample = rates[0] / sum(rates)
        self.average += (sample - self.average) * (
            1 - exp(-passed / _TIME_CONSTANT)
        )
        self.sampled_at = now
