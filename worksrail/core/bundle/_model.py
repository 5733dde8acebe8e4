"""The data model of a bundle, which operators review and roll out as a unit.

All classes are immutable.  Rates are in requests per second, times in
seconds; slots and connections are counts per upstream.  Parsed YAML is
validated against the model by :mod:`worksrail.core.bundle._check`.
"""

from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Annotated, Final

from pydantic import ConfigDict, Field

FORMAT: Final = 'worksrail/1'
_NAME: Final = r'^[a-z0-9][a-z0-9.-]{0,62}$'

Name = Annotated[str, Field(pattern=_NAME)]
Count = Annotated[int, Field(ge=1, le=100_000)]
Seconds = Annotated[float, Field(gt=0, le=3600)]
Fraction = Annotated[float, Field(ge=0, lt=1)]

KeyDigest = Annotated[str, Field(pattern='^[0-9a-f]{64}$')]
Rate = Annotated[float, Field(gt=0, le=1_000_000)]
Burst = Annotated[float, Field(ge=0, le=1_000_000)]

_STRICT: Final = ConfigDict(extra='forbid')


@dataclass(frozen=True, slots=True)
class Region:
    """A region: availability zones with low latency between them."""

    __pydantic_config__ = _STRICT

    name: Name
    """Unique name."""

    seats: Count
    """Number of seats that the region's permits are split over."""

    headroom: Fraction = 0.1
    """Share of each service's slots that shifted traffic leaves free."""

    fallbacks: tuple[Name, ...] = ()
    """Regions that receive traffic if this one cannot, nearest first."""


@dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone."""

    __pydantic_config__ = _STRICT

    name: Name
    """Unique name."""

    region: Name
    """Region that the zone belongs to."""


@dataclass(frozen=True, slots=True)
class Upstream:
    """A process that executes requests of a service."""

    __pydantic_config__ = _STRICT

    name: Name
    """Name, unique over all services."""

    address: Annotated[str, Field(pattern=r'^[0-9.]+:\d{1,5}$')]
    """IP address and port, ``127.0.0.1:9000``."""

    zone: Name
    """Availability zone that it runs in."""

    slots: Count
    """Maximum number of requests that it executes at once."""

    connections: Count = 300
    """Maximum number of connections that it accepts."""


@dataclass(frozen=True, slots=True)
class ShiftCap:
    """Limit on traffic of a service that is served outside its home region."""

    __pydantic_config__ = _STRICT

    source: Name
    """Home region of the callers."""

    target: Name
    """Region that serves them instead."""

    rate: Count
    """Maximum requests per second, over all entries."""

    in_flight: Count
    """Maximum requests in flight, over all entries."""

    rise: Count
    """Maximum growth of the rate within a second, in requests per second."""


@dataclass(frozen=True, slots=True)
class IdempotentRule:
    """Which requests of a service may be repeated safely."""

    __pydantic_config__ = _STRICT

    methods: tuple[str, ...] = ('GET', 'HEAD', 'OPTIONS')
    """Methods that are idempotent on every path."""

    paths: tuple[str, ...] = ()
    """Path prefixes that are idempotent with every method."""


@dataclass(frozen=True, slots=True)
class Service:
    """A service that callers reach by its host name."""

    __pydantic_config__ = _STRICT

    name: Name
    """Unique name."""

    host: Name
    """Value of the Host header, without port."""

    upstreams: tuple[Upstream, ...]
    """Upstreams that execute its requests."""

    weight: Count = 1
    """Weight relative to other services when capacity is short."""

    deadline: Seconds = 5.0
    """Maximum time that a request may take."""

    queue_wait: Seconds = 0.5
    """Maximum time that a request may wait for a slot."""

    slow_start: Annotated[float, Field(ge=0, le=3600)] = 4.0
    """Time over which a cold upstream gets its full slots."""

    idempotent: IdempotentRule = field(default_factory=IdempotentRule)
    """Which of its requests may be repeated."""

    shift_caps: tuple[ShiftCap, ...] = ()
    """Limits on traffic that leaves its home region."""

    public: bool = False
    """Whether callers need no key although the bundle has customers."""


@dataclass(frozen=True, slots=True)
class CustomerQuota:
    """Limit on the requests of a customer, over all entries."""

    __pydantic_config__ = _STRICT

    rate: Rate
    """Requests per second."""

    burst: Burst = 0
    """Requests allowed at once in addition to the rate."""


@dataclass(frozen=True, slots=True)
class BundleCustomer:
    """A customer and the API keys that its callers send."""

    __pydantic_config__ = _STRICT

    name: Name
    """Unique name; it is sent to the upstreams."""

    keys: tuple[KeyDigest, ...]
    """SHA-256 digests of its API keys in hexadecimal; never the keys."""

    quota: CustomerQuota | None = None
    """Limit on its requests; None for no limit."""


@dataclass(frozen=True, slots=True)
class ClientBlock:
    """A block of callers' addresses and the zone nearest to them."""

    __pydantic_config__ = _STRICT

    block: str
    """Address block in CIDR notation."""

    zone: Name
    """Availability zone that the callers are nearest to."""


@unique
class DrainKind(Enum):
    """Kind of target that a drain takes out of service."""

    UPSTREAM = 'upstream'
    ZONE = 'zone'
    ENTRY = 'entry'


@dataclass(frozen=True, slots=True)
class Drain:
    """A planned drain of a target."""

    __pydantic_config__ = _STRICT

    kind: DrainKind
    """Kind of the target."""

    name: Name
    """Name of the target."""


@dataclass(frozen=True, slots=True)
class Bundle:
    """A versioned configuration: services, locations, limits and drains."""

    __pydantic_config__ = _STRICT

    format: str
    """Always ``worksrail/1``."""

    name: Name
    """Name of the deployment."""

    regions: tuple[Region, ...]
    """All regions."""

    zones: tuple[Zone, ...]
    """All availability zones."""

    services: tuple[Service, ...]
    """All services."""

    client_blocks: tuple[ClientBlock, ...] = ()
    """Locations of callers."""

    drains: tuple[Drain, ...] = ()
    """Drains that are applied with the bundle."""

    customers: tuple[BundleCustomer, ...] = ()
    """Customers whose callers are served; if empty, callers need no key."""

    answer_age: Seconds = 4.0
    """Time for which callers may cache a look-up answer."""


MAX_BUNDLE_FAULTS: Final = 200
