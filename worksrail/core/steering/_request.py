"""A request under way: what is known of it, and how far it has come."""

from dataclasses import dataclass, field

from worksrail.core.customers import Customer, NoCustomer
from worksrail.core.identity import RegionName, ServiceName
from worksrail.core.quarantine import Fingerprint
from worksrail.core.steering._routes import Route
from worksrail.core.steering.events import RequestNumber, SteeredHead


@dataclass(slots=True)
class SteeredRequest:
    """A request under way."""

    number: RequestNumber
    """Number of the arrival."""

    head: SteeredHead
    """What is known of it."""

    route: Route
    """Route that it matched on arrival."""

    service: ServiceName
    """Part of the route that it goes to."""

    arrived_at: float
    """When it came."""

    deadline: float
    """When its upstream must stop, and it gets its final answer."""

    customer: Customer | NoCustomer = NoCustomer.KEY_NOT_REQUIRED
    """Whose request it is."""

    regions: frozenset[RegionName] = frozenset()
    """Regions that may serve it; empty means all."""

    admitted: bool = False
    """It counts against the quota of its customer."""

    caller_retried: bool = False
    """The caller seems to have come back after a refusal."""

    attempts: int = 0
    """Attempts begun, those that found no connection included."""

    sends: int = 0
    """Upstreams that it was sent to."""

    upstream: str = ''
    """Upstream of the attempt under way; empty between attempts."""

    last_upstream: str = ''
    """Upstream of the attempt that ended last."""

    last_outcome: str = ''
    """Outcome of the attempt that ended last."""

    sent_at: float = 0
    """When the last attempt began."""

    expected_time: float = 0
    """Seconds which that attempt was expected to take."""

    queue: float = 0
    """Requests that were ahead of it there, for each slot."""

    warm: bool = False
    """Whether its key was expected to be warm there."""

    tokens_requested: int = 0
    """Tokens that it asked for."""

    tried: set[str] = field(default_factory=set)
    """Upstreams that it shall not go to again."""

    rerouting: bool = False
    """Its attempt was cut off here because the upstream is silent."""

    fingerprint: Fingerprint = 0
    """What it has in common with its repetitions by the caller."""

    crash_number: int = 0
    """Which one in a row a crash of its present attempt would be."""

    maybe_executed: bool = False
    """An upstream may have executed it."""

    caller_gone: bool = False
    """The caller has left."""

    @property
    def affinity_key(self) -> str:
        """What an upstream remembers of it; empty if that makes no difference.

        An upstream that has executed a key on one route is cold for the same
        key on another one, so these are kept apart: a key of two routes would
        draw both to one upstream and leave others empty.
        """
        if not self.route.affinity or not self.head.key:
            return ''
        return f'{self.route.name}|{self.head.key}'

    @property
    def priority(self) -> int:
        """Its rank under shortage; a customer's goes before its route's."""
        customer = self.customer
        if isinstance(customer, Customer) and customer.priority is not None:
            return customer.priority
        return self.route.priority

    @property
    def customer_name(self) -> str:
        """Name of its customer; empty if it has none."""
        customer = self.customer
        return customer.name if isinstance(customer, Customer) else ''
