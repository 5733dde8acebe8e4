"""Everything an instance can do to the outside, as data.

The reducer returns effects; the daemon and the tests run them.  An effect
never reports back by itself: what comes of it arrives as a later event.
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
    """Who shall get it."""

    message: AnyMessage
    """What to say."""


@dataclass(frozen=True, slots=True)
class SendUpstream:
    """Send a request to an upstream."""

    request: RequestId
    """Which request."""

    upstream: str
    """Name of the upstream."""

    address: str
    """Its IP number and port."""

    not_after: float
    """If the clock shows this before the first byte, it is not sent."""

    deadline: float
    """When the request is given up."""

    may_cancel: bool
    """Whether it may be cut off after its first byte."""


@dataclass(frozen=True, slots=True)
class PassRequest:
    """Pass a request to another instance."""

    request: RequestId
    """Which request."""

    receiver: InstanceName
    """Who shall serve it."""

    address: str
    """Address of the receiver for passed requests."""

    deadline: float
    """When the request is given up."""

    home: str
    """Home region of the caller."""

    to_owner: bool
    """It goes to the owner of its ticket, which decides afresh."""


@dataclass(frozen=True, slots=True)
class AnswerResult:
    """Answer a request with a result code."""

    request: RequestId
    """Which request."""

    code: ResultCode
    """What to tell."""

    retry_after: float = 0
    """Seconds after which a retry makes sense."""

    entry: str = ''
    """Address of another entry to use, if one is known."""


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Cut off what was sent for a request."""

    request: RequestId
    """Which request."""


@dataclass(frozen=True, slots=True)
class FetchBundle:
    """Get a bundle, from the store or from other instances."""

    generation: int
    """For which generation."""

    digest: str
    """Digest of the bundle."""

    peers: tuple[InstanceName, ...]
    """Instances that hold it, nearest first."""


@dataclass(frozen=True, slots=True)
class WriteSeatTable:
    """Update the seat table if it still has the expected version."""

    expected: int
    """Version that the update is based on."""

    table: SeatTable
    """The next table."""


@dataclass(frozen=True, slots=True)
class BecomeIncarnation:
    """Use a new incarnation from now on."""

    who: Incarnation
    """The new one."""


@dataclass(frozen=True, slots=True)
class ExitProcess:
    """The graceful stop is complete."""


@unique
class NoteKind(Enum):
    """Kinds of events on the time line."""

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
    UPSTREAM_RETURNED = 'upstream-returned'


@dataclass(frozen=True, slots=True)
class Note:
    """Put an event on the time line and into the log."""

    kind: NoteKind
    """What happened."""

    subject: str = ''
    """Name of the instance, upstream, seat or result it is about."""

    request: RequestId = 0
    """Request it belongs to, if any."""

    generation: int = 0
    """Generation it belongs to, if any."""


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
