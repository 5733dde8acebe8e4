"""A request that was admitted and has not ended yet."""

from dataclasses import dataclass, field
from enum import Enum, unique

from worksrail.core.customers import CustomerName
from worksrail.core.identity import InstanceName, RegionName, ServiceName
from worksrail.core.permits import Hold, PoolKey
from worksrail.core.quarantine import Fingerprint
from worksrail.core.requests._head import RequestHead
from worksrail.core.results import ResultCode


@unique
class RequestState(Enum):
    """Processing state of a request."""

    NEW = 'not placed yet'
    WAITING = 'waits for a slot'
    WAITING_FOR_BUDGET = 'waits until the budget allows a retry'
    WAITING_FOR_QUOTA = (
        "waits for the owner of its customer's quota to admit it"
    )
    SENT = 'sent to an upstream'
    PASSED = 'passed to another instance'


@dataclass(slots=True)
class ActiveRequest:
    """A request that was admitted and has not ended yet."""

    number: int
    """Identifier of the request on this instance."""

    head: RequestHead
    """The request without its body."""

    service: ServiceName
    """Service that it is sent to."""

    home: RegionName
    """Home region of the caller."""

    deadline: float
    """Time at which it is abandoned."""

    idempotent: bool
    """Whether it may be repeated."""

    customer: CustomerName = ''
    """Customer of the caller; empty if none."""

    admitted: bool = False
    """Whether it counts against the quota of its customer."""

    state: RequestState = RequestState.NEW
    """Processing state."""

    attempts: int = 0
    """Number of times it was sent or passed."""

    holds: tuple[Hold, ...] = ()
    """Permits held for it."""

    upstream: PoolKey | None = None
    """Slot pool of the upstream that it was sent to."""

    sent_at: float = 0
    """When it was last sent."""

    tried: set[PoolKey] = field(default_factory=set)
    """Upstreams at which it failed."""

    tried_regions: set[RegionName] = field(default_factory=set)
    """Regions that refused it."""

    tried_instances: set[InstanceName] = field(default_factory=set)
    """Instances of the own region that it was passed to."""

    claimed_key: str = ''
    """Idempotency key that it claimed in the key memory."""

    passed_to: InstanceName = ''
    """Instance that it was last passed to."""

    to_owner: bool = False
    """Whether it was passed to the owner of its ticket."""

    backed_off: bool = False
    """Whether its upstream asked for a backoff, the first one in a row."""

    fingerprint: Fingerprint = 0
    """Hash of what it has in common with repetitions by the caller."""

    crash_number: int = 0
    """Number that a crash in the current attempt has in its series."""

    maybe_executed: bool = False
    """Whether an earlier attempt may have been executed."""

    failed_with: ResultCode | None = None
    """Why it is to be retried; None once the budget allowed the retry."""

    caller_gone: bool = False
    """Whether the caller has disconnected; the answer is then discarded."""

    peer_retry_after: float = 0
    """Seconds after which another instance said to retry."""
