"""Traffic splits: selects the service for each request of a split route."""

from dataclasses import dataclass, field

from worksrail.core.identity import ServiceName
from worksrail.core.steering._routes import Route, ServiceWeight


@dataclass(slots=True)
class SplitCounter:
    """Distributes the requests of one split route by the weights of its parts.

    Smooth weighted round robin: on each request every part gains its weight in
    credit; the part with the most credit is selected and pays the sum of the
    weights.  After any number of requests each part is within one request of
    its share, also when a part has no free slots.

    >>> counter = SplitCounter()
    >>> parts = (ServiceWeight('a', 2), ServiceWeight('b', 1))
    >>> ''.join(counter.next_part(parts) for _ in range(6))
    'abaaba'
    """

    credit: dict[ServiceName, float] = field(default_factory=dict)
    """Credit of each part."""

    def next_part(self, parts: tuple[ServiceWeight, ...]) -> ServiceName:
        """Select the service for the next request."""
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
    """Split counters of all routes."""

    counters: dict[tuple[str, tuple[ServiceWeight, ...]], SplitCounter] = field(
        default_factory=dict
    )
    """Counters by route name and parts; new weights get a new counter."""

    def choose(self, route: Route) -> ServiceName:
        """Select the service for the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        key = (route.name, route.parts)
        counter = self.counters.get(key)
        if counter is None:
            counter = SplitCounter()
            self.counters[key] = counter
        return counter.next_part(route.parts)

    def forget_all(self) -> None:
        """Drop all counters, as after a new configuration."""
        self.counters.clear()
