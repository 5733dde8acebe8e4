"""Learns the rate limits that upstreams name in their answers."""

from collections.abc import Iterator

from worksrail.core.pacing import LimitChange, NamedLimit, NoRate
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering.effects import Decision, DecisionKind
from worksrail.core.steering.state import SteeringState


def learn_limit(
    state: SteeringState,
    request: SteeredRequest,
    named: NamedLimit,
) -> Iterator[Decision]:
    """Update the limit of an upstream from its answer."""
    if named.rate is NoRate.UNREADABLE:
        yield Decision(
            DecisionKind.UPSTREAM_LIMIT_UNREADABLE,
            request.current.upstream,
            request.number,
        )
    limits = state.rates.named.limits
    change = limits.note(request.current.upstream, named)
    if change:
        yield limit_decision(change, request.number)


def limit_decision(change: LimitChange, request: int = 0) -> Decision:
    """Return the log line of a limit that begins, changes or ends."""
    kind = DecisionKind.UPSTREAM_LIMITED
    if change.after is None:
        kind = DecisionKind.UPSTREAM_UNLIMITED
    return Decision(
        kind,
        change.upstream,
        request,
        (
            ('rate', -1 if change.after is None else round(change.after, 3)),
            (
                'before',
                -1 if change.before is None else round(change.before, 3),
            ),
            ('told', int(change.from_peer)),
        ),
    )
