"""Generations: the configuration in force and the newest known one.

Only a higher generation is ever applied, whatever its source.  A stale read,
or a store that was restored to an older state, changes nothing; it is
distinguished from a repetition, so that it can be reported to operators.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

from worksrail.core.bundle import Bundle, Drain, DrainKind, Topology
from worksrail.core.identity import RegionName
from worksrail.core.permits import PoolKey

_SEPARATOR: Final = '/'
_FETCH_RETRY_S: Final = 0.5


@unique
class HeadVerdict(Enum):
    """How a received head relates to the generation in force."""

    FETCH = 'newer: its bundle must be fetched'
    KNOWN = 'already known'
    OLDER = 'older than the generation in force'
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
    """Newest known generation."""

    wanted_digest: str = ''
    """Its digest."""

    first_seen_at: float = 0
    """When it was first seen."""

    fetching_until: float = 0
    """When a fetch without an answer is retried."""

    applied_after: float = 0
    """Seconds between first seeing the generation in force and applying it."""

    drain_revision: int = 0
    """Revision of the drain list in force."""

    drain_targets: tuple[str, ...] = ()
    """``kind/name`` of each drain on the list."""

    listed_drains: frozenset[Drain] = field(default_factory=frozenset)
    """Drains on the list."""

    def region_of(self, upstream: str) -> RegionName:
        """Return the region of the upstream with a slot pool; '' if unknown."""
        topology = self.topology
        key = PoolKey(upstream)
        if topology is None or key not in topology.upstreams:
            return ''
        _, record = topology.upstreams[key]
        return topology.region_of_upstream(record)

    @property
    def drains(self) -> frozenset[Drain]:
        """All drains in force, of the bundle and of the list."""
        if self.topology is None:
            return self.listed_drains
        return self.listed_drains | self.topology.drains

    def evaluate_head(
        self, generation: int, digest: str, now: float
    ) -> HeadVerdict:
        """Compare a received head with the generation in force."""
        if generation < self.generation:
            return HeadVerdict.OLDER
        if generation == self.generation:
            same = digest == self.digest or not generation
            return HeadVerdict.KNOWN if same else HeadVerdict.FORKED
        if generation > self.wanted:
            self.wanted = generation
            self.wanted_digest = digest
            self.first_seen_at = now
            self.fetching_until = 0
        if now < self.fetching_until:
            return HeadVerdict.KNOWN
        self.fetching_until = now + _FETCH_RETRY_S
        return HeadVerdict.FETCH

    def needs_fetch(self, now: float) -> bool:
        """Return whether a failed fetch is due for a retry."""
        return self.wanted > self.generation and now >= self.fetching_until

    def apply(
        self,
        generation: int,
        digest: str,
        bundle: Bundle,
        now: float,
    ) -> bool:
        """Apply a generation; return false unless it is higher."""
        if generation <= self.generation:
            return False
        self.generation = generation
        self.digest = digest
        self.topology = Topology.from_bundle(bundle)
        if generation >= self.wanted:
            self.wanted = generation
            self.applied_after = now - self.first_seen_at
        return True

    def apply_drains(self, revision: int, targets: tuple[str, ...]) -> bool:
        """Apply a drain list; return false unless it is newer."""
        if revision <= self.drain_revision:
            return False
        self.drain_revision = revision
        self.drain_targets = targets
        self.listed_drains = drains_from_targets(targets)
        return True


def drains_from_targets(targets: Iterable[str]) -> frozenset[Drain]:
    """Parse ``kind/name`` texts; unknown kinds are skipped.

    >>> drains_from_targets(['zone/gua-nicoya'])
    frozenset({Drain(kind=<DrainKind.ZONE: 'zone'>, name='gua-nicoya')})
    """
    known = {kind.value for kind in DrainKind}
    parts = [target.partition(_SEPARATOR) for target in targets]
    return frozenset(
        Drain(DrainKind(kind), name) for kind, _, name in parts if kind in known
    )
