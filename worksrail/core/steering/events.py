"""Events that change the state of an entry with discovered upstreams.

Each event carries ``now``: seconds on the entry's monotonic clock.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, unique

from worksrail.core.availability import NO_NOTICE, AvailabilityNotice
from worksrail.core.customers import KeyDigest
from worksrail.core.evidence import NO_ORIGIN, Origin
from worksrail.core.identity import ZoneName
from worksrail.core.limits import LimitMessage
from worksrail.core.pacing import NamedLimit, PacingMessage
from worksrail.core.results import ResultCode
from worksrail.core.steering._catalog import UpstreamRecord
from worksrail.core.steering._digests import Digest
from worksrail.core.steering._passing_terms import PassingTerms
from worksrail.core.steering._routes import RoutingConfiguration
from worksrail.core.steering._settings import EntrySettings
from worksrail.core.steering._store_sync import StoreUpdate
from worksrail.core.steering.kinds import StoreKind

RequestNumber = int


@unique
class AttemptOutcome(Enum):
    """How an attempt to send a request to an upstream ended."""

    ANSWERED = 'the complete answer was passed on'
    NOT_CONNECTED = 'connecting failed; nothing was sent'
    WITHDRAWN = 'not sent: the upstream said meanwhile that it wants none'
    NOT_EXECUTED = 'the upstream reported that it did not execute it'
    OTHER_UPSTREAM = 'another upstream answered at the address; not executed'
    UNPROVEN = 'refused without proof that it was not executed'
    BROKE_BEFORE_ANSWER = 'the connection broke before an answer'
    BROKE_IN_ANSWER = 'the connection broke during the answer'
    SPOILED = 'the response was not a valid answer to the request'
    TIMED_OUT = 'the deadline expired after sending'
    CANCELLED = 'this entry cancelled it after it may have been sent'
    CANCELLED_UNSENT = 'this entry cancelled it before anything was sent'


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that an upstream reported with a response."""

    executing: int
    """Requests being executed."""

    waiting: int
    """Requests waiting for a slot."""

    slots: int
    """Requests it executes concurrently."""

    pace: float | None = None
    """How long work takes there now, as a multiple of the usual time; None if
    it states none."""


@dataclass(frozen=True, slots=True)
class SteeredHead:
    """The properties of a request that decisions depend on."""

    trace: str
    """Identifier given by the caller."""

    host: str
    """Host header."""

    method: str
    """HTTP method."""

    target: str
    """Path with query."""

    time_left: float | None
    """Seconds until the caller's timeout; None if it was not given."""

    key: str
    """Affinity key; empty if there is none."""

    key_digest: KeyDigest = ''
    """Digest of the caller's API key; empty if none was sent."""


@dataclass(frozen=True, slots=True)
class Ticked:
    """A periodic timer tick."""

    now: float
    """Monotonic time in seconds."""


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """A version of the configuration was read."""

    now: float
    """Monotonic time in seconds."""

    configuration: RoutingConfiguration
    """The version that was read."""

    revision: int = 0
    """Store revision up to which the kind is known after this read."""


@dataclass(frozen=True, slots=True)
class UpstreamsListed:
    """The complete list of upstreams was read."""

    now: float
    """Monotonic time in seconds."""

    records: tuple[UpstreamRecord, ...]
    """All upstreams."""

    revision: int = 0
    """Store revision up to which the kind is known after this read."""


@dataclass(frozen=True, slots=True)
class UpstreamsChanged:
    """Some upstreams have changed."""

    now: float
    """Monotonic time in seconds."""

    records: tuple[UpstreamRecord, ...]
    """New records, in order."""

    removed: tuple[str, ...]
    """Identifiers of upstreams that are no longer listed."""

    revision: int = 0
    """Store revision up to which the kind is known after this read."""


@dataclass(frozen=True, slots=True)
class EvacuationsRead:
    """The set of evacuated zones was read."""

    now: float
    """Monotonic time in seconds."""

    zones: frozenset[ZoneName]
    """All evacuated zones."""

    revision: int = 0
    """Store revision up to which the kind is known after this read."""


@dataclass(frozen=True, slots=True)
class StoreLost:
    """A call to the store failed."""

    now: float
    """Monotonic time in seconds."""

    kind: StoreKind
    """Kind that was requested."""

    reason: str
    """Why it failed."""

    waited: float = 0
    """Seconds that the call had waited."""


@dataclass(frozen=True, slots=True)
class StoreAnswered:
    """The store answered a call of this entry."""

    now: float
    """Monotonic time in seconds."""

    kind: StoreKind
    """Kind that was requested."""


@dataclass(frozen=True, slots=True)
class StoreChecked:
    """A health check of the store ended."""

    now: float
    """Monotonic time in seconds."""

    failure: str = ''
    """Why it failed; empty if the store answered."""

    waited: float = 0
    """Seconds that it took."""


@dataclass(frozen=True, slots=True)
class StoreUpdateFetched:
    """A store update was fetched from another entry."""

    now: float
    """Monotonic time in seconds."""

    kind: StoreKind
    """Kind of the update."""

    peer: str
    """Peer address of the other entry."""

    update: StoreUpdate
    """The update."""


@dataclass(frozen=True, slots=True)
class StoreUpdateFailed:
    """Fetching a store update from another entry failed."""

    now: float
    """Monotonic time in seconds."""

    kind: StoreKind
    """Kind that was requested."""

    peer: str
    """Peer address of the other entry."""


@dataclass(frozen=True, slots=True)
class EntryAddressesRead:
    """The store was asked for addresses of entries."""

    now: float
    """Monotonic time in seconds."""

    addresses: Mapping[ZoneName, tuple[str, ...]] | None
    """Peer addresses by zone; None if the store did not answer."""


