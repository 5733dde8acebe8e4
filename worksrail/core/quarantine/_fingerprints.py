"""Fingerprints, which identify a request when it arrives again."""

import hashlib
from collections.abc import Iterable
from functools import lru_cache
from typing import Final

Fingerprint = int
"""Keyed hash of a request, equal at all instances; never zero."""

_SIZE: Final = 8


def fingerprint(
    secret: bytes,
    texts: Iterable[str],
    body_digest: bytes,
) -> Fingerprint:
    """Hash the parts of a request that are the same when it arrives again.

    The hash is keyed, so that a reader of logs or messages cannot guess the
    cookie or body by trying candidates.

    >>> one = fingerprint(b'k', ('ab', 'c'), b'')
    >>> one == fingerprint(b'k', ('a', 'bc'), b'')
    False
    """
    hasher = hashlib.blake2b(digest_size=_SIZE, key=_key_of(secret))
    encoded = (text.encode(errors='surrogateescape') for text in texts)
    for part in (*encoded, body_digest):
        hasher.update(len(part).to_bytes(_SIZE, 'big'))
        hasher.update(part)
    return int.from_bytes(hasher.digest(), 'big') or 1


@lru_cache(maxsize=4)
def _key_of(secret: bytes) -> bytes:
    return hashlib.blake2b(secret).digest()


def label(request: Fingerprint) -> str:
    """Format a fingerprint for logs.

    >>> label(255)
    '00000000000000ff'
    """
    return f'{request:016x}'
