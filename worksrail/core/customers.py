"""Customers: who may call, with which keys, from where and how often.

Keys themselves are kept nowhere: a customer is found by the SHA-256 of the key
that came, so neither a log line nor a time of comparison can tell one.
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

    KEY_NOT_REQUIRED = (
        'the configuration has no customers, so nobody needs a key'
    )
    PUBLIC_ROUTE = 'the route is open to callers without a key'
    UNKNOWN_KEY = 'no customer holds the key that came, or none came'


class DuplicateKeyError(ValueError):
    """Two customers hold one key, so it does not say who calls."""


@dataclass(frozen=True, slots=True)
class Quota:
    """How many requests of a customer may be executed, over all entries."""

    rate: float
    """Requests a second; above zero."""

    burst: float = 0
    """Requests that may come on top of the rate at once."""


@dataclass(frozen=True, slots=True)
class Customer:
    """One customer of the operators."""

    name: CustomerName
    """Unique name; upstreams are told it."""

    keys: tuple[KeyDigest, ...] = ()
    """Digests of its keys; without one it cannot call."""

    regions: frozenset[RegionName] = frozenset()
    """Regions that may serve it; empty means all."""

    priority: int | None = None
    """Rank of its requests, before that of their route; zero is the most
    urgent, None leaves it to the route."""

    quota: Quota | None = None
    """Limit on its requests; None means no limit."""


@dataclass(frozen=True, slots=True)
class CustomerTable:
    """All customers of one configuration; never changed in place."""

    customers: dict[CustomerName, Customer]
    """Customers by name."""

    holders: dict[KeyDigest, CustomerName]
    """Who holds a key, by its digest."""

    @classmethod
    def from_customers(cls, customers: Iterable[Customer]) -> 'CustomerTable':
        """Index customers; raises ``SharedKeyError``."""
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
        return cls(by_name, holders)

    def find_by_key(self, key: KeyDigest) -> Customer | NoCustomer:
        """The customer that holds a key."""
        name = self.holders.get(key)
        if name is None:
            return NoCustomer.UNKNOWN_KEY
        return self.customers[name]
