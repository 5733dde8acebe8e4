"""Stand-in of the platform: objects with versions, watches, instances.

``python -m worksrail.standins.platform --address=127.0.0.1:7000``

Objects are read and conditionally updated at ``/objects/KEY``, listed at
``/keys`` and watched at ``/watch``.  ``/instances`` is the lagging list of
instances.  ``/admin/faults``, ``/admin/instances`` and ``/admin/counters``
are for tests and the demo.
"""

import asyncio
import time
from collections import Counter, deque
from dataclasses import dataclass, field, fields
from typing import Any, Final

import fire
import msgspec
from tornado.web import Application, RequestHandler

_LARGEST_VALUE: Final = 1_048_576
_CONFLICT: Final = 409
_UNAVAILABLE: Final = 503
_TOO_MANY: Final = 429
_WINDOW: Final = 1.0


_TimedList = tuple[float, list[dict[str, Any]]]


@dataclass(slots=True)
class PlatformFaults:
    """Faults that can be injected."""

    down: bool = False
    """Every call fails."""

    slow: float = 0
    """Seconds added to every call."""

    lose_answers: int = 0
    """Next writes that take effect but are not answered."""

    stale_reads: int = 0
    """Next reads that give the version before."""

    write_limit: int = 500
    """Writes a second."""

    read_limit: int = 2000
    """Reads a second."""

    list_lag: float = 1
    """Seconds by which the list of instances is late."""


@dataclass(slots=True)
class PlatformObject:
    """One object."""

    version: int
    """Its version."""

    payload: bytes
    """Its bytes."""

    revision: int
    """Revision of the store at its last change."""

    before: tuple[int, bytes] | None = None
    """Version and bytes before the last change."""


@dataclass(slots=True)
class PlatformState:
    """All objects, instances, faults and counters."""

    objects: dict[str, PlatformObject] = field(default_factory=dict)
    """Objects by key."""

    revision: int = 0
    """Grows with every change."""

    instances: deque[_TimedList] = field(default_factory=deque)
    """Lists of instances with the time from which each was true."""

    faults: PlatformFaults = field(default_factory=PlatformFaults)
    """Faults in force."""

    counters: Counter[str] = field(default_factory=Counter)
    """Calls by kind."""

    recent: dict[str, deque[float]] = field(default_factory=dict)
    """Times of the calls of the last second, by kind."""

    changed: asyncio.Event = field(default_factory=asyncio.Event)
    """Set at every change."""

    def admits(self, kind: str, limit: int) -> bool:
        """Count a call; false when it exceeds the rate."""
        now = time.monotonic()
        times = self.recent.setdefault(kind, deque())
        while times and times[0] <= now - _WINDOW:
            times.popleft()
        self.counters[kind] += 1
        if len(times) >= limit:
            self.counters['refused'] += 1
            return False
        times.append(now)
        return True

    def write(self, key: str, payload: bytes, expected: int) -> int | None:
        """Update an object if it has the expected version."""
        old = self.objects.get(key)
        current = old.version if old else 0
        if current != expected:
            return None
        self.revision += 1
        before = (old.version, old.payload) if old else None
        self.objects[key] = PlatformObject(
            current + 1, payload, self.revision, before
        )
        self.changed.set()
        self.changed = asyncio.Event()
        return current + 1

    def changes(self, since: int) -> list[str]:
        """Keys that changed after a revision."""
        return [
            key
            for key, stored in self.objects.items()
            if stored.revision > since
        ]

    def listed(self) -> list[dict[str, Any]]:
        """The list of instances as it was some time ago."""
        seen: list[dict[str, Any]] = []
        horizon = time.monotonic() - self.faults.list_lag
        for since, instances in self.instances:
            if since <= horizon or not seen:
                seen = instances
        return seen


class PlatformHandler(RequestHandler):
    """Base of all calls but the admin ones: faults and rates."""

    kind = 'read'

    def initialize(self, state: PlatformState) -> None:
        """Take the state."""
        self.state = state

    async def prepare(self) -> None:
        """Apply faults and rate limits."""
        faults = self.state.faults
        if faults.slow:
            await asyncio.sleep(faults.slow)
        if faults.down:
            self.send_error(_UNAVAILABLE)
            return
        kind = 'write' if self.request.method == 'PUT' else self.kind
        limit = faults.write_limit if kind == 'write' else faults.read_limit
        if not self.state.admits(kind, limit):
            self.send_error(_TOO_MANY)

    def answer(self, document: object) -> None:
        """Answer with JSON."""
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(document))


