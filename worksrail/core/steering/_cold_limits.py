"""Limits on what cold upstreams get, over all entries."""

from dataclasses import dataclass, field
from math import ceil

from worksrail.core._rendezvous import rendezvous_weight
from worksrail.core.steering._settings import SteeringBounds


@dataclass(slots=True)
class ColdLimits:
    """Spaces this entry's requests to each cold upstream.

    A cold upstream tolerates a number of requests a second from all entries
    together.  Only some entries of its own region use it, and each spaces
    its requests by the number of those entries over that rate: in any second
    they send at most the rate and one request each.
    """

    last_sent: dict[str, float] = field(default_factory=dict)
    """When each cold upstream last got a request from here."""

    def allows(
        self,
        name: str,
        rate: float,
        sharers: int,
        now: float,
    ) -> bool:
        """Whether a request may be sent now."""
        if rate <= 0:
            return True
        last = self.last_sent.get(name)
        return last is None or now - last >= max(1, sharers) / rate

    def record_sent(self, name: str, now: float) -> None:
        """Count a request to a cold upstream."""
        self.last_sent[name] = now

    def forget(self, names: set[str]) -> None:
        """Drop what is kept of upstreams that are warm or gone."""
        for name in names & self.last_sent.keys():
            self.last_sent.pop(name)


def cold_senders(
    name: str,
    entries: list[str],
    rate: float,
    bounds: SteeringBounds,
) -> list[str]:
    """The entries that may use a cold upstream.

    As many as the requests allowed beyond its rate, halved: entries may
    disagree for a while on who the others are.
    """
    beyond = rate * (bounds.cold_factor - 1) + bounds.cold_extra
    most = max(1, int(beyond / 2))
    if len(entries) <= most:
        return entries
    return sorted(
        entries,
        key=lambda entry: rendezvous_weight(f'cold|{name}', entry),
        reverse=True,
    )[:most]


def max_requests_per_second(rate: float, sharers: int) -> int:
    """Most requests that a cold upstream gets in one second.

    >>> max_requests_per_second(14, 3)
    17
    """
    return ceil(rate) + sharers
