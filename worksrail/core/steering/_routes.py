"""Routes by host and path prefix, and the services they lead to."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, unique

from worksrail.core.customers import CustomerTable
from worksrail.core.identity import RegionName, ServiceName


@unique
class RouteKind(Enum):
    """How often the requests of a route may be executed."""

    IDEMPOTENT = 'a request may be executed more than once'
    DOWNLOAD = 'idempotent, with large answers'
    AT_MOST_ONCE = 'a request may be executed once at most'


@unique
class NoRoute(Enum):
    """Sentinel: why a request has no route."""

    UNKNOWN_HOST = 'no route has this host'
    UNKNOWN_PATH = 'no route of the host has a prefix of this path'


@unique
class NotConfigured(Enum):
    """Sentinel: there is no configuration yet."""

    NEVER_READ = 'no configuration was read so far'


@dataclass(frozen=True, slots=True)
class ServiceWeight:
    """One part of a traffic split."""

    service: ServiceName
    """Service that the part goes to."""

    weight: float
    """Weight; the share is this weight over the sum of all weights."""


@dataclass(frozen=True, slots=True)
class Route:
    """How to treat the requests of one host and path prefix."""

    name: str
    """Name given by the operators."""

    host: str
    """Host in lower case, without a port."""

    prefix: str
    """Path prefix; starts and ends with a slash."""

    kind: RouteKind
    """Whether requests may be repeated."""

    timeout: float
    """Seconds after which a request gets its final answer."""

    target_latency: float
    """Seconds within which an answer has its full value."""

    priority: int
    """Rank under overload; zero is the most urgent."""

    parts: tuple[ServiceWeight, ...]
    """The services it leads to; one, or a split."""

    max_attempts: int
    """Maximum number of upstreams to which a request may be sent."""

    affinity: bool
    """Whether requests with the same affinity key go to the same upstream."""

    regions: frozenset[RegionName]
    """Regions that may serve it; empty means all."""

    public: bool = False
    """Whether callers need no API key."""

    @property
    def idempotent(self) -> bool:
        """Return whether a request may be executed more than once."""
        return self.kind is not RouteKind.AT_MOST_ONCE


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Settings of one service in the configuration."""

    name: ServiceName
    """Name of the service."""

    max_connections: int
    """Connections that one upstream accepts from all instances together."""

    cold_time: float
    """Seconds for which an upstream is cold after its start."""

    cold_rate: float
    """Requests a second that a cold upstream tolerates; zero means any
    number."""

    health_path: str = '/'
    """Path of its health checks."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits on the requests of one caller."""

    header_bytes: int = 32_768
    """Maximum size of the header block."""

    body_bytes: int = 67_108_864
    """Maximum size of a request body."""

    header_time: float = 60
    """Seconds within which the header block must arrive."""

    idle_time: float = 60
    """Seconds for which a connection may remain idle."""


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One version of all routes and services; never changed in place."""

    version: int
    """Version number; higher versions replace lower ones."""

    routes: dict[str, dict[str, Route]]
    """Routes by host, then by prefix."""

    services: dict[ServiceName, ServicePolicy]
    """Services by name."""

    limits: CallerLimits
    """Limits on callers."""

    customers: CustomerTable | None = None
    """Customers who may call; None allows all callers without a key."""

    contended_services: frozenset[ServiceName] = frozenset()
    """Services whose requests differ in priority or customer."""

    @classmethod
    def from_routes(
        cls,
        version: int,
        routes: Iterable[Route],
        services: Iterable[ServicePolicy],
        limits: CallerLimits,
        customers: CustomerTable | None = None,
    ) -> 'RoutingConfiguration':
        """Index routes and services."""
        by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, {})[route.prefix] = route
        by_name = {service.name: service for service in services}
        contended = _contended_services(by_host, customers)
        return cls(version, by_host, by_name, limits, customers, contended)

    def match(self, host: str, target: str) -> Route | NoRoute:
        """Find the route with the longest matching prefix of a request target.

        The query is not part of the path. Prefixes end with a slash, so only
        the slashes of the path are candidates: the search takes as many steps
        as the path is deep, regardless of the number of routes.
        """
        by_prefix = self.routes.get(host.partition(':')[0].lower())
        if by_prefix is None:
            return NoRoute.UNKNOWN_HOST
        path = target.partition('?')[0]
        end = path.rfind('/')
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return NoRoute.UNKNOWN_PATH


def _contended_services(
    routes: dict[str, dict[str, Route]],
    customers: CustomerTable | None,
) -> frozenset[ServiceName]:
    priorities: dict[ServiceName, set[int]] = {}
    for by_prefix in routes.values():
        for route in by_prefix.values():
            for part in route.parts:
                priorities.setdefault(part.service, set()).add(route.priority)
    differ = customers is not None and len(customers.customers) > 1
    return frozenset(
        service
        for service, found in priorities.items()
        if differ or len(found) > 1
    )
