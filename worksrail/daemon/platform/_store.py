"""Client of the platform's object API."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any, Final
from urllib.parse import quote

from tornado.httpclient import HTTPError
from tornado.iostream import UnsatisfiableReadError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from worksrail.core.events import WriteOutcome
from worksrail.core.membership import ListedInstance

_TIMEOUT: Final = 2.0
_MAX_BODY_BYTES: Final = 4 * 1024 * 1024
_MAX_CONNECTIONS: Final = 32
# Tornado passes on that a head is longer than its maximum.
_CALL_ERRORS: Final = (OSError, ValueError, KeyError, UnsatisfiableReadError)
_JSON_ERRORS: Final = (*_CALL_ERRORS, HTTPError, RecursionError)
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409


@unique
class StoreFault(Enum):
    """Sentinel: why the store returned no object."""

    UNREACHABLE = 'no answer, or an answer that makes no sense'
    NOT_FOUND = 'no such object'


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object read from the store."""

    version: int
    """Version to use in conditional updates."""

    payload: bytes
    """Content of the object."""


@dataclass(frozen=True, slots=True)
class WriteReport:
    """Result of a conditional update."""

    outcome: WriteOutcome
    """Whether the update was done, conflicted or is unknown."""

    version: int = 0
    """New version if the update was done."""


@dataclass(frozen=True, slots=True)
class WatchReport:
    """Result of a watch."""

    revision: int
    """Revision from which to continue."""

    keys: tuple[str, ...]
    """Keys of the objects that changed."""


def _ignore_call(kind: str) -> None:
    """Do nothing; the default for :attr:`StoreClient.count`."""


@dataclass(slots=True)
class StoreClient:
    """Reads, conditionally updates and watches objects.

    Every call has a timeout and returns a sentinel instead of raising, so that
    the type checker makes each use handle an unavailable store.
    """

    address: str
    """IP address and port."""

    count: Callable[[str], None] = _ignore_call
    """Called with the kind of each call, to count it."""

    http: SimpleAsyncHTTPClient = field(
        default_factory=lambda: SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CONNECTIONS,
            max_body_size=_MAX_BODY_BYTES,
        )
    )
    """HTTP client."""

    async def read(self, key: str) -> StoredObject | StoreFault:
        """Read an object."""
        self.count('read')
        try:
            answer = await self.http.fetch(
                self._url(key), request_timeout=_TIMEOUT
            )
            version = int(answer.headers['Object-Version'])
        except HTTPError as error:
            missing = error.code == _NOT_FOUND
            return StoreFault.NOT_FOUND if missing else StoreFault.UNREACHABLE
        except _CALL_ERRORS:
            return StoreFault.UNREACHABLE
        return StoredObject(version, answer.body)

    async def write(
        self,
        key: str,
        payload: bytes,
        expected: int,
    ) -> WriteReport:
        """Write an object if its version is as expected; zero creates it."""
        self.count('write')
        try:
            answer = await self.http.fetch(
                f'{self._url(key)}?expected={expected}',
                method='PUT',
                body=payload,
                request_timeout=_TIMEOUT,
            )
            version = int(answer.headers['Object-Version'])
        except HTTPError as error:
            if error.code == _CONFLICT:
                return WriteReport(WriteOutcome.CONFLICT)
            return WriteReport(WriteOutcome.UNKNOWN)
        except _CALL_ERRORS:
            return WriteReport(WriteOutcome.UNKNOWN)
        return WriteReport(WriteOutcome.DONE, version)

    async def keys(self, prefix: str) -> list[str] | StoreFault:
        """Return the keys with a prefix."""
        self.count('read')
        document = await self._json(
            f'http://{self.address}/keys?prefix={quote(prefix)}', _TIMEOUT
        )
        if isinstance(document, dict):
            return [str(key) for key in document.get('keys', ())]
        return StoreFault.UNREACHABLE

    async def watch(
        self,
        since: int,
        seconds: float,
    ) -> WatchReport | StoreFault:
        """Wait for changes after a revision, for at most some seconds."""
        self.count('watch')
        url = f'http://{self.address}/watch?since={since}&seconds={seconds}'
        document = await self._json(url, seconds + _TIMEOUT)
        try:
            return WatchReport(
                int(document['revision']),
                tuple(str(key) for key in document['keys']),
            )
        except (TypeError, KeyError, ValueError):
            return StoreFault.UNREACHABLE

    async def instances(self) -> tuple[ListedInstance, ...] | StoreFault:
        """Return the platform's list of instances, which may be out of date."""
        self.count('read')
        document = await self._json(
            f'http://{self.address}/instances', _TIMEOUT
        )
        try:
            return tuple(
                ListedInstance(
                    str(listed['name']),
                    str(listed['region']),
                    str(listed['peer']),
                    bool(listed['leaving']),
                )
                for listed in document['instances']
            )
        except (TypeError, KeyError):
            return StoreFault.UNREACHABLE

    def close(self) -> None:
        """Close all connections."""
        self.http.close()

    def _url(self, key: str) -> str:
        return f'http://{self.address}/objects/{quote(key)}'

    async def _json(self, url: str, timeout: float) -> Any:
        try:
            answer = await self.http.fetch(url, request_timeout=timeout)
            return json.loads(answer.body)
        except _JSON_ERRORS:
            return StoreFault.UNREACHABLE
