"""Who may own shared limits, and who owns which."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from worksrail.core._rendezvous import rendezvous
from worksrail.core.identity import InstanceName
from worksrail.core.limits._messages import LimitName

# Share of the entries that were heard of from which an entry trusts its view
# of who lives: one that hears fewer is cut off itself, and must not take all
# limits for its own.
_TRUSTED_VIEW: Final = 0.25


@dataclass(frozen=True, slots=True)
class Members:
    """The entries among which limits have their owners."""

    peers: Mapping[InstanceName, str]
    """Addresses of the entries that live and take requests, by name; the own
    one among them if it does."""

    known: int
    """Entries that were heard of, the silent ones and the own one included."""

    @property
    def silent_share(self) -> float:
        """Share of all entries that cannot be heard."""
        return max(0, 1 - len(self.peers) / max(1, self.known))

    @property
    def trusted(self) -> bool:
        """Whether so many are heard that the own view can be right."""
        return len(self.peers) >= self.known * _TRUSTED_VIEW


@dataclass(slots=True)
class Owners:
    """Draws the owner of each limit among the members.

    >>> Owners(0, Members({'a': 'a:1'}, 1)).owner_of('quota')
    'a'
    """

    since: float
    """Since when the members are the same; first, when this entry began."""

    members: Members = field(default_factory=lambda: Members({}, 1))
    """Who may own limits."""

    drawn: dict[LimitName, InstanceName] = field(default_factory=dict)
    """Owners that were drawn among them."""

    def owner_of(self, name: LimitName) -> InstanceName:
        """Owner of a limit; empty while nobody is known."""
        owner = self.drawn.get(name)
        if owner is None:
            owner = rendezvous(f'limit|{name}', self.members.peers)
            self.drawn[name] = owner
        return owner

    def replace(self, members: Members, now: float) -> bool:
        """Take in who lives; true if other entries do than before."""
        moved = members.peers.keys() != self.members.peers.keys()
        self.members = members
        if moved:
            self.since = now
            self.drawn = {}
        return moved
