"""Fields of the log lines that show why an answer was late or refused."""

from collections.abc import Iterator

from worksrail.core.evidence import NamedRequest
from worksrail.core.results import ResultCode
from worksrail.core.steering._attempt import Attempt
from worksrail.core.steering._catalog import Upstream
from worksrail.core.steering._choosing import Choice, region_rtt
from worksrail.core.steering._request import SteeredRequest
from worksrail.core.steering._routes import RoutingConfiguration
from worksrail.core.steering.effects import Decision, DecisionKind, LogInputs
from worksrail.core.steering.events import (
    AttemptEnded,
    AttemptOutcome,
    PassEnded,
    ReportedLoad,
)
from worksrail.core.steering.state import SteeringState


def request_sent(
    state: SteeringState,
    request: SteeredRequest,
    choice: Choice,
) -> Decision:
    """Return the log line of a send, with what the entry knew then.

    ``own`` and ``others`` are the requests in flight at the upstream, this one
    included; ``wait`` and ``latency`` are the expected seconds in the queue
    and of execution and round trip.
    """
    kind = DecisionKind.REQUEST_SENT
    if request.sends > 1:
        kind = DecisionKind.REQUEST_REPEATED
    upstream = choice.upstream
    load = state.loads.of(upstream.name)
    times = state.warm_keys.times_of(request.route, request.service)
    rtt = region_rtt(state, upstream.region)
    return Decision(
        kind,
        upstream.name,
        request.number,
        (
            ('service', request.service),
            ('address', upstream.record.address),
            ('key', request.head.key),
            ('cost', round(choice.cost, 4)),
            ('wait', round(choice.wait, 4)),
            ('latency', round(choice.latency, 4)),
            ('rtt', round(rtt.typical, 4)),
            ('warm_time', round(times.warm.typical, 4)),
            ('cold_time', round(times.cold.typical, 4)),
            ('own', load.own),
            ('others', load.others),
            ('slots', upstream.record.slots),
            ('warm', int(choice.warm)),
            ('home', request.current.home),
            ('from_region', state.settings.region),
            ('region', upstream.region),
            ('from_zone', state.settings.zone),
            ('zone', upstream.record.zone),
            ('version', version_of(state)),
            *_reason_to_repeat(request),
        ),
    )


def request_answered(
    request: SteeredRequest,
    answered: Attempt,
    now: float,
    status: int,
) -> Decision:
    """Return the log line of a request that an upstream has answered."""
    after = now - request.arrived_at
    target = request.route.target_latency
    return Decision(
        DecisionKind.REQUEST_ANSWERED,
        request.last_upstream,
        request.number,
        (
            ('status', status),
            ('service', request.service),
            ('route', request.route.name),
            ('priority', request.priority),
            ('customer', request.customer_name),
            ('late', int(after > target)),
            ('target', round(target, 4)),
            ('returned', int(request.caller_retried)),
            ('after', round(after, 4)),
            ('execution', round(now - answered.sent_at, 4)),
            ('expected', round(answered.expected_time, 4)),
            ('sends', request.sends),
        ),
    )


def rejection_of(
    state: SteeringState,
    request: SteeredRequest,
    event: AttemptEnded,
) -> Iterator[Decision]:
    """Yield the log line of an upstream that did not execute a request.

    It sets the occupancy that this entry believed in beside the one that the
    upstream reports.
    """
    if event.outcome is not AttemptOutcome.NOT_EXECUTED:
        return
    name = request.current.upstream
    load = state.loads.of(name)
    yield Decision(
        DecisionKind.UPSTREAM_REJECTED,
        name,
        request.number,
        (
            ('status', event.status),
            ('service', request.service),
            ('route', request.route.name),
            ('own', load.own),
            ('others', load.others),
            ('slots', _slots_of(state.catalog.upstreams.get(name))),
            ('backed_off', int(request.current.backed_off)),
            ('warm', int(request.current.warm)),
            ('after', round(event.now - request.current.sent_at, 4)),
            *_reported_fields(event.load),
        ),
    )


def evidence_of(
    request: SteeredRequest,
    ended: Attempt,
    event: AttemptEnded | PassEnded,
    evidence: str,
) -> Iterator[Decision]:
    """Yield why an attempt counts as not executed, if it must not repeat.

    ``status`` and the identifier that it ``named`` are those of the answer, if
    any; ``stated`` tells whether the answer said so.  ``age`` and ``uses`` are
    those of its connection when the request was sent.
    """
    if request.route.idempotent:
        return
    connection = event.origin.connection
    answer: LogInputs = ()
    if event.origin.heads:
        head = event.origin.heads[-1]
        answer = (
            ('status', head.status),
            ('stated', int(head.stated)),
            ('named', head.named.name),
        )
    yield Decision(
        DecisionKind.NOT_EXECUTED,
        evidence,
        request.number,
        (
            ('service', request.service),
            ('place', ended.place),
            ('attempt', ended.number),
            *answer,
            ('age', round(connection.age, 3)),
            ('uses', connection.requests),
            ('after', round(event.now - ended.sent_at, 4)),
        ),
    )


