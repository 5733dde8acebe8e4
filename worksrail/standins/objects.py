"""Stand-in of the platform's object store, with its published interface.

Objects by kind and name, revisions, conditional updates, lists in pages,
watches that wait, a history that is dropped, and faults to inject.  Only the
part that entries and operators use is there.

``python -m worksrail.standins.objects --address=127.0.0.1:7100`` serves it.
"""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from enum import Enum, unique
from http import HTTPStatus
from typing import Any, Final

import fire
import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

# Objects in one page, and changes that are kept for watches.
_PAGE: Final = 500
_HISTORY: Final = 1000
_LONGEST_WAIT: Final = 30_000
_MILLISECONDS: Final = 1000
# Seconds between two looks whether a silent store answers again.
_LOOK_AGAIN: Final = 0.02


@unique
class StoreMood(Enum):
    """How the store treats calls."""

    WELL = 'answers'
    BUSY = 'refuses with 503; nothing is done'
    LIMITED = 'refuses with 429; nothing is done'
    SILENT = 'never answers what is asked now; watches hear all after it'
    LOSING = 'does what it is asked and loses the answer'


@dataclass(frozen=True, slots=True)
class Change:
    """One change, as watches tell it."""

    revision: int
    """Revision that it made."""

    kind: str
    """Kind of the object."""

    document: dict[str, Any]
    """The object after it, or before its removal."""

    deleted: bool
    """Whether the object is gone."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """What the store held at one revision."""

    objects: dict[str, dict[str, dict[str, Any]]]
    """Objects by kind and name."""

    revision: int
    """The revision."""


@dataclass(slots=True)
class ObjectStore:
    """Objects, their history, and the faults in force."""

    objects: dict[str, dict[str, dict[str, Any]]] = field(default_factory=dict)
    """Objects by kind and name."""

    revision: int = 0
    """Grows with each change."""

    history: deque[Change] = field(
        default_factory=lambda: deque(maxlen=_HISTORY)
    )
    """The last changes."""

    dropped: int = 0
    """Revision up to which the history is gone."""

    mood: StoreMood = StoreMood.WELL
    """How calls are treated."""

    replica: Snapshot | None = None
    """What stale lists tell, if that lags behind."""

    page: int = _PAGE
    """Objects in one page."""

    calls: int = 0
    """Calls so far."""

    changed: asyncio.Event = field(default_factory=asyncio.Event)
    """Set by a change, then replaced."""

    def put(
        self,
        kind: str,
        name: str,
        spec: Any,
        status: Any = None,
    ) -> dict[str, Any]:
        """Create or replace an object, as operators do."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known and (known['Spec'], known['Status']) == (spec, status):
            return known
        made = known['Metadata']['CreateRevision'] if known else 0
        document = {
            'Metadata': {
                'Name': name,
                'Revision': self.revision + 1,
                'CreateRevision': made or self.revision + 1,
                'Finalizers': [],
                'Deleting': False,
            },
            'Spec': spec,
            'Status': status,
        }
        self.objects[kind][name] = document
        self._note(kind, document, deleted=False)
        return document

    def remove(self, kind: str, name: str) -> bool:
        """Remove an object; false if there is none."""
        document = self.objects.get(kind, {}).pop(name, None)
        if document is None:
            return False
        self._note(kind, document, deleted=True)
        return True

    def hold_replica(self) -> None:
        """From now on stale lists tell what is known now."""
        objects = {kind: dict(known) for kind, known in self.objects.items()}
        self.replica = Snapshot(objects, self.revision)

    def snapshot(self, *, stale: bool) -> Snapshot:
        """What a list tells."""
        if stale and self.replica:
            return self.replica
        return Snapshot(self.objects, self.revision)

    def drop_history(self) -> None:
        """Forget all changes so far, and wake watches."""
        self.history.clear()
        self.dropped = self.revision
        self._wake()

    def since(self, kind: str, revision: int) -> list[Change] | None:
        """Changes of a kind after a revision; None if they are gone."""
        first = self.history[0].revision if self.history else self.revision + 1
        if revision < max(self.dropped, first - 1):
            return None
        return [
            change
            for change in self.history
            if change.kind == kind and change.revision > revision
        ]

    def _note(
        self,
        kind: str,
        document: dict[str, Any],
        *,
        deleted: bool,
    ) -> None:
        self.revision += 1
        self.history.append(Change(self.revision, kind, document, deleted))
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class _Handler(RequestHandler):
    """One call."""

    def initialize(self, store: ObjectStore) -> None:
        """Take the store."""
        self.store = store

    async def prepare(self) -> None:
        """Treat the call as the mood has it."""
        self.store.calls += 1
        mood = self.store.mood
        if mood is StoreMood.SILENT:
            await asyncio.Event().wait()
        if mood is StoreMood.BUSY:
            self._end(HTTPStatus.SERVICE_UNAVAILABLE, {})
        elif mood is StoreMood.LIMITED:
            self._end(HTTPStatus.TOO_MANY_REQUESTS, {})

    def _end(self, status: HTTPStatus, document: Any) -> None:
        if self.store.mood is StoreMood.LOSING:
            self.request.connection.stream.close()  # type: ignore
            self._finished = True
            return
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(document))


