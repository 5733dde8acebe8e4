"""Waiting, and calls over HTTP to the processes of a deployment."""

import json
import time
from collections.abc import Callable
from typing import Any, Final

from tornado.httpclient import HTTPClient, HTTPError

# Seconds that something may take which is waited for; generous, since the
# machine may be busy.
PATIENCE: Final = 60.0
_POLL: Final = 0.05


def wait_until(
    condition: Callable[[], bool], seconds: float = PATIENCE
) -> None:
    """Wait for a condition, with a generous limit."""
    limit = time.monotonic() + seconds
    while True:
        try:
            if condition():
                return
        except (HTTPError, OSError):
            # What is waited for may not listen yet.
            time.sleep(_POLL)
        if time.monotonic() > limit:
            raise TimeoutError(f'not true after {seconds} s')
        time.sleep(_POLL)


def get(url: str, token: str = '') -> Any:
    """Read JSON."""
    return _fetch(url, 'GET', None, token)


def post(url: str, document: object) -> Any:
    """Send JSON."""
    return _fetch(url, 'POST', json.dumps(document).encode(), '')


def _fetch(url: str, method: str, body: bytes | None, token: str) -> Any:
    client = HTTPClient()
    try:
        answer = client.fetch(
            url,
            method=method,
            body=body,
            headers={'Authorization': f'Bearer {token}'},
        )
    finally:
        client.close()
    return json.loads(answer.body) if answer.body else None
