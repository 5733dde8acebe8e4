"""Interfaces between an entry and the platform that it runs on.

An adapter translates names and formats of one platform and makes no decisions.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, Protocol

from tornado.httputil import HTTPHeaders

from worksrail.core.availability import AvailabilityNotice
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

# Timeout in seconds for calls that need not wait for a change.  A store answers
# in some milliseconds, or in sixty times that when it is slow.
ANSWER_TIMEOUT: Final = 2.0


@unique
class StoreFault(Enum):
    """Sentinel: why a call to the store returned no update."""

    UNREACHABLE = 'there was no answer'
    CUT = 'the connection was closed while a call waited'
    REFUSED = 'the store turned the call away'
    ABANDONED = 'the store has been silent since it was asked'
    HISTORY_GONE = 'changes since that revision are not kept any more'
    MALFORMED = 'the answer makes no sense'


class SteeringStore(Protocol):
    """The part of the platform's store that entries use."""

    async def read_all(
        self,
        kind: StoreKind,
        *,
        stale: bool = False,
        seconds: float = ANSWER_TIMEOUT,
    ) -> StoreUpdate | StoreFault:
        """Read all objects of a kind; a stale list costs less.

        The timeout in seconds applies to each page.
        """

    async def watch(
        self,
        kind: StoreKind,
        since: int,
        seconds: float,
    ) -> StoreUpdate | StoreFault:
        """Wait at most some seconds for changes after a revision."""

    async def read_entries(
        self,
    ) -> dict[ZoneName, tuple[str, ...]] | StoreFault:
        """Read the peer addresses of entries, by zone; they may be stale."""

    async def write_entries(
        self, zone: ZoneName, addresses: tuple[str, ...], *, is_new: bool
    ) -> StoreFault | None:
        """Write the addresses of a zone's entries; return what failed."""


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """Contents of the head of an upstream's answer, besides its status."""

    trace: str
    """Identifier of the request that it answers; empty if it has none."""

    executed: bool
    """Whether the upstream does not state that it did not execute it."""

    promises: bool
    """Whether callers take the status for a promise that the request was not
    executed and will not be."""

    misdirected: bool
    """Whether another upstream has the address now."""

    altered: bool
    """Whether the body differs from the bytes that the upstream sent."""

    load: ReportedLoad | None
    """The load that the upstream reports, if any."""

    rate: float | NoRate = NoRate.NOT_NAMED
    """Requests per second that it accepts from all entries together."""


class UpstreamDialect(Protocol):
    """Translates requests to upstreams and parses their answers."""

    def mark_request(
        self,
        headers: HTTPHeaders,
        upstream: str,
        time_left: float,
        customer: CustomerName,
    ) -> None:
        """Set the headers for the upstream, the seconds left and the customer.

        The caller's API key is removed.  An empty upstream leaves the choice to
        another entry.
        """

    def read_answer(self, status: int, headers: HTTPHeaders) -> UpstreamAnswer:
        """Parse the head of an answer."""

    def read_notice(
        self,
        status: int,
        headers: HTTPHeaders,
    ) -> AvailabilityNotice:
        """Parse what an answer states about the upstream asked for.

        The answer of another upstream at the address states nothing about it.
        """

    def read_identifier(self, headers: HTTPHeaders) -> str:
        """Return which upstream answered a health check; empty if unknown."""


@dataclass(frozen=True, slots=True)
class LookUpQuery:
    """A look-up of the entries that callers of a region and zone should use."""

    region: RegionName
    """Region of the callers."""

    zone: ZoneName
    """Availability zone of the callers."""


class RequestDialect(CallerDialect, Protocol):
    """Parses requests of callers and renders answers to them."""

    def read_head(
        self,
        method: str,
        target: str,
        headers: HTTPHeaders,
    ) -> SteeredHead | None:
        """Parse the head of a request; return None if a header is malformed."""

    def is_readiness_check(self, target: str) -> bool:
        """Return whether the target is that of readiness checks."""

    def read_look_up(self, target: str) -> LookUpQuery | None:
        """Parse a look-up query; return None for any other target."""

    def render_entries(self, entries: EntryList) -> bytes:
        """Render the document that answers a look-up."""


class InvalidSettingsError(ValueError):
    """The settings are unusable; the message says what was expected."""


@dataclass(frozen=True, slots=True)
class Adapter:
    """All translators of one platform."""

    read_settings: Callable[[], EntrySettings]
    """Reads the current settings; raises ``InvalidSettingsError``."""

    callers: RequestDialect
    """Dialect for callers."""

    upstreams: UpstreamDialect
    """Dialect for upstreams."""

    open_store: Callable[[str, Callable[[str], None]], SteeringStore]
    """Creates a store client from an address and a counter of calls by kind."""
