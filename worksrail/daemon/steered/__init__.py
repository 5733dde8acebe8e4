"""The daemon of an entry that discovers its upstreams from a store."""

from worksrail.daemon.steered._adapter import (
    ANSWER_TIMEOUT,
    Adapter,
    LookUpQuery,
    SteeringStore,
    StoreFault,
    UpstreamAnswer,
    UpstreamDialect,
)
from worksrail.daemon.steered._daemon import serve

__all__ = (
    'ANSWER_TIMEOUT',
    'Adapter',
    'LookUpQuery',
    'SteeringStore',
    'StoreFault',
    'UpstreamAnswer',
    'UpstreamDialect',
    'serve',
)
