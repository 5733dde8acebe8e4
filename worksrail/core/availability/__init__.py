"""Availability that upstreams state in the heads of their answers.

An upstream may say that it is shutting down, and it may ask the instance that
it rejects for no further requests for some time.
"""

from worksrail.core.availability._backoffs import (
    AdvertisedBackoff,
    Backoff,
    Backoffs,
)
from worksrail.core.availability._leaving import LeavingUpstreams
from worksrail.core.availability._notice import (
    MAX_BACKOFF,
    NO_NOTICE,
    AvailabilityNotice,
    Statement,
    parse_backoff,
    parse_leaving,
    read_notice,
)
from worksrail.core.availability._returns import ReturnLimits

__all__ = (
    'MAX_BACKOFF',
    'NO_NOTICE',
    'AdvertisedBackoff',
    'AvailabilityNotice',
    'Backoff',
    'Backoffs',
    'LeavingUpstreams',
    'ReturnLimits',
    'Statement',
    'parse_backoff',
    'parse_leaving',
    'read_notice',
)
