"""When an entry that was asked to stop takes, sends and ends requests."""

from typing import Final

from worksrail.core.steering.state import SteeringState

# Shares of the grace period after the stop request.  Callers may come with a
# look-up answer that lists this entry until the first one.  Requests are taken
# a little less long, as a busy process handles the signal late.
_LINGER_SHARE: Final = 0.5
_LAST_ARRIVAL_SHARE: Final = 0.48
# The process exits at the last one, whatever is still under way.
_FORCED_EXIT_SHARE: Final = 0.95


def takes_requests(state: SteeringState, now: float) -> bool:
    """Return whether a request that arrives now has time to be answered."""
    return now <= _time_at(state, _LAST_ARRIVAL_SHARE)


def lingers(state: SteeringState, now: float) -> bool:
    """Return whether callers may still come who do not know of the stop."""
    return state.ready and now <= _time_at(state, _LINGER_SHARE)


def exits_at(state: SteeringState) -> float:
    """Return when the process exits at the latest; infinite without a stop."""
    return _time_at(state, _FORCED_EXIT_SHARE)


def _time_at(state: SteeringState, share: float) -> float:
    return state.leaving_at + state.settings.bounds.grace_period * share
