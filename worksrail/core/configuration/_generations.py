"""Generations: which configuration is in force, and which is to come.

Only a higher generation is ever applied, wherever news of it comes from.  A
stale read, or a store that was restored to an older state, changes nothing;
it is told apart from plain repetition so that operators hear of it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

from worksrail.core.bundle import Bundle, Drain, DrainKind, Topology
from worksrail.core.identity import RegionName
from worksrail.core.permits import PoolKey

_SEPARATOR: Final = '/'
_FETCH_RETRY: Final = 0.5


@unique
class HeadVerdict(Enum):
    """What news of a head means to this instance."""

    FETCH = 'newer: its bundle must be fetched'
    KNOWN = 'nothing new'
    OLDER = 'older than what is in force'
    FORKED = 'the generation in force, with another digest'


@dataclass(slots=True)
class Configuration:
    """The configuration of one instance.

    >>> Configuration().evaluate_head(1, 'd', now=0)
    <HeadVerdict.FETCH: 'newer: its bundle must be fetched'>
    """

    generation: int = 0
    """Generation in force; zero before the first."""

    digest: str = ''
    """Digest of the bundle in force."""

    topology: Topology | None = None
    """The bundle in force, compiled."""

    wanted: int = 0
    """Newest generation heard of."""

    wanted_digest: str = ''
    """Its digest."""

    wanted_since: float = 0
    """When it was first heard of."""

    fetching_until: float = 0
    """When an unanswered fetch is tried again."""

    applied_after: float = 0
    """Seconds from first news of the generation in force to its force."""

    drain_revision: int = 0
    """Revision of the drain list in force."""

    drain_targets: tuple[str, ...] = ()
    """``kind/name`` of each drain on the list."""

    listed_drains: frozenset[Drain] = field(default_factory=frozenset)
    """Drains on the list."""

    def region_of(self, upstream: str) -> RegionName:
        """Region of the upstream with a pool; empty if there is none."""
        topology = self.topology
        key = PoolKey(upstream)
        if topology is None or key not in topology.upstreams:
            return ''
        _, found = topology.upstreams[key]
        return topology.region_of_upstream(found)

    @property
    def drains(self) -> frozenset[Drain]:
        """All drains in force, of the bundle and of the list."""
        if self.topology is None:
            return self.listed_drains
        return self.listed_drains | self.topology.drains

    def evaluate_head(
        self, generation: int, digest: str, now: float
    ) -> HeadVerdict:
        """Take in news of a head."""
        if generation < self.generation:
            return HeadVerdict.OLDER
        if generation == self.generation:
            same = digest == self.digest or not generation
            return HeadVerdict.KNOWN if same else HeadVerdict.FORKED
        if generation > self.wanted:
            self.wanted = generation
            self.wanted_digest = digest
            self.wanted_since = now
            self.fetching_until = 0
        if now < self.fetching_until:
            return HeadVerdict.KNOWN
        self.fetching_until = now + _FETCH_RETRY
        return HeadVerdict.FETCH

    def needs_fetch(self, now: float) -> bool:
        """Whether a fetch that failed is due again."""
        return self.wanted > self.generation and now >= self.fetching_until

    def apply(
        self,
        generation: int,
        digest: str,
        bundle: Bundle,
        now: float,
    ) -> bool:
        """Bring a generation into force; false unless it is higher."""
        if generation <= self.generation:
            return False
        self.generation = generation
        self.digest = digest
        self.topology = Topology.from_bundle(bundle)
        if generation >= self.wanted:
            self.wanted = generation
            self.applied_after = now - self.wanted_since
        return True

    def apply_drains(self, revision: int, targets: tuple[str, ...]) -> bool:
        """Bring a drain list into force; false unless it is newer."""
        if revision <= self.drain_revision:
            return False
        self.drain_revision = revision
        self.drain_targets = targets
        self.listed_drains = drains_from_targets(targets)
        return True


def drains_from_targets(targets: Iterable[str]) -> frozenset[Drain]:
    """Read ``kind/name`` texts; unknown kinds are passed over.

    >>> drains_from_targets(['zone/gua-nicoya'])
    frozenset({Drain(kind=<DrainKind.ZONE: 'zone'>, name='gua-nicoya')})
    """
    known = {kind.value for kind in DrainKind}
    parted = [target.partition(_SEPARATOR) for target in targets]
    return frozenset(
        Drain(DrainKind(kind), name)
        for kind, _, name in parted
        if kind in known
    )
