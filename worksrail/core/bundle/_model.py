"""The vocabulary of a bundle: what operators review and roll as a unit.

All classes are immutable.  Rates are in requests per second, times in
seconds, slots and connections are counts per upstream.  They are validated
from parsed YAML by :mod:`worksrail.core.bundle._check`.
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
    """A region: availability zones with short distances between them."""

    __pydantic_config__ = _STRICT

    name: Name
    """Unique name."""

    seats: Count
    """Into how many seats the region's permits are split."""

    headroom: Fraction = 0.1
    """Share of each service's slots that shifted traffic leaves free."""

    fallbacks: tuple[Name, ...] = ()
    """Regions that take traffic when this one cannot, nearest first."""


@dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone."""

    __pydantic_config__ = _STRICT

    name: Name
    """Unique name."""

    region: Name
    """Region the zone belongs to."""


@dataclass(frozen=True, slots=True)
class Upstream:
    """One back end process of a service."""

    __pydantic_config__ = _STRICT

    name: Name
    """Unique name over all services."""

    address: Annotated[str, Field(pattern=r'^[0-9.]+:\d{1,5}$')]
    """IP number and port, ``127.0.0.1:9000``."""

    zone: Name
    """Availability zone where it runs."""

    slots: Count
    """Requests it executes at once."""

    connections: Count = 300
    """Connections it accepts."""


@dataclass(frozen=True, slots=True)
class ShiftCap:
    """Limit on traffic of one service served away from its home region."""

    __pydantic_config__ = _STRICT

    source: Name
    """Home region of the callers."""

    target: Name
    """Region that serves them instead."""

    rate: Count
    """Most requests a second, over all entries."""

    in_flight: Count
    """Most requests in flight, over all entries."""

    rise: Count
    """By how many requests a second the rate may grow each second."""


@dataclass(frozen=True, slots=True)
class IdempotentRule:
    """Which requests of a service may be repeated without harm."""

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
    """Where it runs."""

    weight: Count = 1
    """Weight against other services when capacity is short."""

    deadline: Seconds = 5.0
    """Longest time a request may take."""

    queue_wait: Seconds = 0.5
    """Longest time a request may wait for a slot."""

    slow_start: Annotated[float, Field(ge=0, le=3600)] = 4.0
    """Time over which a cold upstream comes to its full slots."""

    idempotent: IdempotentRule = field(default_factory=IdempotentRule)
    """Which of its requests may be repeated."""

    shift_caps: tuple[ShiftCap, ...] = ()
    """Limits on traffic that leaves its home region."""

    public: bool = False
    """Callers need no key, though the bundle has customers."""


@dataclass(frozen=True, slots=True)
class CustomerQuota:
    """How many requests of a customer may be executed, over all entries."""

    __pydantic_config__ = _STRICT

    rate: Rate
    """Requests a second."""

    burst: Burst = 0
    """Requests that may come on top of the rate at once."""


@dataclass(frozen=True, slots=True)
class BundleCustomer:
    """A customer, and the keys that its callers send."""

    __pydantic_config__ = _STRICT

    name: Name
    """Unique name; upstreams are told it."""

    keys: tuple[KeyDigest, ...]
    """SHA-256 of its API keys, hexadecimal; no bundle holds a key itself."""

    quota: CustomerQuota | None = None
    """Limit on its requests; none if left out."""


@dataclass(frozen=True, slots=True)
class ClientBlock:
    """Callers' address block and the zone nearest to them."""

    __pydantic_config__ = _STRICT

    block: str
    """Address block in CIDR notation."""

    zone: Name
    """Availability zone its callers are nearest to."""


@unique
class DrainKind(Enum):
    """What a drain empties."""

    UPSTREAM = 'upstream'
    ZONE = 'zone'
    ENTRY = 'entry'


@dataclass(frozen=True, slots=True)
class Drain:
    """A planned drain of one target."""

    __pydantic_config__ = _STRICT

    kind: DrainKind
    """Kind of the target."""

    name: Name
    """Name of the target."""


@dataclass(frozen=True, slots=True)
class Bundle:
    """A versioned configuration: services, places, limits and drains."""

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
    """Where callers are."""

    drains: tuple[Drain, ...] = ()
    """Drains that come into force with the bundle."""

    customers: tuple[BundleCustomer, ...] = ()
    """Who may call; without any, callers need no key."""

    answer_age: Seconds = 4.0
    """How long callers may cache a look-up answer."""


MAX_BUNDLE_FAULTS: Final = 200
