"""The memory of executed idempotency keys.

A key is kept for longer than any ticket is valid, by the clock that also
decides whether tickets are valid.  When the memory is full, new keys are
refused; no key is evicted early to free space.
"""

from dataclasses import dataclass, field
from enum import Enum, unique


@unique
class KeyState(Enum):
    """State of an idempotency key."""

    FREE = 'not seen, or not executed'
    IN_PROGRESS = 'being executed'
    EXECUTED = 'executed, or possibly executed'
    FULL = 'the memory is full'


@dataclass(slots=True)
class _Entry:
    state: KeyState
    expires_at: float


@dataclass(slots=True)
class KeyMemory:
    """Idempotency keys with their states, oldest first.

    >>> memory = KeyMemory(limit=10, retention=60)
    >>> memory.claim('a', wall=0), memory.claim('a', wall=1)
    (<KeyState.FREE: ...>, <KeyState.IN_PROGRESS: ...>)
    """

    limit: int
    """Maximum number of keys."""

    retention: float
    """How long a key is kept, in seconds."""

    entries: dict[str, _Entry] = field(default_factory=dict)
    """Entries in the order of their expiry."""

    def claim(self, key: str, wall: float) -> KeyState:
        """Claim a key; ``FREE`` means that the request may be executed."""
        self._remove_expired(wall)
        entry = self.entries.get(key)
        if entry:
            return entry.state
        if len(self.entries) >= self.limit:
            return KeyState.FULL
        self.entries[key] = _Entry(KeyState.IN_PROGRESS, wall + self.retention)
        return KeyState.FREE

    def finish(self, key: str, *, executed: bool) -> None:
        """Record whether a claimed request was, or may have been, executed."""
        entry = self.entries.get(key)
        if entry is None:
            return
        if executed:
            entry.state = KeyState.EXECUTED
        else:
            self.entries.pop(key)

    def _remove_expired(self, wall: float) -> None:
        while self.entries:
            oldest = next(iter(self.entries))
            entry = self.entries[oldest]
            if entry.expires_at > wall or entry.state is KeyState.IN_PROGRESS:
                return
            self.entries.pop(oldest)
