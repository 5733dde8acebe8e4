"""Client of the platform's store."""

import contextlib
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPMethod
from math import inf
from typing import Any, Final
from urllib.parse import quote, urlencode

from logbook import Logger
from tornado import httputil

from worksrail.core.identity import ZoneName
from worksrail.core.steering import (
    RoutingConfiguration,
    StoreUpdate,
    UpstreamRecord,
)
from worksrail.core.steering.kinds import StoreKind
from worksrail.daemon import _clock
from worksrail.daemon.http._attempt import (
    AttemptEnd,
    AttemptReport,
    HttpAttempt,
    Outgoing,
)
from worksrail.daemon.http._body import BodyStream
from worksrail.daemon.http._collected import CollectedAnswer
from worksrail.daemon.http._connections import ConnectionPool
from worksrail.daemon.http._headers import set_length
from worksrail.daemon.steered import ANSWER_TIMEOUT, StoreFault
from worksrail.platform import _names as names
from worksrail.platform._fields import (
    Fields,
    MalformedDocumentError,
    is_text,
)
from worksrail.platform._json import parse_json
from worksrail.platform._objects import (
    decode_configuration,
    decode_entry_addresses,
    decode_upstream,
    encode_entry_addresses,
)

_LOG: Final = Logger('worksrail.store')
_MILLISECONDS: Final = 1000
_OK_STATUSES: Final = frozenset((200, 201))
_GONE_STATUS: Final = 410
_REFUSED_STATUSES: Final = frozenset((429, 503))

# Maximum sizes in bytes of an answer and of all pages of a list.  A page of the
# store has about 1 MB, and an object 1 MiB at most; a watch may return the
# changes of its whole history.
_MAX_ANSWER_BYTES: Final = 16_777_216
_MAX_LIST_BYTES: Final = 134_217_728

_ENTRIES: Final = names.OBJECTS + names.ENTRY_KIND
_STALE_ENTRIES: Final = f'{_ENTRIES}?Serializable=1'
_KINDS: Final = {
    StoreKind.CONFIGURATION: names.CONFIGURATION_KIND,
    StoreKind.UPSTREAMS: names.UPSTREAM_KIND,
    StoreKind.EVACUATIONS: names.EVACUATION_KIND,
}


@dataclass(slots=True)
class _UpdateBuilder:
    """Builds a store update from objects of one kind."""

    kind: StoreKind
    revision: int = 0
    configuration: RoutingConfiguration | None = None
    records: dict[str, UpstreamRecord] = field(default_factory=dict)
    zones: dict[str, None] = field(default_factory=dict)
    removed: dict[str, None] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    bytes_left: int = _MAX_LIST_BYTES

    def add(self, document: Any, *, deleted: bool = False) -> None:
        """Add an object; record one that cannot be decoded as a fault.

        It replaces what was added under its name before, decoded or not.
        """
        name = _name_of(document)
        self.records.pop(name, None)
        self.zones.pop(name, None)
        self.removed.pop(name, None)
        try:
            self._add(
                Fields.from_value(document, self.kind.value), deleted=deleted
            )
        except MalformedDocumentError as error:
            self.faults.append(str(error))
            if name and self.kind is StoreKind.UPSTREAMS:
                self.removed[name] = None

    def add_page(self, page: Fields) -> str:
        """Add a page; return the last name if more pages follow."""
        # Pages may come from replicas of different age.  A watch that starts at
        # the lowest revision delivers every change that any page lacks.
        revision = page.integer('AsOf')
        self.revision = min(self.revision or revision, revision)
        entries = page.table['items']
        for entry in entries:
            self.add(entry)
        if not page.flag('HasMore'):
            return ''
        page_names = [name for name in map(_name_of, entries) if name]
        return page_names[-1]

    def add_events(self, answer: Fields) -> None:
        """Add the events that a watch returned."""
        self.revision = answer.integer('AsOf')
        for entry in answer.table.get('events') or ():
            event = Fields.from_value(entry, 'event')
            self.add(event.table.get('Object'), deleted=event.flag('Deleted'))

    def build(self) -> StoreUpdate:
        """Return the update with everything that was added."""
        return StoreUpdate(
            self.revision,
            self.configuration,
            tuple(self.records.values()),
            tuple(self.zones),
            tuple(self.removed),
            tuple(self.faults),
        )

    def _add(self, fields: Fields, *, deleted: bool) -> None:
        name = fields.nested('Metadata').string('Name')
        if deleted:
            self.removed[name] = None
        elif self.kind is StoreKind.EVACUATIONS:
            self.zones[name] = None
        elif self.kind is StoreKind.UPSTREAMS:
            spec, status = fields.table.get('Spec'), fields.table.get('Status')
            self.records[name] = decode_upstream(name, spec, status)
        elif name == names.CONFIGURATION_NAME:
            self.configuration = decode_configuration(fields.table.get('Spec'))


def _name_of(document: Any) -> str:
    """Return the usable name of an object, or an empty string."""
    try:
        name = document['Metadata']['Name']
    except (LookupError, TypeError):
        return ''
    return str(name) if is_text(name) else ''


