"""Rate limits of upstreams, as instances advertise them to each other."""

from typing import Final

import msgspec

AGE_STEPS_PER_SECOND: Final = 10
"""Resolution of advertised ages."""


class AdvertisedLimit(msgspec.Struct, frozen=True, array_like=True):
    """The limit that one upstream last named, as known to the sender."""

    upstream: str
    """Name of the upstream's incarnation."""

    rate: float | None
    """Requests per second that it accepts; None if it names no limit any
    more."""

    age: int
    """Tenths of a second since it named the limit, rounded up."""
