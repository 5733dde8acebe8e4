"""The daemon of an entry that finds its upstreams by discovery."""

from worksrail.daemon.steered._adapter import (
    ANSWER_TIME,
    Adapter,
    LookUpQuery,
    SteeringStore,
    StoreFault,
    UpstreamAnswer,
    UpstreamDialect,
)
from worksrail.daemon.steered._daemon import serve

__all__ = (
    'ANSWER_TIME',
    'Adapter',
    'LookUpQuery',
    'SteeringStore',
    'StoreFault',
    'UpstreamAnswer',
    'UpstreamDialect',
    'serve',
)
