"""What instances tell each other of limits that upstreams name."""

from typing import Final

import msgspec

AGES_PER_S: Final = 10
"""Ages are told in whole parts of a second, so many in each."""


class AdvertisedLimit(msgspec.Struct, frozen=True, array_like=True):
    """What one upstream named last, as another instance knows."""

    upstream: str
    """Name of the upstream, in this life of it."""

    rate: float | None
    """Requests a second that it takes; None if it names no limit any more."""

    age: int
    """Tenths of a second since it said so, rounded up."""
