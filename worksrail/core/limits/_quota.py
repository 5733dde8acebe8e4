"""Customers' quotas as shared limits."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from worksrail.core.customers import Customer, CustomerName, Quota
from worksrail.core.limits._bucket import SharedLimit
from worksrail.core.limits._messages import LimitName

# Share of the tolerated overage that is added to the bucket's capacity, since
# callers' requests come unevenly.  The rest covers what entries admit before
# they learn of a shortage.
_CAPACITY_OVERAGE: Final = 0.2


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """How closely quotas are enforced."""

    window: float = 5
    """Sliding window over which a customer's requests are counted, seconds."""

    overage: float = 0
    """Share of a quota by which it may be exceeded within a window."""

    slack: float = 0
    """Requests by which it may be exceeded in addition."""


def quota_name(customer: CustomerName) -> LimitName:
    """Return the name of the shared limit that enforces a customer's quota."""
    return f'quota {customer}'


def quota_limit(quota: Quota, bounds: QuotaBounds) -> SharedLimit:
    """Return the shared limit that keeps a quota within its bounds."""
    in_window = quota.rate * bounds.window + quota.burst
    beyond = in_window * bounds.overage + bounds.slack
    return SharedLimit(
        quota.rate, max(1, quota.burst + beyond * _CAPACITY_OVERAGE)
    )


def quota_limits(
    customers: Iterable[Customer],
    bounds: QuotaBounds,
) -> dict[LimitName, SharedLimit]:
    """Return the shared limits of several customers, by name."""
    return {
        quota_name(customer.name): quota_limit(customer.quota, bounds)
        for customer in customers
        if customer.quota
    }
