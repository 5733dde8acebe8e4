"""Zones none of whose upstreams can be reached."""

from dataclasses import dataclass, field
from typing import Final

from worksrail.core.identity import ZoneName

# Different upstreams of a zone that in turn cannot be reached, none of the
# zone having answered in between, after which the zone is left alone.  Three
# lost packets in a row are rare, and one upstream that is gone is no zone.
_UNREACHED: Final = 3
# Seconds for which it is left alone, doubled each time up to the longest.
_FIRST_PAUSE: Final = 1.0
_LONGEST_PAUSE: Final = 4.0


@dataclass(slots=True)
class ZoneFailures:
    """What attempts have told of one zone."""

    unreached: set[str] = field(default_factory=set)
    """Upstreams that could not be reached since the last answer."""

    pause: float = _FIRST_PAUSE
    """Seconds for which the zone is left alone the next time."""

    out_until: float = 0
    """Until when it is left alone."""


@dataclass(slots=True)
class ZoneReachability:
    """Leaves a zone alone that lost its power or is cut off.

    Without this, each of its upstreams has to be found out by itself, and
    every attempt costs a request the time that a connection may take.
    """

    zones: dict[ZoneName, ZoneFailures] = field(default_factory=dict)
    """Zones in which an upstream could not be reached."""

    def is_excluded(self, zone: ZoneName, now: float) -> bool:
        """Whether a zone is left alone."""
        reachability = self.zones.get(zone)
        return reachability is not None and reachability.out_until > now

    def record_unreachable(self, zone: ZoneName, name: str, now: float) -> bool:
        """An upstream was not reached; true if its zone is left alone now."""
        reachability = self.zones.setdefault(zone, ZoneFailures())
        reachability.unreached.add(name)
        if (
            len(reachability.unreached) < _UNREACHED
            or reachability.out_until > now
        ):
            return False
        reachability.out_until = now + reachability.pause
        reachability.pause = min(_LONGEST_PAUSE, reachability.pause * 2)
        return True

    def record_reachable(self, zone: ZoneName) -> None:
        """An upstream of a zone has answered."""
        self.zones.pop(zone, None)
