"""Whether a request may go to an upstream that names a limit."""

from collections.abc import Iterator
from typing import Final

from worksrail.core.effects import SendMessage
from worksrail.core.instance import Instance
from worksrail.core.pacing import Permission
from worksrail.core.permits import PoolKey, slot_group

TOKEN_PATIENCE: Final = 0.3
"""Seconds for which a request waits for a token that was asked for."""

MOST_ASKED: Final = 3
"""Tokens that one request asks for at once."""


def has_token(
    instance: Instance,
    upstream: PoolKey,
    now: float,
    *,
    may_ask: bool,
) -> bool:
    """Whether a request may go there now; a token is asked for if not."""
    pacer = instance.pacer
    if not may_ask:
        return pacer.permission(upstream, now) is Permission.GRANTED
    permission = pacer.obtain(upstream, now)
    if permission is Permission.DENIED:
        pacer.add_demand(upstream)
    return permission is Permission.GRANTED


def expects_token(instance: Instance) -> bool:
    """Whether an issuer was asked and has not answered yet."""
    return bool(instance.pacer.asked)


def send_token_requests(
    instance: Instance,
    now: float,
) -> Iterator[SendMessage]:
    """Ask for the tokens that are wanted, and return those not used."""
    for addressed in instance.pacer.make_requests(now):
        yield SendMessage(addressed.peer, addressed.request)


def delay_until_token(instance: Instance, service: str, now: float) -> float:
    """Seconds until a token is expected at any upstream of a service."""
    group = instance.ledger.groups.get(slot_group(service))
    keys = group.available.keys if group else ()
    return min((instance.pacer.wait(key, now) for key in keys), default=0)
