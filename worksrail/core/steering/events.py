"""Everything that can happen to an entry with discovered upstreams.

Each event carries ``now``: seconds on the entry's monotonic clock.
"""

from dataclasses import dataclass
from enum import Enum, unique

from worksrail.core.customers import KeyDigest
from worksrail.core.identity import ZoneName
from worksrail.core.limits import LimitMessage
from worksrail.core.pacing import NamedLimit, PacingMessage
from worksrail.core.steering._catalog import UpstreamRecord
from worksrail.core.steering._digests import Digest
from worksrail.core.steering._routes import RoutingConfiguration
from worksrail.core.steering._store_sync import StoreUpdate
from worksrail.core.steering.kinds import StoreKind

RequestNumber = int


@unique
class AttemptOutcome(Enum):
    """How sending a request to an upstream ended."""

    ANSWERED = 'the whole answer was passed on'
    NOT_CONNECTED = 'there was no connection; no byte left'
    NOT_EXECUTED = 'the upstream said that it did not execute it'
    OTHER_UPSTREAM = 'another upstream has the address; not executed'
    BROKE_BEFORE_ANSWER = 'the connection broke before an answer'
    BROKE_IN_ANSWER = 'the connection broke within the answer'
    SPOILED = 'what came was no answer to the request'
    TIMED_OUT = 'the deadline passed after sending'
    CANCELLED = 'it was cut off from here'


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that an upstream reported with an answer."""

    executing: int
    """Requests that it executes."""

    waiting: int
    """Requests that wait for a slot."""

    slots: int
    """Requests that it executes at once."""


@dataclass(frozen=True, slots=True)
class SteeredHead:
    """What the decisions need to know of a request."""

    trace: str
    """Identifier that the caller gave it."""

    host: str
    """Host header."""

    method: str
    """HTTP method."""

    target: str
    """Path with query."""

    time_left: float | None
    """Seconds that the caller waits; None if it did not say."""

    key: str
    """Affinity key; empty if there is none."""

    key_digest: KeyDigest = ''
    """Digest of the caller's API key; empty if none came."""


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed."""

    now: float
    """Monotonic time in seconds."""


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """A version of the configuration was read."""

    now: float
    """Monotonic time in seconds."""

    configuration: RoutingConfiguration
    """The version."""

    revision: int = 0
    """Revision of the store up to which the kind is known with it."""


@dataclass(frozen=True, slots=True)
class UpstreamsListed:
    """The complete list of upstreams was read."""

    now: float
    """Monotonic time in seconds."""

    records: tuple[UpstreamRecord, ...]
    """All upstreams."""

    revision: int = 0
    """Revision of the store up to which the kind is known with it."""


@dataclass(frozen=True, slots=True)
class UpstreamsChanged:
    """Some upstreams have changed."""

    now: float
    """Monotonic time in seconds."""

    records: tuple[UpstreamRecord, ...]
    """New records, in order."""

    removed: tuple[str, ...]
    """Identifiers of upstreams that are listed no more."""

    revision: int = 0
    """Revision of the store up to which the kind is known with it."""


@dataclass(frozen=True, slots=True)
class EvacuationsRead:
    """The zones to be evacuated were read."""

    now: float
    """Monotonic time in seconds."""

    zones: frozenset[ZoneName]
    """All of them."""

    revision: int = 0
    """Revision of the store up to which the kind is known with it."""


@dataclass(frozen=True, slots=True)
class StoreLost:
    """The store does not answer."""

    now: float
    """Monotonic time in seconds."""

    kind: StoreKind
    """What was asked for."""

    reason: str
    """How it failed."""

    waited: float = 0
    """Seconds for which the call had waited."""


@dataclass(frozen=True, slots=True)
class StoreAnswered:
    """The store has answered a call of this entry."""

    now: float
    """Monotonic time in seconds."""

    kind: StoreKind
    """What was asked for."""


@dataclass(frozen=True, slots=True)
class StoreChecked:
    """A check of the store has ended."""

    now: float
    """Monotonic time in seconds."""

    failure: str = ''
    """How it failed; empty if the store has answered."""

    waited: float = 0
    """Seconds that it took."""


@dataclass(frozen=True, slots=True)
class StoreUpdateFetched:
    """Another entry told what is new in the store."""

    now: float
    """Monotonic time in seconds."""

    kind: StoreKind
    """What it told of."""

    peer: str
    """Peer address of that entry."""

    news: StoreUpdate
    """What it told."""


@dataclass(frozen=True, slots=True)
class StoreUpdateFailed:
    """Another entry did not tell what is new in the store."""

    now: float
    """Monotonic time in seconds."""

    kind: StoreKind
    """What it was asked for."""

    peer: str
    """Peer address of that entry."""


@dataclass(frozen=True, slots=True)
class DigestReceived:
    """Another entry told of itself."""

    now: float
    """Monotonic time in seconds."""

    digest: Digest
    """What it told."""


@dataclass(frozen=True, slots=True)
class LimitMessageReceived:
    """Another entry told of a limit that all entries share."""

    now: float
    """Monotonic time in seconds."""

    message: LimitMessage
    """What it told."""


@dataclass(frozen=True, slots=True)
class PacingMessageReceived:
    """Another entry asks for tokens of an upstream, or grants some."""

    now: float
    """Monotonic time in seconds."""

    message: PacingMessage
    """What it told."""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request came from a caller."""

    now: float
    """Monotonic time in seconds."""

    request: RequestNumber
    """Number of the arrival, unique in this process."""

    head: SteeredHead
    """What the decisions need to know of it."""

    body_digest: bytes = b''
    """Hash of its body, or of what is known of a long one."""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller broke off before its answer was complete."""

    now: float
    """Monotonic time in seconds."""

    request: RequestNumber
    """Which request."""


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Sending a request to an upstream ended."""

    now: float
    """Monotonic time in seconds."""

    request: RequestNumber
    """Which request."""

    attempt: int
    """Which of its attempts."""

    outcome: AttemptOutcome
    """How it ended."""

    status: int = 0
    """Status of the answer, if there was one."""

    load: ReportedLoad | None = None
    """Load that the upstream reported, if it did."""

    connect_time: float = 0
    """Seconds that a new connection took; zero if one was kept."""

    replayable: bool = True
    """The body of the request is still held in full."""

    limit: NamedLimit | None = None
    """What its answer says of a limit; None if no answer came."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The entry was asked to stop gracefully."""

    now: float
    """Monotonic time in seconds."""


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
    | DigestReceived
    | LimitMessageReceived
    | PacingMessageReceived
    | RequestArrived
    | CallerGone
    | AttemptEnded
    | StopRequested
)