def strays_of(
    request: SteeredRequest,
    event: AttemptEnded | PassEnded,
) -> Iterator[Decision]:
    """Yield the answers on an attempt's connection that named another request.

    These are late, sent twice, or answer what their sender took for a request.
    """
    for head in event.origin.heads:
        if head.named is not NamedRequest.THIS:
            yield Decision(
                DecisionKind.STRAY_ANSWER,
                head.named.name,
                request.number,
                (
                    ('place', request.current.place),
                    ('status', head.status),
                    ('stated', int(head.stated)),
                    ('age', round(event.origin.connection.age, 3)),
                    ('uses', event.origin.connection.requests),
                ),
            )


def attempt_cancelled(
    state: SteeringState,
    request: SteeredRequest,
    attempt: Attempt,
    reason: str,
    now: float,
) -> Decision:
    """Return the log line of an attempt that is cancelled, and what was known.

    ``left`` is the retries that the budget still allows all entries.
    """
    return _about_attempt(
        DecisionKind.ATTEMPT_CANCELLED, reason, state, request, attempt, now
    )


def caller_left(request: SteeredRequest, now: float) -> Decision:
    """Return the log line of a caller that has left, and what becomes of it.

    ``after`` is the seconds since the request arrived, ``open`` the attempts
    in progress; ``fate`` says whether they are cancelled.
    """
    attempts = request.in_progress
    fate = 'not begun'
    if attempts:
        fate = 'cancelled' if request.route.idempotent else 'may not repeat'
    return Decision(
        DecisionKind.CALLER_GONE,
        request.current.place,
        request.number,
        (
            ('after', round(now - request.arrived_at, 4)),
            ('route', request.route.name),
            ('open', len(attempts)),
            ('sent', round(now - request.current.sent_at, 4)),
            ('fate', fate),
        ),
    )


def attempt_kept(
    state: SteeringState,
    request: SteeredRequest,
    denial: str,
    now: float,
) -> Decision:
    """Return the log line of a silent attempt without another beside it."""
    kind = DecisionKind.ATTEMPT_KEPT
    current = request.current
    return _about_attempt(kind, denial, state, request, current, now)


def request_failed(
    request: SteeredRequest,
    code: ResultCode,
    now: float,
    denial: str,
) -> Decision:
    """Return the log line of a request that an upstream may have executed."""
    return Decision(
        DecisionKind.REQUEST_FAILED,
        code.name,
        request.number,
        (
            ('service', request.service),
            ('route', request.route.name),
            ('priority', request.priority),
            ('customer', request.customer_name),
            ('outcome', request.last_outcome),
            ('upstream', request.current.place or request.last_upstream),
            ('denial', denial),
            ('after', round(now - request.arrived_at, 4)),
        ),
    )


def _about_attempt(
    kind: DecisionKind,
    reason: str,
    state: SteeringState,
    request: SteeredRequest,
    attempt: Attempt,
    now: float,
) -> Decision:
    use = state.budgets.fleet_use(request.service, now)
    return Decision(
        kind,
        reason,
        request.number,
        (
            ('service', request.service),
            ('route', request.route.name),
            ('place', attempt.place),
            ('after', round(now - attempt.sent_at, 4)),
            ('expected', round(attempt.expected_time, 4)),
            ('sends', request.sends),
            ('max_attempts', request.route.max_attempts),
            ('left', round(use.left, 1)),
            ('stopping', int(state.leaving)),
        ),
    )


def version_of(state: SteeringState) -> int:
    """Return the version of the configuration in force; zero if none is."""
    configuration = state.configuration
    if isinstance(configuration, RoutingConfiguration):
        return configuration.version
    return 0


def _reason_to_repeat(request: SteeredRequest) -> LogInputs:
    if not request.last_outcome:
        return ()
    return ('outcome', request.last_outcome), ('from', request.last_upstream)


def _reported_fields(reported: ReportedLoad | None) -> LogInputs:
    if reported is None:
        return ()
    return ('executing', reported.executing), ('waiting', reported.waiting)


def _slots_of(upstream: Upstream | None) -> int:
    return upstream.record.slots if upstream else 0
