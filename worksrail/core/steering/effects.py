"""Effects that an entry with discovered upstreams performs."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from worksrail.core.customers import CustomerName
from worksrail.core.identity import ZoneName
from worksrail.core.limits import LimitMessage
from worksrail.core.pacing import PacingMessage
from worksrail.core.results import ResultCode
from worksrail.core.steering._digests import Digest
from worksrail.core.steering._passing_terms import PassingTerms
from worksrail.core.steering.events import RequestNumber
from worksrail.core.steering.kinds import StoreKind


@dataclass(frozen=True, slots=True)
class SendUpstream:
    """Send a request to an upstream."""

    request: RequestNumber
    """Number of the request."""

    attempt: int
    """Number of the attempt, from one."""

    upstream: str
    """Identifier that the upstream must have to execute the request."""

    address: str
    """Its IP address and port."""

    deadline: float
    """Time until which the upstream may work on it, by this entry's clock."""

    give_up_at: float
    """When this entry stops waiting for the response."""

    customer: CustomerName = ''
    """Customer to report to the upstream; empty if there is none."""


@dataclass(frozen=True, slots=True)
class PassRequest:
    """Pass a request to another entry, which chooses the upstream."""

    request: RequestNumber
    """Number of the request."""

    attempt: int
    """Number of the attempt, from one."""

    peer: str
    """Peer address of the other entry."""

    deadline: float
    """Time until which the upstream may work on it, by this entry's clock."""

    give_up_at: float
    """When this entry stops waiting for the response."""

    terms: PassingTerms
    """How this entry resolved the request."""


@dataclass(frozen=True, slots=True)
class ProbeUpstream:
    """Send an upstream a health check on a new connection."""

    upstream: str
    """Name of its incarnation."""

    address: str
    """Its IP address and port."""

    path: str
    """Path of the health check."""

    identifier: str = ''
    """Identifier that the upstream must have."""


@dataclass(frozen=True, slots=True)
class AnswerResult:
    """Answer a request with a result code."""

    request: RequestNumber
    """Number of the request."""

    code: ResultCode
    """The result code."""

    retry_after: float = 0
    """Seconds after which a retry is useful."""

    sends: int = 0
    """Number of upstreams that the request was sent to."""


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt in progress."""

    request: RequestNumber
    """Number of the request."""

    attempt: int
    """Number of the attempt."""


@dataclass(frozen=True, slots=True)
class SendDigest:
    """Send a digest to other entries; each datagram may be lost."""

    receivers: tuple[str, ...]
    """Their peer addresses."""

    digest: Digest
    """The digest."""


@dataclass(frozen=True, slots=True)
class SendLimitMessage:
    """Send a message about a shared limit; the datagram may be lost."""

    receiver: str
    """Peer address of the receiver."""

    message: LimitMessage
    """The message."""


@dataclass(frozen=True, slots=True)
class SendPacingMessage:
    """Request tokens from another entry or grant them; may be lost."""

    receiver: str
    """Peer address of the receiver."""

    message: PacingMessage
    """The message."""


@dataclass(frozen=True, slots=True)
class DropConnections:
    """Close idle connections to a process that has ended."""

    address: str
    """Remote IP address and port."""


@dataclass(frozen=True, slots=True)
class WatchStore:
    """Start or stop reading the store."""

    active: bool
    """Whether to read it."""


@dataclass(frozen=True, slots=True)
class ListStore:
    """Read everything in the store once; may return data some seconds old."""


@dataclass(frozen=True, slots=True)
class ReadEntryAddresses:
    """Read the addresses of entries that the store has; they may be stale."""


@dataclass(frozen=True, slots=True)
class WriteEntryAddresses:
    """Replace the addresses of a zone's entries in the store; may fail."""

    zone: ZoneName
    """The zone."""

    addresses: tuple[str, ...]
    """Peer addresses of some of its entries."""

    is_new: bool
    """Whether the store has no record of the zone yet."""


@dataclass(frozen=True, slots=True)
class CheckStore:
    """Send the store a small request and report whether it answers."""


@dataclass(frozen=True, slots=True)
class RestartStoreCalls:
    """Abandon the pending calls to the store and repeat them.

    The store may never answer calls that were made before it became
    unresponsive.
    """


@dataclass(frozen=True, slots=True)
class FetchStoreUpdate:
    """Fetch a store update from another entry."""

    kind: StoreKind
    """Kind to fetch."""

    peer: str
    """Peer address of the other entry."""

    since: int
    """Revision up to which the kind is known here."""


@dataclass(frozen=True, slots=True)
class ExitProcess:
    """Exit, since the graceful stop is complete."""


