"""The head of a request, as the decisions need it."""

from dataclasses import dataclass
from enum import Enum, unique

from worksrail.core.customers import CustomerName, KeyDigest
from worksrail.core.identity import RegionName
from worksrail.core.requests._tickets import Ticket, TicketFault


@unique
class NoTicket(Enum):
    """Sentinel: the request carries no ticket."""

    NOT_GIVEN = 'the request carries no ticket'


@unique
class ArrivalPath(Enum):
    """How a request reached this instance."""

    DIRECT = 'from a caller'
    SHIFTED = 'from another region, to be served here'
    TO_OWNER = 'from an instance that does not own its ticket'


@dataclass(frozen=True, slots=True)
class RequestHead:
    """A request without its body."""

    trace: str
    """Trace identifier, as in logs and on the time line."""

    host: str
    """Host name of the service."""

    method: str
    """HTTP method."""

    path: str
    """Path with query."""

    client: str
    """IP address of the caller."""

    timeout: float | None = None
    """Timeout in seconds set by the caller; None for that of the service."""

    ticket: Ticket | TicketFault | NoTicket = NoTicket.NOT_GIVEN
    """The verified ticket, or why there is none."""

    key: str = ''
    """The caller's idempotency key."""

    passing: ArrivalPath = ArrivalPath.DIRECT
    """How it reached this instance."""

    home: RegionName = ''
    """Home region of the caller, if another instance determined it."""

    key_digest: KeyDigest = ''
    """Digest of the caller's API key; empty if it sent none."""

    customer: CustomerName = ''
    """Customer of the caller, if another instance determined it."""
