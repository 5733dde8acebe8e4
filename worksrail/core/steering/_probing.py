"""Probes upstreams that cannot be reached until one of them answers."""

from collections.abc import Iterator
from typing import Final

from worksrail.core.steering._availability import learn_notice, wants_requests
from worksrail.core.steering._catalog import Upstream
from worksrail.core.steering._path_evidence import record_path_answer
from worksrail.core.steering._paths import Scope, scope_of
from worksrail.core.steering._reports import learn_probed_load
from worksrail.core.steering._routes import RoutingConfiguration
from worksrail.core.steering.effects import Effect, ProbeUpstream
from worksrail.core.steering.events import PathProbed
from worksrail.core.steering.state import SteeringState

# Seconds between two rounds of probes, and the maximum number in each.
_INTERVAL: Final = 0.5
_MAX_PROBES: Final = 6
_DEFAULT_PATH: Final = '/'


def probe_paths(state: SteeringState, now: float) -> Iterator[Effect]:
    """Probe some upstreams while requests cannot be sent to a service.

    Each probe is a health check on a new connection: open ones may work while
    new ones are refused.
    """
    wanted = state.paths.lost_since or now < state.probing_until
    if not wanted or now < state.next_probe_at:
        return
    state.next_probe_at = now + _INTERVAL
    for upstream in _choose_upstreams(state, now):
        record = upstream.record
        path = _health_path(state, upstream)
        yield ProbeUpstream(
            record.name, record.address, path, record.discovery_id
        )


def on_path_probed(
    state: SteeringState,
    event: PathProbed,
) -> Iterator[Effect]:
    """Learn from the end of a probe."""
    yield from learn_notice(state, event.upstream, event.notice, event.now)
    upstream = state.catalog.upstreams.get(event.upstream)
    if upstream and event.load:
        learn_probed_load(state, upstream, event.load, event.now)
    if upstream and event.answered:
        yield from record_path_answer(
            state, upstream, event.now, new_connection=True
        )


def _choose_upstreams(state: SteeringState, now: float) -> list[Upstream]:
    """Choose one upstream for each service and zone in which some were missed.

    If there are many, some of these are sampled.  Draining upstreams, those of
    evacuated zones and those that asked for a backoff are left alone.
    """
    paths = state.paths
    by_scope: dict[Scope, list[Upstream]] = {}
    for service, upstreams in state.catalog.services.items():
        for upstream in upstreams:
            if not wants_requests(state, upstream.name, now):
                continue
            if service in paths.lost_since or upstream.name in paths.missed:
                by_scope.setdefault(scope_of(upstream), []).append(upstream)
    count = min(_MAX_PROBES, len(by_scope))
    scopes = state.rng.sample(sorted(by_scope), count)
    return [state.rng.choice(by_scope[scope]) for scope in scopes]


def _health_path(state: SteeringState, upstream: Upstream) -> str:
    configuration = state.configuration
    if isinstance(configuration, RoutingConfiguration):
        policy = configuration.services.get(upstream.record.service)
        if policy:
            return policy.health_path
    return _DEFAULT_PATH
