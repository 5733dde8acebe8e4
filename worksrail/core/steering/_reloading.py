"""Settings that change while the entry runs."""

from collections.abc import Iterator

from worksrail.core.steering.effects import Effect
from worksrail.core.steering.events import SettingsReloaded
from worksrail.core.steering.state import SteeringState


def on_settings_reloaded(
    state: SteeringState, event: SettingsReloaded
) -> Iterator[Effect]:
    """Replace the settings, and contact the entries that they name.

    Without the new seeds, an entry whose first ones were all stale would stay
    a fleet of its own, and own all limits beside the others.
    """
    seeds = event.settings.seeds
    if seeds != state.settings.seeds:
        state.fleet.follow_seeds(seeds, event.now)
        state.limits.seeds = seeds
    state.settings = event.settings
    yield from ()
