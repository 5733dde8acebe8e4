"""Routing: upstream health, slow start, ejection, limits on rate increases."""

from worksrail.core.routing._health import LatencyAverage, UpstreamHealth
from worksrail.core.routing._reach import ServiceReach
from worksrail.core.routing._rise_limit import RiseLimit
from worksrail.core.routing._service import ServiceState

__all__ = (
    'LatencyAverage',
    'RiseLimit',
    'ServiceReach',
    'ServiceState',
    'UpstreamHealth',
)
