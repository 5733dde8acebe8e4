"""Effects: every action of an instance on the outside world, as data.

The reducer returns effects; the daemon and the tests run them.  An effect
returns nothing: its outcome arrives as a later event.
"""

from dataclasses import dataclass
from enum import Enum, unique

from worksrail.core.events import RequestId
from worksrail.core.identity import Incarnation, InstanceName
from worksrail.core.messages import AnyMessage
from worksrail.core.permits import SeatTable
from worksrail.core.results import ResultCode


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to another instance; it may be lost."""

    receiver: InstanceName
    """Instance to send to."""

    message: AnyMessage
    """Message to send."""


@dataclass(frozen=True, slots=True)
class SendUpstream:
    """Send a request to an upstream."""

    request: RequestId
    """Number of the request."""

    upstream: str
    """Name of the upstream."""

    address: str
    """Its IP address and port."""

    not_after: float
    """Time after which the first byte must not be sent any more."""

    deadline: float
    """When the request times out."""

    may_cancel: bool
    """Whether it may be cancelled after its first byte."""


@dataclass(frozen=True, slots=True)
class PassRequest:
    """Pass a request to another instance."""

    request: RequestId
    """Number of the request."""

    receiver: InstanceName
    """Instance that is to serve it."""

    address: str
    """Address of the receiver for passed requests."""

    deadline: float
    """When the request times out."""

    home: str
    """Home region of the caller."""

    to_owner: bool
    """The receiver owns the ticket and makes its own routing decision."""


@dataclass(frozen=True, slots=True)
class AnswerResult:
    """Answer a request with a result code."""

    request: RequestId
    """Number of the request."""

    code: ResultCode
    """Result code of the answer."""

    retry_after: float = 0
    """Seconds after which a retry makes sense."""

    entry: str = ''
    """Address of another entry to use; empty if none is known."""


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Cancel a request that was sent to an upstream."""

    request: RequestId
    """Number of the request."""


@dataclass(frozen=True, slots=True)
class FetchBundle:
    """Fetch a bundle from the store or from other instances."""

    generation: int
    """Generation that needs the bundle."""

    digest: str
    """Digest of the bundle."""

    peers: tuple[InstanceName, ...]
    """Instances that hold it, nearest first."""


@dataclass(frozen=True, slots=True)
class WriteSeatTable:
    """Update the seat table in the store if it has the expected version."""

    expected: int
    """Version on which the update is based."""

    table: SeatTable
    """The new table."""


@dataclass(frozen=True, slots=True)
class BecomeIncarnation:
    """Continue as a new incarnation."""

    who: Incarnation
    """The new incarnation."""


@dataclass(frozen=True, slots=True)
class ExitProcess:
    """Exit, as the graceful stop is complete."""


@unique
class NoteKind(Enum):
    """Kinds of entries in the time line."""

    GENERATION_APPLIED = 'generation-applied'
    OLDER_HEAD_IGNORED = 'older-head-ignored'
    DRAINS_APPLIED = 'drains-applied'
    MEMBER_SEEN = 'member-seen'
    MEMBER_LEFT = 'member-left'
    SEAT_HELD = 'seat-held'
    SEAT_OFFERED = 'seat-offered'
    SEAT_LOST = 'seat-lost'
    SEAT_INTENT = 'seat-intent'
    PAUSED = 'paused'
    ISOLATED = 'isolated'
    REJOINED = 'rejoined'
    LEAVING = 'leaving'
    LEFT = 'left'
    REQUEST_SENT = 'request-sent'
    REQUEST_PASSED = 'request-passed'
    REQUEST_REFUSED = 'request-refused'
    REQUEST_ENDED = 'request-ended'
    CRASH_SUSPECTED = 'crash-suspected'
    QUARANTINED = 'quarantined'
    QUARANTINE_CLEARED = 'quarantine-cleared'
    UPSTREAM_EJECTED = 'upstream-ejected'
    UPSTREAM_LIMITED = 'upstream-limited'
    UPSTREAM_UNLIMITED = 'upstream-unlimited'
    UPSTREAM_LIMIT_UNREADABLE = 'upstream-limit-unreadable'
    UPSTREAM_LEAVING = 'upstream-leaving'
    UPSTREAM_BACKOFF = 'upstream-backoff'
    UPSTREAM_RESUMED = 'upstream-resumed'
    UPSTREAM_NOTICE_UNREADABLE = 'upstream-notice-unreadable'
    UPSTREAM_RETURNED = 'upstream-returned'


@dataclass(frozen=True, slots=True)
class Note:
    """Add an entry to the time line and to the log."""

    kind: NoteKind
    """What happened."""

    subject: str = ''
    """Instance, upstream, seat or result concerned."""

    request: RequestId = 0
    """Request concerned; zero for none."""

    generation: int = 0
    """Generation concerned; zero for none."""


Effect = (
    SendMessage
    | SendUpstream
    | PassRequest
    | AnswerResult
    | CancelRequest
    | FetchBundle
    | WriteSeatTable
    | BecomeIncarnation
    | ExitProcess
    | Note
)
