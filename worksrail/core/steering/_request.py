"""An active request and its progress."""

from dataclasses import dataclass, field, replace
from math import inf
from typing import TypeAlias

from worksrail.core.customers import Customer, NoCustomer
from worksrail.core.identity import RegionName, ServiceName
from worksrail.core.quarantine import Fingerprint
from worksrail.core.steering._attempt import Attempt
from worksrail.core.steering._routes import Route
from worksrail.core.steering.events import RequestNumber, SteeredHead


@dataclass(slots=True)
class SteeredRequest:
    """An active request."""

    number: RequestNumber
    """Number of the request."""

    head: SteeredHead
    """The properties that decisions depend on."""

    route: Route
    """Route that it matched on arrival."""

    service: ServiceName
    """Service chosen from the parts of the route."""

    arrived_at: float
    """When it arrived."""

    deadline: float
    """When its upstream must stop and its final answer is due."""

    customer: Customer | NoCustomer = NoCustomer.KEY_NOT_REQUIRED
    """Customer that sent it."""

    regions: frozenset[RegionName] = frozenset()
    """Regions that may serve it; empty means all."""

    admitted: bool = False
    """Whether it counts against the quota of its customer."""

    caller_retried: bool = False
    """Whether the caller appears to retry after a refusal."""

    returned: bool = False
    """Whether its caller was refused before and has waited as it was told."""

    in_burst: bool = False
    """Whether its service usually has slots left for callers that come back."""

    promised: float = 0
    """Seconds of its service's slots that are promised to callers who come
    back, and to which it gives way."""

    position: float = 0
    """Demand in slots that goes before it, over the slots of its service."""

    attempts: int = 0
    """Attempts started, including those that failed to connect."""

    sends: int = 0
    """Number of upstreams that it was sent to."""

    current: Attempt = field(default_factory=Attempt)
    """The attempt that began or ended last."""

    other: Attempt | None = None
    """An attempt in progress beside the current one."""

    answering: bool = False
    """Whether an answer has begun."""

    replayable: bool = True
    """Whether all of its body is kept, so that it can be sent once more."""

    reviewed_at: float = -inf
    """When a second attempt beside a silent one was last considered."""

    last_upstream: str = ''
    """Upstream of the attempt that ended last."""

    last_outcome: str = ''
    """Outcome of the attempt that ended last."""

    tokens_requested: int = 0
    """Number of tokens requested for it."""

    unconnected: int = 0
    """Number of upstreams to which no connection could be opened."""

    passed_to: list[str] = field(default_factory=list)
    """Entries that it was passed to, in order."""

    passed_by: str = ''
    """Entry that passed it to this one; empty if a caller sent it."""

    tried: set[str] = field(default_factory=set)
    """Upstreams that it must not be sent to again."""

    fingerprint: Fingerprint = 0
    """Value that it shares with its retries by the caller."""

    maybe_executed: bool = False
    """Whether an upstream may have executed it."""

    caller_gone: bool = False
    """Whether the caller has disconnected."""

    @property
    def under_way(self) -> bool:
        """Return whether an attempt is in progress."""
        return bool(self.current.place)

    @property
    def in_progress(self) -> tuple[Attempt, ...]:
        """Return the attempts in progress."""
        attempts = (self.current, self.other)
        return tuple(one for one in attempts if one and one.place)

    def begin(self, attempt: Attempt) -> None:
        """Make an attempt the current one, beside one still in progress."""
        if self.under_way:
            self.other = self.current
        self.current = attempt

    def select(self, number: int) -> bool:
        """Make an attempt in progress the current one; false if it is none."""
        other = self.other
        if other and other.number == number:
            self.other = self.current
            self.current = other
        return self.current.number == number

    def end_current(self, outcome: str) -> Attempt:
        """End the current attempt; the other one takes its place, if any."""
        ended = self.current
        self.last_upstream = ended.place
        self.last_outcome = outcome
        if self.other:
            self.current = self.other
            self.other = None
        else:
            self.current = replace(ended, upstream='', helper='')
        return ended

    @property
    def affinity_key(self) -> str:
        """Return the affinity key within its route; empty if there is none.

        An upstream that has executed a key on one route is still cold for the
        same key on another route, so the two are kept apart. Otherwise a key
        that is used on two routes would draw both to one upstream and leave
        others empty.
        """
        if not self.route.affinity or not self.head.key:
            return ''
        return f'{self.route.name}|{self.head.key}'

    @property
    def priority(self) -> int:
        """Return the rank under overload; the customer's rank comes first."""
        customer = self.customer
        if isinstance(customer, Customer) and customer.priority is not None:
            return customer.priority
        return self.route.priority

    @property
    def customer_name(self) -> str:
        """Return the name of its customer; empty if it has none."""
        customer = self.customer
        return customer.name if isinstance(customer, Customer) else ''


ActiveRequests: TypeAlias = dict[RequestNumber, SteeredRequest]
"""Active requests by number."""
