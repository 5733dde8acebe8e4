"""Limits that all entries share, such as a customer's quota.

Each limit has one owner among the live entries, chosen by rendezvous hashing,
which keeps its token bucket.  While plenty is left, entries admit at once and
report afterwards; once little is left they ask the owner first.
"""

from worksrail.core.limits._bucket import SharedLimit, TokenBucket
from worksrail.core.limits._members import Members
from worksrail.core.limits._messages import (
    LimitHandover,
    LimitMessage,
    LimitReply,
    LimitReport,
    LimitStatus,
)
from worksrail.core.limits._owner import OwnedLimit
from worksrail.core.limits._quota import (
    QuotaBounds,
    quota_limit,
    quota_limits,
    quota_name,
)
from worksrail.core.limits._shared import SharedLimits
from worksrail.core.limits._verdicts import (
    Addressed,
    Admission,
    Settled,
    Verdict,
)

__all__ = (
    'Addressed',
    'Admission',
    'LimitHandover',
    'LimitMessage',
    'LimitReply',
    'LimitReport',
    'LimitStatus',
    'Members',
    'OwnedLimit',
    'QuotaBounds',
    'Settled',
    'SharedLimit',
    'SharedLimits',
    'TokenBucket',
    'Verdict',
    'quota_limit',
    'quota_limits',
    'quota_name',
)
