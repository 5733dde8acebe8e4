"""Bytes that entries send each other, compressed where that is worth it."""

import zlib
from typing import Final

# Bytes from which a payload is compressed: what entries tell names the same
# zones, ports and prefixes many times over, and much of it crosses regions.
_WORTH_COMPRESSING: Final = 400
# Fastest level: it takes tens of microseconds for a digest.
_LEVEL: Final = 1
# What compressed payloads begin with; plain ones begin with an array's mark.
_COMPRESSED: Final = b'x'


def pack(payload: bytes) -> bytes:
    """Compress a payload if that is worth it."""
    if len(payload) < _WORTH_COMPRESSING:
        return payload
    return zlib.compress(payload, _LEVEL)


def unpack(packed: bytes, longest: int) -> bytes:
    """The payload, cut at a length so that none can fill the memory.

    Raises ``ValueError`` if it is not what :func:`pack` makes.

    >>> unpack(pack(bytes(1000)), 2000) == bytes(1000)
    True
    """
    if not packed.startswith(_COMPRESSED):
        return packed
    unpacker = zlib.decompressobj()
    try:
        payload = unpacker.decompress(packed, longest)
    except zlib.error as error:
        raise ValueError(f'expected compressed bytes: {error}') from error
    if len(payload) < longest and not unpacker.eof:
        raise ValueError('expected compressed bytes up to their end')
    return payload
