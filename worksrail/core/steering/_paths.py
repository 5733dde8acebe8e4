"""Evidence of whether this entry can reach the upstreams of a service.

An entry may lose its links to upstreams that other entries still reach.  Each
attempt is evidence: an answer, whatever it says, shows that there is a path; a
failed connection or an overdue answer shows that there may be none.
"""

from collections.abc import Collection, Container, Iterable
from dataclasses import dataclass, field
from math import inf
from typing import Final

from worksrail.core.identity import RegionName, ServiceName, ZoneName
from worksrail.core.steering._catalog import Upstream
from worksrail.core.steering._zone_reachability import ZoneReachability

# Number of different upstreams that must have been missed with no answer in
# between: a single one may have crashed, and single packets get lost.
_MIN_MISSED: Final = 3
# Zones that they must be in, unless all known upstreams are in one zone: a zone
# that lost power says nothing about the links of this entry.
_MIN_ZONES: Final = 2
# Maximum seconds for which a service stays lost without fresh misses.
_MAX_UNPROVEN: Final = 10.0
# Seconds after an answer of a service for which that service counts as reached,
# unless an upstream of it was missed.
_RECENT_ANSWER: Final = 1.0

Scope = tuple[ServiceName, ZoneName]
"""The upstreams of one service in one zone."""


@dataclass(slots=True)
class Miss:
    """An upstream that did not answer the last attempt."""

    scope: Scope
    """Service and zone of the upstream."""

    connecting: bool
    """Whether the connection failed; if not, the answer did not come."""

    isolating: bool = True
    """Whether no upstream at all has answered since."""


@dataclass(slots=True)
class PathMonitor:
    """Detects services of which no upstream can be reached from here.

    An answer on a connection that was open before says nothing about new ones:
    a network may keep the former and refuse the latter.
    """

    zones: ZoneReachability = field(default_factory=ZoneReachability)
    """Zones that are excluded."""

    missed: dict[str, Miss] = field(default_factory=dict)
    """Upstreams that were missed, with no answer of their scope since."""

    replaced: set[ServiceName] = field(default_factory=set)
    """Lost services of which missed upstreams have gone meanwhile."""

    reached_at: dict[ServiceName, float] = field(default_factory=dict)
    """When an answer last showed a path to a service."""

    answered_at: float = -inf
    """When any upstream last answered."""

    answers: dict[Scope, float] = field(default_factory=dict)
    """When an upstream of each scope last answered."""

    lost_since: dict[ServiceName, float] = field(default_factory=dict)
    """Services that cannot be reached, with the time that was detected."""

    isolated_since: float = inf
    """When this entry was found to reach no upstream; infinite if it does."""

    @property
    def is_isolated(self) -> bool:
        """Return whether this entry reaches no upstream at all."""
        return self.isolated_since < inf

    def record_answer(
        self,
        upstream: Upstream,
        now: float,
        *,
        new_connection: bool,
    ) -> list[str]:
        """Record that an upstream answered.

        Return the upstreams of its scope that were missed before.
        """
        scope = scope_of(upstream)
        reached: list[str] = []
        service = upstream.record.service
        self.answered_at = now
        self.answers[scope] = now
        for name, miss in tuple(self.missed.items()):
            if miss.connecting and not new_connection:
                continue
            miss.isolating = False
            if miss.scope == scope:
                self.missed.pop(name)
                reached.append(name)
        if reached or new_connection:
            self.reached_at[service] = now
        return reached

    def record_miss(self, upstream: Upstream, *, connecting: bool) -> None:
        """Record that an upstream could not be reached, or is overdue."""
        self.missed[upstream.name] = Miss(scope_of(upstream), connecting)

    def reaches_none(self, upstreams: Collection[Upstream]) -> bool:
        """Return whether none of some upstreams can be reached.

        That needs misses in all of their zones, or isolation.
        """
        if not upstreams:
            return False
        if self.is_isolated:
            return True
        if len(self.missed) < min(_MIN_MISSED, len(upstreams)):
            return False
        names = [one.name for one in upstreams if one.name in self.missed]
        if len(names) < min(_MIN_MISSED, len(upstreams)):
            return False
        missed_scopes = {self.missed[name].scope for name in names}
        return all(scope_of(one) in missed_scopes for one in upstreams)

    def update(
        self,
        services: dict[ServiceName, list[Upstream]],
        now: float,
    ) -> None:
        """Update what is known to be lost, by the evidence so far."""
        if not self.missed and not self.lost_since:
            return
        if self._has_lost_all(services, now):
            self.isolated_since = min(self.isolated_since, now)
        else:
            self.isolated_since = inf
        lost = {
            service
            for service, upstreams in services.items()
            if self.reaches_none(upstreams)
        }
        # Upstreams that replace the missed ones are no evidence of a path.
        lost |= {
            service
            for service in self.lost_since
            if self._is_unproven(service, now)
        }
        self.lost_since = {
            service: self.lost_since.get(service, now) for service in lost
        }

    def keep_only(self, upstreams: Container[str]) -> None:
        """Drop the evidence about upstreams that are gone."""
        self.replaced &= self.lost_since.keys()
        for name, miss in tuple(self.missed.items()):
            if name not in upstreams:
                self.missed.pop(name)
                if miss.scope[0] in self.lost_since:
                    self.replaced.add(miss.scope[0])

    def last_answer(self, service: ServiceName) -> float:
        """Return when an upstream of a service last answered."""
        times = [
            at for scope, at in self.answers.items() if scope[0] == service
        ]
        return max(times, default=-inf)

    def _is_unproven(self, service: ServiceName, now: float) -> bool:
        """Return whether nothing shows that a lost service is reached again.

        Its missed upstreams may have gone or leave, and others replace them.
        """
        since = self.lost_since[service]
        if now - since > _MAX_UNPROVEN:
            return False
        if self.reached_at.get(service, -inf) >= since:
            return False
        return service in self.replaced or any(
            miss.scope[0] == service for miss in self.missed.values()
        )

    def _has_lost_all(
        self,
        services: dict[ServiceName, list[Upstream]],
        now: float,
    ) -> bool:
        count = sum(map(len, services.values()))
        if not count or len(self.missed) < min(_MIN_MISSED, count):
            return False
        known = [one for upstreams in services.values() for one in upstreams]
        isolating = [
            miss.scope for miss in self.missed.values() if miss.isolating
        ]
        if len(isolating) < min(_MIN_MISSED, count):
            return False
        all_zones = {one.record.zone for one in known}
        missed_zones = {zone for _, zone in isolating}
        if len(missed_zones) < min(_MIN_ZONES, len(all_zones)):
            return False
        missed_services = {service for service, _ in isolating}
        return not any(
            self._answers_lately(service, now)
            for service in services.keys() - missed_services
        )

    def _answers_lately(self, service: ServiceName, now: float) -> bool:
        return now - self.last_answer(service) < _RECENT_ANSWER


def scope_of(upstream: Upstream) -> Scope:
    """Return the service and the zone of an upstream."""
    return upstream.record.service, upstream.record.zone


def in_regions(
    upstreams: Iterable[Upstream],
    regions: Collection[RegionName],
) -> list[Upstream]:
    """Return the upstreams of some regions; no region means all."""
    return [one for one in upstreams if not regions or one.region in regions]
