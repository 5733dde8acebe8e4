"""Crashes of requests, as instances advertise them to each other."""

import msgspec

from worksrail.core.quarantine._fingerprints import Fingerprint


class AdvertisedCrashes(msgspec.Struct, frozen=True, array_like=True):
    """Upstream crashes that one request caused, as known to the sender."""

    fingerprint: Fingerprint
    """The request."""

    count: int
    """Number of upstreams that crashed one after the other while executing it;
    zero if it has been answered since."""

    age: int
    """Tenths of a second since the last crash, or since the answer."""

    upstream: int = 0
    """Hash of the name of the upstream that crashed last."""