class KindHandler(_Handler):
    """Lists, watches and creates objects of a kind."""

    async def get(self, kind: str) -> None:
        """List a page, or wait for changes."""
        if self.get_query_argument('Watch', ''):
            await self._watch(kind)
            return
        after = self.get_query_argument('after', '')
        stale = self.get_query_argument('Serializable', '') == '1'
        told = self.store.snapshot(stale=stale)
        objects = told.objects.get(kind, {})
        names = sorted(name for name in objects if name > after)
        page = names[: self.store.page]
        document = {
            'items': [objects[name] for name in page],
            'HasMore': len(names) > len(page),
            'AsOf': told.revision,
        }
        self._end(HTTPStatus.OK, document)

    def post(self, kind: str) -> None:
        """Create an object."""
        given = msgspec.json.decode(self.request.body)
        name = given['Metadata']['Name']
        known = self.store.objects.get(kind, {}).get(name)
        if known:
            self._end(HTTPStatus.CONFLICT, known)
        else:
            made = self.store.put(kind, name, given['Spec'], None)
            self._end(HTTPStatus.CREATED, made)

    async def _watch(self, kind: str) -> None:
        since = int(self.get_query_argument('Watch'))
        wait = int(self.get_query_argument('WaitMs', '0'))
        seconds = min(wait, _LONGEST_WAIT) / _MILLISECONDS
        changes = self.store.since(kind, since)
        if changes is not None and not changes:
            await self._wait_for_change(kind, since, seconds)
            while self.store.mood is StoreMood.SILENT:
                await asyncio.sleep(_LOOK_AGAIN)
            changes = self.store.since(kind, since)
        if changes is None:
            self._end(HTTPStatus.GONE, {})
            return
        events = [
            {'Object': change.document, 'Deleted': change.deleted}
            for change in changes
        ]
        self._end(
            HTTPStatus.OK, {'events': events, 'AsOf': self.store.revision}
        )

    async def _wait_for_change(
        self,
        kind: str,
        since: int,
        seconds: float,
    ) -> None:
        try:
            async with asyncio.timeout(seconds):
                while self._is_quiet(kind, since):
                    await self.store.changed.wait()
        except TimeoutError:
            # No change is an answer too.
            return

    def _is_quiet(self, kind: str, since: int) -> bool:
        changes = self.store.since(kind, since)
        return changes is not None and not changes


class ObjectHandler(_Handler):
    """Reads, replaces and removes one object."""

    def get(self, kind: str, name: str) -> None:
        """Read it."""
        known = self.store.objects.get(kind, {}).get(name)
        found = HTTPStatus.OK if known else HTTPStatus.NOT_FOUND
        self._end(found, known or {})

    def put(self, kind: str, name: str) -> None:
        """Replace its description, if its revision is the given one."""
        given = msgspec.json.decode(self.request.body)
        known = self.store.objects.get(kind, {}).get(name)
        if known is None:
            self._end(HTTPStatus.NOT_FOUND, {})
            return
        expected = given.get('Metadata', {}).get('Revision')
        if expected not in {None, known['Metadata']['Revision']}:
            self._end(HTTPStatus.CONFLICT, known)
            return
        made = self.store.put(kind, name, given['Spec'], known['Status'])
        self._end(HTTPStatus.OK, made)

    def delete(self, kind: str, name: str) -> None:
        """Remove it."""
        removed = self.store.remove(kind, name)
        self._end(HTTPStatus.OK if removed else HTTPStatus.NOT_FOUND, {})


def application(store: ObjectStore) -> Application:
    """The store's interface."""
    options = {'store': store}
    return Application(
        [
            (r'/-/objects/([^/]+)', KindHandler, options),
            (r'/-/objects/([^/]+)/([^/]+)', ObjectHandler, options),
        ]
    )


async def _serve(address: str) -> None:
    host, _, port = address.partition(':')
    HTTPServer(application(ObjectStore())).listen(int(port), host)
    await asyncio.Event().wait()


def serve(address: str) -> None:
    """Serve an empty store at an IP number and port."""
    asyncio.run(_serve(address))


if __name__ == '__main__':
    fire.Fire(serve)
