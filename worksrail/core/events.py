"""Events: every input of an instance, as data.

Each event carries ``now``: seconds on the instance's monotonic clock, which
are never compared between instances.  The daemon creates events from its
inputs; scenarios and tests create them directly.
"""

from dataclasses import dataclass
from enum import Enum, unique

from worksrail.core.availability import AvailabilityNotice
from worksrail.core.bundle import Bundle
from worksrail.core.identity import Incarnation
from worksrail.core.membership import ListedInstance
from worksrail.core.messages import AnyMessage
from worksrail.core.pacing import NamedLimit
from worksrail.core.permits import SeatTable
from worksrail.core.requests import RequestHead
from worksrail.core.results import ResultCode

RequestId = int


@unique
class AttemptOutcome(Enum):
    """Outcome of one attempt to send a request to an upstream."""

    ANSWERED = 'the whole answer was passed on'
    NOT_SENT = 'no byte of the request left'
    SHED = 'the upstream said that it did not run it'
    UNPROVEN = 'refused without proof that it was not run'
    BROKE_BEFORE_ANSWER = 'the connection broke before an answer'
    BROKE_IN_ANSWER = 'the connection broke within the answer'
    UNVERIFIABLE = 'the answer has no verifiable length'
    TIMED_OUT = 'the deadline passed after sending'
    WITHDRAWN = 'not sent: the upstream said meanwhile that it wants none'
    CANCELLED_UNSENT = 'this instance cancelled it before anything left'
    CANCELLED = 'the caller went away'


@unique
class WriteOutcome(Enum):
    """Outcome of a conditional update of the store."""

    DONE = 'done'
    CONFLICT = 'conflict'
    UNKNOWN = 'no answer'


@dataclass(frozen=True, slots=True)
class Ticked:
    """The periodic timer fired."""

    now: float
    """Monotonic time in seconds."""

    wall: float
    """Wall-clock time in seconds, for the expiry of tickets only."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message arrived from another instance."""

    now: float
    """Monotonic time in seconds."""

    sender: Incarnation
    """Incarnation that sent it."""

    message: AnyMessage
    """The decoded message."""


@dataclass(frozen=True, slots=True)
class InstanceListRead:
    """The platform's list of instances was read."""

    now: float
    """Monotonic time in seconds."""

    instances: tuple[ListedInstance, ...]
    """Live and leaving instances, as reported by the platform."""


@dataclass(frozen=True, slots=True)
class SeatTableRead:
    """The seat table of this region was read from the store."""

    now: float
    """Monotonic time in seconds."""

    version: int
    """Version of the object; zero if it does not exist."""

    table: SeatTable | None
    """The table; None if it does not exist."""


@dataclass(frozen=True, slots=True)
class SeatTableWritten:
    """A conditional update of the seat table completed."""

    now: float
    """Monotonic time in seconds."""

    outcome: WriteOutcome
    """Outcome."""

    version: int = 0
    """New version, if the outcome is ``DONE``."""

    table: SeatTable | None = None
    """The table that was written, if the outcome is ``DONE``."""


@dataclass(frozen=True, slots=True)
class HeadSeen:
    """A configuration head was read from the store."""

    now: float
    """Monotonic time in seconds."""

    generation: int
    """Its generation."""

    digest: str
    """Digest of its bundle."""


@dataclass(frozen=True, slots=True)
class DrainsSeen:
    """A drain list was read from the store."""

    now: float
    """Monotonic time in seconds."""

    revision: int
    """Its revision."""

    targets: tuple[str, ...]
    """``kind/name`` of each drain."""


@dataclass(frozen=True, slots=True)
class BundleFetched:
    """A requested bundle was fetched and verified."""

    now: float
    """Monotonic time in seconds."""

    generation: int
    """Generation for which it was fetched."""

    digest: str
    """Its digest."""

    bundle: Bundle
    """The bundle."""


@dataclass(frozen=True, slots=True)
class BundleFetchFailed:
    """A requested bundle could not be fetched."""

    now: float
    """Monotonic time in seconds."""

    generation: int
    """Generation for which it was requested."""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request arrived from a caller or from another instance."""

    now: float
    """Monotonic time in seconds."""

    wall: float
    """Wall-clock time in seconds, for the expiry of tickets only."""

    request: RequestId
    """Number of the arrival, unique in this incarnation."""

    head: RequestHead
    """Properties of the request on which decisions are based."""

    body_digest: bytes = b''
    """Hash of its body; of first bytes and declared length if it is long."""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller disconnected before its answer was complete."""

    now: float
    """Monotonic time in seconds."""

    request: RequestId
    """Number of the request."""


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt to send a request to an upstream ended."""

    now: float
    """Monotonic time in seconds."""

    request: RequestId
    """Number of the request."""

    outcome: AttemptOutcome
    """Outcome."""

    load: float | None = None
    """Share of its slots that the upstream reports in use, if it does."""

    failed: bool = False
    """Whether the answer was a server error of the upstream."""

    replayable: bool = True
    """Whether the full body of the request is still buffered."""

    limit: NamedLimit | None = None
    """Rate limit named in its answer; None without an answer."""


@dataclass(frozen=True, slots=True)
class NoticeReceived:
    """The head of an answer states something about its upstream."""

    now: float
    """Monotonic time in seconds."""

    request: RequestId
    """Number of the request."""

    notice: AvailabilityNotice
    """What it states about its availability."""

    limit: NamedLimit | None = None
    """Rate limit that it names; None if it names none."""


@dataclass(frozen=True, slots=True)
class PassEnded:
    """An attempt to pass a request to another instance ended."""

    now: float
    """Monotonic time in seconds."""

    request: RequestId
    """Number of the request."""

    code: ResultCode
    """``OK`` if a complete answer was passed back, else the failure."""

    retry_after: float = 0
    """Retry delay in seconds that the other instance returned."""

    replayable: bool = True
    """Whether the full body of the request is still buffered."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The instance was asked to stop gracefully."""

    now: float
    """Monotonic time in seconds."""


Event = (
    Ticked
    | MessageReceived
    | InstanceListRead
    | SeatTableRead
    | SeatTableWritten
    | HeadSeen
    | DrainsSeen
    | BundleFetched
    | BundleFetchFailed
    | RequestArrived
    | CallerGone
    | AttemptEnded
    | NoticeReceived
    | PassEnded
    | StopRequested
)
