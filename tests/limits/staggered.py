"""Quotas over entries that learn at different times which of them are live."""

from dataclasses import dataclass, field
from functools import partial
from typing import Final

from worksrail.bench.limits._network import Network
from worksrail.bench.limits._plan import ZONES
from worksrail.bench.limits._ways import OwnedQuotas
from worksrail.core.limits import Members

# Maximum seconds until an entry learns of its own zone, and of another one.
_NEAR: Final = 0.2
_FAR: Final = 0.6


@dataclass(slots=True)
class StaggeredQuotas(OwnedQuotas):
    """Owned quotas whose entries learn of each zone after individual delays.

    An entry that has just started knows only itself.
    """

    views: dict[int, set[int]] = field(default_factory=dict)
    """Entries that each entry considers live."""

    known: dict[int, set[int]] = field(default_factory=dict)
    """Entries that each entry knows."""

    @classmethod
    def of(cls, network: Network) -> 'StaggeredQuotas':
        """Create the entries of a network; none knows any other."""
        return cls(network)

    def join(self, alive: frozenset[int]) -> None:
        """Let each entry learn of each zone, after a random delay."""
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
                self.network.after(
                    delay, partial(self._update_view, entry, zone)
                )

    def restart(self, entry: int) -> None:
        """Restart an entry, which then knows only itself."""
        OwnedQuotas.restart(self, entry)
        self.views[entry] = {entry}
        self.known[entry] = {entry}

    def _update_view(self, entry: int, zone: int) -> None:
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
