"""The reducer: applies an event to the state and returns the effects.

The reducer does no I/O, reads no clock and uses no randomness except the
seeded generator in its state.  The daemon, the scenarios and the differential
tests all run this function.
"""

from collections.abc import Callable, Iterator
from typing import Any, Final

from worksrail.core import (
    _arriving,
    _availability,
    _on_configuration,
    _on_messages,
    _on_requests,
    _on_time,
)
from worksrail.core.effects import Effect
from worksrail.core.events import (
    AttemptEnded,
    BundleFetched,
    BundleFetchFailed,
    CallerGone,
    DrainsSeen,
    Event,
    HeadSeen,
    InstanceListRead,
    MessageReceived,
    NoticeReceived,
    PassEnded,
    RequestArrived,
    SeatTableRead,
    SeatTableWritten,
    StopRequested,
    Ticked,
)
from worksrail.core.instance import Instance

_Handler = Callable[[Instance, Any], Iterator[Effect]]

_HANDLERS: Final[dict[type, _Handler]] = {
    Ticked: _on_time.on_tick,
    MessageReceived: _on_messages.on_message,
    InstanceListRead: _on_time.on_instance_list,
    SeatTableRead: _on_time.on_seat_table,
    SeatTableWritten: _on_time.on_seats_written,
    HeadSeen: _on_configuration.on_head_seen,
    DrainsSeen: _on_configuration.on_drains_seen,
    BundleFetched: _on_configuration.on_bundle_fetched,
    BundleFetchFailed: _on_configuration.on_fetch_failed,
    RequestArrived: _arriving.on_arrival,
    CallerGone: _on_requests.on_caller_gone,
    NoticeReceived: _availability.on_notice,
    AttemptEnded: _on_requests.on_attempt_ended,
    PassEnded: _on_requests.on_pass_ended,
    StopRequested: _on_time.on_stop,
}


def reduce(instance: Instance, event: Event) -> list[Effect]:
    """Apply one event to the state and return the effects to run.

    A gap before the event that exceeds the pause limit means that the process
    was suspended: it rejoins as a new incarnation before handling the event.
    """
    effects: list[Effect] = []
    gap = event.now - instance.last_event_at
    instance.last_event_at = event.now
    if gap > instance.settings.pause_limit:
        effects.extend(_on_time.rejoin_after_pause(instance, event.now))
    effects.extend(_HANDLERS[type(event)](instance, event))
    return effects
