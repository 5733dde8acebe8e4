"""Customers: their API keys, permitted regions, priorities and quotas.

Keys themselves are not stored: a customer is looked up by the SHA-256 of the
key in the request, so neither log lines nor comparison times leak a key.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, unique

from worksrail.core.identity import RegionName

CustomerName = str
KeyDigest = str


def digest_of_key(key: bytes) -> KeyDigest:
    """SHA-256 of an API key, as hexadecimal text.

    >>> digest_of_key(b'a-key')[:8]
    '2a8a1240'
    """
    return hashlib.sha256(key).hexdigest()


@unique
class NoCustomer(Enum):
    """Sentinel: why a request belongs to no customer."""

    KEY_NOT_REQUIRED = 'the configuration has no customers, so no key is needed'
    PUBLIC_ROUTE = 'the route is open to callers without a key'
    UNKNOWN_KEY = 'no customer holds the key, or the request has none'


class DuplicateKeyError(ValueError):
    """Two customers hold the same key, so it does not identify the caller."""


@dataclass(frozen=True, slots=True)
class Quota:
    """Limit on the executed requests of a customer, over all entries."""

    rate: float
    """Requests per second; above zero."""

    burst: float = 0
    """Requests allowed at once in addition to the rate."""


@dataclass(frozen=True, slots=True)
class Customer:
    """One customer of the operators."""

    name: CustomerName
    """Unique name, which is sent to upstreams."""

    keys: tuple[KeyDigest, ...] = ()
    """Digests of its API keys; a customer without a key cannot call."""

    regions: frozenset[RegionName] = frozenset()
    """Regions that may serve it; empty means all."""

    priority: int | None = None
    """Priority of its requests, which overrides that of the route; zero is
    the most urgent, None leaves the priority to the route."""

    quota: Quota | None = None
    """Limit on its requests; None means no limit."""


@dataclass(frozen=True, slots=True)
class CustomerTable:
    """All customers of one configuration; immutable."""

    customers: dict[CustomerName, Customer]
    """Customers by name."""

    holders: dict[KeyDigest, CustomerName]
    """Name of the customer that holds a key, by digest of the key."""

    all_have_quotas: bool = False
    """Whether each customer has a quota."""

    @classmethod
    def from_customers(cls, customers: Iterable[Customer]) -> 'CustomerTable':
        """Index customers; raises ``DuplicateKeyError``."""
        by_name: dict[CustomerName, Customer] = {}
        holders: dict[KeyDigest, CustomerName] = {}
        for customer in customers:
            by_name[customer.name] = customer
            for key in customer.keys:
                holder = holders.setdefault(key, customer.name)
                if holder != customer.name:
                    raise DuplicateKeyError(
                        f'{holder} and {customer.name} hold the same key'
                    )
        have_quotas = all(customer.quota for customer in by_name.values())
        return cls(by_name, holders, have_quotas)

    def find_by_key(self, key: KeyDigest) -> Customer | NoCustomer:
        """Return the customer that holds a key."""
        name = self.holders.get(key)
        if name is None:
            return NoCustomer.UNKNOWN_KEY
        return self.customers[name]

    def weight_of(self, name: CustomerName) -> float:
        """Return the weight of a customer where slots are short.

        It is the rate of its quota if each customer has one; otherwise all
        customers weigh the same.
        """
        customer = self.customers.get(name)
        if not self.all_have_quotas or customer is None or not customer.quota:
            return 1
        return customer.quota.rate
