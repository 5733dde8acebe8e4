"""Entries that learn at different times which of them live."""

from dataclasses import dataclass, field
from functools import partial
from typing import Final

from worksrail.bench.limits._network import Network
from worksrail.bench.limits._plan import ZONES
from worksrail.bench.limits._ways import OwnedQuotas
from worksrail.core.limits import Members

# Seconds after which an entry hears of its own zone, and of another one.
_NEAR: Final = 0.2
_FAR: Final = 0.6


@dataclass(slots=True)
class StaggeredQuotas(OwnedQuotas):
    """Owned quotas whose entries hear of each zone at a time of their own.

    An entry that has just started knows itself only.
    """

    views: dict[int, set[int]] = field(default_factory=dict)
    """Entries that each entry takes to be alive."""

    known: dict[int, set[int]] = field(default_factory=dict)
    """Entries that each entry has heard of."""

    @classmethod
    def of(cls, network: Network) -> 'StaggeredQuotas':
        """Entries of a network, none of which has been told anything."""
        return cls(network)

    def join(self, alive: frozenset[int]) -> None:
        """Tell each entry of each zone, after a while."""
        if not self.views:
            fleet = range(self.network.entries)
            self.views = {entry: set(alive) for entry in fleet}
            self.known = {entry: set(alive) for entry in fleet}
            OwnedQuotas.join(self, alive)
            return
        for entry in alive:
            for zone in range(ZONES):
                own = zone == entry % ZONES
                delay = self.network.rng.uniform(0, _NEAR if own else _FAR)
                self.network.after(delay, partial(self._hear, entry, zone))

    def restart(self, entry: int) -> None:
        """An entry begins anew and knows itself only."""
        OwnedQuotas.restart(self, entry)
        self.views[entry] = {entry}
        self.known[entry] = {entry}

    def _hear(self, entry: int, zone: int) -> None:
        away = self.network.away
        if entry in away:
            return
        members = {
            one for one in range(self.network.entries) if one % ZONES == zone
        }
        view = self.views[entry]
        view -= members & away
        view |= members - away
        self.known[entry] |= view
        peers = {str(one): str(one) for one in sorted(view)}
        self.states[entry].update_members(
            Members(peers, len(self.known[entry])), self.network.now
        )
        self._run(entry)
