"""The memory of executed idempotency keys.

Entries stay for longer than any ticket can be used, by the same clock that
judges the tickets.  When the memory is full, new keys are refused; a key is
never forgotten early to make room.
"""

from dataclasses import dataclass, field
from enum import Enum, unique


@unique
class KeyState(Enum):
    """What is known of a key."""

    FREE = 'never seen, or never executed'
    IN_PROGRESS = 'being executed'
    EXECUTED = 'executed, or perhaps executed'
    FULL = 'the memory is full'


@dataclass(slots=True)
class _Entry:
    state: KeyState
    expires: float


@dataclass(slots=True)
class KeyMemory:
    """Keys with their states, oldest first.

    >>> memory = KeyMemory(limit=10, retention=60)
    >>> memory.claim('a', wall=0), memory.claim('a', wall=1)
    (<KeyState.FREE: ...>, <KeyState.IN_PROGRESS: ...>)
    """

    limit: int
    """Most keys that are remembered."""

    retention: float
    """For how long a key is remembered, in seconds."""

    entries: dict[str, _Entry] = field(default_factory=dict)
    """Entries in the order of their expiry."""

    def claim(self, key: str, wall: float) -> KeyState:
        """Claim a key for execution; ``FREE`` means that it may run."""
        self._purge(wall)
        entry = self.entries.get(key)
        if entry:
            return entry.state
        if len(self.entries) >= self.limit:
            return KeyState.FULL
        self.entries[key] = _Entry(KeyState.IN_PROGRESS, wall + self.retention)
        return KeyState.FREE

    def finish(self, key: str, *, executed: bool) -> None:
        """Say whether a claimed key was, or may have been, executed."""
        entry = self.entries.get(key)
        if entry is None:
            return
        if executed:
            entry.state = KeyState.EXECUTED
        else:
            self.entries.pop(key)

    def _purge(self, wall: float) -> None:
        while self.entries:
            oldest = next(iter(self.entries))
            entry = self.entries[oldest]
            if entry.expires > wall or entry.state is KeyState.IN_PROGRESS:
                return
            self.entries.pop(oldest)
