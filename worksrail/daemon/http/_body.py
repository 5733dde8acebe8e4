"""Request bodies: streamed, and buffered for replay while small."""

import asyncio
import hashlib
from collections import deque
from dataclasses import dataclass, field
from typing import Final

REPLAY_LIMIT: Final = 65_536
_HIGH_WATER: Final = 262_144
MAX_HELD_BYTES: Final = REPLAY_LIMIT + _HIGH_WATER
"""Maximum number of bytes of one body that are held."""
# Number of leading bytes by which a long body is recognized.
_PREFIX_BYTES: Final = 16_384
_DIGEST_BYTES: Final = 16


@dataclass(slots=True)
class BodyStream:
    """Body chunks between the caller's connection and the outgoing one.

    While the body fits into ``REPLAY_LIMIT`` all of it is kept, so that a
    request that was certainly not run can be sent again.
    """

    kept: list[bytes] = field(default_factory=list)
    """All chunks received so far, while the body is small enough to replay."""

    prefix: bytearray = field(default_factory=bytearray)
    """The first bytes of the body."""

    pending: deque[bytes] = field(default_factory=deque)
    """Chunks not read yet."""

    size: int = 0
    """Bytes received so far."""

    unread_bytes: int = 0
    """Bytes received but not read yet."""

    ended: bool = False
    """Whether the body is complete."""

    broken: bool = False
    """Whether the caller disconnected within the body."""

    changed: asyncio.Event = field(default_factory=asyncio.Event)
    """Set when a chunk arrives or the body ends."""

    drained: asyncio.Event = field(default_factory=asyncio.Event)
    """Set when a chunk was read or the body was aborted."""

    @classmethod
    def from_bytes(cls, body: bytes) -> 'BodyStream':
        """Create a complete body from bytes that are already present."""
        stream = cls(ended=True)
        if body:
            stream.pending.append(body)
        return stream

    @property
    def replayable(self) -> bool:
        """Whether the body so far is kept in full."""
        return self.size <= REPLAY_LIMIT

    @property
    def has_prefix(self) -> bool:
        """Whether enough bytes have arrived to recognize a long body."""
        return len(self.prefix) >= _PREFIX_BYTES

    def digest(self, declared: str) -> bytes:
        """Hash of the body, or of the prefix and declared length of a long one.

        A body that is forwarded while it still arrives is identified by its
        first bytes and its declared length, however it is split into chunks.

        >>> BodyStream(ended=True).digest('')
        b''
        """
        if self.ended and self.replayable:
            if not self.size:
                return b''
            known = b''.join(self.kept)
            return _hash(b'whole', known)
        return _hash(f'long {declared}'.encode(), bytes(self.prefix))

    def record_prefix(self, chunk: bytes) -> None:
        """Add a chunk to the prefix; to be called before the chunk is fed."""
        missing = _PREFIX_BYTES - len(self.prefix)
        if missing > 0:
            self.prefix += chunk[:missing]

    async def feed(self, chunk: bytes) -> None:
        """Add a chunk; waits while too many bytes are unread."""
        self.size += len(chunk)
        self.unread_bytes += len(chunk)
        self.pending.append(chunk)
        if self.replayable:
            self.kept.append(chunk)
        else:
            self.kept.clear()
        self.changed.set()
        while self.unread_bytes > _HIGH_WATER and not self.broken:
            self.drained.clear()
            await self.drained.wait()

    def end(self) -> None:
        """Mark the body as complete."""
        self.ended = True
        self.changed.set()

    def break_off(self) -> None:
        """Mark the body as aborted by the caller."""
        self.broken = True
        self.changed.set()
        self.drained.set()

    def replay(self) -> 'BodyStream':
        """Return this body from its beginning, to be read beside it.

        A body that is not kept in full is returned itself.
        """
        if not self.ended or not self.replayable:
            return self
        return BodyStream(self.kept, pending=deque(self.kept), ended=True)

    def rewind(self) -> None:
        """Restart reading from the beginning; only valid if replayable."""
        self.pending = deque(self.kept)
        self.unread_bytes = sum(len(chunk) for chunk in self.kept)

    async def read(self) -> bytes | None:
        """Return the next chunk, or None at the end; raises if aborted."""
        while not self.pending:
            if self.broken:
                raise ConnectionAbortedError(
                    'the caller disconnected within the request body'
                )
            if self.ended:
                return None
            self.changed.clear()
            await self.changed.wait()
        chunk = self.pending.popleft()
        self.unread_bytes -= len(chunk)
        self.drained.set()
        return chunk


def _hash(kind: bytes, content: bytes) -> bytes:
    hasher = hashlib.blake2b(content, digest_size=_DIGEST_BYTES)
    hasher.update(kind)
    return hasher.digest()
