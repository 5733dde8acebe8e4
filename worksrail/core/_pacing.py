"""Limits that upstreams name: learnt, told, and kept with tokens."""

from collections.abc import Iterable, Iterator
from typing import Final

from worksrail.core._members import members_by_region
from worksrail.core._tokens import send_token_requests
from worksrail.core.effects import Note, NoteKind, SendMessage
from worksrail.core.events import AttemptEnded
from worksrail.core.instance import Instance
from worksrail.core.messages import MemberStatus
from worksrail.core.pacing import (
    AdvertisedLimit,
    LimitChange,
    NoRate,
    PacingMessage,
    TokenRequest,
    receive_limits,
)
from worksrail.core.requests.active import ActiveRequest

# Limits that upstreams named, in one heartbeat.
_NAMED_LIMITS_LIMIT: Final = 32


def learn_limit(
    instance: Instance,
    active: ActiveRequest,
    event: AttemptEnded,
) -> Iterator[Note]:
    """Take in what an answer says of its upstream's limit."""
    if event.limit is None or active.upstream is None:
        return
    if event.limit.rate is NoRate.UNREADABLE:
        yield Note(
            NoteKind.UPSTREAM_LIMIT_UNREADABLE, active.upstream, active.number
        )
    change = instance.pacer.limits.note(active.upstream, event.limit)
    if change:
        yield _note(change)


def receive_named_limits(
    instance: Instance,
    told: Iterable[AdvertisedLimit],
    now: float,
) -> Iterator[Note]:
    """Take in what another instance tells of limits that upstreams name."""
    topology = instance.configuration.topology
    known = topology.upstreams if topology else {}
    for change in receive_limits(instance.pacer, told, known, now):
        yield _note(change)


def limits_to_tell(
    instance: Instance, now: float
) -> tuple[AdvertisedLimit, ...]:
    """What a heartbeat tells of limits that upstreams name."""
    return instance.pacer.limits.advertise(
        _NAMED_LIMITS_LIMIT, now, with_all=True
    )


def take_pacing_message(
    instance: Instance,
    message: PacingMessage,
    now: float,
) -> Iterator[Note | SendMessage]:
    """Issue tokens, or take in those that another instance issued."""
    yield from receive_named_limits(instance, message.limits, now)
    if isinstance(message, TokenRequest):
        yield SendMessage(message.peer, instance.pacer.serve(message, now))
    else:
        instance.pacer.receive_grant(message, now)


def maintain_pacing(instance: Instance, now: float) -> Iterator[SendMessage]:
    """Follow who issues tokens; ask, return, and give up on who is silent."""
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
