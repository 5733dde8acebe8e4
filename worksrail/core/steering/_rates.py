"""How many requests a second upstreams take from all entries together."""

from dataclasses import dataclass, field

from worksrail.core.pacing import NamedLimits
from worksrail.core.steering._cold import ColdLimits


@dataclass(slots=True)
class UpstreamRates:
    """Limits on what single upstreams get."""

    cold: ColdLimits = field(default_factory=ColdLimits)
    """Upstreams that have just started, or have become cold again."""

    named: NamedLimits = field(default_factory=NamedLimits)
    """Upstreams that name a limit in their answers."""
