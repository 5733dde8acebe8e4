"""Everything an entry with discovered upstreams does to the outside."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from worksrail.core.customers import CustomerName
from worksrail.core.limits import LimitMessage
from worksrail.core.pacing import PacingMessage
from worksrail.core.results import ResultCode
from worksrail.core.steering._digests import Digest
from worksrail.core.steering.events import RequestNumber
from worksrail.core.steering.kinds import StoreKind


@dataclass(frozen=True, slots=True)
class SendUpstream:
    """Send a request to an upstream."""

    request: RequestNumber
    """Which request."""

    attempt: int
    """Number of the attempt, from one."""

    upstream: str
    """Identifier that the upstream must have to execute it."""

    address: str
    """Its IP number and port."""

    deadline: float
    """Until when the upstream may work on it, by this entry's clock."""

    give_up_at: float
    """When this entry stops to wait for the answer."""

    customer: CustomerName = ''
    """Whose request it is, for the upstream to know; empty if nobody's."""


@dataclass(frozen=True, slots=True)
class AnswerResult:
    """Answer a request with a result code."""

    request: RequestNumber
    """Which request."""

    code: ResultCode
    """What to tell."""

    retry_after: float = 0
    """Seconds after which a retry makes sense."""


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cut off the attempt that is under way."""

    request: RequestNumber
    """Which request."""


@dataclass(frozen=True, slots=True)
class SendDigest:
    """Tell other entries something; each datagram may be lost."""

    receivers: tuple[str, ...]
    """Peer addresses."""

    digest: Digest
    """What to tell."""


@dataclass(frozen=True, slots=True)
class SendLimitMessage:
    """Tell another entry of a shared limit; the datagram may be lost."""

    receiver: str
    """Its peer address."""

    message: LimitMessage
    """What to tell."""


@dataclass(frozen=True, slots=True)
class SendPacingMessage:
    """Ask another entry for tokens, or grant them; it may be lost."""

    receiver: str
    """Its peer address."""

    message: PacingMessage
    """What to tell."""


@dataclass(frozen=True, slots=True)
class DropConnections:
    """Close idle connections: whoever accepted them has ended."""

    address: str
    """Where they lead; IP number and port."""


@dataclass(frozen=True, slots=True)
class WatchStore:
    """Begin or cease to read the store."""

    active: bool
    """Whether to read it."""


@dataclass(frozen=True, slots=True)
class ListStore:
    """Read everything in the store once; it may be some seconds old."""


@dataclass(frozen=True, slots=True)
class CheckStore:
    """Ask the store something small, and report whether it answers."""


@dataclass(frozen=True, slots=True)
class RestartStoreCalls:
    """Give up calls to the store that wait, and make them again.

    What was asked of a store that has been silent since may never be answered.
    """


@dataclass(frozen=True, slots=True)
class FetchStoreUpdate:
    """Ask another entry what is new in the store."""

    kind: StoreKind
    """What to ask for."""

    peer: str
    """Its peer address."""

    since: int
    """Revision up to which the kind is known here."""


@dataclass(frozen=True, slots=True)
class ExitProcess:
    """The graceful stop is complete."""


@unique
class DecisionKind(Enum):
    """The fixed vocabulary of decisions in logs, metrics and time lines."""

    REQUEST_SENT = 'request sent to an upstream'
    REQUEST_REPEATED = 'request sent to one more upstream'
    TOKEN_AWAITED = 'request waits for a token of an upstream with a limit'
    REPEAT_DENIED = 'request not sent once more'
    REQUEST_REFUSED = 'request refused; it was not executed'
    REQUEST_ANSWERED = 'answer of an upstream passed on'
    REQUEST_FAILED = 'request ended without an answer of an upstream'
    REQUEST_DROPPED = 'request ended after its caller had left'
    CALLER_GONE = 'caller left before the end of its answer'
    CRASH_SUSPECTED = 'an upstream may have crashed under a request'
    QUARANTINED = 'request held: upstreams crashed under it'
    QUARANTINE_TRIED = 'held request sent once more'
    QUARANTINE_CLEARED = 'request answered after crashes under it'
    CONFIGURATION_APPLIED = 'configuration in force'
    CONFIGURATION_IGNORED = 'older configuration ignored'
    UPSTREAM_KNOWN = 'upstream listed'
    UPSTREAMS_KNOWN = 'many upstreams listed at once'
    UPSTREAM_DRAINING = 'upstream drains'
    UPSTREAM_GONE = 'upstream gone'
    UPSTREAMS_GONE = 'many upstreams gone at once'
    UPSTREAM_RESTARTED = 'upstream started again under its identifier'
    UPSTREAM_COLD = 'upstream cold'
    UPSTREAMS_COLD = 'many upstreams cold at once'
    UPSTREAM_EJECTED = 'upstream left alone for its failures'
    UPSTREAM_LIMITED = 'upstream names a limit, or another one'
    UPSTREAM_UNLIMITED = 'upstream names its limit no more'
    UPSTREAM_LIMIT_UNREADABLE = 'upstream names a limit that is no number'
    UPSTREAM_SILENT = 'upstream owes answers for too long'
    ZONE_UNREACHED = 'zone left alone: its upstreams cannot be reached'
    UPSTREAM_MISDIRECTED = 'address belongs to another upstream'
    ZONES_EVACUATED = 'zones to be evacuated'
    STORE_LOST = 'store lost'
    STORE_REGAINED = 'store regained'
    STORE_BACK = 'store back after entries of upstreams may have lapsed'
    STORE_UNHEARD = 'no answer of the store was heard of; nobody asked in vain'
    WATCH = 'reading the store begun or ended'
    NEWS_FETCHED = 'news of the store from another entry'
    NEWS_MISSED = 'no news of the store from another entry'
    ENTRY_SEEN = 'other entry seen'
    ENTRIES_SEEN = 'many other entries seen at once'
    ENTRY_LOST = 'other entry lost'
    READY = 'ready for requests'
    LEAVING = 'stopping'
    STOPPED = 'stopped'
    PAUSED = 'process stood still'


# Decisions of one kind at once from which one line says how many there are
# instead: an entry that starts among 195 others with 451 upstreams wrote 5,284
# lines of them in 24 s, and the limit on lines a second dropped most.
MANY: Final = 20


@dataclass(frozen=True, slots=True)
class Decision:
    """Log a decision and count it."""

    kind: DecisionKind
    """What was decided or believed."""

    subject: str = ''
    """Upstream, entry, service, version or result it is about."""

    request: RequestNumber = 0
    """Request it touches, if any."""

    inputs: tuple[tuple[str, float | int | str], ...] = ()
    """What decided it, with ages in seconds or versions."""


Effect = (
    SendUpstream
    | AnswerResult
    | CancelAttempt
    | SendDigest
    | SendLimitMessage
    | SendPacingMessage
    | DropConnections
    | WatchStore
    | ListStore
    | CheckStore
    | RestartStoreCalls
    | FetchStoreUpdate
    | ExitProcess
    | Decision
)
