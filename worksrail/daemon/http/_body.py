"""A request body on its way: streamed, and kept while it is small."""

import asyncio
import hashlib
from collections import deque
from dataclasses import dataclass, field
from typing import Final

REPLAY_LIMIT: Final = 65_536
_HIGH_WATER: Final = 262_144
# Bytes at the begin of a body by which a long one is known again.
_LEAD_BYTES: Final = 16_384
_DIGEST_BYTES: Final = 16


@dataclass(slots=True)
class BodyStream:
    """Chunks between the caller's connection and the next one.

    While the whole body fits into ``REPLAY_LIMIT`` it is kept, so that a
    request which was certainly not run can be sent again.
    """

    kept: list[bytes] = field(default_factory=list)
    """All chunks so far, while the body is small."""

    lead: bytearray = field(default_factory=bytearray)
    """The first bytes of the body."""

    pending: deque[bytes] = field(default_factory=deque)
    """Chunks that have not been read."""

    size: int = 0
    """Bytes so far."""

    waiting_bytes: int = 0
    """Bytes that have not been read."""

    ended: bool = False
    """The body is complete."""

    broken: bool = False
    """The caller broke off within the body."""

    changed: asyncio.Event = field(default_factory=asyncio.Event)
    """Set when something was added."""

    drained: asyncio.Event = field(default_factory=asyncio.Event)
    """Set when there is room for more."""

    @classmethod
    def from_bytes(cls, body: bytes) -> 'BodyStream':
        """A body that is there already; nobody waits for its reader."""
        stream = cls(ended=True)
        if body:
            stream.pending.append(body)
        return stream

    @property
    def replayable(self) -> bool:
        """Whether the body so far is kept in full."""
        return self.size <= REPLAY_LIMIT

    @property
    def has_lead(self) -> bool:
        """Whether enough has come to know a long body again."""
        return len(self.lead) >= _LEAD_BYTES

    def digest(self, declared: str) -> bytes:
        """Hash of the body, or of what is known of a long one.

        A body that goes on while it is sent is known by its first bytes and
        its declared length; the chunks in which it comes make no difference.

        >>> BodyStream(ended=True).digest('')
        b''
        """
        if self.ended and self.replayable:
            if not self.size:
                return b''
            known = b''.join(self.kept)
            return _hash(b'whole', known)
        return _hash(f'long {declared}'.encode(), bytes(self.lead))

    def note_lead(self, chunk: bytes) -> None:
        """Keep the first bytes; called before a chunk is fed."""
        room = _LEAD_BYTES - len(self.lead)
        if room > 0:
            self.lead += chunk[:room]

    async def feed(self, chunk: bytes) -> None:
        """Add a chunk; waits while too much has not been read."""
        self.size += len(chunk)
        self.waiting_bytes += len(chunk)
        self.pending.append(chunk)
        if self.replayable:
            self.kept.append(chunk)
        else:
            self.kept.clear()
        self.changed.set()
        while self.waiting_bytes > _HIGH_WATER and not self.broken:
            self.drained.clear()
            await self.drained.wait()

    def end(self) -> None:
        """Mark the body as complete."""
        self.ended = True
        self.changed.set()

    def break_off(self) -> None:
        """Mark the body as broken off."""
        self.broken = True
        self.changed.set()
        self.drained.set()

    def rewind(self) -> None:
        """Start reading from the beginning again; only while replayable."""
        self.pending = deque(self.kept)
        self.waiting_bytes = sum(len(chunk) for chunk in self.kept)

    async def read(self) -> bytes | None:
        """Next chunk, or None at the end; raises when broken off."""
        while not self.pending:
            if self.broken:
                raise ConnectionAbortedError('the caller broke off')
            if self.ended:
                return None
            self.changed.clear()
            await self.changed.wait()
        chunk = self.pending.popleft()
        self.waiting_bytes -= len(chunk)
        self.drained.set()
        return chunk


def _hash(kind: bytes, content: bytes) -> bytes:
    hasher = hashlib.blake2b(content, digest_size=_DIGEST_BYTES)
    hasher.update(kind)
    return hasher.digest()
