"""Limits that upstreams name: learnt and told."""

from collections.abc import Iterator

from worksrail.core.pacing import LimitChange, NoRate
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering.effects import Decision, DecisionKind
from worksrail.core.steering.events import AttemptEnded
from worksrail.core.steering.state import SteeringState


def learn_limit(
    state: SteeringState,
    request: SteeredRequest,
    event: AttemptEnded,
) -> Iterator[Decision]:
    """Take in what an answer says of its upstream's limit."""
    if event.limit is None:
        return
    if event.limit.rate is NoRate.UNREADABLE:
        yield Decision(
            DecisionKind.UPSTREAM_LIMIT_UNREADABLE,
            request.upstream,
            request.number,
        )
    change = state.rates.named.note(request.upstream, event.limit)
    if change:
        yield _decision(change, request.number)


def _decision(change: LimitChange, request: int = 0) -> Decision:
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
            ('told', int(change.told)),
        ),
    )
