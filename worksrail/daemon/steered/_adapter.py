"""What a platform has to translate for an entry.

An adapter knows the names and formats of one platform and decides nothing.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, Protocol

from tornado.httputil import HTTPHeaders

from worksrail.core.customers import CustomerName
from worksrail.core.identity import RegionName, ZoneName
from worksrail.core.pacing import NoRate
from worksrail.core.steering import (
    EntryList,
    EntrySettings,
    StoreUpdate,
)
from worksrail.core.steering.events import (
    ReportedLoad,
    SteeredHead,
)
from worksrail.core.steering.kinds import StoreKind
from worksrail.daemon.http._dialect import CallerDialect

# Seconds for an answer that need not wait; a store's own time is some
# milliseconds, or sixty times that when it is slow.
ANSWER_TIME: Final = 2.0


@unique
class StoreFault(Enum):
    """Sentinel: why the store gave nothing."""

    UNREACHABLE = 'there was no answer'
    CUT = 'the connection was closed while a call waited'
    REFUSED = 'the store turned the call away'
    DOUBTED = 'the store has been silent since it was asked'
    HISTORY_GONE = 'changes since that revision are not kept any more'
    MALFORMED = 'the answer makes no sense'


class SteeringStore(Protocol):
    """The platform's store, as far as entries read it."""

    async def read_all(
        self,
        kind: StoreKind,
        *,
        stale: bool = False,
        seconds: float = ANSWER_TIME,
    ) -> StoreUpdate | StoreFault:
        """Read all objects of a kind; a stale list costs less.

        Each page of it is waited for some seconds.
        """

    async def watch(
        self,
        kind: StoreKind,
        since: int,
        seconds: float,
    ) -> StoreUpdate | StoreFault:
        """Wait for changes after a revision, some seconds at most."""


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """What the head of an upstream's answer says besides its status."""

    trace: str
    """Request that it answers; empty if it does not say."""

    executed: bool
    """Whether the upstream executed the request."""

    misdirected: bool
    """Whether another upstream has the address."""

    altered: bool
    """Whether the body is not the upstream's own bytes."""

    load: ReportedLoad | None
    """The upstream's load, if it tells it."""

    rate: float | NoRate = NoRate.NOT_NAMED
    """Requests a second that it takes from all entries together."""


class UpstreamDialect(Protocol):
    """Spells requests to upstreams and reads their answers."""

    def mark_request(
        self,
        headers: HTTPHeaders,
        upstream: str,
        time_left: float,
        customer: CustomerName,
    ) -> None:
        """Name the upstream, the seconds it has, and whose request it is.

        The caller's key goes no further.
        """

    def read_answer(self, status: int, headers: HTTPHeaders) -> UpstreamAnswer:
        """Read the head of an answer."""


@dataclass(frozen=True, slots=True)
class LookUpQuery:
    """A look-up: which entries shall callers of this place use."""

    region: RegionName
    """Region of the callers."""

    zone: ZoneName
    """Availability zone of the callers."""


class RequestDialect(CallerDialect, Protocol):
    """Reads requests of callers, besides spelling their answers."""

    def read_head(
        self,
        method: str,
        target: str,
        headers: HTTPHeaders,
    ) -> SteeredHead | None:
        """What decisions need to know; None if a header is malformed."""

    def is_readiness_check(self, target: str) -> bool:
        """Whether this asks if the entry is ready."""

    def read_look_up(self, target: str) -> LookUpQuery | None:
        """The look-up that a target asks, if it is one."""

    def render_entries(self, entries: EntryList) -> bytes:
        """The document that answers a look-up."""


class SettingsFaultError(ValueError):
    """The settings cannot be used; the text names what was expected."""


@dataclass(frozen=True, slots=True)
class Adapter:
    """All translations of one platform."""

    read_settings: Callable[[], EntrySettings]
    """Reads the settings anew; raises ``SettingsFaultError``."""

    callers: RequestDialect
    """Towards callers."""

    upstreams: UpstreamDialect
    """Towards upstreams."""

    open_store: Callable[[str, Callable[[str], None]], SteeringStore]
    """Makes a client of the store at an address; counts calls by kind."""
