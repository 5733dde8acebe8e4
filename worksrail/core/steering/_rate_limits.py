"""Limits on the request rates of upstreams, over all entries."""

from dataclasses import dataclass, field
from math import exp, inf
from typing import Final

from worksrail.core._meters import RateMeter
from worksrail.core.availability import Backoffs, ReturnLimits
from worksrail.core.identity import ServiceName
from worksrail.core.pacing import Pacer
from worksrail.core.steering._catalog import Catalog
from worksrail.core.steering._cold_limits import ColdLimits
from worksrail.core.steering._settings import EntrySettings
from worksrail.core.steering.events import RequestNumber

# Time constants of the rates of requests sent, in seconds.  The long one
# remembers the usual rate through a time in which nothing could be sent.
_SHORT_TIME_CONSTANT: Final = 4.0
_LONG_TIME_CONSTANT: Final = 30.0
# Seconds of requests from which a rate is estimated at least.
_MIN_AGE: Final = 4.0
# Seconds after a refusal during which less urgent requests leave what was
# missing to those of the refused priority.
_YIELD_WINDOW: Final = 1.0


@dataclass(slots=True)
class PriorityRefusals:
    """When requests were last refused for some want, by priority."""

    refused_at: dict[int, float] = field(default_factory=dict)
    """Time of the last refusal by priority."""

    def record(self, priority: int, now: float) -> None:
        """Record a refusal."""
        self.refused_at[priority] = now

    def is_needed(self, priority: int, now: float) -> bool:
        """Return whether more urgent requests were refused lately."""
        return any(
            rank < priority and now - at < _YIELD_WINDOW
            for rank, at in self.refused_at.items()
        )


@dataclass(slots=True)
class SendRate:
    """Rate of requests that this entry sends to the upstreams of a service."""

    lately: RateMeter = field(
        default_factory=lambda: RateMeter(seconds=_SHORT_TIME_CONSTANT)
    )
    """Rate over some seconds."""

    before: RateMeter = field(
        default_factory=lambda: RateMeter(seconds=_LONG_TIME_CONSTANT)
    )
    """Rate over a longer time."""

    since: float = inf
    """When the first request was counted."""

    def record(self, now: float) -> None:
        """Count a request."""
        self.since = min(self.since, now)
        self.lately.note(now)
        self.before.note(now)

    def usual(self, now: float) -> float:
        """Return the usual requests per second.

        Of many entries with low rates, only those that have just sent a request
        are asked for a backoff, so this one request is left out or counts half.
        """
        rate = self.lately.rate(now)
        without_last = rate - 1 / self.lately.seconds
        # A meter starts at zero, so at first it shows a part of the rate only.
        age = max(_MIN_AGE, now - self.since)
        shown = 1 - exp(-age / self.before.seconds)
        return max(without_last, rate / 2, self.before.rate(now) / shown)


@dataclass(slots=True)
class UpstreamRateLimits:
    """Rate limits of single upstreams."""

    named: Pacer
    """Limits that upstreams name in their answers."""

    cold: ColdLimits = field(default_factory=ColdLimits)
    """Limits of upstreams that have just started or become cold again."""

    backoffs: Backoffs = field(default_factory=Backoffs)
    """Times for which upstreams have asked this entry for no requests."""

    waiting: dict[RequestNumber, str] = field(default_factory=dict)
    """Upstream whose token each waiting request awaits."""

    refused: PriorityRefusals = field(default_factory=PriorityRefusals)
    """Refusals for want of a token."""

    refused_in_backoff: PriorityRefusals = field(
        default_factory=PriorityRefusals
    )
    """Refusals because all upstreams had asked for a backoff."""

    returns: ReturnLimits = field(default_factory=ReturnLimits)
    """Limits of requests to upstreams whose backoffs have just ended."""

    sends: dict[ServiceName, SendRate] = field(default_factory=dict)
    """Rates of requests that this entry sends, by service."""

    def record_sent(self, service: ServiceName, now: float) -> None:
        """Count a request to an upstream of a service."""
        if service not in self.sends:
            self.sends[service] = SendRate()
        self.sends[service].record(now)

    @classmethod
    def begin(
        cls,
        settings: EntrySettings,
        catalog: Catalog,
    ) -> 'UpstreamRateLimits':
        """Create the limits of a new incarnation, which knows none yet."""
        return cls(
            Pacer(
                settings.name,
                settings.addresses.peer,
                settings.region,
                catalog.region_of,
            )
        )