@unique
class DecisionKind(Enum):
    """The fixed vocabulary of decisions in logs, metrics and time lines."""

    REQUEST_SENT = 'request sent to an upstream'
    REQUEST_REPEATED = 'request repeated at another upstream'
    TOKEN_AWAITED = 'request waiting for a token of a limited upstream'
    REPEAT_DENIED = 'request not repeated'
    REQUEST_PASSED = 'request passed to an entry that reaches the service'
    REQUEST_TAKEN = 'request taken over from an entry'
    REQUEST_REFUSED = 'request refused; it was not executed'
    REQUEST_ANSWERED = 'answer of an upstream passed on'
    REQUEST_FAILED = 'request ended without an answer of an upstream'
    REQUEST_DROPPED = 'request ended after its caller had left'
    CALLER_GONE = 'caller left before the end of its answer'
    ATTEMPT_CANCELLED = 'attempt cancelled before its answer'
    ATTEMPT_KEPT = 'silent attempt goes on without another beside it'
    CRASH_SUSPECTED = 'an upstream may have crashed under a request'
    QUARANTINED = 'request quarantined: upstreams crashed under it'
    QUARANTINE_TRIED = 'quarantined request tried again'
    QUARANTINE_CLEARED = 'request answered after crashes under it'
    CONFIGURATION_APPLIED = 'configuration in force'
    CONFIGURATION_IGNORED = 'older configuration ignored'
    UPSTREAM_KNOWN = 'upstream listed'
    UPSTREAMS_KNOWN = 'many upstreams listed at once'
    UPSTREAM_DRAINING = 'upstream draining'
    UPSTREAM_GONE = 'upstream gone'
    UPSTREAMS_GONE = 'many upstreams gone at once'
    UPSTREAM_RESTARTED = 'upstream restarted under its identifier'
    UPSTREAM_COLD = 'upstream cold'
    UPSTREAMS_COLD = 'many upstreams cold at once'
    UPSTREAM_EJECTED = 'upstream ejected after failures'
    UPSTREAM_REJECTED = 'upstream did not execute a request'
    NOT_EXECUTED = 'attempt of a request that must not repeat was not executed'
    STRAY_ANSWER = 'answer on the connection of a request that is not its own'
    UPSTREAM_LIMITED = 'upstream advertised a new limit'
    UPSTREAM_UNLIMITED = 'upstream stopped advertising its limit'
    UPSTREAM_LIMIT_UNREADABLE = (
        'upstream advertised a limit that is not a number'
    )
    UPSTREAM_LEAVING = 'upstream says in its answers that it is shutting down'
    UPSTREAM_BACKOFF = 'upstream asked for no requests for some time'
    UPSTREAM_RESUMED = 'backoff that an upstream asked for has ended'
    UPSTREAM_NOTICE_UNREADABLE = 'statement of an upstream is unreadable'
    UPSTREAM_SILENT = 'upstream unresponsive'
    ZONE_UNREACHED = 'zone excluded: its upstreams cannot be reached'
    PATHS_LOST = 'no upstream of a service can be reached from here'
    PATHS_REGAINED = 'an upstream of a service answered again'
    UPSTREAM_MISDIRECTED = 'address belongs to another upstream'
    ZONES_EVACUATED = 'set of evacuated zones changed'
    STORE_LOST = 'reads from the store fail'
    STORE_REGAINED = 'reads from the store work again'
    STORE_BACK = 'store recovered from an outage that may have expired records'
    STORE_UNHEARD = 'gap in known answers of the store, but no call failed'
    WATCH = 'started or stopped reading the store'
    NEWS_FETCHED = 'store update fetched from another entry'
    NEWS_MISSED = 'fetching a store update from another entry failed'
    ENTRY_SEEN = 'other entry seen'
    ENTRIES_SEEN = 'many other entries seen at once'
    ENTRY_LOST = 'other entry lost'
    ADDRESSES_FOUND = 'unknown addresses of entries found in the store'
    READY = 'ready for requests'
    LEAVING = 'stopping'
    STOPPED = 'stopped'
    PAUSED = 'process was suspended'
    HANDLER_FAILED = 'an event was not handled whole, for an unexpected error'
    REQUEST_OVERDUE = 'request ended by the check of deadlines'


# Maximum number of decisions of one kind that are logged one by one; more are
# replaced by a line with their number. An entry that started among 195 others
# with 451 upstreams logged 5,284 such lines in 24 s, and the limit on lines a
# second dropped most of them.
MAX_LOGGED_EACH: Final = 20


LogInputs = tuple[tuple[str, float | int | str], ...]


@dataclass(frozen=True, slots=True)
class Decision:
    """Log a decision and count it."""

    kind: DecisionKind
    """What was decided or observed."""

    subject: str = ''
    """The upstream, entry, service, version or result concerned."""

    request: RequestNumber = 0
    """Number of the request concerned, if any."""

    inputs: LogInputs = ()
    """Inputs of the decision; ages are in seconds."""


Effect = (
    SendUpstream
    | PassRequest
    | ProbeUpstream
    | AnswerResult
    | CancelAttempt
    | SendDigest
    | SendLimitMessage
    | SendPacingMessage
    | DropConnections
    | WatchStore
    | ListStore
    | ReadEntryAddresses
    | WriteEntryAddresses
    | CheckStore
    | RestartStoreCalls
    | FetchStoreUpdate
    | ExitProcess
    | Decision
)
