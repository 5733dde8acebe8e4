"""Limits on the requests to cold upstreams, over all entries."""

from dataclasses import dataclass, field
from math import ceil

from worksrail.core._rendezvous import rendezvous_weight
from worksrail.core.steering._settings import SteeringBounds


@dataclass(slots=True)
class ColdLimits:
    """Spaces this entry's requests to each cold upstream.

    A cold upstream has a maximum rate over all entries.  Only some entries of
    its own region send to it, and the interval between requests of each is the
    number of these entries divided by the rate.  So in any second they send at
    most the rate plus one request each.
    """

    last_sent: dict[str, float] = field(default_factory=dict)
    """When this entry last sent a request to each cold upstream."""

    def allows(
        self,
        name: str,
        rate: float,
        senders: int,
        now: float,
    ) -> bool:
        """Whether this entry may send a request to the upstream now."""
        if rate <= 0:
            return True
        last = self.last_sent.get(name)
        return last is None or now - last >= max(1, senders) / rate

    def record_sent(self, name: str, now: float) -> None:
        """Record a request to a cold upstream."""
        self.last_sent[name] = now

    def forget(self, names: set[str]) -> None:
        """Drop the state of upstreams that are warm or gone."""
        for name in names & self.last_sent.keys():
            self.last_sent.pop(name)


def cold_senders(
    name: str,
    entries: list[str],
    rate: float,
    bounds: SteeringBounds,
) -> list[str]:
    """Return the entries that may send to a cold upstream.

    Each sender may exceed its part of the rate by one request.  The number of
    senders is half of the requests that the bounds allow above the rate: for a
    while entries may disagree on the list of entries, and thus on the senders.
    """
    excess = rate * (bounds.cold_factor - 1) + bounds.cold_extra
    maximum = max(1, int(excess / 2))
    if len(entries) <= maximum:
        return entries
    return sorted(
        entries,
        key=lambda entry: rendezvous_weight(f'cold|{name}', entry),
        reverse=True,
    )[:maximum]


def max_requests_per_second(rate: float, senders: int) -> int:
    """Return the maximum number of requests to a cold upstream in one second.

    >>> max_requests_per_second(14, 3)
    17
    """
    return ceil(rate) + senders
