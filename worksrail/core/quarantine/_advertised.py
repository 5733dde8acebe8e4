"""What instances tell each other of requests that crash upstreams."""

import msgspec

from worksrail.core.quarantine._fingerprints import Fingerprint


class AdvertisedCrashes(msgspec.Struct, frozen=True, array_like=True):
    """Crashes under one request, as one instance knows them."""

    fingerprint: Fingerprint
    """The request."""

    count: int
    """Upstreams that crashed under it one after the other; zero if it has
    been answered since."""

    age: int
    """Tenths of a second since the last crash, or since the answer."""

    upstream: int = 0
    """Hash of the upstream that crashed last."""
