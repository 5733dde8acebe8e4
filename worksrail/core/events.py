"""Everything that can happen to an instance, as data.

Each event carries ``now``: seconds on the instance's monotonic clock, never
compared with those of another instance.  The daemon makes events from the
outside; the scenario language and the tests make them by hand.
"""

from dataclasses import dataclass
from enum import Enum, unique

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
    """How sending a request to an upstream ended."""

    ANSWERED = 'the whole answer was passed on'
    NOT_SENT = 'no byte of the request left'
    SHED = 'the upstream said that it did not run it'
    BROKE_BEFORE_ANSWER = 'the connection broke before an answer'
    BROKE_IN_ANSWER = 'the connection broke within the answer'
    UNVERIFIABLE = 'the answer has no verifiable length'
    TIMED_OUT = 'the deadline passed after sending'
    CANCELLED = 'the caller went away'


@unique
class WriteOutcome(Enum):
    """How a conditional update of the store ended."""

    DONE = 'done'
    CONFLICT = 'conflict'
    UNKNOWN = 'no answer'


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed."""

    now: float
    """Monotonic time in seconds."""

    wall: float
    """Wall-clock time in seconds, for the expiry of tickets only."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Another instance sent a message."""

    now: float
    """Monotonic time in seconds."""

    sender: Incarnation
    """Who sent it."""

    message: AnyMessage
    """What it says."""


@dataclass(frozen=True, slots=True)
class InstanceListRead:
    """The platform's list of instances was read."""

    now: float
    """Monotonic time in seconds."""

    instances: tuple[ListedInstance, ...]
    """Live and leaving instances, as the platform believes."""


@dataclass(frozen=True, slots=True)
class SeatTableRead:
    """The record of this region's seats was read from the store."""

    now: float
    """Monotonic time in seconds."""

    version: int
    """Version of the object; zero when it does not exist."""

    table: SeatTable | None
    """The table; None when it does not exist."""


@dataclass(frozen=True, slots=True)
class SeatTableWritten:
    """A conditional update of the seat table ended."""

    now: float
    """Monotonic time in seconds."""

    outcome: WriteOutcome
    """How it ended."""

    version: int = 0
    """New version, when done."""

    table: SeatTable | None = None
    """The table that was written, when done."""


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
    """A bundle that was asked for has arrived and is verified."""

    now: float
    """Monotonic time in seconds."""

    generation: int
    """Generation it was fetched for."""

    digest: str
    """Its digest."""

    bundle: Bundle
    """The bundle."""


@dataclass(frozen=True, slots=True)
class BundleFetchFailed:
    """A bundle that was asked for could not be had."""

    now: float
    """Monotonic time in seconds."""

    generation: int
    """Generation it was wanted for."""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request came from a caller or from another instance."""

    now: float
    """Monotonic time in seconds."""

    wall: float
    """Wall-clock time in seconds, for the expiry of tickets only."""

    request: RequestId
    """Number of the arrival, unique in this incarnation."""

    head: RequestHead
    """What the decisions need to know of it."""

    body_digest: bytes = b''
    """Hash of its body, or of what is known of a long one."""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller broke off before its answer was complete."""

    now: float
    """Monotonic time in seconds."""

    request: RequestId
    """Which request."""


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Sending a request to an upstream ended."""

    now: float
    """Monotonic time in seconds."""

    request: RequestId
    """Which request."""

    outcome: AttemptOutcome
    """How it ended."""

    load: float | None = None
    """Share of its slots the upstream reported in use, if it did."""

    failed: bool = False
    """The answer was a server error of the upstream."""

    replayable: bool = True
    """The body of the request is still held in full."""

    limit: NamedLimit | None = None
    """What its answer says of a limit; None if no answer came."""


@dataclass(frozen=True, slots=True)
class PassEnded:
    """Passing a request to another instance ended."""

    now: float
    """Monotonic time in seconds."""

    request: RequestId
    """Which request."""

    code: ResultCode
    """``OK`` when an answer was passed back whole."""

    retry_after: float = 0
    """When the other instance said to come back."""

    replayable: bool = True
    """The body of the request is still held in full."""


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
    | PassEnded
    | StopRequested
)
