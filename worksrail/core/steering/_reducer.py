"""The reducer over all events of an entry with discovered upstreams.

It performs no I/O, reads no clock and takes randomness only from its seeded
state. :mod:`worksrail.core.reducer` is its counterpart for upstreams that are
defined in bundles.
"""

from collections.abc import Callable, Iterator
from typing import Any, Final

from worksrail.core.steering import (
    _admitting,
    _availability,
    _discovery,
    _failing,
    _on_digests,
    _on_passing,
    _on_requests,
    _on_store,
    _on_store_answers,
    _on_time,
    _pacing,
    _probing,
    _reloading,
    _stopping,
    _store_watch,
)
from worksrail.core.steering.effects import Effect
from worksrail.core.steering.events import (
    AttemptEnded,
    CallerGone,
    DigestReceived,
    Event,
    LimitMessageReceived,
    NoticeReceived,
    PacingMessageReceived,
    PassedRequestArrived,
    PassEnded,
    PathProbed,
    RequestArrived,
    SettingsReloaded,
    StopRequested,
    StoreUpdateFailed,
    StoreUpdateFetched,
    Ticked,
)
from worksrail.core.steering.state import SteeringState

_Handler = Callable[[SteeringState, Any], Iterator[Effect]]

_HANDLERS: Final[dict[type, _Handler]] = {
    Ticked: _on_time.on_tick,
    StoreUpdateFetched: _store_watch.on_update_fetched,
    StoreUpdateFailed: _store_watch.on_update_failed,
    DigestReceived: _on_digests.on_digest,
    LimitMessageReceived: _admitting.on_limit_message,
    PacingMessageReceived: _pacing.on_pacing_message,
    StopRequested: _stopping.on_stop,
    **_on_store_answers.HANDLERS,
    **_on_store.HANDLERS,
    RequestArrived: _on_requests.on_arrival,
    CallerGone: _on_requests.on_caller_gone,
    **_failing.HANDLERS,
    **_discovery.HANDLERS,
    AttemptEnded: _on_requests.on_attempt_ended,
    NoticeReceived: _availability.on_notice,
    PassEnded: _on_passing.on_pass_ended,
    PassedRequestArrived: _on_passing.on_passed_arrival,
    PathProbed: _probing.on_path_probed,
    SettingsReloaded: _reloading.on_settings_reloaded,
}


def reduce(state: SteeringState, event: Event) -> list[Effect]:
    """Apply one event to the state and return the effects to perform.

    An unexpected error ends the request of the event, or a step of the work
    that is due; it is an effect, too, and leaves all others as they are.
    """
    now = event.now
    effects = list(_failing.run_step(state, _on_time.on_pause, now))
    effects.extend(_failing.run_handler(state, event, _HANDLERS[type(event)]))
    if not state.ready:
        effects.extend(_failing.run_step(state, _on_time.become_ready, now))
    if state.leaving:
        state.stop_account.record(event, effects)
    return effects
