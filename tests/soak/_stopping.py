"""Entries that stop all the while, under long calls and few slots."""

from typing import Any

from tests.soak._slot_queue import SlotQueue
from tests.soak._world import SoakWorld

# Callers of each entry, so many that some requests wait and some find no place.
CALLERS = 8
# Seconds that callers wait, by turns: some wait beyond the grace period.
PATIENCE = (2.0, 9.0, 4.0, 9.0)
# Seconds of the grace period, and until which a route lets a call last.
_GRACE = 4.0
_TIMEOUT = 10.0
_SLOTS = 3
_PLACES = 3
_LONG_SHARE = 0.3
_LONG_EXECUTION = (0.5, 6.0)
_TIMEOUT_COLUMN = 'TimeoutS'


class StoppingWorld(SoakWorld):
    """A world of long calls whose entries have a short grace period."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.grace = _GRACE

    def slot_queue(self) -> SlotQueue:
        return SlotQueue(
            _SLOTS,
            _PLACES,
            long_share=_LONG_SHARE,
            long_execution=_LONG_EXECUTION,
        )

    def document(self, service: str) -> dict[str, Any]:
        document = super().document(service)
        set_timeouts(document, _TIMEOUT)
        return document

    def end_long_calls(self) -> None:
        """Execute shortly from now on, so that all entries can be served."""
        for upstream in self.upstreams:
            upstream.slot_queue.long_share = 0


def set_timeouts(document: dict[str, Any], seconds: float) -> None:
    """Let the routes of a configuration wait for so long."""
    routes = document['Routes']
    place = routes['Columns'].index(_TIMEOUT_COLUMN)
    for row in routes['Rows']:
        row[place] = seconds
