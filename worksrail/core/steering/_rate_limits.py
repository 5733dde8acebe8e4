"""How many requests a second upstreams take from all entries together."""

from dataclasses import dataclass, field
from typing import Final

from worksrail.core.pacing import Pacer
from worksrail.core.steering._catalog import Catalog
from worksrail.core.steering._cold_limits import ColdLimits
from worksrail.core.steering._settings import EntrySettings
from worksrail.core.steering.events import RequestNumber

# Seconds for which a refused request leaves tokens to others as urgent.
_URGENCY: Final = 1.0


@dataclass(slots=True)
class UpstreamRateLimits:
    """Limits on what single upstreams get."""

    named: Pacer
    """Upstreams that name a limit in their answers."""

    cold: ColdLimits = field(default_factory=ColdLimits)
    """Upstreams that have just started, or have become cold again."""

    waiting: dict[RequestNumber, str] = field(default_factory=dict)
    """Requests that wait for a token of an upstream."""

    refused: dict[int, float] = field(default_factory=dict)
    """When a request of each priority was refused last for want of a token."""

    def is_wanted_by_more_urgent(self, priority: int, now: float) -> bool:
        """Whether more urgent requests were refused for want of a token."""
        return any(
            rank < priority and now - at < _URGENCY
            for rank, at in self.refused.items()
        )

    @classmethod
    def begin(
        cls,
        settings: EntrySettings,
        catalog: Catalog,
    ) -> 'UpstreamRateLimits':
        """Begin an incarnation that knows of no limit."""
        return cls(
            Pacer(
                settings.name,
                settings.addresses.peer,
                settings.region,
                catalog.region_of,
            )
        )
