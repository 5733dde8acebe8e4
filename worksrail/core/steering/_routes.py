"""Routes by host and path prefix, and the services that they lead to."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, unique

from worksrail.core.customers import CustomerTable
from worksrail.core.identity import RegionName, ServiceName


@unique
class RouteKind(Enum):
    """What the answers of a route allow."""

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
    """Where the part goes."""

    weight: float
    """Its share is this weight over the sum of all weights."""


@dataclass(frozen=True, slots=True)
class Route:
    """What to do with the requests of one host and path prefix."""

    name: str
    """Name that operators gave it."""

    host: str
    """Host in lower case, without a port."""

    prefix: str
    """Path prefix; begins and ends with a slash."""

    kind: RouteKind
    """Whether requests may be repeated."""

    timeout: float
    """Seconds after which a request gets its final answer."""

    target_latency: float
    """Seconds within which an answer is worth most."""

    priority: int
    """Rank under shortage; zero is the most urgent."""

    parts: tuple[ServiceWeight, ...]
    """The services it leads to; one, or a split."""

    max_attempts: int
    """Upstreams to which one request may be sent."""

    affinity: bool
    """Requests with one affinity key belong to one upstream."""

    regions: frozenset[RegionName]
    """Regions that may serve it; empty means all."""

    public: bool = False
    """Callers need no key."""

    @property
    def idempotent(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.kind is not RouteKind.AT_MOST_ONCE


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """What the configuration says of one service."""

    name: ServiceName
    """Its name."""

    max_connections: int
    """Connections that one upstream accepts from all instances together."""

    cold_time: float
    """Seconds for which an upstream is cold after its start."""

    cold_rate: float
    """Requests a second that one cold upstream tolerates; zero: any."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What one caller may send, and how long it may take."""

    header_bytes: int = 32_768
    """Largest header block."""

    body_bytes: int = 67_108_864
    """Largest request body."""

    header_time: float = 60
    """Seconds in which a header block must arrive."""

    idle_time: float = 60
    """Seconds for which a connection may stay idle."""


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One version of all routes and services; never changed in place."""

    version: int
    """Higher versions replace lower ones."""

    routes: dict[str, dict[str, Route]]
    """Routes by host, then by prefix."""

    services: dict[ServiceName, ServicePolicy]
    """Services by name."""

    limits: CallerLimits
    """Limits on callers."""

    customers: CustomerTable | None = None
    """Who may call; None means anybody, without a key."""

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
        return cls(version, by_host, by_name, limits, customers)

    def match(self, host: str, target: str) -> Route | NoRoute:
        """Find the route with the longest prefix of a request target.

        The query is no part of the path.  Prefixes end with a slash, so only
        the path's own slashes can end one: the search is as long as the path
        is deep, however many routes there are.
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
