"""Messages between instances that use rate-limited upstreams and token issuers.

Each message is one datagram and may be lost.  The tokens of a lost grant stay
unused; those of a lost return are replaced at the rate of the limit.
"""

from dataclasses import dataclass

import msgspec

from worksrail.core.identity import InstanceName
from worksrail.core.pacing._advertised import AdvertisedLimit


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag='tokens'):
    """An instance requests tokens, and returns some that it did not use."""

    sender: InstanceName
    """The instance."""

    peer: str
    """Address for the grant."""

    number: int
    """Identifies the request at its sender."""

    wanted: dict[str, int]
    """Number of requested tokens, by upstream."""

    unused: dict[str, int]
    """Number of returned tokens, by upstream."""

    limits: tuple[AdvertisedLimit, ...]
    """Limits of these upstreams, as known to the sender."""


class TokenShare(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of one upstream for one instance."""

    count: int
    """Number of requests that it may send."""

    wait: float
    """Seconds until the next request for tokens; zero if none was denied."""


class TokenGrant(msgspec.Struct, frozen=True, array_like=True, tag='grant'):
    """Reply to a request for tokens."""

    number: int
    """Number of the request."""

    shares: dict[str, TokenShare]
    """Granted tokens, by upstream."""

    limits: tuple[AdvertisedLimit, ...]
    """Limits of these upstreams, as known to the issuer."""


PacingMessage = TokenRequest | TokenGrant


@dataclass(frozen=True, slots=True)
class AddressedRequest:
    """A request for tokens, and the issuer it goes to."""

    peer: str
    """Address of the issuer."""

    request: TokenRequest
    """The message."""
