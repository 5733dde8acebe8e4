"""Store updates, and the store revisions that an entry knows.

Only a few entries of a region read the store; the others sync from them. Each
entry advertises the revision up to which it knows each kind of object, and
serves the changes since a given revision.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.identity import ZoneName
from worksrail.core.steering._catalog import Catalog, UpstreamRecord
from worksrail.core.steering._routes import RoutingConfiguration
from worksrail.core.steering.kinds import StoreKind

# Maximum number of upstream changes to keep. An entry that is further behind
# gets the complete list.
_MAX_CHANGES: Final = 2000


@dataclass(frozen=True, slots=True)
class StoreUpdate:
    """A decoded update of one kind of object."""

    revision: int
    """Store revision that it reflects, from which the next update continues."""

    configuration: RoutingConfiguration | None = None
    """A version of the configuration, if there is one."""

    records: tuple[UpstreamRecord, ...] = ()
    """Upstreams, in the order of their changes."""

    zones: tuple[ZoneName, ...] = ()
    """Evacuated zones."""

    removed: tuple[str, ...] = ()
    """Names of removed objects; identifiers in the case of upstreams."""

    faults: tuple[str, ...] = ()
    """Objects that could not be decoded, with what was expected."""

    complete: bool = False
    """Whether it is a complete list instead of changes only."""

    missing: tuple[UpstreamRecord, ...] = ()
    """Upstreams that are no longer listed but may reappear after an outage of
    the store."""

    store_age: int | None = None
    """Tenths of a second since the store last answered any entry; None if no
    answer is known."""

    store_return: int | None = None
    """Tenths of a second since the store recovered from an outage, as long as
    upstreams may still reappear from it."""


@dataclass(slots=True)
class StoreSync:
    """The store revisions that this entry knows, and a change log."""

    revisions: dict[StoreKind, int] = field(
        default_factory=lambda: dict.fromkeys(StoreKind, 0)
    )
    """Revision up to which each kind is known; zero if it is unknown."""

    changed: dict[str, int] = field(default_factory=dict)
    """Revision at which each upstream last changed or was removed, by
    identifier."""

    complete_since: int = 0
    """Revision from which ``changed`` is complete."""

    def record_revision(self, kind: StoreKind, revision: int) -> None:
        """Record that a kind is known up to a revision."""
        self.revisions[kind] = max(self.revisions[kind], revision)

    def record_list(self, revision: int) -> None:
        """Record that all upstreams are known as of a revision."""
        self.changed.clear()
        self.complete_since = revision
        self.record_revision(StoreKind.UPSTREAMS, revision)

    def record_changes(self, names: Iterable[str], revision: int) -> None:
        """Record that some upstreams changed up to a revision."""
        for name in names:
            # A delayed update must not make a change look older than it is.
            known = self.changed.pop(name, 0)
            self.changed[name] = max(known, revision)
        while len(self.changed) > _MAX_CHANGES:
            oldest = next(iter(self.changed))
            self.complete_since = max(
                self.complete_since, self.changed.pop(oldest)
            )
        self.record_revision(StoreKind.UPSTREAMS, revision)

    def upstreams_since(self, catalog: Catalog, since: int) -> StoreUpdate:
        """Return the changes of upstreams since a revision."""
        revision = self.revisions[StoreKind.UPSTREAMS]
        if since <= 0 or since < self.complete_since:
            return _complete_update(catalog, revision)
        changed = [name for name, at in self.changed.items() if at > since]
        known = [catalog.current(name) for name in changed]
        listed = [
            upstream.record
            for upstream in known
            if upstream and upstream.name not in catalog.missing
        ]
        listed_ids = {record.discovery_id for record in listed}
        return StoreUpdate(
            revision,
            records=tuple(listed),
            # Missing upstreams are reported as removed: the receiver decides by
            # itself for how long they may reappear.
            removed=tuple(name for name in changed if name not in listed_ids),
        )


def _complete_update(catalog: Catalog, revision: int) -> StoreUpdate:
    listed: list[UpstreamRecord] = []
    missing: list[UpstreamRecord] = []
    for name, upstream in catalog.upstreams.items():
        group = missing if name in catalog.missing else listed
        group.append(upstream.record)
    return StoreUpdate(
        revision,
        records=tuple(listed),
        missing=tuple(missing),
        complete=True,
    )
