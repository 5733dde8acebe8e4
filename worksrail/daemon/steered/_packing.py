"""Compression of messages between entries."""

import zlib
from typing import Final

# Minimum size in bytes of a payload to compress.  Messages repeat the same
# zones, ports and prefixes many times, and many of them cross regions.
_MIN_COMPRESSED_SIZE: Final = 400
# Fastest level: a digest takes tens of microseconds.
_LEVEL: Final = 1
# First byte of zlib data; a plain payload begins with a MessagePack array.
_ZLIB_PREFIX: Final = b'x'


def pack(payload: bytes) -> bytes:
    """Compress a payload unless it is small."""
    if len(payload) < _MIN_COMPRESSED_SIZE:
        return payload
    return zlib.compress(payload, _LEVEL)


def unpack(packed: bytes, max_size: int) -> bytes:
    """Decompress a payload, truncated so that it cannot exhaust the memory.

    Raise ``ValueError`` if it is not a result of :func:`pack`.

    >>> unpack(pack(bytes(1000)), 2000) == bytes(1000)
    True
    """
    if not packed.startswith(_ZLIB_PREFIX):
        return packed
    unpacker = zlib.decompressobj()
    try:
        payload = unpacker.decompress(packed, max_size)
    except zlib.error as error:
        raise ValueError(f'expected compressed bytes: {error}') from error
    if len(payload) < max_size and not unpacker.eof:
        raise ValueError('expected compressed bytes up to their end')
    return payload
