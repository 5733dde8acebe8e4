"""Detection of zones whose upstreams cannot be reached."""

from dataclasses import dataclass, field
from typing import Final

from worksrail.core.identity import ZoneName

# Number of different upstreams of a zone that must be unreachable, with no
# answer from the zone in between, before the zone is excluded. Three lost
# packets in a row are rare, and a single unreachable upstream says nothing
# about its zone.
_MIN_UNREACHABLE: Final = 3
# Seconds for which the zone is excluded, doubled each time up to the maximum.
_INITIAL_EXCLUSION: Final = 1.0
_MAX_EXCLUSION: Final = 4.0


@dataclass(slots=True)
class ZoneFailures:
    """Connection failures of one zone."""

    unreachable: set[str] = field(default_factory=set)
    """Upstreams that could not be reached since the last answer."""

    exclusion_time: float = _INITIAL_EXCLUSION
    """Seconds for which the zone will be excluded the next time."""

    excluded_until: float = 0
    """When the current exclusion ends."""


@dataclass(slots=True)
class ZoneReachability:
    """Excludes zones that have lost power or are cut off.

    Otherwise each upstream of such a zone would have to be detected separately,
    and every attempt would delay a request by the connect timeout.
    """

    zones: dict[ZoneName, ZoneFailures] = field(default_factory=dict)
    """Zones in which an upstream could not be reached."""

    def is_excluded(self, zone: ZoneName, now: float) -> bool:
        """Return whether a zone is excluded."""
        failures = self.zones.get(zone)
        return failures is not None and failures.excluded_until > now

    def record_unreachable(self, zone: ZoneName, name: str, now: float) -> bool:
        """Record an unreachable upstream; true if its zone is now excluded."""
        failures = self.zones.setdefault(zone, ZoneFailures())
        failures.unreachable.add(name)
        if (
            len(failures.unreachable) < _MIN_UNREACHABLE
            or failures.excluded_until > now
        ):
            return False
        failures.excluded_until = now + failures.exclusion_time
        failures.exclusion_time = min(
            _MAX_EXCLUSION, failures.exclusion_time * 2
        )
        return True

    def record_reachable(self, zone: ZoneName) -> None:
        """Record that an upstream of a zone answered."""
        self.zones.pop(zone, None)