class ObjectHandler(PlatformHandler):
    """``/objects/KEY``."""

    def get(self, key: str) -> None:
        """Read an object."""
        stored = self.state.objects.get(key)
        if stored is None:
            self.send_error(404)
            return
        version, payload = stored.version, stored.payload
        if self.state.faults.stale_reads and stored.before:
            self.state.faults.stale_reads -= 1
            version, payload = stored.before
        self.set_header('Object-Version', str(version))
        self.finish(payload)

    def put(self, key: str) -> None:
        """Update an object conditionally."""
        if len(self.request.body) > _LARGEST_VALUE:
            self.send_error(413)
            return
        expected = int(self.get_query_argument('expected'))
        version = self.state.write(key, self.request.body, expected)
        if version is None:
            self.send_error(_CONFLICT)
            return
        if self.state.faults.lose_answers:
            self.state.faults.lose_answers -= 1
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.set_header('Object-Version', str(version))
        self.finish()


class KeysHandler(PlatformHandler):
    """``/keys?prefix=``."""

    def get(self) -> None:
        """List keys."""
        prefix = self.get_query_argument('prefix', '')
        keys = sorted(
            key for key in self.state.objects if key.startswith(prefix)
        )
        self.answer({'keys': keys})


class WatchHandler(PlatformHandler):
    """``/watch?since=&seconds=``."""

    kind = 'watch'

    async def get(self) -> None:
        """Wait for a change."""
        since = int(self.get_query_argument('since'))
        seconds = float(self.get_query_argument('seconds'))
        if since > self.state.revision:
            since = 0
        if not self.state.changes(since):
            try:
                await asyncio.wait_for(self.state.changed.wait(), seconds)
            except TimeoutError:
                self.state.counters['idle-watch'] += 1
        if self.state.faults.down:
            self.send_error(_UNAVAILABLE)
            return
        self.answer(
            {
                'revision': self.state.revision,
                'keys': self.state.changes(since),
            }
        )


class InstancesHandler(PlatformHandler):
    """``/instances``."""

    def get(self) -> None:
        """Give the lagging list."""
        self.answer({'instances': self.state.listed()})


class AdminHandler(RequestHandler):
    """Base of the calls of tests and the demo."""

    def initialize(self, state: PlatformState) -> None:
        """Take the state."""
        self.state = state


class FaultsHandler(AdminHandler):
    """``/admin/faults``."""

    def post(self) -> None:
        """Change some faults."""
        changes = msgspec.json.decode(self.request.body, type=dict[str, Any])
        known = {one.name for one in fields(PlatformFaults)}
        for name, setting in changes.items():
            if name not in known:
                self.send_error(400)
                return
            setattr(self.state.faults, name, setting)
        self.state.changed.set()
        self.state.changed = asyncio.Event()
        self.finish()


class AdminInstancesHandler(AdminHandler):
    """``/admin/instances``."""

    def post(self) -> None:
        """Say which instances there are from now on."""
        instances = msgspec.json.decode(self.request.body)
        self.state.instances.append((time.monotonic(), instances))
        self.finish()


class CountersHandler(AdminHandler):
    """``/admin/counters``."""

    def get(self) -> None:
        """Tell all counters."""
        self.finish(msgspec.json.encode(dict(self.state.counters)))


class ObjectsHandler(AdminHandler):
    """``/admin/objects``: reads and restores all objects."""

    def post(self) -> None:
        """Overwrite one object, whatever its version."""
        key = self.get_query_argument('key')
        old = self.state.objects.get(key)
        self.state.write(key, self.request.body, old.version if old else 0)
        self.finish()


def platform_application(state: PlatformState) -> Application:
    """All calls."""
    shared = {'state': state}
    return Application(
        [
            (r'/objects/(.+)', ObjectHandler, shared),
            (r'/keys', KeysHandler, shared),
            (r'/watch', WatchHandler, shared),
            (r'/instances', InstancesHandler, shared),
            (r'/admin/faults', FaultsHandler, shared),
            (r'/admin/instances', AdminInstancesHandler, shared),
            (r'/admin/counters', CountersHandler, shared),
            (r'/admin/objects', ObjectsHandler, shared),
        ],
        log_function=_no_log,
    )


def _no_log(handler: RequestHandler) -> None:
    """The stand-in counts instead."""


async def _serve(address: str) -> None:
    host, _, port = address.partition(':')
    application = platform_application(PlatformState())
    application.listen(int(port), host, max_body_size=4 * _LARGEST_VALUE)
    await asyncio.Event().wait()


def serve(address: str) -> None:
    """Serve until the process is ended."""
    asyncio.run(_serve(address))


if __name__ == '__main__':
    fire.Fire(serve)
