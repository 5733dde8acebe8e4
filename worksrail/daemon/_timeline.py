"""Time line of a process's events, ordered by a hybrid logical clock.

Each stamp is wall time, advanced past every stamp received from other
instances, with a counter for ties.  In the merged time lines of several
instances the sending of a message therefore precedes its receipt, even if
their wall clocks differ.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import msgspec

from worksrail.core.effects import Note

_MAX_EVENTS: Final = 20_000


class Stamp(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A point on the time line."""

    wall: float
    """Wall-clock time in seconds, never before a received stamp."""

    count: int
    """Counter that orders stamps with equal times."""


class TimelineEvent(msgspec.Struct, frozen=True):
    """One event, as shown to operators."""

    at: Stamp
    """Stamp of the event."""

    instance: str
    """Name and incarnation of the instance."""

    kind: str
    """Kind of the event."""

    subject: str = ''
    """Object that the event concerns, such as an upstream."""

    trace: str = ''
    """Trace identifier of the request, if any."""

    generation: int = 0
    """Generation of the configuration, if any."""


@dataclass(slots=True)
class Timeline:
    """The most recent events of this process."""

    instance: str
    """Name and incarnation of this instance."""

    clock: Callable[[], float]
    """Wall-clock time in seconds."""

    events: deque[TimelineEvent] = field(
        default_factory=lambda: deque(maxlen=_MAX_EVENTS)
    )
    """The events, oldest first."""

    last: Stamp = Stamp(0, 0)
    """Latest stamp that was issued or received."""

    def stamp(self) -> Stamp:
        """Issue the next stamp, for an event or an outgoing message."""
        now = round(self.clock(), 6)
        if now > self.last.wall:
            self.last = Stamp(now, 0)
        else:
            self.last = Stamp(self.last.wall, self.last.count + 1)
        return self.last

    def observe(self, stamp: Stamp) -> None:
        """Advance the clock past the stamp of a received message."""
        self.last = max(self.last, stamp)

    def add(self, note: Note, trace: str) -> TimelineEvent:
        """Record a note of the reducer."""
        event = TimelineEvent(
            self.stamp(),
            self.instance,
            note.kind.value,
            note.subject,
            trace,
            note.generation,
        )
        self.events.append(event)
        return event

    def since(self, stamp: Stamp) -> list[TimelineEvent]:
        """Return the events after a stamp."""
        return [event for event in self.events if event.at > stamp]
