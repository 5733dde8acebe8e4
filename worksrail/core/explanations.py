"""Explanations of the entries and upstreams that a caller gets."""

from dataclasses import dataclass

from worksrail.core.bundle import Topology, Upstream
from worksrail.core.instance import Instance
from worksrail.core.lookups import LookUpAnswer, look_up
from worksrail.core.permits import slot_pool
from worksrail.core.results import ResultCode


@dataclass(frozen=True, slots=True)
class UpstreamExplanation:
    """Why an upstream would or would not be chosen by this entry."""

    name: str
    """Name of the upstream."""

    zone: str
    """Availability zone it runs in."""

    available: int
    """Permits available now."""

    in_use: int
    """Permits in use by this entry."""

    share: int
    """Permits that belong to the seats held."""

    score: float
    """Expected service time in seconds; lower is better."""

    reason: str
    """Why it is not chosen; empty if it may be."""


@dataclass(frozen=True, slots=True)
class Explanation:
    """Entries and upstreams that a caller would get now."""

    look_up: LookUpAnswer
    """Entries for the caller."""

    asked: str
    """Entry that answers; upstreams are shown from its view."""

    upstreams: tuple[UpstreamExplanation, ...]
    """Upstreams of the entry's region, best first."""


def explain(
    instance: Instance,
    client: str,
    service: str,
    now: float,
) -> Explanation | ResultCode:
    """Explain the entries and upstreams that a caller would get now."""
    answer = look_up(instance, client, service, now)
    topology = instance.configuration.topology
    if isinstance(answer, ResultCode):
        return answer
    if topology is None:
        return ResultCode.NOT_READY
    view = topology.services[answer.service]
    ranked = [
        _explain_upstream(instance, topology, answer.service, upstream, now)
        for upstream in view.regional.get(instance.place.region, ())
    ]
    ranked.sort(
        key=lambda explanation: (bool(explanation.reason), explanation.score)
    )
    return Explanation(answer, instance.who.name, tuple(ranked))


def _explain_upstream(
    instance: Instance,
    topology: Topology,
    service: str,
    upstream: Upstream,
    now: float,
) -> UpstreamExplanation:
    key = slot_pool(upstream.name)
    pool = instance.ledger.pools.get(key)
    health = instance.upstream_health(key)
    typical = instance.service_state(service).typical_latency
    available = instance.ledger.available(key, now)
    reason = '' if available else 'no permit free'
    if now < health.ejected_until:
        reason = 'ejected'
    if instance.backoffs.is_active(key, now):
        reason = 'asked for a backoff'
    if health.is_leaving(now):
        reason = 'says that it leaves'
    if topology.is_drained(upstream, instance.configuration.drains):
        reason = 'drained'
    return UpstreamExplanation(
        upstream.name,
        upstream.zone,
        available,
        pool.total_in_use if pool else 0,
        pool.share if pool else 0,
        round(health.score(typical, now), 4),
        reason,
    )