@dataclass(frozen=True, slots=True)
class DigestReceived:
    """A digest arrived from another entry."""

    now: float
    """Monotonic time in seconds."""

    digest: Digest
    """The digest."""


@dataclass(frozen=True, slots=True)
class LimitMessageReceived:
    """A message about a shared limit arrived from another entry."""

    now: float
    """Monotonic time in seconds."""

    message: LimitMessage
    """The message."""


@dataclass(frozen=True, slots=True)
class PacingMessageReceived:
    """A request for upstream tokens, or a grant of some, arrived."""

    now: float
    """Monotonic time in seconds."""

    message: PacingMessage
    """The message."""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request arrived from a caller."""

    now: float
    """Monotonic time in seconds."""

    request: RequestNumber
    """Number of the request, unique in this process."""

    head: SteeredHead
    """The properties that decisions depend on."""

    body_digest: bytes = b''
    """Hash of its body, or of the part that is known of a long one."""

    replayable: bool = True
    """Whether all of its body is kept, so that it can be sent once more."""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller disconnected before its answer was complete."""

    now: float
    """Monotonic time in seconds."""

    request: RequestNumber
    """Number of the request."""


@dataclass(frozen=True, slots=True)
class RequestOverdue:
    """A request has no answer yet, well after its deadline."""

    now: float
    """Monotonic time in seconds."""

    request: RequestNumber
    """Number of the request."""


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt to send a request to an upstream ended."""

    now: float
    """Monotonic time in seconds."""

    request: RequestNumber
    """Number of the request."""

    attempt: int
    """Number of the attempt."""

    outcome: AttemptOutcome
    """How it ended."""

    status: int = 0
    """Status code of the response, if there was one."""

    load: ReportedLoad | None = None
    """Load that the upstream reported, if any."""

    connect_time: float = 0
    """Seconds to open a new connection; zero if an open one was reused."""

    replayable: bool = True
    """Whether the complete request body is still buffered."""

    limit: NamedLimit | None = None
    """Limit advertised by the response; None if no response came."""

    origin: Origin = NO_ORIGIN
    """What came back on its connection, for the log."""


@dataclass(frozen=True, slots=True)
class NoticeReceived:
    """The head of an answer was read."""

    now: float
    """Monotonic time in seconds."""

    request: RequestNumber
    """Number of the request."""

    attempt: int
    """Number of the attempt."""

    notice: AvailabilityNotice
    """What it states about its availability."""

    limit: NamedLimit | None = None
    """Rate limit that it names; None if it names none."""

    load: ReportedLoad | None = None
    """Load that it reports, if any."""

    begins: bool = False
    """Whether the answer is passed on to the caller from here on."""


@dataclass(frozen=True, slots=True)
class PassRefusal:
    """Result with which another entry answered a request in its own name."""

    code: ResultCode
    """The result."""

    retry_after: float
    """Seconds after which a retry is useful."""

    sends: int
    """Number of upstreams that the request was sent to, by all entries."""


@dataclass(frozen=True, slots=True)
class PassEnded:
    """Another entry is done with a request, or has failed."""

    now: float
    """Monotonic time in seconds."""

    request: RequestNumber
    """Number of the request."""

    attempt: int
    """Number of the attempt."""

    outcome: AttemptOutcome
    """How it ended."""

    status: int = 0
    """Status code of the response, if there was one."""

    replayable: bool = True
    """Whether the complete request body is still buffered."""

    refusal: PassRefusal | None = None
    """Result of the other entry; None if an upstream answered, or nobody."""

    origin: Origin = NO_ORIGIN
    """What came back on its connection, for the log."""


@dataclass(frozen=True, slots=True)
class PassedRequestArrived:
    """A request arrived that another entry could not send."""

    now: float
    """Monotonic time in seconds."""

    request: RequestNumber
    """Number of the request, unique in this process."""

    head: SteeredHead
    """The properties that decisions depend on."""

    terms: PassingTerms
    """How the other entry resolved it."""

    body_digest: bytes = b''
    """Hash of its body, or of the part that is known of a long one."""

    replayable: bool = True
    """Whether all of its body is kept, so that it can be sent once more."""


@dataclass(frozen=True, slots=True)
class PathProbed:
    """A health check of an upstream ended."""

    now: float
    """Monotonic time in seconds."""

    upstream: str
    """Name of its incarnation."""

    answered: bool
    """Whether any answer came."""

    notice: AvailabilityNotice = NO_NOTICE
    """What the answer states about the upstream."""

    load: ReportedLoad | None = None
    """Load that the upstream reports, if any."""


@dataclass(frozen=True, slots=True)
class SettingsReloaded:
    """The settings were read again, and differ from those in force."""

    now: float
    """Monotonic time in seconds."""

    settings: EntrySettings
    """The new settings."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The entry was asked to stop gracefully."""

    now: float
    """Monotonic time in seconds."""


_RequestEvent = (
    RequestArrived
    | CallerGone
    | RequestOverdue
    | AttemptEnded
    | NoticeReceived
    | PassEnded
    | PassedRequestArrived
)
Event = (
    Ticked
    | ConfigurationRead
    | UpstreamsListed
    | UpstreamsChanged
    | EvacuationsRead
    | StoreLost
    | StoreAnswered
    | StoreChecked
    | StoreUpdateFetched
    | StoreUpdateFailed
    | EntryAddressesRead
    | DigestReceived
    | LimitMessageReceived
    | PacingMessageReceived
    | _RequestEvent
    | PathProbed
    | SettingsReloaded
    | StopRequested
)
