"""What travels with a request that one entry passes to another."""

from typing import Final

import msgspec

from worksrail.core.customers import Customer, NoCustomer
from worksrail.core.identity import RegionName, ServiceName
from worksrail.core.steering._routes import Route, RouteKind, ServiceWeight


class PassingTerms(msgspec.Struct, frozen=True, array_like=True):
    """How the entry that took a request from its caller resolved it.

    The other entry only chooses the upstream.  Route, customer and regions are
    not resolved again, because its configuration may be another version, and
    the quota is not charged twice.
    """

    sender: str
    """Name of the entry that took the request from its caller."""

    service: ServiceName
    """Service chosen from the parts of the route."""

    route: str
    """Name of the route."""

    kind: str
    """Name of the :class:`RouteKind`."""

    target_latency: float
    """Seconds within which an answer has its full value."""

    priority: int
    """Rank under overload, that of the customer included."""

    max_attempts: int
    """Maximum number of upstreams to which the request may be sent."""

    affinity: bool
    """Whether the affinity key selects the upstream."""

    regions: tuple[RegionName, ...]
    """Regions that may serve it; empty means all."""

    customer: str
    """Customer to report to the upstream; empty if there is none."""

    sends: int
    """Number of upstreams that it was sent to so far."""

    version: int
    """Version of the sender's configuration."""

    def build_route(self, timeout: float) -> Route:
        """Return a route that treats the request as the sender's does."""
        return Route(
            self.route,
            '',
            '/',
            RouteKind[self.kind],
            timeout,
            self.target_latency,
            self.priority,
            (ServiceWeight(self.service, 1),),
            self.max_attempts,
            self.affinity,
            frozenset(self.regions),
        )

    def build_customer(self) -> Customer | NoCustomer:
        """Return the customer, without its keys and its quota."""
        if not self.customer:
            return NoCustomer.KEY_NOT_REQUIRED
        return Customer(self.customer, priority=self.priority)


_DECODER: Final = msgspec.msgpack.Decoder(PassingTerms)


def encode_terms(terms: PassingTerms) -> bytes:
    """Return the terms as bytes."""
    return msgspec.msgpack.encode(terms)


def decode_terms(payload: bytes) -> PassingTerms:
    """Read terms; raise ``ValueError`` if they are malformed.

    >>> decode_terms(b'x')
    Traceback (most recent call last):
    ...
    msgspec.ValidationError: Expected `array`, got `int`
    """
    terms = _DECODER.decode(payload)
    if terms.kind not in RouteKind.__members__:
        raise ValueError(f'expected the name of a kind, got {terms.kind!r}')
    return terms
