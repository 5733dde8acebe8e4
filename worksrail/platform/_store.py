"""Calls to the platform's store."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Any, Final
from urllib.parse import quote, urlencode

from tornado import httputil

from worksrail.core.steering import (
    RoutingConfiguration,
    StoreUpdate,
    UpstreamRecord,
)
from worksrail.core.steering.kinds import StoreKind
from worksrail.daemon import _clock
from worksrail.daemon.http._attempt import AttemptEnd, HttpAttempt, Outgoing
from worksrail.daemon.http._body import BodyStream
from worksrail.daemon.http._collected import CollectedAnswer
from worksrail.daemon.http._connections import ConnectionPool
from worksrail.daemon.steered import ANSWER_TIME, StoreFault
from worksrail.platform import _names as names
from worksrail.platform._fields import Fields, MalformedDocumentError
from worksrail.platform._objects import decode_configuration, decode_upstream

_MILLISECONDS: Final = 1000
_OK: Final = 200
_GONE: Final = 410
_REFUSALS: Final = frozenset((429, 503))

_KINDS: Final = {
    StoreKind.CONFIGURATION: names.CONFIGURATION_KIND,
    StoreKind.UPSTREAMS: names.UPSTREAM_KIND,
    StoreKind.EVACUATIONS: names.EVACUATION_KIND,
}


@dataclass(slots=True)
class _Builder:
    """Decodes objects of one kind into news."""

    kind: StoreKind
    revision: int = 0
    configuration: RoutingConfiguration | None = None
    records: dict[str, UpstreamRecord] = field(default_factory=dict)
    zones: dict[str, None] = field(default_factory=dict)
    removed: dict[str, None] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)

    def add(self, found: Any, *, gone: bool = False) -> None:
        """Take in an object; one that makes no sense is a fault.

        What an object was before counts no more, whatever it has become.
        """
        name = _name_of(found)
        self.records.pop(name, None)
        self.zones.pop(name, None)
        self.removed.pop(name, None)
        try:
            self._add(Fields.from_value(found, self.kind.value), gone=gone)
        except MalformedDocumentError as error:
            self.faults.append(str(error))
            if name and self.kind is StoreKind.UPSTREAMS:
                self.removed[name] = None

    def add_page(self, page: Fields) -> str:
        """Take in a page; gives the name to go on after, or nothing."""
        # Pages may differ in age; a watch from the oldest one's revision
        # tells whatever the others lack.
        revision = page.whole('AsOf')
        self.revision = min(self.revision or revision, revision)
        entries = page.table['items']
        for entry in entries:
            self.add(entry)
        if not page.flag('HasMore'):
            return ''
        names_told = [name for name in map(_name_of, entries) if name]
        return names_told[-1]

    def add_events(self, answer: Fields) -> None:
        """Take in what a watch told."""
        self.revision = answer.whole('AsOf')
        for entry in answer.table.get('events') or ():
            event = Fields.from_value(entry, 'event')
            self.add(event.table.get('Object'), gone=event.flag('Deleted'))

    def news(self) -> StoreUpdate:
        """Everything that was added."""
        return StoreUpdate(
            self.revision,
            self.configuration,
            tuple(self.records.values()),
            tuple(self.zones),
            tuple(self.removed),
            tuple(self.faults),
        )

    def _add(self, found: Fields, *, gone: bool) -> None:
        name = found.part('Metadata').text('Name')
        if gone:
            self.removed[name] = None
        elif self.kind is StoreKind.EVACUATIONS:
            self.zones[name] = None
        elif self.kind is StoreKind.UPSTREAMS:
            spec, status = found.table.get('Spec'), found.table.get('Status')
            self.records[name] = decode_upstream(name, spec, status)
        elif name == names.CONFIGURATION_NAME:
            self.configuration = decode_configuration(found.table.get('Spec'))


def _name_of(found: Any) -> str:
    """Name of an object, or nothing if it cannot be read."""
    try:
        name = found['Metadata']['Name']
    except (LookupError, TypeError):
        return ''
    return name if isinstance(name, str) else ''


def _document(body: bytes) -> Any:
    # Others may have written bytes that are no text into one object; the
    # others in the same answer must not be lost for it.
    return json.loads(body.decode(errors='replace'), strict=False)


@dataclass(slots=True)
class PlatformStore:
    """Reads and watches the platform's objects.

    Every call has a time limit and gives a sentinel instead of raising.
    """

    address: str
    """IP number and port."""

    count: Callable[[str], None]
    """Counts calls by kind."""

    pool: ConnectionPool = field(
        default_factory=lambda: ConnectionPool(_clock.monotonic)
    )
    """Connections to the store."""

    async def read_all(
        self,
        kind: StoreKind,
        *,
        stale: bool = False,
        seconds: float = ANSWER_TIME,
    ) -> StoreUpdate | StoreFault:
        """Read all objects of a kind, page by page.

        Each is waited for some seconds.  A stale list may be seconds old and
        costs a tenth.
        """
        builder = _Builder(kind)
        query = {'Serializable': '1'} if stale else {}
        after = ''
        while True:
            page = await self._call(kind, query | {'after': after}, seconds)
            if isinstance(page, StoreFault):
                return page
            try:
                after = builder.add_page(page)
            except (LookupError, TypeError, MalformedDocumentError):
                return StoreFault.MALFORMED
            if not after:
                return builder.news()

    async def watch(
        self,
        kind: StoreKind,
        since: int,
        seconds: float,
    ) -> StoreUpdate | StoreFault:
        """Wait for changes after a revision, some seconds at most."""
        query = {
            'Watch': str(since),
            'WaitMs': str(int(seconds * _MILLISECONDS)),
        }
        answer = await self._call(kind, query, seconds + ANSWER_TIME)
        if isinstance(answer, StoreFault):
            return answer
        builder = _Builder(kind)
        try:
            builder.add_events(answer)
        except (TypeError, MalformedDocumentError):
            return StoreFault.MALFORMED
        return builder.news()

    async def _call(
        self,
        kind: StoreKind,
        query: dict[str, str],
        timeout: float,
    ) -> Fields | StoreFault:
        self.count(kind.value)
        collector = CollectedAnswer()
        attempt = HttpAttempt(
            self.pool,
            _clock.monotonic,
            self._outgoing(kind, query, timeout),
            BodyStream.from_bytes(b''),
            collector,
        )
        report = await attempt.run()
        if report.end is not AttemptEnd.WHOLE:
            return StoreFault.CUT if report.closed else StoreFault.UNREACHABLE
        if collector.status == _GONE:
            return StoreFault.HISTORY_GONE
        if collector.status != _OK:
            refused = collector.status in _REFUSALS
            return StoreFault.REFUSED if refused else StoreFault.MALFORMED
        try:
            return Fields.from_value(_document(collector.body), 'answer')
        except (ValueError, RecursionError):
            return StoreFault.MALFORMED

    def _outgoing(
        self,
        kind: StoreKind,
        query: dict[str, str],
        timeout: float,
    ) -> Outgoing:
        given = {name: text for name, text in query.items() if text}
        target = names.OBJECTS + quote(_KINDS[kind])
        if given:
            target = f'{target}?{urlencode(given)}'
        return Outgoing(
            self.address,
            httputil.RequestStartLine('GET', target, 'HTTP/1.1'),
            httputil.HTTPHeaders({'Host': self.address}),
            inf,
            _clock.monotonic() + timeout,
        )
