"""A bounded queue of requests that wait for a slot."""

from collections import deque
from dataclasses import dataclass, field

RequestId = int


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request in the queue."""

    request: RequestId
    """Number of the request."""

    give_up_at: float
    """When it is refused unless a slot became free."""


@dataclass(slots=True)
class RequestQueue:
    """Requests of one service in the order of arrival.

    A request is queued only if it is expected to get a slot in time; one
    whose expected wait exceeds its timeout is refused at once, as *not run*.
    """

    limit: int
    """Maximum number of requests in the queue."""

    entries: deque[QueuedRequest] = field(default_factory=deque)
    """Queued requests, oldest first."""

    removed: set[RequestId] = field(default_factory=set)
    """Requests among the entries that were removed from the queue."""

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self.entries) - len(self.removed)

    def expected_wait(self, service_time: float, slots: int) -> float:
        """Return the expected seconds until a slot for a request queued now."""
        if slots <= 0:
            return float('inf')
        return (len(self) + 1) * service_time / slots

    def put(self, waiting: QueuedRequest) -> bool:
        """Queue a request; return false if the queue is full."""
        if len(self) >= self.limit:
            return False
        self.entries.append(waiting)
        return True

    def pop(self) -> QueuedRequest | None:
        """Remove and return the oldest request."""
        while self.entries:
            waiting = self.entries.popleft()
            if waiting.request not in self.removed:
                return waiting
            self.removed.discard(waiting.request)
        return None

    def put_first(self, waiting: QueuedRequest) -> None:
        """Put a request back at the front of the queue."""
        self.entries.appendleft(waiting)

    def remove(self, request: RequestId) -> None:
        """Remove a request from any position."""
        self.removed.add(request)

    def expired(self, now: float) -> list[RequestId]:
        """Remove and return the requests whose waiting time has expired."""
        expired = [
            waiting.request
            for waiting in self.entries
            if waiting.give_up_at <= now and waiting.request not in self.removed
        ]
        self.removed.update(expired)
        self._drop_removed()
        return expired

    def _drop_removed(self) -> None:
        while self.entries and self.entries[0].request in self.removed:
            self.removed.discard(self.entries.popleft().request)
