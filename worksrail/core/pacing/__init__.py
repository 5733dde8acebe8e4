"""Paces requests to upstreams that name a rate limit in their answers.

An upstream names in its answers how many requests per second it accepts from
all instances together.  One instance issues tokens for it, and a request may be
sent to it only with a token.
"""

from worksrail.core.pacing._advertised import AdvertisedLimit
from worksrail.core.pacing._messages import (
    AddressedRequest,
    PacingMessage,
    TokenGrant,
    TokenRequest,
    TokenShare,
)
from worksrail.core.pacing._named import NamedLimit, NoRate, read_rate
from worksrail.core.pacing._named_limits import LimitChange, NamedLimits
from worksrail.core.pacing._pacer import (
    ALL_REGIONS,
    Pacer,
    Permission,
    receive_limits,
)

__all__ = (
    'ALL_REGIONS',
    'AddressedRequest',
    'AdvertisedLimit',
    'LimitChange',
    'NamedLimit',
    'NamedLimits',
    'NoRate',
    'Pacer',
    'PacingMessage',
    'Permission',
    'TokenGrant',
    'TokenRequest',
    'TokenShare',
    'read_rate',
    'receive_limits',
)
