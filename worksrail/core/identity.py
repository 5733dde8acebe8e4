"""Identity of an instance: name, incarnation, place and addresses."""

from enum import Enum, unique
from typing import Final

import msgspec

InstanceName = str
RegionName = str
ZoneName = str
ServiceName = str
UpstreamName = str


@unique
class NoInstance(Enum):
    """Sentinel: why no instance was found."""

    NONE_LIVE = 'no live instance matches'
    NOT_HELD = 'no instance holds it'


class Incarnation(msgspec.Struct, frozen=True, array_like=True):
    """One run of an instance: it changes at each start and long pause.

    >>> Incarnation('ala-norte-1', 7).label
    'ala-norte-1@7'
    """

    name: InstanceName
    """Name from the settings; persists over restarts."""

    number: int
    """Increases with every incarnation of the name."""

    @property
    def label(self) -> str:
        """Short text for logs and the time line."""
        return f'{self.name}@{self.number}'


class Endpoints(msgspec.Struct, frozen=True, array_like=True):
    """Addresses of an instance, each an IP address and port."""

    caller: str
    """Address for look-ups and requests of callers."""

    operator: str
    """Address for calls of operators."""

    peer: str
    """Address for messages from other instances."""

    passing: str
    """Address for requests passed on by other instances."""


class Place(msgspec.Struct, frozen=True, array_like=True):
    """Location of an instance."""

    zone: ZoneName
    """Availability zone from the settings."""

    region: RegionName
    """Region from the settings."""


NO_INCARNATION: Final = Incarnation('', 0)
