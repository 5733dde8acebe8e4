"""Limits requests to upstreams whose backoffs have just ended."""

import random
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.identity import ServiceName

# Seconds of requests that may be sent at once after a pause.
_BURST_S: Final = 0.1


@dataclass(slots=True)
class _Credit:
    requests: float
    updated_at: float


@dataclass(slots=True)
class ReturnLimits:
    """Requests that may go to returning upstreams, by service.

    Without a limit, all callers that were refused during the backoffs would
    come back to these upstreams in the same second.
    """

    credits: dict[ServiceName, _Credit] = field(default_factory=dict)
    """Requests that may be sent now."""

    def update(
        self,
        service: ServiceName,
        rate: float,
        since: float,
        now: float,
        rng: random.Random,
    ) -> None:
        """Add credit for the time since the last update.

        ``rate`` is the requests per second that are allowed, ``since`` the
        first end of the backoffs.  The first credit is a random part of one
        request, so that many instances do not all send one at once.
        """
        credit = self.credits.get(service)
        if credit is None or credit.updated_at < since:
            credit = _Credit(rng.random(), since)
            self.credits[service] = credit
        added = rate * (now - credit.updated_at)
        credit.requests = min(max(1, rate * _BURST_S), credit.requests + added)
        credit.updated_at = now

    def allows(self, service: ServiceName) -> bool:
        """Return whether a request may be sent."""
        credit = self.credits.get(service)
        return credit is not None and credit.requests >= 1

    def wait(self, service: ServiceName, rate: float) -> float:
        """Return the seconds until a request may be sent at some rate."""
        credit = self.credits.get(service)
        if credit is None or not rate:
            return 0
        return max(0, 1 - credit.requests) / rate

    def record_sent(self, service: ServiceName) -> None:
        """Use credit for a request that is sent."""
        credit = self.credits.get(service)
        if credit:
            credit.requests -= 1
