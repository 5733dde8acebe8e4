"""Paces requests to upstreams that name a rate limit in their answers."""

from worksrail.core.pacing._beliefs import LimitChange, NamedLimits
from worksrail.core.pacing._named import NamedLimit, NoRate, read_rate
from worksrail.core.pacing._told import ToldLimit

__all__ = (
    'LimitChange',
    'NamedLimit',
    'NamedLimits',
    'NoRate',
    'ToldLimit',
    'read_rate',
)
