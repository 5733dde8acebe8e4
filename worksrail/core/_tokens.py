"""Tokens for requests to upstreams that name a rate limit."""

from collections.abc import Iterator
from typing import Final

from worksrail.core.effects import SendMessage
from worksrail.core.instance import Instance
from worksrail.core.pacing import Permission
from worksrail.core.permits import PoolKey, slot_group

MAX_TOKEN_WAIT: Final = 0.3
"""Maximum seconds for which a request waits for a requested token."""

MAX_TOKEN_REQUESTS: Final = 3
"""Maximum number of upstreams for which one placement requests tokens."""


def has_token(
    instance: Instance,
    upstream: PoolKey,
    now: float,
    *,
    may_request: bool,
) -> bool:
    """Whether a request may be sent now; if not, a token may be requested."""
    pacer = instance.pacer
    if not may_request:
        return pacer.permission(upstream, now) is Permission.GRANTED
    permission = pacer.obtain(upstream, now)
    if permission is Permission.DENIED:
        pacer.add_demand(upstream)
    return permission is Permission.GRANTED


def awaits_token(instance: Instance) -> bool:
    """Whether a token request is awaiting its answer."""
    return bool(instance.pacer.asked)


def send_token_requests(
    instance: Instance,
    now: float,
) -> Iterator[SendMessage]:
    """Request the tokens that are wanted, and return unused ones."""
    for addressed in instance.pacer.make_requests(now):
        yield SendMessage(addressed.peer, addressed.request)


def delay_until_token(instance: Instance, service: str, now: float) -> float:
    """Seconds until a token is expected for any upstream of a service."""
    group = instance.ledger.groups.get(slot_group(service))
    keys = group.available.keys if group else ()
    return min((instance.pacer.wait(key, now) for key in keys), default=0)
