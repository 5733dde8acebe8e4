"""What instances that use upstreams with limits tell those that issue tokens.

Each message is one datagram and may be lost.  The tokens of a lost grant are
not used by anybody; those of a lost return come again at the rate.
"""

from dataclasses import dataclass

import msgspec

from worksrail.core.identity import InstanceName
from worksrail.core.pacing._advertised import AdvertisedLimit


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag='tokens'):
    """An instance asks for tokens, and returns some that it did not use."""

    sender: InstanceName
    """The instance."""

    peer: str
    """Where it wants the grant."""

    number: int
    """Identifies the request at its sender."""

    wanted: dict[str, int]
    """Tokens that it asks for, by upstream."""

    unused: dict[str, int]
    """Tokens that it returns, by upstream."""

    limits: tuple[AdvertisedLimit, ...]
    """What it believes of the limits of these upstreams."""


class TokenShare(msgspec.Struct, frozen=True, array_like=True):
    """What one instance gets of the tokens of one upstream."""

    count: int
    """Requests that it may send."""

    wait: float
    """Seconds after which to ask again; zero if nothing was denied."""


class TokenGrant(msgspec.Struct, frozen=True, array_like=True, tag='grant'):
    """The answer to a request for tokens."""

    number: int
    """The request."""

    shares: dict[str, TokenShare]
    """What is granted, by upstream."""

    limits: tuple[AdvertisedLimit, ...]
    """What the issuer believes of the limits of these upstreams."""


PacingMessage = TokenRequest | TokenGrant


@dataclass(frozen=True, slots=True)
class AddressedRequest:
    """A request for tokens, and who shall get it."""

    peer: str
    """Its address."""

    request: TokenRequest
    """What to tell it."""