@dataclass(slots=True)
class PlatformStore:
    """Reads and watches the platform's objects.

    Every call has a timeout, and returns a ``StoreFault`` instead of raising.
    """

    address: str
    """IP address and port of the store."""

    count_call: Callable[[str], None]
    """Counts calls to the store by kind."""

    pool: ConnectionPool = field(
        default_factory=lambda: ConnectionPool(_clock.monotonic)
    )
    """Connections to the store."""

    async def read_all(
        self,
        kind: StoreKind,
        *,
        stale: bool = False,
        seconds: float = ANSWER_TIMEOUT,
    ) -> StoreUpdate | StoreFault:
        """Read all objects of a kind, page by page.

        The timeout in seconds applies to each page.  A stale list may be
        seconds old and costs a tenth of a current one.
        """
        builder = _UpdateBuilder(kind)
        query = {'Serializable': '1'} if stale else {}
        after = ''
        while True:
            page = await self._call(builder, query | {'after': after}, seconds)
            if isinstance(page, StoreFault):
                return page
            try:
                last = builder.add_page(page)
            except (LookupError, TypeError, MalformedDocumentError):
                return StoreFault.MALFORMED
            if not last:
                return builder.build()
            if last == after:
                return StoreFault.MALFORMED
            after = last

    async def watch(
        self,
        kind: StoreKind,
        since: int,
        seconds: float,
    ) -> StoreUpdate | StoreFault:
        """Wait at most some seconds for changes after a revision."""
        query = {
            'Watch': str(since),
            'WaitMs': str(int(seconds * _MILLISECONDS)),
        }
        builder = _UpdateBuilder(kind)
        answer = await self._call(builder, query, seconds + ANSWER_TIMEOUT)
        if isinstance(answer, StoreFault):
            return answer
        try:
            builder.add_events(answer)
        except (TypeError, MalformedDocumentError):
            return StoreFault.MALFORMED
        return builder.build()

    async def read_entries(
        self,
    ) -> dict[ZoneName, tuple[str, ...]] | StoreFault:
        """Read the addresses of entries; those of odd records are left out."""
        answer = await self._request(HTTPMethod.GET, _STALE_ENTRIES)
        if isinstance(answer, StoreFault):
            return answer
        found: dict[ZoneName, tuple[str, ...]] = {}
        for document in answer.table.get('items') or ():
            zone = _name_of(document)
            if zone:
                with contextlib.suppress(MalformedDocumentError):
                    found[zone] = decode_entry_addresses(document.get('Spec'))
        return found

    async def write_entries(
        self, zone: ZoneName, addresses: tuple[str, ...], *, is_new: bool
    ) -> StoreFault | None:
        """Write the addresses of a zone's entries; return what failed."""
        method = HTTPMethod.POST if is_new else HTTPMethod.PUT
        target = _ENTRIES if is_new else f'{_ENTRIES}/{quote(zone, safe="")}'
        document = encode_entry_addresses(zone, addresses)
        answer = await self._request(
            method, target, json.dumps(document).encode()
        )
        return answer if isinstance(answer, StoreFault) else None

    async def _request(
        self, method: HTTPMethod, target: str, body: bytes = b''
    ) -> Fields | StoreFault:
        """Make a call on the entries' own kind."""
        self.count_call(names.ENTRY_KIND)
        collector = CollectedAnswer()
        attempt = HttpAttempt(
            self.pool,
            _clock.monotonic,
            self._outgoing(method, target, ANSWER_TIMEOUT, body),
            BodyStream.from_bytes(body),
            collector,
        )
        return _parsed(await attempt.run(), collector)

    async def _call(
        self,
        builder: _UpdateBuilder,
        query: dict[str, str],
        timeout: float,
    ) -> Fields | StoreFault:
        kind = builder.kind
        self.count_call(kind.value)
        collector = CollectedAnswer(
            maximum=min(_MAX_ANSWER_BYTES, builder.bytes_left)
        )
        attempt = HttpAttempt(
            self.pool,
            _clock.monotonic,
            self._build_request(kind, query, timeout),
            BodyStream.from_bytes(b''),
            collector,
        )
        report = await attempt.run()
        builder.bytes_left -= collector.size
        if collector.too_long:
            _LOG.warning(
                'answer of the store is too long',
                extra={'kind': kind.value, 'bytes': collector.size},
            )
            return StoreFault.MALFORMED
        return _parsed(report, collector)

    def _build_request(
        self,
        kind: StoreKind,
        query: dict[str, str],
        timeout: float,
    ) -> Outgoing:
        parameters = {name: text for name, text in query.items() if text}
        target = names.OBJECTS + quote(_KINDS[kind])
        if parameters:
            target = f'{target}?{urlencode(parameters)}'
        return self._outgoing(HTTPMethod.GET, target, timeout)

    def _outgoing(
        self,
        method: HTTPMethod,
        target: str,
        timeout: float,
        body: bytes = b'',
    ) -> Outgoing:
        headers = httputil.HTTPHeaders({'Host': self.address})
        if body:
            headers['Content-Type'] = 'application/json'
            set_length(headers, len(body))
        return Outgoing(
            self.address,
            httputil.RequestStartLine(method.value, target, 'HTTP/1.1'),
            headers,
            inf,
            _clock.monotonic() + timeout,
        )


def _parsed(
    report: AttemptReport, collector: CollectedAnswer
) -> Fields | StoreFault:
    if report.end is not AttemptEnd.WHOLE:
        return StoreFault.CUT if report.closed else StoreFault.UNREACHABLE
    if collector.status == _GONE_STATUS:
        return StoreFault.HISTORY_GONE
    if collector.status not in _OK_STATUSES:
        refused = collector.status in _REFUSED_STATUSES
        return StoreFault.REFUSED if refused else StoreFault.MALFORMED
    try:
        return Fields.from_value(parse_json(collector.body), 'answer')
    except ValueError:
        return StoreFault.MALFORMED
