"""The entries that may own shared limits, and the owner of each limit."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from worksrail.core._rendezvous import rendezvous
from worksrail.core.identity import InstanceName
from worksrail.core.limits._messages import LimitName

# An entry trusts its view of the live entries if this contains at least this
# share of the known ones.  An entry that reaches fewer is cut off itself and
# must not take ownership of all limits.
_TRUSTED_SHARE: Final = 0.25


@dataclass(frozen=True, slots=True)
class Members:
    """The entries among which limits are distributed."""

    peers: Mapping[InstanceName, str]
    """Addresses of the live entries that accept requests, by name; includes
    this entry if it is one of them."""

    known: int
    """Number of known entries, including silent ones and this entry."""

    @property
    def unreachable_share(self) -> float:
        """Share of the known entries that cannot be reached."""
        return max(0, 1 - len(self.peers) / max(1, self.known))

    @property
    def trusted(self) -> bool:
        """Whether enough entries are reachable for the view to be right."""
        return len(self.peers) >= self.known * _TRUSTED_SHARE


@dataclass(slots=True)
class Owners:
    """Assigns an owner among the members to each limit.

    >>> Owners(0, Members({'a': 'a:1'}, 1)).owner_of('quota')
    'a'
    """

    since: float
    """Since when the members are unchanged; initially the start of this
    entry."""

    members: Members = field(default_factory=lambda: Members({}, 1))
    """The entries that may own limits."""

    assigned: dict[LimitName, InstanceName] = field(default_factory=dict)
    """Cached owners by limit."""

    def owner_of(self, name: LimitName) -> InstanceName:
        """Return the owner of a limit; empty while there are no members."""
        owner = self.assigned.get(name)
        if owner is None:
            owner = rendezvous(f'limit|{name}', self.members.peers)
            self.assigned[name] = owner
        return owner

    def replace(self, members: Members, now: float) -> bool:
        """Replace the members; return whether their names changed."""
        changed = members.peers.keys() != self.members.peers.keys()
        self.members = members
        if changed:
            self.since = now
            self.assigned = {}
        return changed
