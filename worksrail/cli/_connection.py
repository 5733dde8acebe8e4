"""HTTP calls to the operators API of the entries."""

import json
import uuid
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final
from urllib.parse import urlencode

from tornado.httpclient import HTTPClient, HTTPError, HTTPResponse

from worksrail.core.results import ResultCode, code_by_number

_TIMEOUT: Final = 15.0


@dataclass(frozen=True, slots=True)
class Failure:
    """A call that ended with a result code."""

    code: ResultCode
    """Result code of the call."""

    document: Mapping[str, Any]
    """JSON document of the error response; empty if no entry was reached."""


@dataclass(slots=True)
class OperatorClient:
    """Calls the operators API of the first reachable entry.

    All calls carry the same trace identifier, which the entries write to
    their logs.
    """

    entries: tuple[str, ...]
    """Addresses of the operators API of the entries, tried in this order."""

    token: str
    """Bearer token."""

    trace: str = field(default_factory=lambda: uuid.uuid4().hex)
    """Trace identifier of this run of the tool."""

    def get(self, path: str, **query: Any) -> Any | Failure:
        """Send a GET request to the first reachable entry."""
        return self._call_first_reachable('GET', _with_query(path, query), None)

    def post(self, path: str, document: object) -> Any | Failure:
        """Post a JSON document to the first reachable entry."""
        body = json.dumps(document).encode()
        return self._call_first_reachable('POST', path, body)

    def post_text(self, path: str, text: str) -> Any | Failure:
        """Post a text to the first reachable entry."""
        return self._call_first_reachable('POST', path, text.encode())

    def get_from(self, entry: str, path: str, **query: Any) -> Any | Failure:
        """Send a GET request to the given entry."""
        return self._call(entry, 'GET', _with_query(path, query), None)

    def _call_first_reachable(
        self,
        method: str,
        path: str,
        body: bytes | None,
    ) -> Any | Failure:
        for entry in self.entries:
            outcome = self._call(entry, method, path, body)
            if not _is_unreachable(outcome):
                return outcome
        return Failure(ResultCode.ENTRY_UNREACHABLE, {})

    def _call(
        self,
        entry: str,
        method: str,
        path: str,
        body: bytes | None,
    ) -> Any | Failure:
        client = HTTPClient()
        try:
            response = client.fetch(
                f'http://{entry}{path}',
                method=method,
                body=body,
                headers={
                    'Authorization': f'Bearer {self.token}',
                    'Worksrail-Trace': self.trace,
                },
                request_timeout=_TIMEOUT,
            )
        except HTTPError as error:
            return _parse_failure(error.response)
        except OSError:
            return Failure(ResultCode.ENTRY_UNREACHABLE, {})
        finally:
            client.close()
        return json.loads(response.body)


def _with_query(path: str, query: Mapping[str, Any]) -> str:
    return f'{path}?{urlencode(query)}' if query else path


def _is_unreachable(outcome: Any | Failure) -> bool:
    return (
        isinstance(outcome, Failure)
        and outcome.code is ResultCode.ENTRY_UNREACHABLE
    )


def _parse_failure(response: HTTPResponse | None) -> Failure:
    if response is None:
        return Failure(ResultCode.ENTRY_UNREACHABLE, {})
    try:
        document = json.loads(response.body)
        return Failure(code_by_number(document['result']), document)
    except (ValueError, KeyError, TypeError):
        return Failure(ResultCode.ENTRY_UNREACHABLE, {})
