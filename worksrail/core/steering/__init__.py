"""Steering with discovered upstreams: routes, choice, repeats, recovery."""

from worksrail.core.steering._catalog import (
    Catalog,
    UpstreamRecord,
    name_of_life,
)
from worksrail.core.steering._digests import (
    Contact,
    Digest,
    EntryDigest,
    ToldKeys,
    ZoneDigest,
)
from worksrail.core.steering._directory import EntryList, look_up
from worksrail.core.steering._news import StoreNews
from worksrail.core.steering._reducer import reduce
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._routes import (
    CallerLimits,
    NoRoute,
    NotConfigured,
    Route,
    RouteKind,
    RoutingConfiguration,
    ServicePolicy,
    ServiceWeight,
)
from worksrail.core.steering._settings import (
    EntryAddresses,
    EntryLimits,
    EntrySettings,
    SteeringBounds,
)
from worksrail.core.steering._watching import news_since
from worksrail.core.steering.state import SteeringState

__all__ = (
    'CallerLimits',
    'Catalog',
    'Contact',
    'Digest',
    'EntryAddresses',
    'EntryDigest',
    'EntryLimits',
    'EntryList',
    'EntrySettings',
    'NoRoute',
    'NotConfigured',
    'Route',
    'RouteKind',
    'RoutingConfiguration',
    'ServicePolicy',
    'ServiceWeight',
    'SteeredRequest',
    'SteeringBounds',
    'SteeringState',
    'StoreNews',
    'ToldKeys',
    'UpstreamRecord',
    'ZoneDigest',
    'look_up',
    'name_of_life',
    'news_since',
    'reduce',
)
