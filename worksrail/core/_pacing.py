"""Rate limits named by upstreams: learning, advertising, token requests."""

from collections.abc import Iterable, Iterator
from typing import Final

from worksrail.core._members import members_by_region
from worksrail.core._tokens import send_token_requests
from worksrail.core.effects import Note, NoteKind, SendMessage
from worksrail.core.instance import Instance
from worksrail.core.messages import MemberStatus
from worksrail.core.pacing import (
    AdvertisedLimit,
    LimitChange,
    NamedLimit,
    NoRate,
    PacingMessage,
    TokenRequest,
    receive_limits,
)
from worksrail.core.permits import PoolKey

# Maximum number of named limits in one heartbeat.
_MAX_LIMITS_PER_HEARTBEAT: Final = 32


def learn_limit(
    instance: Instance,
    upstream: PoolKey,
    request: int,
    named: NamedLimit,
) -> Iterator[Note]:
    """Record the rate limit that an answer names for its upstream."""
    if named.rate is NoRate.UNREADABLE:
        yield Note(NoteKind.UPSTREAM_LIMIT_UNREADABLE, upstream, request)
    change = instance.pacer.limits.note(upstream, named)
    if change:
        yield _note(change)


def receive_named_limits(
    instance: Instance,
    advertised: Iterable[AdvertisedLimit],
    now: float,
) -> Iterator[Note]:
    """Apply named limits that another instance advertises."""
    topology = instance.configuration.topology
    known = topology.upstreams if topology else {}
    for change in receive_limits(instance.pacer, advertised, known, now):
        yield _note(change)


def named_limits_to_advertise(
    instance: Instance, now: float
) -> tuple[AdvertisedLimit, ...]:
    """Named limits to advertise in a heartbeat."""
    return instance.pacer.limits.advertise(
        _MAX_LIMITS_PER_HEARTBEAT, now, with_all=True
    )


def handle_pacing_message(
    instance: Instance,
    message: PacingMessage,
    now: float,
) -> Iterator[Note | SendMessage]:
    """Issue tokens on request, or store those that another instance issued."""
    yield from receive_named_limits(instance, message.limits, now)
    if isinstance(message, TokenRequest):
        yield SendMessage(message.peer, instance.pacer.serve(message, now))
    else:
        instance.pacer.receive_grant(message, now)


def maintain_pacing(instance: Instance, now: float) -> Iterator[SendMessage]:
    """Update the token issuers, time out their requests and send new ones."""
    pacer = instance.pacer
    if not pacer.has_limits:
        return
    topology = instance.configuration.topology
    joined = instance.status(now) is not MemberStatus.JOINING
    if topology and joined and pacer.is_group_update_due(now):
        pacer.forget(topology.upstreams, now)
        pacer.follow(members_by_region(instance, now), now)
    pacer.expire_requests(now)
    yield from send_token_requests(instance, now)


def _note(change: LimitChange) -> Note:
    kind = NoteKind.UPSTREAM_LIMITED
    if change.after is None:
        kind = NoteKind.UPSTREAM_UNLIMITED
    return Note(kind, change.upstream)
