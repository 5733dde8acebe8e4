"""A request that has been admitted and is not yet ended."""

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
    """Where a request is."""

    NEW = 'not placed yet'
    WAITING = 'waits for a slot'
    WAITING_FOR_BUDGET = 'waits until the budget allows a retry'
    WAITING_FOR_QUOTA = "waits for the word of who keeps its customer's quota"
    SENT = 'sent to an upstream'
    PASSED = 'passed to another instance'


@dataclass(slots=True)
class ActiveRequest:
    """A request that has been admitted and is not yet ended."""

    number: int
    """Number of the arrival."""

    head: RequestHead
    """The request without its body."""

    service: ServiceName
    """Service it is for."""

    home: RegionName
    """Home region of the caller."""

    deadline: float
    """When it is given up."""

    idempotent: bool
    """Whether it may be repeated."""

    customer: CustomerName = ''
    """Whose request it is; empty if nobody's."""

    admitted: bool = False
    """It counts against the quota of its customer."""

    state: RequestState = RequestState.NEW
    """Where it is."""

    attempts: int = 0
    """Times it was sent or passed."""

    holds: tuple[Hold, ...] = ()
    """Permits held for it."""

    upstream: PoolKey | None = None
    """Slot pool of the upstream it was sent to."""

    sent_at: float = 0
    """When it was last sent."""

    tried: set[PoolKey] = field(default_factory=set)
    """Upstreams that failed it."""

    tried_regions: set[RegionName] = field(default_factory=set)
    """Regions that refused it."""

    claimed_key: str = ''
    """Key that it claimed in the memory of executed keys."""

    passed_to: InstanceName = ''
    """Instance it was last passed to."""

    to_owner: bool = False
    """It was passed to the owner of its ticket."""

    fingerprint: Fingerprint = 0
    """What it has in common with its repetitions by the caller."""

    crash_number: int = 0
    """Which one in a row a crash of its present attempt would be."""

    maybe_executed: bool = False
    """An earlier attempt may have been executed."""

    failed_with: ResultCode | None = None
    """Why it is to be sent again; None once the budget has paid for that."""

    caller_gone: bool = False
    """The caller went away; the answer is discarded."""

    peer_retry_after: float = 0
    """When another instance said to come back, in seconds."""
