"""Steering with discovered upstreams: routing, choice, retries, recovery."""

from worksrail.core.steering._availability import wants_requests
from worksrail.core.steering._catalog import (
    Catalog,
    UpstreamRecord,
    incarnation_name,
)
from worksrail.core.steering._digests import (
    Contact,
    Digest,
    EntryDigest,
    KeySketch,
    ZoneDigest,
)
from worksrail.core.steering._directory import EntryList, look_up
from worksrail.core.steering._failing import handler_failure
from worksrail.core.steering._passing_terms import (
    PassingTerms,
    decode_terms,
    encode_terms,
)
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
from worksrail.core.steering._scarcity import (
    current_shares,
    has_slots_free,
    is_contended,
)
from worksrail.core.steering._settings import (
    EntryAddresses,
    EntryLimits,
    EntrySettings,
    SteeringBounds,
)
from worksrail.core.steering._stop_times import exits_at
from worksrail.core.steering._store_sync import StoreUpdate
from worksrail.core.steering._store_watch import store_update_since
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
    'KeySketch',
    'NoRoute',
    'NotConfigured',
    'PassingTerms',
    'Route',
    'RouteKind',
    'RoutingConfiguration',
    'ServicePolicy',
    'ServiceWeight',
    'SteeredRequest',
    'SteeringBounds',
    'SteeringState',
    'StoreUpdate',
    'UpstreamRecord',
    'ZoneDigest',
    'current_shares',
    'decode_terms',
    'encode_terms',
    'exits_at',
    'handler_failure',
    'has_slots_free',
    'incarnation_name',
    'is_contended',
    'look_up',
    'reduce',
    'store_update_since',
    'wants_requests',
)
