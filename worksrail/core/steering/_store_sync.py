"""News of the store, and how far each entry has followed it.

Few entries of a zone read the store; the others learn from them.  Each entry
tells up to which revision it knows each kind of object, and hands on what
has changed since a revision.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.identity import ZoneName
from worksrail.core.steering._catalog import Catalog, UpstreamRecord
from worksrail.core.steering._routes import RoutingConfiguration
from worksrail.core.steering.kinds import StoreKind

# Changes of upstreams that are remembered; one who is further behind gets
# the complete list.
_CHANGES_KEPT: Final = 2000


@dataclass(frozen=True, slots=True)
class StoreUpdate:
    """What is new of one kind of object, decoded."""

    revision: int
    """Revision of the store that it reflects; go on from here."""

    configuration: RoutingConfiguration | None = None
    """A version of the configuration, if there is one."""

    records: tuple[UpstreamRecord, ...] = ()
    """Upstreams, in the order of their changes."""

    zones: tuple[ZoneName, ...] = ()
    """Zones to be evacuated."""

    removed: tuple[str, ...] = ()
    """Names of objects that were removed; identifiers of upstreams."""

    faults: tuple[str, ...] = ()
    """Objects that could not be decoded, and what was expected."""

    complete: bool = False
    """Whether it tells everything instead of what has changed."""

    missing: tuple[UpstreamRecord, ...] = ()
    """Upstreams that are listed no more and may return, since the store has
    been away."""

    store_age: int | None = None
    """Tenths of a second since the store answered anybody; None if it has not
    been heard."""

    store_return: int | None = None
    """Tenths of a second since it came back from an outage, if upstreams may
    still return from that."""


@dataclass(slots=True)
class StoreSync:
    """How far this entry knows the store, and what changed when."""

    revisions: dict[StoreKind, int] = field(
        default_factory=lambda: dict.fromkeys(StoreKind, 0)
    )
    """Revision up to which each kind is known; zero: not at all."""

    changed: dict[str, int] = field(default_factory=dict)
    """Revision at which each upstream changed last, or was removed, by
    identifier."""

    floor: int = 0
    """Revision from which ``changed`` is complete."""

    def note(self, kind: StoreKind, revision: int) -> None:
        """A kind is known up to a revision."""
        self.revisions[kind] = max(self.revisions[kind], revision)

    def note_list(self, revision: int) -> None:
        """All upstreams are known as of a revision."""
        self.changed.clear()
        self.floor = revision
        self.note(StoreKind.UPSTREAMS, revision)

    def note_changes(self, names: Iterable[str], revision: int) -> None:
        """Some upstreams have changed up to a revision."""
        for name in names:
            # Late news must not make a change look older than it is.
            known = self.changed.pop(name, 0)
            self.changed[name] = max(known, revision)
        while len(self.changed) > _CHANGES_KEPT:
            oldest = next(iter(self.changed))
            self.floor = max(self.floor, self.changed.pop(oldest))
        self.note(StoreKind.UPSTREAMS, revision)

    def upstreams_since(self, catalog: Catalog, since: int) -> StoreUpdate:
        """What has changed of upstreams since a revision."""
        revision = self.revisions[StoreKind.UPSTREAMS]
        if since <= 0 or since < self.floor:
            return _everything(catalog, revision)
        changed = [name for name, at in self.changed.items() if at > since]
        known = [catalog.listed(name) for name in changed]
        listed = [
            upstream.record
            for upstream in known
            if upstream and upstream.name not in catalog.missing
        ]
        there = {record.discovery_id for record in listed}
        return StoreUpdate(
            revision,
            records=tuple(listed),
            # What is missing is no more listed than what is gone: whoever is
            # told decides by itself for how long it may return.
            removed=tuple(name for name in changed if name not in there),
        )


def _everything(catalog: Catalog, revision: int) -> StoreUpdate:
    listed: list[UpstreamRecord] = []
    missing: list[UpstreamRecord] = []
    for name, upstream in catalog.upstreams.items():
        there = missing if name in catalog.missing else listed
        there.append(upstream.record)
    return StoreUpdate(
        revision,
        records=tuple(listed),
        missing=tuple(missing),
        complete=True,
    )
