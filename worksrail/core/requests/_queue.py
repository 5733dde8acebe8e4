"""The short, bounded queue of requests that wait for a slot."""

from collections import deque
from dataclasses import dataclass, field

RequestId = int


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits."""

    request: RequestId
    """Which request."""

    give_up_at: float
    """When it is refused if no slot became free."""


@dataclass(slots=True)
class RequestQueue:
    """Requests of one service in the order of arrival.

    A request enters only when it is expected to leave in time; one that
    would outlast its own patience is refused at once, as *not run*.
    """

    limit: int
    """Most requests that wait."""

    entries: deque[QueuedRequest] = field(default_factory=deque)
    """Waiting requests, oldest first."""

    gone: set[RequestId] = field(default_factory=set)
    """Requests among the entries that were taken out."""

    def __len__(self) -> int:
        """Count the waiting requests."""
        return len(self.entries) - len(self.gone)

    def expected_wait(self, service_time: float, servers: int) -> float:
        """Seconds until a request that enters now would be served."""
        if servers <= 0:
            return float('inf')
        return (len(self) + 1) * service_time / servers

    def put(self, waiting: QueuedRequest) -> bool:
        """Let a request wait; false when the queue is full."""
        if len(self) >= self.limit:
            return False
        self.entries.append(waiting)
        return True

    def pop(self) -> QueuedRequest | None:
        """Take out the oldest request."""
        while self.entries:
            waiting = self.entries.popleft()
            if waiting.request not in self.gone:
                return waiting
            self.gone.discard(waiting.request)
        return None

    def put_first(self, waiting: QueuedRequest) -> None:
        """Let a request wait at the front again."""
        self.entries.appendleft(waiting)

    def remove(self, request: RequestId) -> None:
        """Take out a request wherever it stands."""
        self.gone.add(request)

    def expired(self, now: float) -> list[RequestId]:
        """Take out and give the requests whose patience has ended."""
        late = [
            waiting.request
            for waiting in self.entries
            if waiting.give_up_at <= now and waiting.request not in self.gone
        ]
        self.gone.update(late)
        self._compact()
        return late

    def _compact(self) -> None:
        while self.entries and self.entries[0].request in self.gone:
            self.gone.discard(self.entries.popleft().request)
