"""Traffic splits: which service a request of a split route goes to."""

from dataclasses import dataclass, field

from worksrail.core.identity import ServiceName
from worksrail.core.steering._routes import Route, ServiceWeight


@dataclass(slots=True)
class SplitCounter:
    """Keeps each part of a split at its weight, request by request.

    Smooth weighted round robin: every part gains its weight, the part with
    most goes next and pays the sum.  After any number of requests each part
    is within one request of its share, and a part that has no room does not
    hand its requests to another.

    >>> counter = SplitCounter()
    >>> parts = (ServiceWeight('a', 2), ServiceWeight('b', 1))
    >>> ''.join(counter.next_part(parts) for _ in range(6))
    'abaaba'
    """

    credit: dict[ServiceName, float] = field(default_factory=dict)
    """What each part is owed."""

    def next_part(self, parts: tuple[ServiceWeight, ...]) -> ServiceName:
        """The service that the next request goes to."""
        total = float(0)
        best = ''
        for part in parts:
            name, weight = part.service, part.weight
            total += weight
            self.credit[name] = self.credit.get(name, 0) + weight
            if not best or self.credit[name] > self.credit[best]:
                best = name
        self.credit[best] -= total
        return best


@dataclass(slots=True)
class Splits:
    """A counter for each split route."""

    counters: dict[tuple[str, tuple[ServiceWeight, ...]], SplitCounter] = field(
        default_factory=dict
    )
    """Counters by route name and parts; new weights start anew."""

    def choose(self, route: Route) -> ServiceName:
        """The service that the next request of a route goes to."""
        if len(route.parts) == 1:
            return route.parts[0].service
        key = (route.name, route.parts)
        counter = self.counters.get(key)
        if counter is None:
            counter = SplitCounter()
            self.counters[key] = counter
        return counter.next_part(route.parts)

    def forget_all(self) -> None:
        """Start anew, as after a new configuration."""
        self.counters.clear()
