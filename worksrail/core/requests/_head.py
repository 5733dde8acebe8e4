"""What the decisions need to know of a request."""

from dataclasses import dataclass
from enum import Enum, unique

from worksrail.core.customers import CustomerName, KeyDigest
from worksrail.core.identity import RegionName
from worksrail.core.requests._tickets import Ticket, TicketFault


@unique
class NoTicket(Enum):
    """Sentinel: the request came without a ticket."""

    NOT_GIVEN = 'no ticket was given'


@unique
class ArrivalPath(Enum):
    """How a request came to this instance."""

    DIRECT = 'from a caller'
    SHIFTED = 'from another region, to be served here'
    TO_OWNER = 'from an instance that does not own its ticket'


@dataclass(frozen=True, slots=True)
class RequestHead:
    """A request without its body."""

    trace: str
    """Identifier found again in logs and on the time line."""

    host: str
    """Host name of the service."""

    method: str
    """HTTP method."""

    path: str
    """Path with query."""

    client: str
    """IP address of the caller."""

    timeout: float | None = None
    """Seconds the caller allows; None for the service's own limit."""

    ticket: Ticket | TicketFault | NoTicket = NoTicket.NOT_GIVEN
    """The verified ticket, or why there is none."""

    key: str = ''
    """The caller's idempotency key."""

    passing: ArrivalPath = ArrivalPath.DIRECT
    """How it came here."""

    home: RegionName = ''
    """Home region of the caller, when another instance determined it."""

    key_digest: KeyDigest = ''
    """Digest of the caller's API key; empty if none came."""

    customer: CustomerName = ''
    """The caller's customer, when another instance determined it."""
