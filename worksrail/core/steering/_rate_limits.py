"""Limits on the request rates of upstreams, over all entries."""

from dataclasses import dataclass, field
from typing import Final

from worksrail.core.availability import Backoffs
from worksrail.core.pacing import Pacer
from worksrail.core.steering._catalog import Catalog
from worksrail.core.steering._cold_limits import ColdLimits
from worksrail.core.steering._settings import EntrySettings
from worksrail.core.steering.events import RequestNumber

# Seconds after a refusal for want of a token during which less urgent requests
# leave tokens to those of the refused priority.
_YIELD_WINDOW: Final = 1.0


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

    refused_at: dict[int, float] = field(default_factory=dict)
    """When a request was last refused for want of a token, by priority."""

    def is_needed_by_higher_priority(self, priority: int, now: float) -> bool:
        """Whether more urgent requests were refused for want of a token."""
        return any(
            rank < priority and now - at < _YIELD_WINDOW
            for rank, at in self.refused_at.items()
        )

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
