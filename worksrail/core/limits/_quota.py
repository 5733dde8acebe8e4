"""Customers' quotas as shared limits."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from worksrail.core.customers import Customer, CustomerName, Quota
from worksrail.core.limits._bucket import SharedLimit
from worksrail.core.limits._messages import LimitName

# Share of what operators tolerate beyond a quota that callers get, since their
# requests come unevenly.  The rest covers what entries admit before the word of
# a shortage reaches them.
_GIVEN_BEYOND: Final = 0.2


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """How closely operators want quotas kept."""

    window: float = 5
    """Sliding window over which a customer's requests are counted, seconds."""

    overage: float = 0
    """Share of a quota by which it may be passed within a window."""

    slack: float = 0
    """Requests by which it may be passed besides."""


def quota_name(customer: CustomerName) -> LimitName:
    """Name of the shared limit that keeps a customer's quota."""
    return f'quota {customer}'


def quota_limit(quota: Quota, bounds: QuotaBounds) -> SharedLimit:
    """The rate and capacity that keep a quota within its bounds."""
    in_window = quota.rate * bounds.window + quota.burst
    beyond = in_window * bounds.overage + bounds.slack
    return SharedLimit(quota.rate, max(1, quota.burst + beyond * _GIVEN_BEYOND))


def quota_limits(
    customers: Iterable[Customer],
    bounds: QuotaBounds,
) -> dict[LimitName, SharedLimit]:
    """The shared limits of some customers, by name."""
    return {
        quota_name(customer.name): quota_limit(customer.quota, bounds)
        for customer in customers
        if customer.quota
    }
